//! `diff`: shows what applying files would change.

use std::path::PathBuf;

use chervilgate_model::{Config, ParsedObjects, diff, read_files};
use chervilgate_publication::PublishedState;
use serde_json::json;

use crate::{
    context::Context,
    output::{Failure, Output},
    wrapped_text::WrappedText,
};

pub(super) async fn run(
    context: &Context,
    paths: &[PathBuf],
    prune: bool,
) -> Result<Output, Failure> {
    let parsed = read_files(paths);
    let current = context.published().await?;
    let changes = diff(&current.config, &merge_files(&parsed, &current, prune));

    let mut text = WrappedText::default();
    text.push_lines(&changes);
    text.push_line(format!("{} objects differ", changes.len()));
    if !parsed.findings.is_empty() {
        text.push_line(format!("{} findings in the files; see `check`", parsed.findings.len()));
    }
    Ok(Output::done(text, json!({ "changes": changes, "findings": parsed.findings })))
}

/// The configuration that would be in force after the files are applied.
///
/// Pruning keeps the API keys, since keys end only by withdrawal.
pub(super) fn merge_files(parsed: &ParsedObjects, current: &PublishedState, prune: bool) -> Config {
    if !prune {
        return parsed.merged_into(&current.config);
    }
    let keys = current.config.keys.clone();
    parsed.merged_into(&Config { keys, ..Config::default() })
}
