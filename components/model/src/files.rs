//! Reading objects from files and folders.

use std::{
    fs, io,
    path::{Path, PathBuf},
};

use chervilgate_settings::{Finding, Findings, FromJson, Node, Severity, parse_with, read_text};
use serde_json::Value;

use crate::{Config, Kind, Object, ObjectId, Origins, check};

/// Deepest folder below one that is named.
const DEPTH_LIMIT: usize = 8;

/// Objects as read from files, with their findings.
#[derive(Debug, Default)]
pub struct Draft {
    /// The objects that could be read; with defaults where a field has a finding.
    pub objects: Vec<Object>,
    /// Where each came from.
    pub origins: Origins,
    /// What is wrong with single objects: syntax, fields, ranges, doubles.
    pub findings: Vec<Finding>,
    /// File and path of each object with findings of its own.
    faulty: Vec<(String, String)>,
}

impl Draft {
    /// The objects as a configuration of their own.
    pub fn config(&self) -> Config {
        Config::from_objects(self.objects.iter().cloned())
    }

    /// `base` with the objects of this draft added or replaced.
    pub fn onto(&self, base: &Config) -> Config {
        let mut config = base.clone();
        for object in &self.objects {
            config.insert(object.clone());
        }
        config
    }

    /// Each finding: those of the draft and those of `config` as a whole.
    pub fn check(&self, config: &Config) -> Vec<Finding> {
        let mut findings = self.findings.clone();
        let whole = check(config, &self.origins).into_iter();
        findings.extend(whole.filter(|finding| !self.stems_from_default(finding)));
        findings
    }

    /// Whether a warning may concern a default that stands in for a faulty field.
    fn stems_from_default(&self, finding: &Finding) -> bool {
        let inside = |(file, path): &(String, String)| {
            let rest = finding.path.strip_prefix(path.as_str());
            finding.file == *file && rest.is_some_and(|rest| rest.starts_with(".spec"))
        };
        finding.severity == Severity::Warning && self.faulty.iter().any(inside)
    }
}

/// Reads the objects in `paths`; of a folder, each `.json` file below it.
pub fn read_files(paths: &[PathBuf]) -> Draft {
    let findings = Findings::default();
    let mut files = Vec::new();
    for path in paths {
        if let Err(error) = list_files(path, DEPTH_LIMIT, &mut files) {
            push_io(path, &error, &findings);
        }
    }
    files.sort_unstable();
    files.dedup();

    let mut draft = Draft::default();
    for file in &files {
        draft.read(file, &findings);
    }
    draft.findings = findings.into_vec();
    draft
}

impl Draft {
    /// Reads the text of `file`, whose name is used in findings only.
    pub fn parse(file: &str, text: &str) -> Draft {
        let findings = Findings::default();
        let mut draft = Draft::default();
        draft.read_text(file, text, &findings);
        draft.findings = findings.into_vec();
        draft
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

    /// Keeps the place even of an unreadable object, so that references to it
    /// do not dangle.
    fn read_object(&mut self, node: &Node<'_>) {
        let former = peek_id(node.value())
            .and_then(|id| Some((self.origins.insert(id.clone(), node.file(), node.path())?, id)));
        if let Some((former, id)) = former {
            node.report(format!("{id} stands twice"), format!("one of them; the other: {former}"));
            return;
        }
        let before = node.findings().len();
        self.objects.extend(Object::from_json(node));
        if node.findings().len() > before {
            self.faulty.push((node.file().to_owned(), node.path().to_owned()));
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
        return Err(io::Error::other("folders are nested too deep"));
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

fn push_io(path: &Path, error: &io::Error, findings: &Findings) {
    findings.push(Finding {
        file: path.display().to_string(),
        path: "$".to_owned(),
        severity: Severity::Error,
        problem: format!("cannot be read: {error}"),
        expected: "a JSON file or a folder of them".to_owned(),
    });
}
