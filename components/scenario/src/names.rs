//! Checks that a script's statements name only what it declares.

use std::collections::BTreeSet;

use crate::{
    parse::Finding,
    script::{Deed, Script},
};

/// Names that are used without having been declared.
pub(crate) fn check(file: &str, script: &Script) -> Vec<Finding> {
    let entries: BTreeSet<&str> = script.entries.iter().map(|entry| entry.name.as_str()).collect();
    let targets: BTreeSet<&str> =
        script.targets.iter().map(|target| target.name.as_str()).collect();
    let keys: BTreeSet<&str> = script.keys.iter().map(|key| key.name.as_str()).collect();
    let mut findings = Vec::new();
    for event in &script.events {
        let used = names_of(&event.deed);
        let unknown = [
            ("an entry", used.entries, &entries),
            ("a target", used.targets, &targets),
            ("a key", used.keys, &keys),
        ];
        for (what, names, known) in unknown {
            for name in names.into_iter().filter(|name| !known.contains(name)) {
                let expected = format!("{what} that is declared, not {name}");
                let file = file.to_owned();
                findings.push(Finding { file, line: event.line, column: 1, expected });
            }
        }
        if let Deed::Kill { name } | Deed::Vanish { name } = &event.deed
            && !entries.contains(name.as_str())
            && !targets.contains(name.as_str())
        {
            let expected = format!("an entry or target that is declared, not {name}");
            findings.push(Finding { file: file.to_owned(), line: event.line, column: 1, expected });
        }
    }
    findings
}

#[derive(Default)]
struct Names<'a> {
    entries: Vec<&'a str>,
    targets: Vec<&'a str>,
    keys: Vec<&'a str>,
}

fn names_of(deed: &Deed) -> Names<'_> {
    let mut names = Names::default();
    match deed {
        Deed::Request { request, entry } => {
            names.entries.push(entry);
            names.targets.extend(request.targets.iter().map(String::as_str));
            names.keys.extend(request.key.as_deref());
        }
        Deed::Traffic { key, targets, .. } => {
            names.keys.push(key);
            names.targets.extend(targets.iter().map(String::as_str));
        }
        Deed::Withdraw { key, entry } => {
            names.keys.push(key);
            names.entries.push(entry);
        }
        Deed::Drain { target, entry } => {
            names.targets.push(target);
            names.entries.push(entry);
        }
        Deed::Role { target, .. } => names.targets.push(target),
        Deed::Resend { entry, .. } | Deed::Publish { entry, .. } | Deed::Rollback { entry, .. } => {
            names.entries.push(entry)
        }
        Deed::Replace { name }
        | Deed::Pause { name, .. }
        | Deed::Partition { name, .. }
        | Deed::Stop { name } => names.entries.push(name),
        Deed::Split { side: listed, .. } | Deed::CutStore { names: listed, .. } => {
            names.entries.extend(listed.iter().map(String::as_str));
        }
        Deed::Strike { entry, .. } => names.entries.extend(entry.as_deref()),
        Deed::Reclaim { .. }
        | Deed::Kill { .. }
        | Deed::Vanish { .. }
        | Deed::StoreDown { .. }
        | Deed::StoreSlow { .. }
        | Deed::Compact => {}
    }
    names
}
