//! How a host asks owners whose buckets are not settled, and owners that do not answer.

use std::time::Duration;

use chervilgate_clock::Time;
use chervilgate_policy::{
    AskStep, Asking, BucketStart, Holdings, KnownPartitions, QUOTA_PARTITIONS, QuotaBounds,
    QuotaBucket, QuotaReply, QuotaTerms,
};

const START: Time = Time::from_secs(100);

/// A quota of 47,000, lowered to 0.35.
fn lowered() -> QuotaTerms {
    let bounds = QuotaBounds { window: Duration::from_secs(8), overage: 0.1, slack: 190_000.0 };
    QuotaTerms::of_partition(16_450.0, 16_450.0, &bounds)
}

fn known(answering: &[usize], silent: &[usize]) -> KnownPartitions {
    KnownPartitions { answering: answering.into(), silent: silent.into() }
}

fn buckets(start: BucketStart) -> [QuotaBucket; QUOTA_PARTITIONS] {
    std::array::from_fn(|_| QuotaBucket::new(START, lowered(), start))
}

/// Asks the owners of these buckets for `count`. Returns what was granted, and the last step.
fn ask(
    now: Time,
    count: f64,
    buckets: &mut [QuotaBucket],
    holdings: &mut Holdings,
) -> (f64, AskStep) {
    let deadline = now + Duration::from_secs(2);
    let partitions = known(&[0, 1, 2, 3], &[]);
    let mut asking = Asking::new(now, deadline, count, 0.0, lowered(), partitions, holdings);
    let mut granted = 0.0;
    loop {
        let step = asking.next(now, granted, 0.0, holdings);
        let AskStep::Ask { partition, need, .. } = step else { return (granted, step) };
        match buckets[partition].ask(now, need, 0.0) {
            QuotaReply::Granted(amount) => {
                granted += amount;
                asking.part_granted(partition);
                if granted >= count {
                    return (granted, step);
                }
            }
            QuotaReply::Refused(wait) => {
                match buckets[partition].is_too_large(now, need) {
                    true => holdings.record_too_large(now, partition, need, wait),
                    false => holdings.record_refusal(now, partition, need, wait),
                }
                asking.refused(partition, wait);
            }
        }
    }
}

// Guards against a refusal of a request that is too large for a bucket without a debt, for which smaller ones
// that fit are refused for seconds.
#[test]
fn a_too_large_request_does_not_close_an_owner_for_others() {
    let terms = lowered();
    let mut bucket = QuotaBucket::new(START, terms, BucketStart::AfterUnsettled);
    let mut holdings = Holdings::default();
    let now = START + Duration::from_millis(1_100);
    let QuotaReply::Refused(wait) = bucket.ask(now, 8_000.0, 0.0) else { panic!("granted") };
    holdings.record_too_large(now, 0, 8_000.0, wait);

    assert!(bucket.is_too_large(now, 8_000.0) && !bucket.is_too_large(now, 4_200.0));
    assert_eq!(holdings.refused_for(now, 0, 8_000.0, &terms), Some(wait));
    assert!(wait > Duration::from_secs(7), "{wait:?}");
    assert_eq!(holdings.refused_for(now, 0, 4_200.0, &terms), None);
    assert_eq!(bucket.ask(now, 4_200.0, 0.0), QuotaReply::Granted(4_200.0));
}

// Guards against the refusal of a request that no bucket without a debt can grant whole, though several
// together can: the first time, and while the owners' refusals of it are remembered.
#[test]
fn a_too_large_request_is_served_in_parts() {
    for start in [BucketStart::AfterUnsettled, BucketStart::AfterSettled] {
        let mut buckets = buckets(start);
        let mut holdings = Holdings::default();
        let now = START + Duration::from_millis(1_100);
        for (at, count) in [(now, 15_000.0), (now + Duration::from_millis(950), 14_000.0)] {
            let (granted, step) = ask(at, count, &mut buckets, &mut holdings);
            assert!(granted >= count, "{start:?}: {granted} of {count}, {step:?}");
        }
    }
}

// Guards against a refused large request that names the time until buckets are settled, though parts of it can
// be granted before.
#[test]
fn a_too_large_request_is_told_when_its_parts_fit() {
    let mut buckets = buckets(BucketStart::AfterUnsettled);
    let mut holdings = Holdings::default();
    let now = START + Duration::from_millis(500);
    let (_, step) = ask(now, 15_000.0, &mut buckets, &mut holdings);

    assert!(matches!(step, AskStep::Refuse(wait) if wait < Duration::from_secs(1)), "{step:?}");
}

// Guards against 503 for all requests that need four parts after one lost reply, and against parts for what
// the host already holds.
#[test]
fn silent_owners_are_asked_for_parts_and_what_is_held_counts() {
    let (terms, holdings) = (lowered(), Holdings::default());
    let count = 3.5 * 0.75 * (terms.burst + terms.max_debt);
    let begin = |held, partitions| {
        let deadline = START + Duration::from_secs(2);
        Asking::new(START, deadline, count, held, terms, partitions, &holdings)
    };
    let mut asking = begin(0.0, known(&[2, 0, 1], &[3]));
    let asked = |asking: &mut Asking, held| {
        std::iter::from_fn(|| match asking.next(START, held, 0.0, &holdings) {
            AskStep::Ask { partition, .. } => Some(partition),
            _ => None,
        })
        .collect::<Vec<_>>()
    };

    assert_eq!(asked(&mut asking, 0.0), [2, 0, 1, 3]);
    let held = 0.75 * count;
    assert_eq!(asked(&mut begin(held, known(&[2, 0, 1], &[3])), held), [2]);
}
