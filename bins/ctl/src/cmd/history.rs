//! `history`: lists the latest publications, or shows what one changed.

use chervilgate_coord::view::Publication;
use chervilgate_model::{Config, diff};
use chervilgate_publication::{PublishedState, read_config};
use serde_json::json;

use crate::{
    context::Context,
    note::Note,
    output::{Failure, Output},
    wrapped_text::WrappedText,
};

pub(super) async fn run(context: &Context, number: Option<u64>) -> Result<Output, Failure> {
    let current = context.published().await?;
    match number {
        Some(number) => show(context, &current, number).await,
        None => list(context, &current).await,
    }
}

async fn list(context: &Context, current: &PublishedState) -> Result<Output, Failure> {
    let mut text = WrappedText::default();
    let mut rows = Vec::new();
    for publication in current.root.publications.iter().rev() {
        let number = publication.number;
        let note = Note::load(context, number).await;
        text.push_line(format!("#{number} {}", describe(note.as_ref())));
        rows.push(json!({ "number": number, "view": publication.seq, "note": note }));
    }
    if rows.is_empty() {
        text.push_line("nothing has been published yet")
            .push_line("next: chervilgatectl apply FILES");
    } else {
        text.push_line("what one changed: chervilgatectl history NUMBER");
    }
    Ok(Output::done(text, json!({ "publications": rows })))
}

async fn show(context: &Context, current: &PublishedState, number: u64) -> Result<Output, Failure> {
    let publication = find_publication(current, number)?;
    let new = read_config(&context.platform, publication.manifest).await?;
    let previous = current.root.publications.iter().find(|previous| previous.number + 1 == number);
    let old = match previous {
        Some(previous) => read_config(&context.platform, previous.manifest).await?,
        None if number == 1 => Config::default(),
        None => {
            return Err(Failure::new(
                format!("#{number} is the oldest publication in the history"),
                format!("try `history {}`", number + 1),
            ));
        }
    };
    let changes = diff(&old, &new);
    let note = Note::load(context, number).await;
    let mut text = WrappedText::default();
    text.push_line(format!("#{number} {}", describe(note.as_ref()))).push_lines(&changes);
    Ok(Output::done(text, json!({ "number": number, "note": note, "changes": changes })))
}

/// Finds a publication in the root, which keeps the latest ones only.
pub(super) fn find_publication(
    current: &PublishedState,
    number: u64,
) -> Result<&Publication, Failure> {
    let found = current.root.publications.iter().find(|publication| publication.number == number);
    found.ok_or_else(|| {
        let known: Vec<String> = current
            .root
            .publications
            .iter()
            .map(|publication| format!("#{}", publication.number))
            .collect();
        Failure::new(
            format!("publication #{number} is not in the history"),
            format!("choose one of {}", known.join(" ")),
        )
    })
}

fn describe(note: Option<&Note>) -> String {
    let Some(note) = note else { return "(no note)".to_owned() };
    let operator = if note.operator.is_empty() { "unnamed" } else { &note.operator };
    format!("{} by {operator}: {}", note.age(), note.message)
}
