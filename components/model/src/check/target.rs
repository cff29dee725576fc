//! Rules for targets.

use std::{collections::BTreeMap, net::SocketAddr};

use crate::{
    Config, Kind, Name, Role, Target, TargetKind,
    check::{object_id, report_dangling},
    origin::Reporter,
};

pub(super) fn check(config: &Config, reporter: &Reporter<'_>) {
    let mut addresses: BTreeMap<SocketAddr, &Name> = BTreeMap::new();
    for target in config.targets.values() {
        check_service(config, target, reporter);
        check_fencing(config, target, reporter);
        check_address(target, reporter);
        if let Some(other) = addresses.insert(target.address, &target.name) {
            let id = object_id(Kind::Target, &target.name);
            let problem = format!("{} is the address of {other} too", target.address);
            reporter.error(&id, ".address", problem, "a unique address");
        }
    }
}

fn check_service(config: &Config, target: &Target, reporter: &Reporter<'_>) {
    let id = object_id(Kind::Target, &target.name);
    let Some(service) = config.services.get(&target.service) else {
        return report_dangling(reporter, &id, ".service", Kind::Service, &target.service);
    };
    let expected = if service.model().is_some() { TargetKind::Engine } else { TargetKind::Service };
    if target.kind != expected {
        let problem = format!("the kind of this target does not match service {}", target.service);
        let expected = match expected {
            TargetKind::Engine => "engine, for a model service",
            TargetKind::Service => "service, for a plain service",
        };
        reporter.error(&id, ".kind", problem, expected);
    }
    if target.kind == TargetKind::Service && target.role != Role::Mixed {
        let problem = "only engines have a role".to_owned();
        reporter.error(&id, ".role", problem, "no role");
    }
}

/// Checks that placements agree with `checks_fencing` of the target.
///
/// A receiver that is wrongly assumed to check fencing tokens could execute stale orders.
fn check_fencing(config: &Config, target: &Target, reporter: &Reporter<'_>) {
    let conflict = config.placements.values().find(|placement| {
        placement.service == target.service
            && placement.zones.contains_key(&target.zone)
            && placement.checks_fencing != target.checks_fencing
    });
    if let Some(placement) = conflict {
        let problem = format!("the placement {} has the opposite value", placement.name);
        let id = object_id(Kind::Target, &target.name);
        reporter.error(&id, ".checks_fencing", problem, "the same value in both");
    }
}

fn check_address(target: &Target, reporter: &Reporter<'_>) {
    let ip = target.address.ip();
    if ip.is_unspecified() || ip.is_multicast() || target.address.port() == 0 {
        let id = object_id(Kind::Target, &target.name);
        let problem = format!("{} is not a reachable address", target.address);
        reporter.error(&id, ".address", problem, "a host's IP address and port");
    }
}
