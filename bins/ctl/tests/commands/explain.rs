//! `explain`, at a host that answers always the same.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use async_trait::async_trait;
use chervilgate_clients::{
    Body,
    body::{collect, full},
};
use chervilgate_serve::Handler;
use chervilgate_standins::FakeServer;
use hyper::{Request, Response, body::Incoming};
use serde_json::{Value, json};

use crate::{FAILED, SUCCESS, fixture::TestEnv};

/// Keeps the last question.
#[derive(Clone, Default)]
struct FakeHost(Arc<Mutex<Vec<u8>>>);

#[async_trait]
impl Handler for FakeHost {
    async fn handle(&self, _peer: SocketAddr, request: Request<Incoming>) -> Response<Body> {
        assert_eq!(request.uri().path(), "/explain");
        let body = collect(request.into_body(), 1 << 16).await.expect("a question");
        *self.0.lock().expect("no panic") = body.to_vec();
        let terms = json!({
            "wait_ms": 1.5, "room_ms": 0.0, "prefill_ms": 20.0, "late_streams_ms": 0.0,
            "import_ms": 0.0, "zone_ms": 4.0, "failing_ms": 0.0, "doubt_ms": 0.0,
        });
        let candidate =
            json!({"target": "i-1", "cost_ms": 25.5, "terms": terms, "has_capacity": false});
        let answer = json!({
            "host": "host-1", "config_version": 3, "route": "r", "service": "llm", "priority": 1,
            "outcome": "wait", "queue": {"ahead": 4, "wait_ms": 30.0}, "quota": null,
            "costs": {
                "whole": {"best": [candidate], "more": 2}, "split": null, "held": [], "more_held": 0,
            },
        });
        Response::new(full(answer.to_string()))
    }
}

// Guards against a question that lacks what was named, and against a table without the terms that count.
#[test]
fn explain_asks_the_host_and_prints_the_terms() {
    let env = TestEnv::start(1);
    let host = FakeHost::default();
    let server = FakeServer::start(Arc::new(host.clone()), 0).expect("a free port");
    let addr = server.addr().to_string();
    let args = ["explain", &addr, "llm", "--tokens", "600", "--parts", "1f:500,64:100"];

    let run = env.run(&args).expect(SUCCESS);
    let question: Value = serde_json::from_slice(&host.0.lock().expect("no panic")).expect("JSON");

    assert_eq!(question["service"], "llm");
    assert_eq!(question["prompt_tokens"], 600);
    assert_eq!(question["parts"][1], json!({"id": "64", "tokens": 100}));
    for text in ["WAIT behind 4, predicted 30.0 ms", "wait   comp   zone", "full", "and 2 more"] {
        assert!(run.stdout.contains(text), "{text} in {}", run.stdout);
    }
    assert!(!run.stdout.contains("room"), "{}", run.stdout);
    let json = env.run(&[&args[..], &["--json"]].concat()).expect(SUCCESS).json();
    assert_eq!(json["costs"]["whole"]["best"][0]["terms"]["zone_ms"], 4.0);
    env.run(&["explain", &addr, "llm", "--parts", "x"]).expect(FAILED);
    drop(server);
    env.run(&args).expect(FAILED);
}
