use proptest::{collection::vec, prelude::*};

use super::*;

const TICKET: Ticket = Ticket(1);

fn words(count: u32) -> Vec<String> {
    (0..count).map(|index| format!("w{index} ")).collect()
}

/// Sends tokens `from..to` and returns the text that the caller receives.
fn send(streams: &mut StreamTable, attempt: AttemptNo, from: u32, to: u32) -> String {
    let mut received = String::new();
    for (index, word) in (0u32..).zip(words(to)).skip(from as usize) {
        if streams.on_token(TICKET, attempt, index, &word) == Delivery::Send {
            received.push_str(&word);
        }
    }
    received
}

fn attempt(resume: &Resume) -> AttemptNo {
    match resume {
        Resume::Continue { attempt, .. } | Resume::Replay { attempt, .. } => *attempt,
    }
}

#[test]
fn continues_after_the_text_sent() {
    let mut streams = StreamTable::new(1_000);
    let first = streams.open(TICKET);
    let mut received = send(&mut streams, first, 0, 5);

    let resume = streams.resume(TICKET).unwrap();
    received += &send(&mut streams, attempt(&resume), 5, 8);

    let text = words(5).concat();
    assert_eq!(resume, Resume::Continue { attempt: AttemptNo(1), sent: 5, text });
    assert_eq!(received, words(8).concat());
}

#[test]
fn discards_late_tokens_of_an_earlier_attempt() {
    let mut streams = StreamTable::new(1_000);
    let first = streams.open(TICKET);
    send(&mut streams, first, 0, 3);
    streams.resume(TICKET);

    let late = streams.on_token(TICKET, first, 3, "w3 ");

    assert_eq!(late, Delivery::Discard);
}

#[test]
fn aborts_an_attempt_that_skips_tokens() {
    let mut streams = StreamTable::new(1_000);
    let first = streams.open(TICKET);

    assert_eq!(streams.on_token(TICKET, first, 1, "w1 "), Delivery::Abort);
}

#[test]
fn replays_a_stream_whose_text_was_dropped() {
    let mut streams = StreamTable::new(8);
    let first = streams.open(TICKET);
    let mut received = send(&mut streams, first, 0, 5);

    let resume = streams.resume(TICKET).unwrap();
    received += &send(&mut streams, attempt(&resume), 0, 9);

    assert_eq!(resume, Resume::Replay { attempt: AttemptNo(1), sent: 5 });
    assert_eq!(received, words(9).concat());
}

#[test]
fn aborts_a_replay_that_differs() {
    let mut streams = StreamTable::new(0);
    let first = streams.open(TICKET);
    send(&mut streams, first, 0, 2);
    let again = attempt(&streams.resume(TICKET).unwrap());
    streams.on_token(TICKET, again, 0, "w0 ");

    assert_eq!(streams.on_token(TICKET, again, 1, "other"), Delivery::Abort);
}

#[test]
fn discards_tokens_for_a_caller_that_disconnected() {
    let mut streams = StreamTable::new(100);
    let first = streams.open(TICKET);
    send(&mut streams, first, 0, 2);

    assert!(streams.close(TICKET));

    assert_eq!(streams.on_token(TICKET, first, 2, "w2 "), Delivery::Discard);
    assert_eq!(streams.buffered_bytes(), 0);
    assert_eq!(streams.resume(TICKET), None);
}

proptest! {
    #[test]
    fn sends_each_token_once_through_any_crashes(
        crashes in vec(0u32..20, 0..6),
        limit in 0usize..120,
        length in 1u32..30,
    ) {
        let mut streams = StreamTable::new(limit);
        let mut current = streams.open(TICKET);
        let (mut received, mut from) = (String::new(), 0);

        for run in crashes {
            let to = (from + run).min(length);
            received += &send(&mut streams, current, from, to);
            let resume = streams.resume(TICKET).unwrap();
            current = attempt(&resume);
            from = match resume {
                Resume::Continue { sent, .. } => sent,
                Resume::Replay { .. } => 0,
            };
        }
        received += &send(&mut streams, current, from, length);

        prop_assert_eq!(received, words(length).concat());
        prop_assert!(streams.buffered_bytes() <= limit);
    }

    #[test]
    fn holds_no_more_text_than_allowed(sends in vec((0u64..10, 0usize..40), 1..100)) {
        let mut streams = StreamTable::new(200);
        let mut next = [0; 10];
        for ticket in 0..10 {
            streams.open(Ticket(ticket));
        }

        for (ticket, length) in sends {
            let index = &mut next[ticket as usize];
            streams.on_token(Ticket(ticket), AttemptNo(0), *index, &"x".repeat(length));
            *index += 1;

            prop_assert!(streams.buffered_bytes() <= 200);
        }
        for ticket in 0..10 {
            streams.close(Ticket(ticket));
        }
        prop_assert_eq!(streams.buffered_bytes(), 0);
    }
}
