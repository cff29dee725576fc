use proptest::{collection::vec, prelude::*};

use super::*;

const TICKET: Ticket = Ticket(1);

fn words(count: u32) -> Vec<String> {
    (0..count).map(|index| format!("w{index} ")).collect()
}

/// Sends tokens `from..to` and returns what reached the caller.
fn send(streams: &mut Streams, attempt: AttemptNo, from: u32, to: u32) -> String {
    let mut got = String::new();
    for (index, word) in (0u32..).zip(words(to)).skip(from as usize) {
        if streams.token(TICKET, attempt, index, &word) == Delivery::Send {
            got.push_str(&word);
        }
    }
    got
}

fn attempt(resume: &Resume) -> AttemptNo {
    match resume {
        Resume::Continue { attempt, .. } | Resume::Replay { attempt, .. } => *attempt,
    }
}

#[test]
fn continues_behind_the_text_sent() {
    let mut streams = Streams::new(1_000);
    let first = streams.open(TICKET);
    let mut got = send(&mut streams, first, 0, 5);

    let resume = streams.resume(TICKET).unwrap();
    got += &send(&mut streams, attempt(&resume), 5, 8);

    let text = words(5).concat();
    assert_eq!(resume, Resume::Continue { attempt: AttemptNo(1), sent: 5, text });
    assert_eq!(got, words(8).concat());
}

#[test]
fn drops_late_tokens_of_a_former_attempt() {
    let mut streams = Streams::new(1_000);
    let first = streams.open(TICKET);
    send(&mut streams, first, 0, 3);
    streams.resume(TICKET);

    let late = streams.token(TICKET, first, 3, "w3 ");

    assert_eq!(late, Delivery::Drop);
}

#[test]
fn breaks_an_attempt_that_skips_tokens() {
    let mut streams = Streams::new(1_000);
    let first = streams.open(TICKET);

    assert_eq!(streams.token(TICKET, first, 1, "w1 "), Delivery::Break);
}

#[test]
fn replays_a_stream_whose_text_was_dropped() {
    let mut streams = Streams::new(8);
    let first = streams.open(TICKET);
    let mut got = send(&mut streams, first, 0, 5);

    let resume = streams.resume(TICKET).unwrap();
    got += &send(&mut streams, attempt(&resume), 0, 9);

    assert_eq!(resume, Resume::Replay { attempt: AttemptNo(1), sent: 5 });
    assert_eq!(got, words(9).concat());
}

#[test]
fn breaks_a_replay_that_differs() {
    let mut streams = Streams::new(0);
    let first = streams.open(TICKET);
    send(&mut streams, first, 0, 2);
    let again = attempt(&streams.resume(TICKET).unwrap());
    streams.token(TICKET, again, 0, "w0 ");

    assert_eq!(streams.token(TICKET, again, 1, "other"), Delivery::Break);
}

#[test]
fn drops_tokens_for_a_caller_who_left() {
    let mut streams = Streams::new(100);
    let first = streams.open(TICKET);
    send(&mut streams, first, 0, 2);

    assert!(streams.close(TICKET));

    assert_eq!(streams.token(TICKET, first, 2, "w2 "), Delivery::Drop);
    assert_eq!(streams.held(), 0);
    assert_eq!(streams.resume(TICKET), None);
}

proptest! {
    #[test]
    fn sends_each_token_once_through_any_crashes(
        crashes in vec(0u32..20, 0..6),
        limit in 0usize..120,
        length in 1u32..30,
    ) {
        let mut streams = Streams::new(limit);
        let mut current = streams.open(TICKET);
        let (mut got, mut from) = (String::new(), 0);

        for run in crashes {
            let to = (from + run).min(length);
            got += &send(&mut streams, current, from, to);
            let resume = streams.resume(TICKET).unwrap();
            current = attempt(&resume);
            from = match resume {
                Resume::Continue { sent, .. } => sent,
                Resume::Replay { .. } => 0,
            };
        }
        got += &send(&mut streams, current, from, length);

        prop_assert_eq!(got, words(length).concat());
        prop_assert!(streams.held() <= limit);
    }

    #[test]
    fn holds_no_more_text_than_allowed(sends in vec((0u64..10, 0usize..40), 1..100)) {
        let mut streams = Streams::new(200);
        let mut next = [0; 10];
        for ticket in 0..10 {
            streams.open(Ticket(ticket));
        }

        for (ticket, length) in sends {
            let index = &mut next[ticket as usize];
            streams.token(Ticket(ticket), AttemptNo(0), *index, &"x".repeat(length));
            *index += 1;

            prop_assert!(streams.held() <= 200);
        }
        for ticket in 0..10 {
            streams.close(Ticket(ticket));
        }
        prop_assert_eq!(streams.held(), 0);
    }
}
