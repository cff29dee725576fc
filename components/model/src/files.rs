//! Reads objects from files and directories.

use std::{
    fs, io,
    path::{Path, PathBuf},
};

use chervilgate_settings::{Finding, Findings, FromJson, Node, Severity, parse_with, read_text};
use serde_json::Value;

use crate::{Config, Kind, Object, ObjectId, Origins, check};

/// Deepest nesting of directories below a given path.
const MAX_DEPTH: usize = 8;

/// The objects read from files, and the findings in them.
#[derive(Debug, Default)]
pub struct ParsedObjects {
    /// The objects that could be read; fields with a finding have their default.
    pub objects: Vec<Object>,
    /// The file and path of each object.
    pub origins: Origins,
    /// Findings in single objects: syntax, unknown fields, ranges, duplicates.
    pub findings: Vec<Finding>,
    /// File and path of each object that was read with findings.
    invalid: Vec<(String, String)>,
}

impl ParsedObjects {
    /// A configuration of these objects alone.
    pub fn config(&self) -> Config {
        Config::from_objects(self.objects.iter().cloned())
    }

    /// A copy of `base` with these objects added or replaced.
    pub fn merged_into(&self, base: &Config) -> Config {
        let mut config = base.clone();
        for object in &self.objects {
            config.insert(object.clone());
        }
        config
    }

    /// Checks `config`; returns the findings of reading and of the check.
    pub fn check(&self, config: &Config) -> Vec<Finding> {
        let mut findings = self.findings.clone();
        let whole = check(config, &self.origins).into_iter();
        findings.extend(whole.filter(|finding| !self.may_stem_from_default(finding)));
        findings
    }

    /// Whether a finding is a warning that a default in place of an invalid field may
    /// have caused.
    fn may_stem_from_default(&self, finding: &Finding) -> bool {
        let is_within = |(file, path): &(String, String)| {
            let rest = finding.path.strip_prefix(path.as_str());
            finding.file == *file && rest.is_some_and(|rest| rest.starts_with(".spec"))
        };
        finding.severity == Severity::Warning && self.invalid.iter().any(is_within)
    }
}

/// Reads the objects in `paths`; for a directory, in all `.json` files below it.
pub fn read_files(paths: &[PathBuf]) -> ParsedObjects {
    let findings = Findings::default();
    let mut files = Vec::new();
    for path in paths {
        if let Err(error) = list_files(path, MAX_DEPTH, &mut files) {
            push_io_error(path, &error, &findings);
        }
    }
    files.sort_unstable();
    files.dedup();

    let mut parsed = ParsedObjects::default();
    for file in &files {
        parsed.read(file, &findings);
    }
    parsed.findings = findings.into_vec();
    parsed
}

impl ParsedObjects {
    /// Reads objects from `text`; findings name `file`, which is not opened.
    pub fn parse(file: &str, text: &str) -> ParsedObjects {
        let findings = Findings::default();
        let mut parsed = ParsedObjects::default();
        parsed.read_text(file, text, &findings);
        parsed.findings = findings.into_vec();
        parsed
    }

    fn read(&mut self, path: &Path, findings: &Findings) {
        let Some(text) = read_text(path, findings) else { return };
        self.read_text(&path.display().to_string(), &text, findings);
    }

    fn read_text(&mut self, file: &str, text: &str, findings: &Findings) {
        let _ = parse_with(file, text, findings, |node| {
            match node.value() {
                Value::Array(_) => {
                    node.elements("objects")?.iter().for_each(|element| self.read_object(element));
                }
                _ => self.read_object(node),
            }
            Some(())
        });
    }

    /// Reads one object and reports duplicate ids.
    ///
    /// Records the location even of an invalid object, so that references to it
    /// are not reported as dangling.
    fn read_object(&mut self, node: &Node<'_>) {
        let previous = peek_id(node.value())
            .and_then(|id| Some((self.origins.insert(id.clone(), node.file(), node.path())?, id)));
        if let Some((previous, id)) = previous {
            node.report(
                format!("duplicate object {id}"),
                format!("a single object of this id; the other is at {previous}"),
            );
            return;
        }
        let before = node.findings().len();
        self.objects.extend(Object::from_json(node));
        if node.findings().len() > before {
            self.invalid.push((node.file().to_owned(), node.path().to_owned()));
        }
    }
}

fn peek_id(value: &Value) -> Option<ObjectId> {
    let kind = Kind::parse(value.get("kind")?.as_str()?)?;
    let name = value.get("name")?.as_str()?.parse().ok()?;
    Some(ObjectId { kind, name })
}

fn list_files(path: &Path, depth: usize, files: &mut Vec<PathBuf>) -> io::Result<()> {
    if !path.is_dir() {
        files.push(path.to_owned());
        return Ok(());
    }
    if depth == 0 {
        return Err(io::Error::other(format!(
            "{} is nested more than {MAX_DEPTH} directories deep",
            path.display()
        )));
    }
    for entry in fs::read_dir(path)? {
        let path = entry?.path();
        let json = path.extension().is_some_and(|extension| extension == "json");
        if path.is_dir() || json {
            list_files(&path, depth - 1, files)?;
        }
    }
    Ok(())
}

fn push_io_error(path: &Path, error: &io::Error, findings: &Findings) {
    findings.push(Finding {
        file: path.display().to_string(),
        path: "$".to_owned(),
        severity: Severity::Error,
        problem: format!("cannot be read: {error}"),
        expected: "a JSON file or a directory of JSON files".to_owned(),
    });
}
