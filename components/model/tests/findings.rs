//! Checks each `.json` file of objects against the expected findings in its `.txt` file.

use std::{fs, path::Path};

use chervilgate_model::ParsedObjects;
use chervilgate_settings::{Finding, Severity};

fn gives_findings(path: &Path) -> datatest_stable::Result<()> {
    let text = fs::read_to_string(path)?;
    let expected = fs::read_to_string(path.with_extension("txt")).unwrap_or_default();

    let parsed = ParsedObjects::parse("objects", &text);
    let findings = parsed.check(&parsed.config());

    let found: String = findings.iter().map(line).collect();
    assert_eq!(found, expected, "found in {}:\n{found}", path.display());
    Ok(())
}

fn line(finding: &Finding) -> String {
    let Finding { path, severity, problem, expected, .. } = finding;
    let severity = if *severity == Severity::Error { "error" } else { "warning" };
    format!("{severity} {path}: {problem}; expected {expected}\n")
}

datatest_stable::harness! {
    { test = gives_findings, root = "tests/findings", pattern = r"\.json$" },
}
