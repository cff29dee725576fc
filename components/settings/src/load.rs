//! Loads settings files and handles findings at a daemon's start.

use std::{fs::File, io::Read, path::Path, process::ExitCode};

use crate::{Finding, Findings, FromJson, Node, Report, Severity, parse_tree};

/// Largest accepted file, in bytes.
pub const MAX_FILE_SIZE: u64 = 4 << 20;
/// Exit code for findings in settings or objects.
pub const FINDINGS_EXIT_CODE: u8 = 2;

/// Reads a settings file.
///
/// # Errors
/// All findings of the file.
pub fn load<T: FromJson>(path: &Path) -> Result<T, Report> {
    let findings = Findings::default();
    let file = path.display().to_string();
    let value = read_text(path, &findings).and_then(|text| read_settings(&file, &text, &findings));
    into_result(value, findings)
}

/// Reads settings from `text`; findings name `file`, which is not opened.
///
/// # Errors
/// All findings of the file.
pub fn parse<T: FromJson>(file: &str, text: &str) -> Result<T, Report> {
    let findings = Findings::default();
    let value = read_settings(file, text, &findings);
    into_result(value, findings)
}

/// Parses `text` and reads it with `reader`; findings name `file`, which is not opened.
///
/// Returns `None` after at least one finding, about the syntax or from `reader`.
pub fn parse_with<T>(
    file: &str,
    text: &str,
    findings: &Findings,
    reader: impl FnOnce(&Node<'_>) -> Option<T>,
) -> Option<T> {
    let tree = parse_tree(file, text, findings)?;
    reader(&Node::root(file, &tree, findings))
}

/// Reads a file as text; returns `None` after reporting a finding.
pub fn read_text(path: &Path, findings: &Findings) -> Option<String> {
    let mut text = String::new();
    let read =
        File::open(path).and_then(|file| file.take(MAX_FILE_SIZE + 1).read_to_string(&mut text));
    let problem = match read {
        Ok(bytes) if bytes as u64 <= MAX_FILE_SIZE => return Some(text),
        Ok(_) => format!("larger than {MAX_FILE_SIZE} bytes"),
        Err(error) => format!("cannot be read: {error}"),
    };
    findings.push(Finding {
        file: path.display().to_string(),
        path: "$".to_owned(),
        severity: Severity::Error,
        problem,
        expected: "a JSON file".to_owned(),
    });
    None
}

/// Loads a daemon's settings, or returns the code that the process must exit with.
///
/// Findings are printed to standard error. With `check_only` the process is to exit
/// in any case.
///
/// # Errors
/// The exit code: 2 after findings, 0 after a check without findings.
pub fn load_or_exit<T: FromJson>(path: &Path, check_only: bool) -> Result<T, ExitCode> {
    match load(path) {
        Err(report) => {
            eprintln!("{report}");
            Err(ExitCode::from(FINDINGS_EXIT_CODE))
        }
        Ok(_) if check_only => {
            println!("{}: no findings", path.display());
            Err(ExitCode::SUCCESS)
        }
        Ok(settings) => Ok(settings),
    }
}

fn read_settings<T: FromJson>(file: &str, text: &str, findings: &Findings) -> Option<T> {
    parse_with(file, text, findings, T::from_json)
}

fn into_result<T>(value: Option<T>, findings: Findings) -> Result<T, Report> {
    let findings = findings.into_vec();
    match (Report::from_findings(findings), value) {
        (None, Some(value)) => Ok(value),
        (Some(report), _) => Err(report),
        (None, None) => unreachable!("a reader that returns no value has reported an error"),
    }
}
