//! `diff`: what files would change.

use std::path::PathBuf;

use chervilgate_model::{Config, Draft, diff, read_files};
use chervilgate_publication::Published;
use serde_json::json;

use crate::{
    answer::{Answer, Failure},
    screen::Screen,
    session::Session,
};

pub(super) async fn run(
    session: &Session,
    paths: &[PathBuf],
    prune: bool,
) -> Result<Answer, Failure> {
    let draft = read_files(paths);
    let present = session.published().await?;
    let changes = diff(&present.config, &merge(&draft, &present, prune));

    let mut text = Screen::default();
    text.lines(&changes);
    text.line(format!("{} objects differ", changes.len()));
    if !draft.findings.is_empty() {
        text.line(format!("{} findings in the files; see `check`", draft.findings.len()));
    }
    Ok(Answer::done(text, json!({ "changes": changes, "findings": draft.findings })))
}

/// What would be in force after the files are applied.
///
/// Keys stay also when pruning: they end by withdrawal only.
pub(super) fn merge(draft: &Draft, present: &Published, prune: bool) -> Config {
    if !prune {
        return draft.onto(&present.config);
    }
    let keys = present.config.keys.clone();
    draft.onto(&Config { keys, ..Config::default() })
}
