//! Routes match unambiguous paths only.

use chervilgate_model::{Access, Name, Route, Service, ServiceKind};
use proptest::prelude::*;

fn route(text: &str) -> Route {
    text.parse().unwrap()
}

fn service(open: &[&str], once: &[&str]) -> Service {
    let name: Name = "portal".parse().unwrap();
    Service {
        prefix: Service::default_prefix(&name),
        name,
        kind: ServiceKind::Plain,
        open: open.iter().map(|text| route(text)).collect(),
        once: once.iter().map(|text| route(text)).collect(),
        access: Access::All,
        fallback: None,
    }
}

#[test]
fn can_match_wildcards() {
    let one = route("POST /bookings/*");
    let rest = route("* /plugs/**");

    assert!(one.matches("POST", "/bookings/17?x=1"));
    assert!(!one.matches("GET", "/bookings/17"));
    assert!(!one.matches("POST", "/bookings"));
    assert!(!one.matches("POST", "/bookings/17/a"));
    assert!(rest.matches("GET", "/plugs"));
    assert!(rest.matches("PUT", "/plugs/1/2/"));
}

#[test]
fn errors_on_invalid_routes() {
    for text in ["", "POST", "/x", "post /x", "POST x", "POST /a//b", "GET /a/../b", "GET /**/a"] {
        assert!(text.parse::<Route>().is_err(), "{text:?}");
    }
    assert!("GET /a*".parse::<Route>().is_err());
    assert!("GET /%61".parse::<Route>().is_err());
}

#[test]
fn an_ambiguous_path_is_never_open_and_runs_at_most_once() {
    let service = service(&["* /health/**"], &["POST /bookings"]);

    for path in ["/health/../bookings", "//bookings", "/%62ookings", "/health/a%2fb", "/a/;x"] {
        assert!(!service.is_public("POST", path), "{path}");
        assert!(service.is_at_most_once("POST", path), "{path}");
    }
    assert!(service.is_at_most_once("POST", "/bookings/"));
    assert!(!service.is_at_most_once("GET", "/bookings"));
    assert!(service.is_public("GET", "/health/caf%C3%A9"));
}

#[test]
fn a_prefix_ends_at_a_segment() {
    let service = service(&[], &[]);

    assert_eq!(service.strip_prefix("/svc/portal/a?b"), Some("/a?b"));
    assert_eq!(service.strip_prefix("/svc/portal"), Some("/"));
    assert_eq!(service.strip_prefix("/svc/portals"), None);
}

fn segment() -> impl Strategy<Value = String> {
    prop_oneof![Just("*".to_owned()), "[a-c]", "[a-z]{1,4}"]
}

fn pattern() -> impl Strategy<Value = String> {
    let method = prop_oneof![Just("*"), Just("GET"), Just("POST")];
    (method, prop::collection::vec(segment(), 0..4), any::<bool>()).prop_map(|(m, parts, open)| {
        let tail = if open { "/**" } else { "" };
        let path = parts.iter().map(|part| format!("/{part}")).collect::<String>() + tail;
        format!("{m} {}", if path.is_empty() { "/" } else { &path })
    })
}

proptest! {
    #[test]
    fn a_route_reads_back_as_written(text in pattern()) {
        prop_assert_eq!(route(&text).to_string(), text);
    }

    #[test]
    fn routes_that_match_one_request_overlap(
        left in pattern(),
        right in pattern(),
        parts in prop::collection::vec("[a-c]", 0..4),
    ) {
        let path = format!("/{}", parts.join("/"));
        let (left, right) = (route(&left), route(&right));

        if left.matches("GET", &path) && right.matches("GET", &path) {
            prop_assert!(left.overlaps(&right) && right.overlaps(&left));
        }
    }

    #[test]
    fn any_text_is_parsed_without_a_panic(text in "\\PC*", path in "\\PC*") {
        let _ = text.parse::<Route>();
        let _ = route("* /a/**").matches("GET", &path);
    }
}
