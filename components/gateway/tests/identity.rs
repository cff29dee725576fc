//! Tests of which requests are taken for the same one.

use std::collections::HashSet;

use chervilgate_gateway::identity::{RequestContent, RequestIdentity, header_digest};
use chervilgate_policy::Fingerprint;
use hyper::HeaderMap;

const REQUEST: RequestContent<'_> = RequestContent {
    method: "POST",
    host: "h.example",
    path: "/a/x?week=1",
    org: Some("org-1"),
    body: b"body",
};

fn fingerprint(content: RequestContent<'_>) -> Fingerprint {
    RequestIdentity { content, headers: 1, service: "one" }.fingerprint()
}

// Guards against sound requests whose answers acquit one that crashes targets and is like them.
#[test]
fn requests_that_differ_in_one_part_are_two() {
    let others = [
        RequestContent { method: "PUT", ..REQUEST },
        RequestContent { host: "i.example", ..REQUEST },
        RequestContent { path: "/b/x?week=1", ..REQUEST },
        RequestContent { path: "/a/x?week=2", ..REQUEST },
        RequestContent { path: "/a/x", ..REQUEST },
        RequestContent { org: Some("org-2"), ..REQUEST },
        RequestContent { org: None, ..REQUEST },
        RequestContent { body: b"other body", ..REQUEST },
        // The same bytes, divided in another way.
        RequestContent { path: "/a/x?week=1b", body: b"ody", ..REQUEST },
    ];

    let own = fingerprint(REQUEST);
    assert!(others.iter().all(|other| fingerprint(*other) != own));
    assert_eq!(fingerprint(RequestContent { ..REQUEST }), own);
}

#[test]
fn requests_to_other_services_or_with_other_headers_are_told_apart() {
    let request = RequestIdentity { content: REQUEST, headers: 1, service: "one" };
    let others =
        [RequestIdentity { headers: 2, ..request }, RequestIdentity { service: "two", ..request }];

    let prints: HashSet<u64> =
        others.iter().chain([&request]).map(|one| one.fingerprint().digest).collect();

    assert_eq!(prints.len(), 3);
}

#[test]
fn the_digest_of_headers_does_not_depend_on_their_order() {
    let headers = |pairs: &[(&'static str, &'static str)]| {
        let mut headers = HeaderMap::new();
        for (name, value) in pairs {
            headers.append(*name, value.parse().unwrap());
        }
        header_digest(headers.iter())
    };

    let digest = headers(&[("accept", "a"), ("x-model", "m")]);

    assert_eq!(headers(&[("x-model", "m"), ("accept", "a")]), digest);
    assert_ne!(headers(&[("accept", "m"), ("x-model", "a")]), digest);
    assert_ne!(headers(&[("accept", "a")]), digest);
}
