//! Tests of the fake store's conditions, reproducible runs and fault injection.

use chervilgate_clock::Time;
use chervilgate_coord::{CallId, Change, Expect, Protocol, Step, StoreCall, StoreReply, Version};
use chervilgate_testbed::{
    FakeStore, Fault, FaultInjection, Input, Output, Process, ProcessContext, StoreOutcome, Testbed,
};

const WRITE: Step = Step::new(Protocol::Session, "write");

/// Writes a new object every second and ignores the replies.
struct Writer {
    key: String,
    next: Time,
    calls: u64,
    replies: Vec<StoreReply>,
}

impl Process for Writer {
    fn handle(&mut self, now: Time, input: Input) -> Vec<Output> {
        if let Input::Store { reply, .. } = input {
            self.replies.push(reply);
        }
        if now < self.next {
            return Vec::new();
        }
        self.next = now + std::time::Duration::from_secs(1);
        self.calls += 1;
        let call = StoreCall::Put {
            key: format!("{}/{}", self.key, self.calls),
            expect: Expect::Absent,
            value: vec![1],
        };
        vec![Output::Store { id: CallId(self.calls), step: WRITE, call }]
    }

    fn wake_at(&self) -> Time {
        self.next
    }
}

fn writer(context: &ProcessContext) -> Box<dyn Process> {
    let key = context.node.incarnation.to_string();
    Box::new(Writer { key, next: Time::ZERO, calls: 0, replies: Vec::new() })
}

fn put(store: &mut FakeStore, key: &str, expect: Expect) -> StoreReply {
    let call = StoreCall::Put { key: key.to_owned(), expect, value: vec![7] };
    match store.serve(&call) {
        StoreOutcome::Reply(reply) => reply,
        StoreOutcome::Pending { .. } => panic!("a write is answered at once"),
    }
}

fn run(seed: u64, injection: Option<FaultInjection>) -> Testbed {
    let mut bed = Testbed::new(seed);
    bed.add_host("a", Box::new(writer));
    bed.add_host("b", Box::new(writer));
    if let Some(injection) = injection {
        bed.inject_fault(injection);
    }
    bed.run_until(Time::from_secs(60));
    bed
}

#[test]
fn errors_on_a_write_whose_condition_does_not_hold() {
    let mut store = FakeStore::default();

    let first = put(&mut store, "a", Expect::Absent);
    let second = put(&mut store, "a", Expect::Absent);
    let third = put(&mut store, "a", Expect::At(Version::first_era(1)));

    assert_eq!(first, StoreReply::Written(Version::first_era(1)));
    assert!(matches!(second, StoreReply::Conflict(Some(_))));
    assert_eq!(third, StoreReply::Written(Version::first_era(2)));
}

#[test]
fn errors_on_a_watch_from_before_a_compaction() {
    let mut store = FakeStore::default();
    put(&mut store, "a", Expect::Absent);
    store.compact();
    put(&mut store, "ab", Expect::Absent);

    let watch = |after| StoreCall::Watch { prefix: "a".to_owned(), after };
    let early = store.serve(&watch(Version::first_era(0)));
    let later = store.serve(&watch(Version::first_era(1)));

    assert!(matches!(early, StoreOutcome::Reply(StoreReply::Compacted)));
    let StoreOutcome::Reply(StoreReply::Changed { changes, version }) = later else {
        panic!("a watch from the compacted version returns the later change");
    };
    assert_eq!(version, Version::first_era(2));
    assert!(matches!(&changes[..], [Change::Put(object)] if object.key == "ab"));
}

#[test]
fn can_repeat_a_run_from_its_seed() {
    let first = run(3, None);
    let second = run(3, None);
    let other = run(4, None);

    assert_eq!(first.history, second.history);
    assert_ne!(first.history, other.history);
}

#[test]
fn can_inject_each_fault_at_a_step() {
    for fault in Fault::ALL {
        let bed = run(3, Some(FaultInjection { step: WRITE, nth: 5, host: None, fault }));

        assert!(bed.pending_faults().is_empty(), "{fault:?} was not injected");
        assert!(bed.counts.writes < 120 || !matches!(fault, Fault::Vanished | Fault::KilledAfter));
    }
}
