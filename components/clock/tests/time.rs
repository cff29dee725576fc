//! Timestamp arithmetic saturates and never wraps.

use std::time::Duration;

use chervilgate_clock::{BootClock, Clock, Time};

#[test]
fn can_add_and_subtract_spans() {
    let start = Time::from_secs(10);

    let later = start + Duration::from_millis(1_500);

    assert_eq!(later, Time::from_millis(11_500));
    assert_eq!(later - start, Duration::from_millis(1_500));
    assert_eq!(later.saturating_sub(Duration::from_secs(60)), Time::ZERO);
}

#[test]
fn saturates_at_both_ends() {
    let early = Time::from_secs(1);
    let late = Time::from_secs(2);

    assert_eq!(early.since(late), Duration::ZERO);
    assert_eq!(Time::NEVER + Duration::from_secs(1), Time::NEVER);
}

#[test]
fn the_boot_clock_does_not_run_backwards() {
    let first = BootClock.now();

    let second = BootClock.now();

    assert!(second >= first);
}
