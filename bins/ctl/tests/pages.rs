//! Checks that relative links in Markdown files resolve and that the sample
//! objects and settings have no errors.

use std::{
    fs,
    path::{Path, PathBuf},
    process::Command,
};

fn repository_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..").canonicalize().expect("the repository")
}

fn markdown_files() -> Vec<PathBuf> {
    let mut found = Vec::new();
    collect_markdown(&repository_root(), &mut found);
    found
}

fn collect_markdown(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).expect("a folder") {
        let path = entry.expect("an entry").path();
        let name = path.file_name().and_then(|name| name.to_str()).unwrap_or_default();
        if path.is_dir() && !name.starts_with('.') && name != "target" {
            collect_markdown(&path, found);
        } else if name.ends_with(".md") {
            found.push(path);
        }
    }
}

/// The targets of links `[text](target)` outside of code blocks.
fn links(text: &str) -> Vec<String> {
    let prose = text.lines().filter(|line| !line.starts_with("    ") && !line.starts_with("```"));
    let parts = prose.flat_map(|line| line.split("](").skip(1));
    parts.filter_map(|part| part.split_once(')')).map(|(target, _)| target.to_owned()).collect()
}

#[test]
fn each_relative_link_resolves() {
    let mut checked = 0;
    let mut broken = Vec::new();

    for page in markdown_files() {
        let folder = page.parent().expect("a folder");
        for link in links(&fs::read_to_string(&page).expect("text")) {
            let path = link.split('#').next().unwrap_or_default();
            if link.contains("://") || path.is_empty() {
                continue;
            }
            checked += 1;
            if !folder.join(path).exists() {
                broken.push(format!("{}: {link}", page.display()));
            }
        }
    }

    assert!(broken.is_empty(), "{broken:#?}");
    assert!(checked > 20, "only {checked} links found");
}

#[test]
fn sample_objects_have_no_findings() {
    let mut command = Command::new(env!("CARGO_BIN_EXE_chervilgatectl"));

    let output =
        command.args(["check", "objects"]).current_dir(repository_root()).output().expect("a run");

    let text = String::from_utf8_lossy(&output.stdout);
    assert!(text.ends_with("0 errors, 0 warnings\n"), "{text}");
    assert!(output.status.success());
}

#[test]
fn sample_entry_settings_have_no_errors() {
    let sample = repository_root().join("settings/entry.json");

    let settings = chervilgate_settings::load::<chervilgate_entry::Settings>(&sample);

    let settings = settings.unwrap_or_else(|report| panic!("{report}"));
    assert_eq!(settings.host, "entry-a1");
}

#[test]
fn sample_controller_settings_have_no_errors() {
    let sample = repository_root().join("settings/controller.json");

    let settings = chervilgate_settings::load::<chervilgate_controller::Settings>(&sample);

    let settings = settings.unwrap_or_else(|report| panic!("{report}"));
    assert!(!settings.trust_list);
}

#[test]
fn each_settings_sample_has_a_test() {
    let samples = fs::read_dir(repository_root().join("settings")).expect("a folder");
    let mut names: Vec<_> = samples.map(|sample| sample.expect("an entry").file_name()).collect();
    names.sort();

    assert_eq!(names, ["chervilgatectl.json", "controller.json", "entry.json"]);
}
