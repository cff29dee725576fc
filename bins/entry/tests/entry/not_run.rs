//! Which failures may be reported to callers as not run.

use std::{net::SocketAddr, time::Duration};

use chervilgate_standins::{Answer, Caller, Deployment, EngineFaults, ServiceFaults};
use chervilgate_wire::CertificateAuthority;
use hyper::StatusCode;
use serde_json::{Value, json};

use crate::fixture::{settings, start_deployment, start_with};

/// Time for which a request may wait for another engine.
const QUEUE_DEADLINE: Duration = Duration::from_secs(1);

fn set_faults(deployment: &Deployment, faults: &EngineFaults) {
    for engine in deployment.engines.iter().flatten() {
        engine.set_faults(faults.clone());
    }
}

/// Number of runs that engines began.
fn run_count(deployment: &Deployment) -> u64 {
    let records = deployment.engines.iter().flatten().map(|engine| engine.record());
    records.map(|record| record.runs.values().map(|runs| u64::from(*runs)).sum::<u64>()).sum()
}

fn completion(stream: bool) -> Value {
    json!({
        "model": "m1", "stream": stream, "max_tokens": 4,
        "messages": [{ "role": "user", "content": "hello" }],
    })
}

async fn complete(caller: &Caller, entry: SocketAddr, stream: bool) -> Answer {
    let content = completion(stream);
    caller.post(entry, "/v1/chat/completions", &content).await.expect("an answer")
}

#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_that_bears_no_id_is_not_reported_as_not_run() {
    for stream in [false, true] {
        let (deployment, caller) = start_deployment().await;
        let authority = CertificateAuthority::generate().expect("an authority");
        let mut settings = settings(&deployment, &authority, "h1", "a");
        settings.deadline = QUEUE_DEADLINE;
        let entry = start_with(settings).await;
        set_faults(
            &deployment,
            &EngineFaults { refusal_without_id: true, ..EngineFaults::default() },
        );

        let answer = complete(&caller, entry.addr(), stream).await;

        assert!(run_count(&deployment) > 0);
        assert_eq!(answer.status, StatusCode::BAD_GATEWAY, "{answer:?}");
        assert_eq!(answer.outcome(), Some("unknown"), "{answer:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_that_bears_the_attempts_id_is_reported_as_not_run() {
    let (deployment, caller) = start_deployment().await;
    let authority = CertificateAuthority::generate().expect("an authority");
    let mut settings = settings(&deployment, &authority, "h1", "a");
    settings.deadline = QUEUE_DEADLINE;
    let entry = start_with(settings).await;
    set_faults(&deployment, &EngineFaults { refuse: true, ..EngineFaults::default() });

    let answer = complete(&caller, entry.addr(), true).await;

    assert_eq!(run_count(&deployment), 0);
    assert_eq!(answer.status, StatusCode::TOO_MANY_REQUESTS, "{answer:?}");
    assert_eq!(answer.outcome(), Some("not-run"), "{answer:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_booking_that_a_service_failed_or_answered_crosswise_runs_once_and_is_not_promised() {
    let failed = ServiceFaults { fail: true, ..ServiceFaults::default() };
    let crossed = ServiceFaults { wrong_id: true, ..ServiceFaults::default() };
    for (faults, outcome) in [(failed, "ran"), (crossed, "unknown")] {
        let (deployment, caller) = start_deployment().await;
        let authority = CertificateAuthority::generate().expect("an authority");
        let entry = start_with(settings(&deployment, &authority, "h1", "a")).await;
        for service in deployment.services.iter().flatten() {
            service.set_faults(faults);
        }

        let answer = caller.post(entry.addr(), "/svc/plugs/bookings", &json!({ "plug": 9 })).await;

        let runs = deployment.services.iter().flatten().flat_map(|service| service.runs());
        assert_eq!(runs.map(|(_, count)| count).sum::<u32>(), 1);
        assert_eq!(answer.expect("an answer").outcome(), Some(outcome));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_connection_that_brought_an_answer_to_another_request_carries_no_further_one() {
    let (deployment, caller) = start_deployment().await;
    let authority = CertificateAuthority::generate().expect("an authority");
    let entry = start_with(settings(&deployment, &authority, "h1", "a")).await;
    let services: Vec<_> = deployment.services.iter().flatten().collect();
    for service in &services {
        service.set_faults(ServiceFaults { wrong_id: true, ..ServiceFaults::default() });
    }

    for plug in 0..=services.len() {
        caller.post(entry.addr(), "/svc/plugs/bookings", &json!({ "plug": plug })).await;
    }

    let mut peers: Vec<_> = services.iter().flat_map(|service| service.peers()).collect();
    let requests = peers.len();
    peers.sort_unstable();
    peers.dedup();
    assert_eq!((requests, peers.len()), (services.len() + 1, services.len() + 1));
}
