use crate::{
    fleet::{CachedPart, InFlightWork},
    gossip::{MAX_DATAGRAM_BYTES, Message, WorkReport, encode_report},
    poison::{FailedRun, Fingerprint},
};

/// A report with as much of everything as a host collects, and `runs` failed runs.
fn report(work: u32, parts: u64, runs: u32) -> WorkReport {
    let request = Fingerprint::new("/a/", None, b"body");
    let in_flight = |target| InFlightWork { target, pending: u16::MAX, open: 300, failing: 99 };
    WorkReport {
        host: u32::MAX,
        time: u64::MAX,
        in_charge: true,
        work: (0..work).map(|target| in_flight(u32::MAX - target)).collect(),
        parts: (0..parts).map(|part| CachedPart { target: u32::MAX, part: !part }).collect(),
        broken: (0..runs).map(|run| FailedRun { request, run: !run }).collect(),
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

#[test]
fn can_send_the_longest_report() {
    let received = sent(report(80, 40, 1_024));

    assert!(received.work.len() >= 40);
}
