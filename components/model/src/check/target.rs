//! Rules for targets.

use std::{collections::BTreeMap, net::SocketAddr};

use crate::{
    Config, Kind, Name, Role, Target, TargetKind,
    check::{dangling, id},
    origin::Reporter,
};

pub(super) fn check(config: &Config, reporter: &Reporter<'_>) {
    let mut addresses: BTreeMap<SocketAddr, &Name> = BTreeMap::new();
    for target in config.targets.values() {
        check_service(config, target, reporter);
        check_fencing(config, target, reporter);
        check_address(target, reporter);
        if let Some(other) = addresses.insert(target.address, &target.name) {
            let from = id(Kind::Target, &target.name);
            let problem = format!("{} is the address of {other} too", target.address);
            reporter.error(&from, ".address", problem, "an address of its own");
        }
    }
}

fn check_service(config: &Config, target: &Target, reporter: &Reporter<'_>) {
    let from = id(Kind::Target, &target.name);
    let Some(service) = config.services.get(&target.service) else {
        return dangling(reporter, &from, ".service", Kind::Service, &target.service);
    };
    let expected = if service.model().is_some() { TargetKind::Engine } else { TargetKind::Service };
    if target.kind != expected {
        let problem = format!("{} is run by another kind of target", target.service);
        let expected = match expected {
            TargetKind::Engine => "engine, for a model service",
            TargetKind::Service => "service, for a plain service",
        };
        reporter.error(&from, ".kind", problem, expected);
    }
    if target.kind == TargetKind::Service && target.role != Role::Mixed {
        let problem = "only engines have a role".to_owned();
        reporter.error(&from, ".role", problem, "no role");
    }
}

/// A receiver taken for one that checks fencing tokens could run stale orders.
fn check_fencing(config: &Config, target: &Target, reporter: &Reporter<'_>) {
    let conflict = config.placements.values().find(|placement| {
        placement.service == target.service
            && placement.zones.contains_key(&target.zone)
            && placement.checks_fencing != target.checks_fencing
    });
    if let Some(placement) = conflict {
        let problem = format!("the placement {} says the opposite", placement.name);
        let from = id(Kind::Target, &target.name);
        reporter.error(&from, ".checks_fencing", problem, "the same in both");
    }
}

fn check_address(target: &Target, reporter: &Reporter<'_>) {
    let ip = target.address.ip();
    if ip.is_unspecified() || ip.is_multicast() || target.address.port() == 0 {
        let from = id(Kind::Target, &target.name);
        let problem = format!("nothing can be reached at {}", target.address);
        reporter.error(&from, ".address", problem, "a host's IP number and port");
    }
}
