//! Requests that must run at most once, sent several times with an idempotency key.

use std::net::SocketAddr;

use chervilgate_standins::{
    Answer, Caller, Deployment, PlatformFaults, ServiceFaults, ServiceServer,
};
use chervilgate_wire::CertificateAuthority;
use hyper::Method;
use serde_json::json;

use crate::fixture::{eventually, start_deployment, start_entry};

async fn book(caller: &Caller, entry: SocketAddr, key: &str, scope: Option<&str>) -> Answer {
    let mut headers = vec![("idempotency-key", key)];
    headers.extend(scope.map(|scope| ("x-chervilgate-scope", scope)));
    let body = json!({ "plug": key }).to_string();
    let path = "/svc/plugs/bookings";
    caller.send(entry, Method::POST, path, &headers, body.into()).await.expect("an answer")
}

async fn scope_of(caller: &Caller, entry: SocketAddr) -> String {
    let answer = caller.get(entry, "/v1/locate").await.expect("an answer");
    answer.json()["scope"].as_str().expect("a scope").to_owned()
}

async fn wait_located(caller: &Caller, entries: &[SocketAddr]) {
    for entry in entries {
        eventually(|| async {
            let answer = caller.get(*entry, "/v1/locate").await.expect("an answer");
            answer.json()["addresses"].as_array().is_some_and(|list| list.len() == entries.len())
        })
        .await;
    }
}

fn runs(deployment: &Deployment) -> u32 {
    deployment.services.iter().flatten().flat_map(ServiceServer::runs).map(|(_, runs)| runs).sum()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_resend_in_its_scope_gets_the_same_answer_through_any_entry() {
    let (deployment, caller) = start_deployment().await;
    let authority = CertificateAuthority::generate().expect("an authority");
    let first = start_entry(&deployment, &authority, "h1", "a").await;
    let second = start_entry(&deployment, &authority, "h2", "b").await;
    wait_located(&caller, &[first.addr(), second.addr()]).await;
    let scope = scope_of(&caller, first.addr()).await;

    let sent = book(&caller, first.addr(), "k1", Some(&scope)).await;
    let again = book(&caller, first.addr(), "k1", Some(&scope)).await;
    let elsewhere = book(&caller, second.addr(), "k1", Some(&scope)).await;

    assert_eq!(runs(&deployment), 1);
    assert!(sent.status.is_success());
    assert_eq!((again.status, &again.body), (sent.status, &sent.body));
    assert_eq!((elsewhere.status, &elsewhere.body), (sent.status, &sent.body));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_resend_after_a_lost_answer_is_reported_as_unknown_and_never_run() {
    let (deployment, caller) = start_deployment().await;
    let authority = CertificateAuthority::generate().expect("an authority");
    let first = start_entry(&deployment, &authority, "h1", "a").await;
    let second = start_entry(&deployment, &authority, "h2", "b").await;
    wait_located(&caller, &[first.addr(), second.addr()]).await;
    let scope = scope_of(&caller, first.addr()).await;
    for service in deployment.services.iter().flatten() {
        service.set_faults(ServiceFaults { lose_answers: true, ..ServiceFaults::default() });
    }

    let lost = book(&caller, first.addr(), "k1", Some(&scope)).await;
    let again = book(&caller, second.addr(), "k1", Some(&scope)).await;
    let gone = book(&caller, first.addr(), "k1", Some("00000000000000ff-0")).await;

    assert_eq!(runs(&deployment), 1);
    assert_ne!(lost.outcome(), Some("not-run"));
    assert_eq!(again.outcome(), Some("unknown"));
    assert_eq!(gone.outcome(), Some("unknown"));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_without_scope_is_claimed_before_the_request_is_sent() {
    let (deployment, caller) = start_deployment().await;
    let authority = CertificateAuthority::generate().expect("an authority");
    let first = start_entry(&deployment, &authority, "h1", "a").await;
    let second = start_entry(&deployment, &authority, "h2", "b").await;

    let sent = book(&caller, first.addr(), "k1", None).await;
    let again = book(&caller, second.addr(), "k1", None).await;
    deployment.platform.set_faults(PlatformFaults { down: true, ..PlatformFaults::default() });
    let unclaimed = book(&caller, first.addr(), "k2", None).await;

    assert!(sent.status.is_success());
    assert_eq!(again.outcome(), Some("unknown"));
    assert_eq!(unclaimed.outcome(), Some("unknown"));
    assert_eq!(runs(&deployment), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn rejects_a_malformed_key_or_scope() {
    let (deployment, caller) = start_deployment().await;
    let authority = CertificateAuthority::generate().expect("an authority");
    let entry = start_entry(&deployment, &authority, "h1", "a").await;
    let long = "k".repeat(257);

    let answers = [
        book(&caller, entry.addr(), &long, None).await,
        book(&caller, entry.addr(), "k1", Some("yesterday")).await,
    ];

    for answer in answers {
        assert_eq!(answer.status, 400);
        assert_eq!(answer.outcome(), Some("not-run"));
    }
    assert_eq!(runs(&deployment), 0);
}
