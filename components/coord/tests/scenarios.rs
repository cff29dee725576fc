//! Runs every scenario script below `tests/scenarios` and checks its expectations and all promises.

use std::path::Path;

use chervilgate_coord::Guards;
use chervilgate_scenario::{parse, run};

fn run_script(path: &Path) -> datatest_stable::Result<()> {
    let text = std::fs::read_to_string(path)?;
    let script = parse(&path.display().to_string(), &text).map_err(|error| error.to_string())?;

    let outcome = run(&script, Guards::default());

    let violations = outcome.violations.iter().map(|violation| format!("promise: {violation}"));
    let findings: Vec<String> = outcome.failures.iter().cloned().chain(violations).collect();
    if findings.is_empty() {
        return Ok(());
    }
    let file = path.display();
    eprintln!("{file}:\n{}\nlast entries of the history:\n{}", findings.join("\n"), outcome.tail());
    Err(format!("{} findings", findings.len()).into())
}

datatest_stable::harness! {
    { test = run_script, root = "../../tests/scenarios", pattern = r"\.scn$" },
}
