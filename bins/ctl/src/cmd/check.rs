//! `check`: checks files of objects as one configuration, without the platform.

use std::path::PathBuf;

use chervilgate_model::read_files;
use chervilgate_settings::Severity;
use serde_json::json;

use crate::{
    output::{Exit, Failure, Output, list_findings},
    wrapped_text::WrappedText,
};

pub(super) fn run(paths: &[PathBuf]) -> Result<Output, Failure> {
    let parsed = read_files(paths);
    let findings = parsed.check(&parsed.config());
    let count = parsed.objects.len();

    let mut text = WrappedText::default();
    text.push_line(format!("{count} objects read"));
    list_findings(&mut text, &findings);
    let has_errors = findings.iter().any(|finding| finding.severity == Severity::Error);
    let exit = if has_errors { Exit::Findings } else { Exit::Success };
    Ok(Output { text, json: json!({ "objects": count, "findings": findings }), exit })
}
