//! Tests of what a stopping host begins, without a network.

use std::time::Duration;

use chervilgate_clock::Time;
use chervilgate_gateway::{
    config::RouteKind,
    stopping::{ANSWER_SHARE, Stop},
};

const NOW: Time = Time::from_secs(100);
const GRACE: Duration = Duration::from_secs(8);
const MOMENT: Duration = Duration::from_millis(1);

/// Kinds of requests of which a caller loses something if they are cut.
const LOSABLE: [RouteKind; 3] = [
    RouteKind::NonIdempotent,
    RouteKind::Stream { resumable: false },
    RouteKind::Stream { resumable: true },
];

/// Time of the present grace period, as the users' rules name it, in which a request may be sent that the
/// end of a stop cuts.
const EXCUSED: Duration = Duration::from_secs(3);

/// Whether a host that was told to stop `after` ago begins a request that ends `left` later.
fn begins(grace: Duration, after: Duration, kind: RouteKind, left: Duration) -> bool {
    let now = NOW + after;
    Stop::new(NOW, grace).may_begin(now, kind, now + left)
}

// Guards against a stream or an unrepeatable request that a stop cuts though it came late.
#[test]
fn what_comes_late_and_may_outlast_the_host_is_not_begun() {
    for grace in [1, 2, 5, 8, 30, 600].map(Duration::from_secs) {
        for kind in LOSABLE {
            let latest = EXCUSED.min(grace / 2);
            for after in (0..).map(|step| latest + MOMENT * 100 * step).take_while(|at| *at < grace)
            {
                let left = grace.mul_f64(ANSWER_SHARE).saturating_sub(after) + MOMENT;

                assert!(!begins(grace, after, kind, left), "{kind:?} {after:?} of {grace:?}");
            }
        }
    }
}

// Guards against refusals of what the stop cannot cut.
#[test]
fn what_ends_before_the_host_is_begun_at_any_time() {
    for kind in LOSABLE {
        for after in [0, 2_900, 5_000, 7_400].map(Duration::from_millis) {
            let left = GRACE.mul_f64(ANSWER_SHARE) - after;

            assert!(begins(GRACE, after, kind, left), "{kind:?} {after:?}");
        }
    }
}

// Guards against refusals before callers could learn of the stop: addresses are kept for some seconds.
#[test]
fn what_comes_soon_after_the_stop_is_begun() {
    for kind in LOSABLE {
        assert!(begins(GRACE, Duration::from_millis(2_500), kind, GRACE * 2), "{kind:?}");
        assert!(begins(GRACE * 10, Duration::from_millis(2_500), kind, GRACE * 20), "{kind:?}");
        assert!(begins(GRACE / 8, Duration::from_millis(300), kind, GRACE), "{kind:?}");
    }
}

// Guards against refusals of plain requests that their callers may repeat at any time.
#[test]
fn a_plain_request_that_may_be_repeated_is_begun_at_any_time() {
    assert!(begins(GRACE, GRACE.mul_f64(0.9), RouteKind::Idempotent, GRACE));
}
