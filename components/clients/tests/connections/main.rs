//! A request that counts as not run was not received, however its connection ends.
//!
//! Guards against requests that may run once and are sent twice, or are refused although they run.

mod peer;

use std::{collections::BTreeMap, thread, time::Duration};

use bytes::Bytes;
use chervilgate_clients::{HttpPool, HttpSender, body::collect};
use hyper::Request;
use tokio::{task::yield_now, time::sleep};

use crate::peer::{Behaviour, End, Peer};

/// Size of a body that does not fit into the buffers of both sockets, in bytes.
const LONG_BODY: usize = 8 << 20;

/// Size of an ordinary body, in bytes.
const SHORT_BODY: usize = 100;

/// Bytes that a peer reads of a long body before it ends the connection.
const PART_OF_LONG_BODY: usize = 256 << 10;

/// Bytes that are less than the head of a request.
const PART_OF_HEAD: usize = 10;

/// Time for which the runtime's thread is blocked, so that its tasks notice nothing meanwhile.
const BLOCKED: Duration = Duration::from_millis(2);

/// Number of delays between the signal to send a request and the end of its connection, and the
/// step between two of them.
const DELAYS: u32 = 12;
const DELAY_STEP: Duration = Duration::from_micros(30);

/// What a sender learnt of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Seen {
    Answered(u16),
    NotRun,
    Unknown,
}

/// How the runtime is occupied while a request is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Load {
    None,
    /// The thread is blocked between the end of the kept connection and its use.
    BlockedBefore,
    /// Other tasks block the thread again and again.
    BlockedOften,
}

fn request(body: Bytes) -> Request<Bytes> {
    Request::post("/x").header("host", "h.example").body(body).unwrap()
}

/// Sends a request and returns what its sender learnt and on how many connections it arrived.
async fn send(
    behaviours: &'static [Behaviour],
    kept: bool,
    body: usize,
    load: Load,
    delay: Duration,
) -> (Seen, usize) {
    let peer = Peer::start(behaviours, kept, delay);
    let pool = HttpPool::new();
    if kept {
        let response = pool.send(peer.addr, request(Bytes::new())).await.unwrap();
        collect(response.into_body(), 100).await.unwrap();
        // The connection returns to the pool in a task of its own.
        sleep(Duration::from_millis(2)).await;
    }
    let body = Bytes::from(vec![b'x'; body]);
    if load == Load::BlockedOften {
        for _ in 0..2 {
            tokio::spawn(async {
                for _ in 0..10 {
                    thread::sleep(BLOCKED / 8);
                    yield_now().await;
                }
            });
        }
    }
    if kept {
        peer.go();
    }
    if load == Load::BlockedBefore {
        thread::sleep(BLOCKED);
    }
    let result = pool.send(peer.addr, request(body)).await;
    let seen = match result {
        Ok(response) => Seen::Answered(response.status().as_u16()),
        Err(error) if error.not_run() => Seen::NotRun,
        Err(_) => Seen::Unknown,
    };
    // A request that is under way arrives within this time.
    sleep(Duration::from_millis(3)).await;
    (seen, peer.arrivals())
}

/// Sends requests under each load and with several delays, checks what is seen and counts it.
async fn check(behaviours: &'static [Behaviour], kept: bool, body: usize, delays: u32) {
    let mut counts = BTreeMap::<_, usize>::new();
    for load in [Load::None, Load::BlockedBefore, Load::BlockedOften] {
        for step in 0..delays {
            let (seen, arrivals) = send(behaviours, kept, body, load, DELAY_STEP * step).await;
            let context = format!("{behaviours:?} {load:?} {step}: {seen:?}, {arrivals} arrived");
            assert!(seen != Seen::NotRun || arrivals == 0, "{context}");
            assert!(arrivals <= 1, "{context}");
            *counts.entry((seen, arrivals)).or_default() += 1;
        }
    }
    println!("kept {kept}, {behaviours:?}: {counts:?}");
}

const IDLE: [&[Behaviour]; 3] = [
    &[Behaviour::EndIdle(End::Close), Behaviour::Serve],
    &[Behaviour::EndIdle(End::Reset), Behaviour::Serve],
    &[Behaviour::EndIdle(End::HalfClose), Behaviour::Serve],
];

const PART: [&[Behaviour]; 3] = [
    &[Behaviour::EndAfter(PART_OF_HEAD, End::Close), Behaviour::Serve],
    &[Behaviour::EndAfter(PART_OF_HEAD, End::Reset), Behaviour::Serve],
    &[Behaviour::EndAfter(PART_OF_HEAD, End::HalfClose), Behaviour::Serve],
];

const WHOLE: [&[Behaviour]; 3] = [
    &[Behaviour::EndAfterWhole(End::Close), Behaviour::Serve],
    &[Behaviour::EndAfterWhole(End::Reset), Behaviour::Serve],
    &[Behaviour::EndAfterWhole(End::HalfClose), Behaviour::Serve],
];

const SLOW: [&[Behaviour]; 3] = [
    &[Behaviour::EndAfterSlowly(PART_OF_LONG_BODY, End::Close), Behaviour::Serve],
    &[Behaviour::EndAfterSlowly(PART_OF_LONG_BODY, End::Reset), Behaviour::Serve],
    &[Behaviour::EndAfterSlowly(PART_OF_LONG_BODY, End::HalfClose), Behaviour::Serve],
];

const ANSWERED: [&[Behaviour]; 3] = [
    &[Behaviour::AnswerFirst(End::Close), Behaviour::Serve],
    &[Behaviour::AnswerFirst(End::Reset), Behaviour::Serve],
    &[Behaviour::AnswerFirst(End::HalfClose), Behaviour::Serve],
];

/// Checks each of `cases` on kept connections and on new ones.
async fn check_all(cases: [&'static [Behaviour]; 3], body: usize, delays: u32) {
    for kept in [true, false] {
        for behaviours in cases {
            check(behaviours, kept, body, delays).await;
        }
    }
}

#[tokio::test]
async fn a_request_is_sent_once_if_its_connection_ends_while_idle() {
    check_all(IDLE, SHORT_BODY, DELAYS).await;
}

#[tokio::test]
async fn a_long_request_is_sent_once_if_its_connection_ends_while_idle() {
    check_all(IDLE, LONG_BODY, 2).await;
}

#[tokio::test]
async fn a_request_of_which_a_part_arrived_does_not_count_as_not_run() {
    check_all(PART, SHORT_BODY, 2).await;
}

#[tokio::test]
async fn a_request_that_arrived_does_not_count_as_not_run() {
    check_all(WHOLE, SHORT_BODY, 2).await;
}

#[tokio::test]
async fn a_long_request_of_which_a_part_arrived_does_not_count_as_not_run() {
    check_all(SLOW, LONG_BODY, 1).await;
}

#[tokio::test]
async fn a_request_is_sent_once_if_an_answer_waits_on_its_connection() {
    check_all(ANSWERED, SHORT_BODY, DELAYS).await;
}

// On several threads a connection's task may notice the end while a request is being handed to it.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_request_is_sent_once_if_another_thread_notices_the_end_of_its_connection() {
    check_all(IDLE, SHORT_BODY, DELAYS).await;
    check_all(ANSWERED, SHORT_BODY, DELAYS).await;
}
