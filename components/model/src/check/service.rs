//! Rules for services.

use crate::{
    Access, Config, Kind, Name, Route, Service,
    check::{dangling, id},
    origin::Reporter,
};

pub(super) fn check(config: &Config, reporter: &Reporter<'_>) {
    for service in config.services.values() {
        check_access(config, service, reporter);
        check_routes(service, reporter);
        check_targets(config, service, reporter);
    }
    let services: Vec<&Service> = config.services.values().collect();
    for (index, service) in services.iter().enumerate() {
        for other in &services[..index] {
            check_pair(service, other, reporter);
        }
    }
}

fn check_access(config: &Config, service: &Service, reporter: &Reporter<'_>) {
    let Access::Only(listed) = &service.access else { return };
    let from = id(Kind::Service, &service.name);
    for organisation in listed {
        if !config.organisations.contains_key(organisation) {
            dangling(reporter, &from, ".organisations", Kind::Organisation, organisation);
        }
    }
    if listed.is_empty() && service.open.is_empty() {
        let problem = "nobody may call it".to_owned();
        reporter.warn(&from, ".organisations", problem, "organisations, \"all\" or open routes");
    }
}

fn check_routes(service: &Service, reporter: &Reporter<'_>) {
    check_list(service, &service.open, ".open", reporter);
    check_list(service, &service.once, ".once", reporter);
    let from = id(Kind::Service, &service.name);
    for (index, open) in service.open.iter().enumerate() {
        for once in service.once.iter().filter(|once| once.overlaps(open)) {
            let problem = format!("{open} opens {once}, which must run at most once, to all");
            let expected = "open routes apart from those under once";
            reporter.error(&from, &format!(".open[{index}]"), problem, expected);
        }
    }
    if service.model().is_some() && !(service.open.is_empty() && service.once.is_empty()) {
        let problem = "a model service is reached by /v1 paths, not by routes".to_owned();
        reporter.error(&from, "", problem, "open and once only on plain services");
    }
}

fn check_list(service: &Service, routes: &[Route], path: &str, reporter: &Reporter<'_>) {
    let from = id(Kind::Service, &service.name);
    for (index, route) in routes.iter().enumerate() {
        let path = format!("{path}[{index}]");
        for former in &routes[..index] {
            if former == route {
                reporter.error(&from, &path, format!("{route} stands twice"), "one of them");
            } else if former.overlaps(route) {
                let problem = format!("{route} overlaps {former}");
                reporter.warn(&from, &path, problem, "routes apart from one another");
            }
        }
    }
}

fn check_targets(config: &Config, service: &Service, reporter: &Reporter<'_>) {
    let placed = config.placements.values().any(|placement| placement.service == service.name);
    let listed = config.targets_of(service.name.as_str()).next().is_some();
    if !placed && !listed {
        let problem = "nothing runs it".to_owned();
        let from = id(Kind::Service, &service.name);
        reporter.warn(&from, "", problem, "a placement or listed targets");
    }
}

fn check_pair(service: &Service, other: &Service, reporter: &Reporter<'_>) {
    let from = id(Kind::Service, &service.name);
    if service.model().is_some() && service.model() == other.model() {
        let problem = format!("the service {} serves this model too", other.name);
        reporter.error(&from, ".model", problem, "one service a model");
    }
    if let Some(problem) = nested(service, other, &other.name) {
        reporter.error(&from, ".prefix", problem, "prefixes apart from one another");
    }
}

fn nested(service: &Service, other: &Service, name: &Name) -> Option<String> {
    let inside = service.strip_prefix(&other.prefix).or(other.strip_prefix(&service.prefix));
    inside.map(|_| format!("{} and {} of {name} overlap", service.prefix, other.prefix))
}
