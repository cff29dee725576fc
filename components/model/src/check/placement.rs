//! Rules for placements.

use std::collections::BTreeMap;

use crate::{
    Config, Kind, Name, Placement, Service, VersionState,
    check::{object_id, report_dangling},
    origin::Reporter,
};

pub(super) fn check(config: &Config, reporter: &Reporter<'_>) {
    let mut zones: BTreeMap<(&Name, &Name), &Name> = BTreeMap::new();
    for placement in config.placements.values() {
        check_service(config, placement, reporter);
        check_counts(placement, reporter);
        for zone in placement.zones.keys() {
            let Some(other) = zones.insert((&placement.service, zone), &placement.name) else {
                continue;
            };
            let problem = format!("{other} also places {} in zone {zone}", placement.service);
            let id = object_id(Kind::Placement, &placement.name);
            let expected = "one placement per service and zone";
            reporter.error(&id, &format!(".zones.{zone}"), problem, expected);
        }
    }
}

fn check_service(config: &Config, placement: &Placement, reporter: &Reporter<'_>) {
    let id = object_id(Kind::Placement, &placement.name);
    let service = config.services.get(&placement.service);
    if service.is_none() {
        report_dangling(reporter, &id, ".service", Kind::Service, &placement.service);
    }
    match (service.map(Service::model), &placement.version) {
        (Some(Some(_)), None) => {
            let problem = format!("{} serves a model", placement.service);
            reporter.error(&id, ".version", problem, "the model version to load");
        }
        (Some(None), Some(_)) => {
            let problem = format!("{} is a plain service", placement.service);
            reporter.error(&id, ".version", problem, "no version");
        }
        (model, Some(version)) => {
            check_version(config, placement, version, model.flatten(), reporter);
        }
        (_, None) => {}
    }
}

fn check_version(
    config: &Config,
    placement: &Placement,
    name: &Name,
    model: Option<&Name>,
    reporter: &Reporter<'_>,
) {
    let id = object_id(Kind::Placement, &placement.name);
    let Some(version) = config.versions.get(name) else {
        return report_dangling(reporter, &id, ".version", Kind::ModelVersion, name);
    };
    if version.state == VersionState::Withdrawn {
        let problem = format!("{name} is withdrawn");
        reporter.error(&id, ".version", problem, "an active model version");
    }
    if model.is_some_and(|model| *model != version.model) {
        let problem = format!("{name} is a version of {}", version.model);
        let expected = format!("a version of the model of {}", placement.service);
        reporter.error(&id, ".version", problem, &expected);
    }
}

fn check_counts(placement: &Placement, reporter: &Reporter<'_>) {
    let id = object_id(Kind::Placement, &placement.name);
    let total = placement.total();
    let steady_zones = placement.zones.values().filter(|count| count.steady > 0).count();
    if total.steady == 0 && total.cheap == 0 {
        let problem = "the placement has no targets".to_owned();
        reporter.warn(&id, ".zones", problem, "a zone with a count above 0");
    } else if total.steady == 0 {
        let problem = "all targets may be reclaimed at once".to_owned();
        reporter.warn(&id, ".zones", problem, "at least one steady target");
    } else if steady_zones == 1 {
        let problem = "steady targets in one zone only".to_owned();
        reporter.warn(
            &id,
            ".zones",
            problem,
            "steady targets in two zones, to survive the loss of one",
        );
    }
}
