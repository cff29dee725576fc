//! Tells the program which revision of the sources it was built from.

use std::{path::Path, process::Command};

/// Folders with sources of the program, relative to this package.
const SOURCES: [&str; 3] = ["../../bins/host", "../../components", "../../platform"];

/// What changes with each commit and checkout.
const HEAD_FILES: [&str; 2] = ["../../.git/HEAD", "../../.git/logs/HEAD"];

fn main() {
    let revision = git(&["rev-parse", "--short=12", "HEAD"]);
    let changes = git(&["status", "--porcelain", "--", "bins", "components", "platform"]);
    let revision = match (revision, changes.as_deref()) {
        (Some(revision), Some("")) => revision,
        (Some(revision), _) => format!("{revision}-modified"),
        (None, _) => "unknown".to_owned(),
    };
    println!("cargo::rustc-env=CHERVILGATE_REVISION={revision}");
    for path in SOURCES.into_iter().chain(HEAD_FILES) {
        // A path that does not exist would have this run in each build.
        if Path::new(path).exists() {
            println!("cargo::rerun-if-changed={path}");
        }
    }
}

/// Output of git in the repository of the workspace; none without git or a repository of its own.
fn git(args: &[&str]) -> Option<String> {
    if !Path::new("../../.git").exists() {
        return None;
    }
    let output = Command::new("git").current_dir("../..").args(args).output().ok()?;
    let text = String::from_utf8(output.stdout).ok()?;
    output.status.success().then(|| text.trim().to_owned())
}
