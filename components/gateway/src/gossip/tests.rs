use std::time::Duration;

use chervilgate_clock::Time;
use chervilgate_coord::{Change, Object, Version};
use chervilgate_policy::{
    AffectedRequest, CrashId, CrashNotice, Fingerprint, OrgId, OutcomeReport, SpeedReport, TargetId,
};

use crate::{
    demand::{DemandReport, MAX_REPORTED_SERVICES, WorkTotals},
    fleet::{CachedPart, InFlightWork, KvTokens, OutcomeNotice, TargetSpeedReport},
    freshness::Freshness,
    gossip::{
        MAX_DATAGRAM_BYTES, MAX_FAILED_RUNS, Message, WorkReport, encode, encode_evidence,
        encode_outcomes, encode_report, encode_target_speeds,
        kv_tokens::{append, appended_tokens},
    },
    poison::{CrashEvidence, FailedRun},
    target_feed::{FeedRequest, TargetFeed},
    view::ConfirmationRequest,
};

/// A report with as much of everything as a host collects, and `runs` failed runs.
fn report(work: u32, parts: u64, runs: u32) -> WorkReport {
    let in_flight = |target| InFlightWork { target, pending: u16::MAX, open: 300, failing: 99 };
    WorkReport {
        host: u32::MAX,
        time: u64::MAX,
        in_charge: true,
        work: (0..work).map(|target| in_flight(u32::MAX - target)).collect(),
        parts: (0..parts).map(|part| CachedPart { target: u32::MAX, part: !part }).collect(),
        broken: (0..runs).map(|run| FailedRun { request: u64::MAX, run: !run }).collect(),
    }
}

fn sent(report: WorkReport) -> WorkReport {
    let datagram = encode_report(report).expect("a datagram");
    assert!(datagram.len() <= MAX_DATAGRAM_BYTES);
    match postcard::from_bytes(&datagram).expect("a message") {
        Message::Work(report) => report,
        _ => panic!("not a work report"),
    }
}

// Guards against hosts that no longer hear of each other's work when engines crash: each failed
// run is told for three seconds, and a hundred of them made the whole message too long to send.
#[test]
fn can_tell_of_work_beside_many_failed_runs() {
    let received = sent(report(30, 20, 1_024));

    assert_eq!((received.work.len(), received.parts.len()), (30, 20));
    assert!(!received.broken.is_empty());
}

// Guards against changes of targets that no host passes on, as a message with them is too long.
#[test]
fn can_send_as_many_changes_of_targets_as_are_put_into_a_message() {
    let at = |revision| Version { era: u64::MAX, revision };
    let limit = Duration::from_secs(2);
    let (mut feed, mut freshness) = (TargetFeed::new(limit), Freshness::new(limit));
    let first = u64::MAX - 200;
    feed.record_list(Time::ZERO, at(first));
    freshness.record_list(Time::ZERO, at(first), None, false);
    let changes: Vec<Change> = (1..60)
        .map(|offset| {
            Change::Put(Object {
                key: "k".repeat(offset % 40),
                version: at(first + offset as u64),
                value: vec![255; 7 * offset % 300],
            })
        })
        .collect();
    feed.record_read(Time::ZERO, &changes, at(u64::MAX));
    let request = ConfirmationRequest { host: u32::MAX, sent: u64::MAX };
    let question = FeedRequest { request, after: at(first) };

    let answer = feed.answer(Time::from_secs(1_000_000), u64::MAX, &question, &freshness);

    assert!(answer.len() > 5, "{}", answer.len());
    for passed in answer {
        assert!(encode(&Message::TargetChanges(passed)).is_some());
    }
}

#[test]
fn can_send_the_longest_report() {
    let received = sent(report(80, 40, 1_024));

    assert!(received.work.len() >= 40);
}

#[test]
fn can_send_the_most_failed_runs_that_are_told_at_once() {
    let run = FailedRun { request: u64::MAX, run: u32::MAX };

    let datagram = encode(&Message::FailedRuns(vec![(u32::MAX, run); MAX_FAILED_RUNS]));

    assert!(datagram.is_some());
}

#[test]
fn can_send_outcomes_on_as_many_targets_as_are_told_at_once() {
    let report = OutcomeReport { answers: u16::MAX, failures: u16::MAX };
    let notice = OutcomeNotice { start: u32::MAX, report };

    assert!(encode_outcomes(u32::MAX, vec![notice; 60]).is_some());
    assert!(encode_outcomes(u32::MAX, Vec::new()).is_none());
}

#[test]
fn can_send_the_speeds_of_as_many_targets_as_are_told_at_once() {
    let report = SpeedReport { factor: u16::MAX, samples: u8::MAX };
    let report = TargetSpeedReport { target: u32::MAX, start: u32::MAX, report };

    assert!(encode_target_speeds(u32::MAX, vec![report; 40]).is_some());
}

#[test]
fn can_send_as_much_evidence_as_fits() {
    let run = AffectedRequest {
        fingerprint: Fingerprint { org: OrgId(u32::MAX), digest: u64::MAX },
        open: true,
    };
    let notice = |target| CrashNotice {
        crash: CrashId { target: TargetId(target), incarnation: u64::MAX },
        runs: [run; 128].into_iter().collect(),
    };

    for crashes in [0, 1, 128] {
        let evidence = CrashEvidence {
            crashes: (0..crashes).map(|target| (u32::MAX, notice(target))).collect(),
            acquitted: vec![u64::MAX; 500],
        };
        let datagram = encode_evidence(evidence).expect("a datagram");
        assert!(datagram.len() <= MAX_DATAGRAM_BYTES);
        let message = postcard::from_bytes(&datagram).expect("a message");
        let Message::Crashes(received) = message else { panic!("not evidence") };
        assert!(!received.acquitted.is_empty() && received.crashes.is_empty() == (crashes == 0));
    }
}

#[test]
fn can_send_the_demand_for_the_most_services() {
    let max = u64::MAX >> 8;
    let totals = WorkTotals {
        service: u32::MAX,
        prefill_us: max,
        decode_us: max,
        stream_ms: max,
        prefill_tokens: max,
        decode_tokens: max,
        prompts: max,
        waiting: max,
    };
    let services = vec![totals; MAX_REPORTED_SERVICES];

    let report = DemandReport { host: u32::MAX, at: u64::MAX, services };

    assert!(encode(&Message::Demand(report)).is_some());
}

// Guards against hosts of the version before, which would lose the work report with the message after it, and
// against tokens that are dropped where both do not fit into one datagram.
#[test]
fn kv_tokens_travel_behind_the_work_report() {
    for (work, fits) in [(30, true), (80, false)] {
        let tokens: Vec<KvTokens> =
            (0..80).map(|engine| KvTokens { target: u32::MAX - engine, tokens: 1 << 20 }).collect();
        let message = encode(&Message::KvTokens(7, tokens.clone())).unwrap();
        let mut datagram = encode_report(report(work, 0, 0)).unwrap();

        let left = append(&mut datagram, Some(message));

        assert!(datagram.len() <= MAX_DATAGRAM_BYTES);
        let (first, rest) = postcard::take_from_bytes(&datagram).unwrap();
        assert!(matches!(first, Message::Work(report) if report.work.len() == work as usize));
        assert_eq!(left.is_none(), fits);
        assert_eq!(appended_tokens(left.as_deref().unwrap_or(rest)), Some((7, tokens)));
    }
    assert_eq!(appended_tokens(&[200, 1, 3]), None);
}
