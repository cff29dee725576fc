use super::*;
use crate::ids::TargetId;

const NOW: Time = Time::from_millis(10_000);

fn start(target: u32) -> CrashId {
    CrashId { target: TargetId(target), incarnation: 1 }
}

// Guards against requests that are judged by the end of another target, or of another start of it.
#[test]
fn runs_count_for_the_start_that_ended() {
    let mut open = OpenRuns::new(DOUBT_TIME);
    open.add(NOW, start(1), "a");
    open.add(NOW, start(2), "b");
    open.add(NOW, CrashId { incarnation: 2, ..start(1) }, "c");
    open.add(NOW, start(1), "d");

    assert_eq!(open.take_ended(NOW, start(1)), ["a", "d"]);
    assert_eq!(open.take_ended(NOW, start(1)), [""; 0]);
    assert_eq!(open.take_ended(NOW, start(2)), ["b"]);
}

// Guards against sound requests that are accused for the end of a target long after their runs.
#[test]
fn runs_that_their_target_outlives_do_not_count() {
    let mut open = OpenRuns::new(DOUBT_TIME);
    open.add(NOW, start(1), "a");
    open.add(NOW + DOUBT_TIME / 2, start(1), "b");

    let later = NOW + DOUBT_TIME + NOTICE_TIME;

    assert_eq!(open.take_ended(later, start(1)), ["b"]);
    assert_eq!(open.take_outlived(later), ["a"]);
}

// Guards against a host whose memory fills with runs.
#[test]
fn the_oldest_of_too_many_runs_are_let_go() {
    let mut open = OpenRuns::new(DOUBT_TIME);
    for number in 0..=MAX_OPEN_RUNS {
        open.add(NOW, start(1), number);
    }

    assert_eq!(open.take_outlived(NOW), [0]);
}
