//! `history`: the latest publications.

use chervilgate_coord::view::Publication;
use chervilgate_model::{Config, diff};
use chervilgate_publication::{Published, read_config};
use serde_json::json;

use crate::{
    answer::{Answer, Failure},
    note::Note,
    screen::Screen,
    session::Session,
};

pub(super) async fn run(session: &Session, number: Option<u64>) -> Result<Answer, Failure> {
    let present = session.published().await?;
    match number {
        Some(number) => show(session, &present, number).await,
        None => list(session, &present).await,
    }
}

async fn list(session: &Session, present: &Published) -> Result<Answer, Failure> {
    let mut text = Screen::default();
    let mut rows = Vec::new();
    for publication in present.root.publications.iter().rev() {
        let number = publication.number;
        let note = Note::load(session, number).await;
        text.line(format!("#{number} {}", describe(note.as_ref())));
        rows.push(json!({ "number": number, "view": publication.seq, "note": note }));
    }
    if rows.is_empty() {
        text.line("nothing has been published yet").line("next: chervilgatectl apply FILES");
    } else {
        text.line("what one changed: chervilgatectl history NUMBER");
    }
    Ok(Answer::done(text, json!({ "publications": rows })))
}

async fn show(session: &Session, present: &Published, number: u64) -> Result<Answer, Failure> {
    let publication = find(present, number)?;
    let new = read_config(&session.platform, publication.manifest).await?;
    let former = present.root.publications.iter().find(|former| former.number + 1 == number);
    let old = match former {
        Some(former) => read_config(&session.platform, former.manifest).await?,
        None if number == 1 => Config::default(),
        None => {
            return Err(Failure::new(
                format!("#{number} is the oldest that is remembered"),
                format!("try `history {}`", number + 1),
            ));
        }
    };
    let changes = diff(&old, &new);
    let note = Note::load(session, number).await;
    let mut text = Screen::default();
    text.line(format!("#{number} {}", describe(note.as_ref()))).lines(&changes);
    Ok(Answer::done(text, json!({ "number": number, "note": note, "changes": changes })))
}

/// A publication that the root remembers.
pub(super) fn find(present: &Published, number: u64) -> Result<&Publication, Failure> {
    let found = present.root.publications.iter().find(|made| made.number == number);
    found.ok_or_else(|| {
        let known: Vec<String> =
            present.root.publications.iter().map(|made| format!("#{}", made.number)).collect();
        Failure::new(
            format!("publication #{number} is not remembered"),
            format!("choose one of {}", known.join(" ")),
        )
    })
}

fn describe(note: Option<&Note>) -> String {
    let Some(note) = note else { return "(no note)".to_owned() };
    let operator = if note.operator.is_empty() { "unnamed" } else { &note.operator };
    format!("{} by {operator}: {}", note.age(), note.message)
}
