//! Rules for services.

use crate::{
    Access, Config, Kind, Name, Route, Service,
    check::{object_id, report_dangling},
    origin::Reporter,
};

pub(super) fn check(config: &Config, reporter: &Reporter<'_>) {
    for service in config.services.values() {
        check_access(config, service, reporter);
        check_routes(service, reporter);
        check_has_targets(config, service, reporter);
    }
    let services: Vec<&Service> = config.services.values().collect();
    for (index, service) in services.iter().enumerate() {
        for other in &services[..index] {
            check_conflicts(service, other, reporter);
        }
    }
}

fn check_access(config: &Config, service: &Service, reporter: &Reporter<'_>) {
    let Access::Only(listed) = &service.access else { return };
    let id = object_id(Kind::Service, &service.name);
    for organisation in listed {
        if !config.organisations.contains_key(organisation) {
            report_dangling(reporter, &id, ".organisations", Kind::Organisation, organisation);
        }
    }
    if listed.is_empty() && service.open.is_empty() {
        let problem = "no organisation may call this service".to_owned();
        reporter.warn(&id, ".organisations", problem, "organisations, \"all\" or open routes");
    }
}

fn check_routes(service: &Service, reporter: &Reporter<'_>) {
    check_overlaps(service, &service.open, ".open", reporter);
    check_overlaps(service, &service.once, ".once", reporter);
    let id = object_id(Kind::Service, &service.name);
    for (index, open) in service.open.iter().enumerate() {
        for once in service.once.iter().filter(|once| once.overlaps(open)) {
            let problem =
                format!("the open route {open} overlaps {once}, which must run at most once");
            let expected = "open routes that do not overlap those under once";
            reporter.error(&id, &format!(".open[{index}]"), problem, expected);
        }
    }
    if service.model().is_some() && !(service.open.is_empty() && service.once.is_empty()) {
        let problem = "a model service is reached by /v1 paths, not by routes".to_owned();
        reporter.error(&id, "", problem, "open and once only on plain services");
    }
}

fn check_overlaps(service: &Service, routes: &[Route], path: &str, reporter: &Reporter<'_>) {
    let id = object_id(Kind::Service, &service.name);
    for (index, route) in routes.iter().enumerate() {
        let path = format!("{path}[{index}]");
        for previous in &routes[..index] {
            if previous == route {
                reporter.error(&id, &path, format!("duplicate route {route}"), "each route once");
            } else if previous.overlaps(route) {
                let problem = format!("{route} overlaps {previous}");
                reporter.warn(&id, &path, problem, "routes that do not overlap");
            }
        }
    }
}

fn check_has_targets(config: &Config, service: &Service, reporter: &Reporter<'_>) {
    let placed = config.placements.values().any(|placement| placement.service == service.name);
    let listed = config.static_targets(service.name.as_str()).next().is_some();
    if !placed && !listed {
        let problem = "no target runs this service".to_owned();
        let id = object_id(Kind::Service, &service.name);
        reporter.warn(&id, "", problem, "a placement or a target of this service");
    }
}

fn check_conflicts(service: &Service, other: &Service, reporter: &Reporter<'_>) {
    let id = object_id(Kind::Service, &service.name);
    if service.model().is_some() && service.model() == other.model() {
        let problem = format!("the service {} also serves this model", other.name);
        reporter.error(&id, ".model", problem, "one service per model");
    }
    if let Some(problem) = prefix_overlap(service, other, &other.name) {
        reporter.error(&id, ".prefix", problem, "prefixes that do not overlap");
    }
}

fn prefix_overlap(service: &Service, other: &Service, name: &Name) -> Option<String> {
    let inner = service.strip_prefix(&other.prefix).or(other.strip_prefix(&service.prefix));
    inner.map(|_| format!("{} and {} of {name} overlap", service.prefix, other.prefix))
}
