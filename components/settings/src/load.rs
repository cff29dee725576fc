//! Loading of files, and a daemon's start.

use std::{fs::File, io::Read, path::Path, process::ExitCode};

use crate::{Finding, Findings, FromJson, Node, Report, Severity, parse_tree};

/// Largest file that is read, in bytes.
pub const FILE_LIMIT: u64 = 4 << 20;
/// Exit code of a program whose settings or objects have findings.
pub const FINDINGS_EXIT: u8 = 2;

/// Reads a file of settings.
///
/// # Errors
/// All findings at once.
pub fn load<T: FromJson>(path: &Path) -> Result<T, Report> {
    let findings = Findings::default();
    let file = path.display().to_string();
    let value = read_text(path, &findings).and_then(|text| read(&file, &text, &findings));
    conclude(value, findings)
}

/// Reads the text of `file`, whose name is used in findings only.
///
/// # Errors
/// All findings at once.
pub fn parse<T: FromJson>(file: &str, text: &str) -> Result<T, Report> {
    let findings = Findings::default();
    let value = read(file, text, &findings);
    conclude(value, findings)
}

/// Reads the text of `file` with a function of the caller.
///
/// `None` after at least one finding, from the text's syntax or from `reader`.
pub fn parse_with<T>(
    file: &str,
    text: &str,
    findings: &Findings,
    reader: impl FnOnce(&Node<'_>) -> Option<T>,
) -> Option<T> {
    let tree = parse_tree(file, text, findings)?;
    reader(&Node::root(file, &tree, findings))
}

/// The text of a file; `None` after a finding.
pub fn read_text(path: &Path, findings: &Findings) -> Option<String> {
    let mut text = String::new();
    let read =
        File::open(path).and_then(|file| file.take(FILE_LIMIT + 1).read_to_string(&mut text));
    let problem = match read {
        Ok(bytes) if bytes as u64 <= FILE_LIMIT => return Some(text),
        Ok(_) => format!("larger than {FILE_LIMIT} bytes"),
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

/// Loads a daemon's settings, or tells how the process must exit.
///
/// Findings go to standard error. With `check_only` the process ends also
/// when there are none.
///
/// # Errors
/// The exit code: 2 after findings, 0 after a check without.
pub fn start<T: FromJson>(path: &Path, check_only: bool) -> Result<T, ExitCode> {
    match load(path) {
        Err(report) => {
            eprintln!("{report}");
            Err(ExitCode::from(FINDINGS_EXIT))
        }
        Ok(_) if check_only => {
            println!("{}: no findings", path.display());
            Err(ExitCode::SUCCESS)
        }
        Ok(settings) => Ok(settings),
    }
}

fn read<T: FromJson>(file: &str, text: &str, findings: &Findings) -> Option<T> {
    parse_with(file, text, findings, T::from_json)
}

fn conclude<T>(value: Option<T>, findings: Findings) -> Result<T, Report> {
    let findings = findings.into_vec();
    match (Report::of(findings), value) {
        (None, Some(value)) => Ok(value),
        (Some(report), _) => Err(report),
        (None, None) => unreachable!("a reader without a value has reported a finding"),
    }
}
