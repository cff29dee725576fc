//! What a caller may see of a stream, whatever two targets answer one after the other.

use chervilgate_gateway::{
    Content, EventSplitter, ResponseHead,
    joining::{
        AnswerEnd, Position, Rejection, check_answer, check_end, check_first, check_joined,
        may_be_continued,
    },
    numbering::Numberings,
};
use hyper::StatusCode;
use rand_pcg::{Pcg64Mcg, rand_core::Rng};

/// Number of events in a whole run.
const RUN_EVENTS: u64 = 6;

/// Pairs of answers that the property is checked for.
const PAIRS: u64 = 40_000;

const STATUSES: [u16; 8] = [200, 200, 200, 204, 206, 302, 404, 500];

/// A target's answer. Its events name their answer, so that pieces of two show.
#[derive(Debug, Clone)]
struct Answer {
    status: StatusCode,
    head: ResponseHead,
    body: Vec<u8>,
    /// The events of the body in their order: the number that the target wrote.
    numbers: Vec<Option<u64>>,
    is_framed: bool,
    /// Whether the answer ended without an error.
    ends: bool,
    /// Whether that is the end of the run.
    is_whole: bool,
}

/// What a caller saw of a response.
#[derive(Debug, Default)]
struct Seen {
    body: Vec<u8>,
    is_complete: bool,
    /// Whether the second answer was joined.
    is_joined: bool,
}

fn pick(random: &mut Pcg64Mcg, count: u64) -> u64 {
    random.next_u64() % count
}

/// An answer of a target that was asked to go on after the event `last`, with any fault or none.
fn answer(random: &mut Pcg64Mcg, name: char, last: u64) -> Answer {
    let status = StatusCode::from_u16(STATUSES[pick(random, 8) as usize]).unwrap();
    let content = [Content::Events, Content::Events, Content::Unstated, Content::Other];
    let head = ResponseHead {
        signed: pick(random, 6) > 0,
        content: content[pick(random, 4) as usize],
        ..ResponseHead::default()
    };
    let mut numbers: Vec<Option<u64>> = (last + 1..=RUN_EVENTS).map(Some).collect();
    match pick(random, 8) {
        0 if !numbers.is_empty() => _ = numbers.remove(pick(random, numbers.len() as u64) as usize),
        1 if !numbers.is_empty() => numbers.insert(0, numbers[0]),
        2 => numbers.insert(0, Some(last)),
        3 => numbers.iter_mut().for_each(|number| *number = None),
        4 if !numbers.is_empty() => {
            let at = pick(random, numbers.len() as u64) as usize;
            numbers[at] = None;
        }
        5 => numbers.clear(),
        _ => {}
    }
    let all: Vec<u8> = numbers.iter().flat_map(|number| event(name, *number)).collect();
    let cut =
        if pick(random, 2) == 0 { all.len() } else { pick(random, all.len() as u64 + 1) as usize };
    let ends = pick(random, 3) > 0;
    let is_whole = ends && cut == all.len() && numbers.last() == Some(&Some(RUN_EVENTS));
    let body = all[..cut].to_vec();
    Answer { status, head, body, numbers, is_framed: pick(random, 2) == 0, ends, is_whole }
}

fn event(name: char, number: Option<u64>) -> Vec<u8> {
    match number {
        Some(number) => format!("id: {number}\ndata: {name}\n\n").into_bytes(),
        None => format!("data: {name}\n\n").into_bytes(),
    }
}

/// Passes an answer on in pieces of any length; returns whether it came to an end that counts.
fn pass_on(
    random: &mut Pcg64Mcg,
    answer: &Answer,
    splitter: &mut EventSplitter,
    is_joined: bool,
    body: &mut Vec<u8>,
) -> bool {
    let mut rest = &answer.body[..];
    while !rest.is_empty() {
        let length = 1 + pick(random, rest.len() as u64) as usize;
        body.extend_from_slice(&splitter.push(&rest[..length]));
        rest = &rest[length..];
    }
    let has_events = splitter.position().has_events();
    answer.ends
        && splitter.rejection().is_none()
        && splitter.buffered_len() == 0
        && check_end(AnswerEnd { is_joined, is_framed: answer.is_framed, has_events }).is_ok()
}

/// What a caller sees that asks for a stream after the event `last`, at two targets.
fn respond(random: &mut Pcg64Mcg, first: &Answer, second: &Answer) -> Seen {
    let mut seen = Seen::default();
    if check_first(first.status, &first.head).is_err() || !first.status.is_success() {
        return seen;
    }
    let mut splitter = EventSplitter::after(None);
    seen.is_complete = pass_on(random, first, &mut splitter, false, &mut seen.body);
    if seen.is_complete || seen.body.is_empty() {
        return seen;
    }
    let may_go_on = may_be_continued(first.status, splitter.position());
    if !may_go_on || check_joined(second.status, &second.head).is_err() {
        return seen;
    }
    seen.is_joined = true;
    let mut splitter = EventSplitter::at(splitter.position().next_answer());
    seen.is_complete = pass_on(random, second, &mut splitter, true, &mut seen.body);
    seen
}

/// The events of a body, as their answer and their number.
fn events(body: &[u8]) -> Vec<(char, Option<u64>)> {
    let text = std::str::from_utf8(body).unwrap();
    assert!(text.is_empty() || text.ends_with("\n\n"), "{text:?}");
    let read = |event: &str| {
        let number = event.strip_prefix("id: ").map(|rest| rest.lines().next().unwrap());
        (event.chars().last().unwrap(), number.map(|number| number.parse().unwrap()))
    };
    text.split_terminator("\n\n").map(read).collect()
}

#[test]
fn callers_see_the_beginning_of_one_run_and_its_rest() {
    let (mut joined, mut completed) = (0, 0);
    for seed in 0..PAIRS {
        let mut random = Pcg64Mcg::new((0x9e37_79b9_7f4a_7c15 ^ (u128::from(seed) << 32)) | 1);
        let first = answer(&mut random, 'a', 0);
        // The target is asked for what follows on the last event that the caller got.
        let mut probe = EventSplitter::after(None);
        probe.push(&first.body);
        let second = answer(&mut random, 'b', probe.position().last().unwrap_or(0));

        let seen = respond(&mut random, &first, &second);

        let got = events(&seen.body);
        let own: Vec<_> = got.iter().take_while(|(name, _)| *name == 'a').collect();
        let rest: Vec<_> = got[own.len()..].iter().collect();
        let context = format!("seed {seed}: {first:?} {second:?} {seen:?}");
        // The first answer's events, as the target wrote them.
        assert!(own.iter().zip(&first.numbers).all(|((_, got), own)| got == own), "{context}");
        let numbers: Vec<u64> = got.iter().filter_map(|(_, number)| *number).collect();
        assert!(numbers.windows(2).all(|pair| pair[0] < pair[1]), "{context}");
        if let Some((name, number)) = rest.first() {
            assert_eq!(*name, 'b', "{context}");
            let before: Vec<u64> = own.iter().filter_map(|(_, number)| *number).collect();
            let is_even = before.windows(2).all(|pair| pair[1] == pair[0] + 1);
            assert!(!is_even || *number == before.last().map(|last| last + 1), "{context}");
            assert!(own.iter().all(|(_, number)| number.is_some()), "{context}");
            assert!(second.head.signed && second.status == StatusCode::OK, "{context}");
            assert!(second.head.content != Content::Other, "{context}");
        }
        if seen.is_complete {
            let last = if seen.is_joined { &second } else { &first };
            assert!(last.ends && (!rest.is_empty() || !seen.is_joined), "{context}");
            completed += usize::from(seen.is_joined && last.is_whole);
        }
        joined += usize::from(!rest.is_empty());
    }
    // The property says something only if streams are joined and come to their end.
    assert!(joined > 500 && completed > 100, "{joined} joined, {completed} completed");
}

#[test]
fn an_answer_that_is_whole_and_next_is_joined() {
    let head = ResponseHead { signed: true, content: Content::Events, ..ResponseHead::default() };

    assert_eq!(check_joined(StatusCode::OK, &head), Ok(()));
    let unstated = ResponseHead { content: Content::Unstated, ..head.clone() };
    assert_eq!(check_joined(StatusCode::OK, &unstated), Ok(()));
    let other = ResponseHead { content: Content::Other, ..head.clone() };
    assert_eq!(check_joined(StatusCode::OK, &other), Err(Rejection::Content));
    let unsigned = ResponseHead { signed: false, ..head.clone() };
    assert_eq!(check_joined(StatusCode::OK, &unsigned), Err(Rejection::Unsigned));
    for status in [StatusCode::NO_CONTENT, StatusCode::FOUND, StatusCode::BAD_GATEWAY] {
        assert_eq!(check_joined(status, &head), Err(Rejection::Status), "{status}");
    }
}

#[test]
fn failures_need_no_receipt() {
    let head = ResponseHead::default();

    assert_eq!(check_answer(StatusCode::NOT_FOUND, &head), Ok(()));
    assert_eq!(check_first(StatusCode::BAD_GATEWAY, &head), Ok(()));
    assert_eq!(check_answer(StatusCode::OK, &head), Err(Rejection::Unsigned));
}

// Guards against sound streams that are cut for their way of counting.
#[test]
fn events_count_by_any_step_and_another_answer_goes_on_by_it() {
    let first = b"id: 10\ndata: a\n\nid: 20\ndata: a\n\n";
    let seen = |number: u64| {
        let mut events = EventSplitter::after(None);
        assert_eq!(events.push(first), first[..]);
        let mut rest = EventSplitter::at(events.position().next_answer());
        !rest.push(format!("id: {number}\ndata: b\n\n").as_bytes()).is_empty()
    };

    assert_eq!([20, 21, 30, 40].map(seen), [false, false, true, false]);
}

#[test]
fn the_highest_number_is_followed_by_none() {
    let mut events = EventSplitter::after(Some(u64::MAX));

    let passed = events.push(format!("id: {}\ndata: a\n\n", u64::MAX).as_bytes());

    assert!(passed.is_empty());
    assert_eq!(events.rejection(), Some(Rejection::Repeated));
}

#[test]
fn events_pass_whole() {
    let mut events = EventSplitter::after(Some(2));

    let first = events.push(b"id: 3\nda");
    let second = events.push(b"ta: new\n\nid: 4\ndata: cu");

    assert!(first.is_empty());
    assert_eq!(second, "id: 3\ndata: new\n\n");
    assert_eq!((events.position().last(), events.buffered_len()), (Some(3), 14));
}

#[test]
fn nothing_passes_from_an_event_on_that_is_not_the_next() {
    let wrong = [
        ("id: 2\ndata: old\n\n", Rejection::Repeated),
        ("id: 4\ndata: d\n\n", Rejection::Gap),
        ("data: c\n\n", Rejection::Unnumbered),
    ];
    for (event, rejection) in wrong {
        let mut events = EventSplitter::after(Some(2));

        let first = events.push(format!("{event}id: 3\ndata: new\n\n").as_bytes());
        let second = events.push(b"id: 3\ndata: new\n\n");

        assert!(first.is_empty() && second.is_empty(), "{event}");
        assert_eq!(events.rejection(), Some(rejection));
        assert_eq!(events.position().last(), Some(2));
    }
}

/// Whether the event `next` passes first in an answer that follows on `position`.
fn passes(position: Position, next: u64) -> bool {
    let mut events = EventSplitter::at(position);
    !events.push(format!("id: {next}\ndata: b\n\n").as_bytes()).is_empty()
}

// Guards against streams that are refused where they are taken up, as their events count by tens.
#[test]
fn a_stream_that_is_taken_up_goes_on_by_any_step_unless_streams_like_it_count_by_one() {
    let unseen = |last, next| passes(Position::after(Some(last)), next);
    let by_one = |last, next| passes(Position::after(Some(last)).like_others(true), next);

    assert_eq!([unseen(80, 90), unseen(17, 30), unseen(5, 6), unseen(1, 2)], [true; 4]);
    // A stream whose first event has the number 1 counts by one.
    assert_eq!([unseen(80, 80), unseen(1, 3), by_one(5, 7), by_one(1, 3)], [false; 4]);
    assert!(by_one(5, 6));
}

// Guards against streams that are cut after their first event, as their events count by tens.
#[test]
fn the_first_event_shows_by_how_much_the_next_one_may_follow() {
    let after_first = |first: u64, next| {
        let mut events = EventSplitter::default();
        events.push(format!("id: {first}\ndata: a\n\n").as_bytes());
        passes(events.position().next_answer(), next)
    };

    assert_eq!([after_first(10, 20), after_first(10, 17), after_first(1, 2)], [true; 3]);
    assert_eq!([after_first(10, 30), after_first(1, 3), after_first(10, 10)], [false; 3]);
}

#[test]
fn a_version_counts_by_one_while_no_stream_of_it_was_seen_to_count_otherwise() {
    let mut numberings = Numberings::default();

    assert!(!numberings.count_by_one("llm", 1));
    numberings.record("llm", 1, true);
    numberings.record("llm", 2, false);
    assert!(numberings.count_by_one("llm", 1));
    assert!(!numberings.count_by_one("llm", 2) && !numberings.count_by_one("other", 1));
    numberings.record("llm", 1, false);
    numberings.record("llm", 1, true);
    assert!(!numberings.count_by_one("llm", 1));
}

/// The numbers of a run's events: by one, by ten, or by any step.
fn run_numbers(random: &mut Pcg64Mcg) -> Vec<u64> {
    let step = [1, 10, 0][pick(random, 3) as usize];
    let mut number = 0;
    let mut next = || {
        number += if step > 0 { step } else { 1 + pick(random, 20) };
        number
    };
    (0..RUN_EVENTS).map(|_| next()).collect()
}

#[test]
fn streams_are_taken_up_whole_however_they_count() {
    let (mut taken_up, mut skips_found) = (0, 0);
    for seed in 0..PAIRS {
        let mut random = Pcg64Mcg::new((0x2545_f491_4f6c_dd1d ^ (u128::from(seed) << 32)) | 1);
        let numbers = run_numbers(&mut random);
        let is_by_one = numbers[0] == 1 && numbers.windows(2).all(|pair| pair[1] == pair[0] + 1);
        // The host has seen other streams of the version, or none.
        let has_seen_others = pick(&mut random, 2) == 0;
        let held = 1 + pick(&mut random, RUN_EVENTS - 1) as usize;
        let skips = pick(&mut random, 2) as usize;
        let Some(rest) = numbers.get(held + skips) else { continue };

        let position =
            Position::after(Some(numbers[held - 1])).like_others(has_seen_others && is_by_one);
        let goes_on = passes(position, *rest);

        let context = format!("seed {seed}: {numbers:?} held {held}, skips {skips}");
        let is_first_by_one = numbers[held - 1] == 1 && !is_by_one;
        assert!(goes_on || skips > 0 || is_first_by_one, "{context}");
        assert!(!goes_on || skips == 0 || !(is_by_one && has_seen_others), "{context}");
        taken_up += usize::from(goes_on && skips == 0);
        skips_found += usize::from(!goes_on && skips > 0);
    }
    assert!(taken_up > 10_000 && skips_found > 2_000, "{taken_up} taken up, {skips_found} found");
}
