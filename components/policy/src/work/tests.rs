use std::time::Duration;

use chervilgate_clock::Time;

use super::{MAX_AGE, MAX_ANSWERS, MIN_ANSWERS, WorkMeter};

const NOW: Time = Time::from_secs(100);
const UNITS: u32 = 10;

/// A meter that has seen `count` answers of ten units in a second each.
fn meter(count: usize) -> WorkMeter {
    let mut meter = WorkMeter::default();
    (0..count).for_each(|_| meter.record(NOW, UNITS, Duration::from_secs(1)));
    meter
}

#[test]
fn the_slowest_recent_answer_is_the_bound() {
    let mut meter = meter(MIN_ANSWERS);
    let before = meter.bound(NOW, UNITS).unwrap();

    meter.record(NOW, UNITS, Duration::from_secs(3));

    assert!(before >= Duration::from_secs(1) && before < Duration::from_secs(2));
    assert!(meter.bound(NOW, UNITS).unwrap() >= Duration::from_secs(3));
    assert_eq!(meter.bound(NOW, 2 * UNITS), meter.bound(NOW, UNITS).map(|bound| bound * 2));
}

#[test]
fn few_answers_bound_nothing() {
    assert_eq!(meter(MIN_ANSWERS - 1).bound(NOW, UNITS), None);
}

#[test]
fn old_answers_do_not_count() {
    let meter = meter(MIN_ANSWERS);

    assert_eq!(meter.bound(NOW + MAX_AGE, UNITS), None);
}

#[test]
fn the_oldest_answers_are_forgotten_first() {
    let mut meter = meter(0);
    meter.record(NOW, UNITS, Duration::from_secs(9));

    (0..MAX_ANSWERS).for_each(|_| meter.record(NOW, UNITS, Duration::from_secs(1)));

    assert!(meter.bound(NOW, UNITS).unwrap() < Duration::from_secs(2));
}

#[test]
fn an_answer_without_units_counts_as_one() {
    let mut meter = WorkMeter::default();

    (0..MIN_ANSWERS).for_each(|_| meter.record(NOW, 0, Duration::from_secs(1)));

    assert_eq!(meter.bound(NOW, 0), meter.bound(NOW, 1));
}
