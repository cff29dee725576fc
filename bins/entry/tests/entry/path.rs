//! Requests from caller to target and back, with failing engines and services.

use std::net::SocketAddr;

use chervilgate_standins::{Answer, Caller, EngineFaults, ServiceFaults};
use chervilgate_wire::CertificateAuthority;
use hyper::{Method, StatusCode};
use serde_json::json;

use crate::fixture::{eventually, start_deployment, start_entry};

fn located(answer: &Answer) -> Vec<SocketAddr> {
    let json = answer.json();
    let list = json["addresses"].as_array().cloned().unwrap_or_default();
    list.iter().filter_map(|item| item["address"].as_str()?.parse().ok()).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn can_locate_an_entry_and_stream_an_answer() {
    let (deployment, caller) = start_deployment().await;
    let authority = CertificateAuthority::generate().expect("an authority");
    let first = start_entry(&deployment, &authority, "h1", "a").await;
    let second = start_entry(&deployment, &authority, "h2", "b").await;
    eventually(|| async {
        let answer = caller.get(first.addr(), "/v1/locate?zone=b").await;
        answer.is_some_and(|answer| located(&answer).len() == 2)
    })
    .await;

    let answer = caller.get(first.addr(), "/v1/locate?zone=b").await.expect("an answer");
    let nearest = located(&answer)[0];
    let chat = caller.chat(nearest, "how many guests in May", 12).await.expect("an answer");

    assert_eq!(nearest, second.addr());
    assert!(chat.matches_chat("how many guests in May", 12), "{:?}", chat.body);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_broken_stream_resumes_on_another_engine_with_no_token_lost_or_repeated() {
    let (deployment, caller) = start_deployment().await;
    let authority = CertificateAuthority::generate().expect("an authority");
    let entry = start_entry(&deployment, &authority, "h1", "a").await;
    for engine in deployment.engines.iter().flatten().take(2) {
        let faults = EngineFaults { break_after: Some(5), ..EngineFaults::default() };
        engine.set_faults(faults);
    }

    let mut answers = Vec::new();
    for number in 0..12 {
        let prompt = format!("request {number}");
        let answer = caller.chat(entry.addr(), &prompt, 20).await.expect("an answer");
        answers.push((prompt, answer));
    }

    for (prompt, answer) in answers {
        assert!(answer.matches_chat(&prompt, 20), "{prompt}: {:?}", answer.body);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_is_refused_or_honoured_and_never_reaches_a_target() {
    let (deployment, caller) = start_deployment().await;
    let authority = CertificateAuthority::generate().expect("an authority");
    let entry = start_entry(&deployment, &authority, "h1", "a").await;
    let stranger = Caller::new("cgk_000000000000_wrong");
    let booking = json!({ "plug": 7 });

    let refused = stranger.chat(entry.addr(), "hello", 3).await.expect("an answer");
    let open = Caller::without_key().get(entry.addr(), "/svc/plugs/status").await;
    let honoured = caller.post(entry.addr(), "/svc/plugs/bookings", &booking).await;

    assert_eq!(refused.status, StatusCode::UNAUTHORIZED);
    assert_eq!(refused.outcome(), Some("not-run"));
    assert_eq!(open.expect("an answer").status, StatusCode::OK);
    assert_eq!(honoured.expect("an answer").status, StatusCode::OK);
    for service in deployment.services.iter().flatten() {
        assert_eq!(service.keys_seen(), 0);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_booking_whose_answer_is_lost_runs_once_and_is_reported_as_unknown() {
    let (deployment, caller) = start_deployment().await;
    let authority = CertificateAuthority::generate().expect("an authority");
    let entry = start_entry(&deployment, &authority, "h1", "a").await;
    for service in deployment.services.iter().flatten() {
        service.set_faults(ServiceFaults { lose_answers: true, ..ServiceFaults::default() });
    }

    let body = json!({ "plug": 9 }).to_string();
    let answer = caller
        .send(entry.addr(), Method::POST, "/svc/plugs/bookings", &[], body.into())
        .await
        .expect("an answer");

    let runs = deployment.services.iter().flatten().flat_map(|service| service.runs());
    assert_eq!(runs.map(|(_, count)| count).sum::<u32>(), 1);
    assert_eq!(answer.status, StatusCode::BAD_GATEWAY);
    assert_ne!(answer.outcome(), Some("not-run"));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_malformed_event_loses_no_token() {
    let (deployment, caller) = start_deployment().await;
    let authority = CertificateAuthority::generate().expect("an authority");
    let entry = start_entry(&deployment, &authority, "h1", "a").await;
    for engine in deployment.engines.iter().flatten().take(2) {
        engine.set_faults(EngineFaults { malformed_at: Some(3), ..EngineFaults::default() });
    }

    let mut answers = Vec::new();
    for number in 0..6 {
        let prompt = format!("request {number}");
        let answer = caller.chat(entry.addr(), &prompt, 8).await.expect("an answer");
        answers.push((prompt, answer));
    }

    for (prompt, answer) in answers {
        assert!(answer.matches_chat(&prompt, 8), "{prompt}: {:?}", answer.body);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_breaks_engines_is_given_up_after_the_second() {
    let (deployment, caller) = start_deployment().await;
    let authority = CertificateAuthority::generate().expect("an authority");
    let entry = start_entry(&deployment, &authority, "h1", "a").await;
    for engine in deployment.engines.iter().flatten() {
        let crash_text = Some("crash".to_owned());
        engine.set_faults(EngineFaults { crash_text, ..EngineFaults::default() });
    }

    let poisoned = caller.chat(entry.addr(), "crash please", 20).await.expect("an answer");
    let healthy = caller.chat(entry.addr(), "good morning", 20).await.expect("an answer");

    let runs = deployment.engines.iter().flatten().map(|engine| {
        let runs = engine.record().runs;
        runs.keys().filter(|id| id.starts_with(request_id(&poisoned))).count()
    });
    assert_eq!(runs.sum::<usize>(), 2);
    assert!(poisoned.streamed_text().is_none());
    assert!(healthy.matches_chat("good morning", 20));
}

fn request_id(answer: &Answer) -> &str {
    answer.headers["x-request-id"].to_str().expect("an id")
}
