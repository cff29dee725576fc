//! Runs every script below `tests/scenarios`, each judged by the one checker.

use std::path::Path;

use chervilgate_coord::Guards;
use chervilgate_scenario::{parse, run};

fn play(path: &Path) -> datatest_stable::Result<()> {
    let text = std::fs::read_to_string(path)?;
    let script = parse(&path.display().to_string(), &text).map_err(|error| error.to_string())?;

    let played = run(&script, Guards::default());

    let breaches = played.breaches.iter().map(|breach| format!("promise: {breach}"));
    let findings: Vec<String> = played.failures.iter().cloned().chain(breaches).collect();
    if findings.is_empty() {
        return Ok(());
    }
    let file = path.display();
    eprintln!("{file}:\n{}\nlast facts:\n{}", findings.join("\n"), played.tail());
    Err(format!("{} findings", findings.len()).into())
}

datatest_stable::harness! {
    { test = play, root = "../../tests/scenarios", pattern = r"\.scn$" },
}
