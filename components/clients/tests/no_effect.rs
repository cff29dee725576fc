//! Which statuses count as calls that had no effect.

use std::{net::SocketAddr, time::Duration};

use chervilgate_clients::{
    Engine, EngineError, EngineOrder, HttpEngine, HttpPlatform, ObjectStore, OrderRequest,
    PlatformError, TargetOrder, TargetOrders,
};
use chervilgate_coord::{Expect, StoreCall, StoreReply};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    time::timeout,
};

/// Longest time a call may take in these tests.
const MAX_WAIT: Duration = Duration::from_secs(10);

/// Statuses by which a service rejects a call before it has an effect.
const REJECTIONS: [u16; 5] = [400, 403, 404, 429, 503];

/// Statuses that may follow a call that has taken effect, or takes effect later.
const FAILURES: [u16; 6] = [500, 502, 504, 507, 202, 302];

/// Starts a server that answers every request with `status` and no body.
async fn serve_status(status: u16) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let addr = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut conn, _)) = listener.accept().await {
            let mut request = [0; 4_096];
            let _ = conn.read(&mut request).await;
            let response =
                format!("HTTP/1.1 {status} Test\r\ncontent-length: 0\r\nconnection: close\r\n\r\n");
            let _ = conn.write_all(response.as_bytes()).await;
        }
    });
    addr
}

async fn send_engine_order(status: u16) -> EngineError {
    let addr = serve_status(status).await;
    let order = OrderRequest { id: "o1".to_owned(), epoch: 1, order: EngineOrder::Stop };
    let sent = timeout(MAX_WAIT, HttpEngine::new().order(addr, &order)).await.expect("in time");
    sent.expect_err("the answer has no outcome")
}

async fn send_target_order(status: u16) -> PlatformError {
    let platform = HttpPlatform::new(serve_status(status).await);
    let order = TargetOrder {
        id: "o1".to_owned(),
        epoch: 1,
        zone: "a".to_owned(),
        service: "chat".to_owned(),
        count: 2,
        cheap: false,
    };
    let sent = timeout(MAX_WAIT, platform.order(&order)).await.expect("in time");
    sent.expect_err("the answer has no receipt")
}

async fn write_object(status: u16) -> StoreReply {
    let platform = HttpPlatform::new(serve_status(status).await);
    let call = StoreCall::Put { key: "k".to_owned(), expect: Expect::Absent, value: b"v".to_vec() };
    timeout(MAX_WAIT, platform.call(&call)).await.expect("in time")
}

#[tokio::test]
async fn an_order_that_an_engine_may_have_carried_out_does_not_count_as_rejected() {
    for status in FAILURES {
        let error = send_engine_order(status).await;

        assert!(matches!(error, EngineError::Unknown { .. }), "{status}: {error}");
    }
}

#[tokio::test]
async fn an_order_that_an_engine_rejects_counts_as_rejected() {
    for status in REJECTIONS {
        let error = send_engine_order(status).await;

        assert!(matches!(error, EngineError::Refused { .. }), "{status}: {error}");
    }
}

#[tokio::test]
async fn a_target_order_that_may_have_been_placed_does_not_count_as_refused() {
    for status in FAILURES {
        let error = send_target_order(status).await;

        assert!(matches!(error, PlatformError::Unknown { .. }), "{status}: {error}");
    }
}

#[tokio::test]
async fn a_target_order_that_the_platform_rejects_counts_as_refused() {
    for status in REJECTIONS {
        let error = send_target_order(status).await;

        assert!(matches!(error, PlatformError::Refused { .. }), "{status}: {error}");
    }
}

#[tokio::test]
async fn a_write_that_may_have_taken_effect_does_not_count_as_refused() {
    for status in FAILURES {
        let reply = write_object(status).await;

        assert_eq!(reply, StoreReply::Unknown, "{status}");
    }
}

#[tokio::test]
async fn a_write_that_the_platform_rejects_counts_as_refused() {
    for status in REJECTIONS {
        let reply = write_object(status).await;

        assert_eq!(reply, StoreReply::Refused, "{status}");
    }
}
