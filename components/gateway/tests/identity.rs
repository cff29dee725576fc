//! Tests of which requests are taken for the same one.

use chervilgate_gateway::identity::RequestIdentity;

const REQUEST: RequestIdentity<'_> = RequestIdentity {
    method: "POST",
    host: "h.example",
    path: "/a/x?week=1",
    org: Some("org-1"),
    body: b"body",
};

// Guards against sound requests whose answers acquit one that crashes targets and is like them.
#[test]
fn requests_that_differ_in_one_part_are_two() {
    let others = [
        RequestIdentity { method: "PUT", ..REQUEST },
        RequestIdentity { host: "i.example", ..REQUEST },
        RequestIdentity { path: "/b/x?week=1", ..REQUEST },
        RequestIdentity { path: "/a/x?week=2", ..REQUEST },
        RequestIdentity { path: "/a/x", ..REQUEST },
        RequestIdentity { org: Some("org-2"), ..REQUEST },
        RequestIdentity { org: None, ..REQUEST },
        RequestIdentity { body: b"other body", ..REQUEST },
        // The same bytes, divided in another way.
        RequestIdentity { path: "/a/x?week=1b", body: b"ody", ..REQUEST },
    ];

    let own = REQUEST.fingerprint();
    assert!(others.iter().all(|other| other.fingerprint() != own));
    assert_eq!(RequestIdentity { ..REQUEST }.fingerprint(), own);
}
