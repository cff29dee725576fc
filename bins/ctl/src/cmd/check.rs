//! `check`: files of objects as a whole, without the platform.

use std::path::PathBuf;

use chervilgate_model::read_files;
use chervilgate_settings::Severity;
use serde_json::json;

use crate::{
    answer::{Answer, Exit, Failure, list_findings},
    screen::Screen,
};

pub(super) fn run(paths: &[PathBuf]) -> Result<Answer, Failure> {
    let draft = read_files(paths);
    let findings = draft.check(&draft.config());
    let count = draft.objects.len();

    let mut text = Screen::default();
    text.line(format!("{count} objects read"));
    list_findings(&mut text, &findings);
    let bad = findings.iter().any(|finding| finding.severity == Severity::Error);
    let exit = if bad { Exit::Findings } else { Exit::Done };
    Ok(Answer { text, json: json!({ "objects": count, "findings": findings }), exit })
}
