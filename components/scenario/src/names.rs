//! Checks that a script refers only to declared entries, targets and keys.

use std::collections::BTreeSet;

use crate::{
    parse::Finding,
    script::{EventKind, Script},
};

/// Returns one finding for each undeclared entry, target or key.
pub(crate) fn check(file: &str, script: &Script) -> Vec<Finding> {
    let entries: BTreeSet<&str> = script.entries.iter().map(|entry| entry.name.as_str()).collect();
    let targets: BTreeSet<&str> =
        script.targets.iter().map(|target| target.name.as_str()).collect();
    let keys: BTreeSet<&str> = script.keys.iter().map(|key| key.name.as_str()).collect();
    let mut findings = Vec::new();
    for event in &script.events {
        let used = used_names(&event.kind);
        let unknown = [
            ("an entry", used.entries, &entries),
            ("a target", used.targets, &targets),
            ("a key", used.keys, &keys),
        ];
        for (what, names, known) in unknown {
            for name in names.into_iter().filter(|name| !known.contains(name)) {
                let expected = format!("{what} that is declared; {name} is not declared");
                let file = file.to_owned();
                findings.push(Finding { file, line: event.line, column: 1, expected });
            }
        }
        if let EventKind::Kill { name } | EventKind::Vanish { name } = &event.kind
            && !entries.contains(name.as_str())
            && !targets.contains(name.as_str())
        {
            let expected = format!("an entry or target that is declared; {name} is not declared");
            findings.push(Finding { file: file.to_owned(), line: event.line, column: 1, expected });
        }
    }
    findings
}

#[derive(Default)]
struct UsedNames<'a> {
    entries: Vec<&'a str>,
    targets: Vec<&'a str>,
    keys: Vec<&'a str>,
}

fn used_names(kind: &EventKind) -> UsedNames<'_> {
    let mut names = UsedNames::default();
    match kind {
        EventKind::Request { request, entry } => {
            names.entries.push(entry);
            names.targets.extend(request.targets.iter().map(String::as_str));
            names.keys.extend(request.key.as_deref());
        }
        EventKind::Traffic { key, targets, .. } => {
            names.keys.push(key);
            names.targets.extend(targets.iter().map(String::as_str));
        }
        EventKind::Withdraw { key, entry } => {
            names.keys.push(key);
            names.entries.push(entry);
        }
        EventKind::Drain { target, entry } => {
            names.targets.push(target);
            names.entries.push(entry);
        }
        EventKind::Role { target, .. } => names.targets.push(target),
        EventKind::Resend { entry, .. }
        | EventKind::Publish { entry, .. }
        | EventKind::Rollback { entry, .. } => names.entries.push(entry),
        EventKind::Replace { name }
        | EventKind::Pause { name, .. }
        | EventKind::Partition { name, .. }
        | EventKind::Stop { name } => names.entries.push(name),
        EventKind::Split { side: listed, .. } | EventKind::CutStore { names: listed, .. } => {
            names.entries.extend(listed.iter().map(String::as_str));
        }
        EventKind::InjectFault { entry, .. } => names.entries.extend(entry.as_deref()),
        EventKind::Reclaim { .. }
        | EventKind::Kill { .. }
        | EventKind::Vanish { .. }
        | EventKind::StoreDown { .. }
        | EventKind::StoreSlow { .. }
        | EventKind::Compact => {}
    }
    names
}
