//! Rules for fallback services.

use std::collections::BTreeSet;

use crate::{
    Access, Config, Kind, Name, Service,
    check::{object_id, report_dangling},
    origin::Reporter,
};

const PATH: &str = ".fallback";

pub(super) fn check(config: &Config, reporter: &Reporter<'_>) {
    let mut reported = BTreeSet::new();
    for service in config.services.values() {
        check_fallback(config, service, reporter);
        if reported.contains(&service.name) {
            continue;
        }
        if let Some(cycle) = find_cycle(config, service) {
            let chain: Vec<&str> = cycle.iter().map(|name| name.as_str()).collect();
            let problem = format!("fallback cycle: {} → {}", chain.join(" → "), service.name);
            let id = object_id(Kind::Service, &service.name);
            reporter.error(&id, PATH, problem, "fallbacks without a cycle");
            reported.extend(cycle.into_iter().cloned());
        }
    }
}

fn check_fallback(config: &Config, service: &Service, reporter: &Reporter<'_>) {
    let Some(name) = &service.fallback else { return };
    let id = object_id(Kind::Service, &service.name);
    let Some(fallback) = config.services.get(name) else {
        return report_dangling(reporter, &id, PATH, Kind::Service, name);
    };
    if fallback.model().is_some() != service.model().is_some() {
        let problem = format!("{name} has a different type");
        reporter.error(&id, PATH, problem, "a service of the same type");
    }
    if !allows_all_of(fallback, service) {
        let problem = format!("{name} allows fewer organisations");
        reporter.warn(&id, PATH, problem, "a service that allows the same organisations");
    }
}

fn allows_all_of(fallback: &Service, service: &Service) -> bool {
    match (&fallback.access, &service.access) {
        (Access::All, _) => true,
        (Access::Only(_), Access::All) => false,
        (Access::Only(fallback_names), Access::Only(names)) => names.is_subset(fallback_names),
    }
}

/// The services of the fallback cycle through `start`, beginning with `start`.
fn find_cycle<'a>(config: &'a Config, start: &'a Service) -> Option<Vec<&'a Name>> {
    let mut chain = vec![&start.name];
    let mut current = start;
    while let Some(next) = &current.fallback {
        if *next == start.name {
            return Some(chain);
        }
        // A cycle that does not contain `start` is reported at its own members.
        if chain.contains(&next) {
            return None;
        }
        chain.push(next);
        current = config.services.get(next)?;
    }
    None
}
