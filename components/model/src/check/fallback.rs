//! Rules for chains of fallback services.

use std::collections::BTreeSet;

use crate::{
    Access, Config, Kind, Name, Service,
    check::{dangling, id},
    origin::Reporter,
};

const PATH: &str = ".fallback";

pub(super) fn check(config: &Config, reporter: &Reporter<'_>) {
    let mut reported = BTreeSet::new();
    for service in config.services.values() {
        check_link(config, service, reporter);
        if reported.contains(&service.name) {
            continue;
        }
        if let Some(cycle) = find_cycle(config, service) {
            let chain: Vec<&str> = cycle.iter().map(|name| name.as_str()).collect();
            let problem = format!("cycle: {} → {}", chain.join(" → "), service.name);
            let from = id(Kind::Service, &service.name);
            reporter.error(&from, PATH, problem, "a chain that ends");
            reported.extend(cycle.into_iter().cloned());
        }
    }
}

fn check_link(config: &Config, service: &Service, reporter: &Reporter<'_>) {
    let Some(name) = &service.fallback else { return };
    let from = id(Kind::Service, &service.name);
    let Some(fallback) = config.services.get(name) else {
        return dangling(reporter, &from, PATH, Kind::Service, name);
    };
    if fallback.model().is_some() != service.model().is_some() {
        let problem = format!("{name} is of another type");
        reporter.error(&from, PATH, problem, "a service of the same type");
    }
    if !admits_all_of(fallback, service) {
        let problem = format!("{name} admits fewer organisations");
        reporter.warn(&from, PATH, problem, "a service open to the same organisations");
    }
}

fn admits_all_of(fallback: &Service, service: &Service) -> bool {
    match (&fallback.access, &service.access) {
        (Access::All, _) => true,
        (Access::Only(_), Access::All) => false,
        (Access::Only(wide), Access::Only(narrow)) => narrow.is_subset(wide),
    }
}

/// The services of a cycle through `start`, `start` first.
fn find_cycle<'a>(config: &'a Config, start: &'a Service) -> Option<Vec<&'a Name>> {
    let mut chain = vec![&start.name];
    let mut current = start;
    while let Some(next) = &current.fallback {
        if *next == start.name {
            return Some(chain);
        }
        // A cycle that does not lead through `start` is found from its members.
        if chain.contains(&next) {
            return None;
        }
        chain.push(next);
        current = config.services.get(next)?;
    }
    None
}
