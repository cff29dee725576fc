use std::time::Duration;

use chervilgate_clock::Time;
use proptest::prelude::*;

use super::{BROADCAST_BURST, BROADCAST_RATE, FANOUT, Pace, ROUND_INTERVAL, Reach};

const START: Time = Time::from_secs(100);
const STEP: Duration = Duration::from_millis(20);

/// Number of recipients in `steps` steps of which each has urgent news.
fn recipients(pace: &mut Pace, from: Time, steps: u32, peers: usize) -> usize {
    let step = |number| match pace.next(from + STEP * number, true, peers) {
        Reach::All => peers,
        Reach::Some => peers.min(FANOUT),
        Reach::None => 0,
    };
    (0..steps).map(step).sum()
}

#[test]
fn news_reaches_all_hosts_at_once() {
    for peers in [1, 12, 88, 330] {
        assert_eq!(Pace::new(START).next(START, true, peers), Reach::All, "{peers} hosts");
    }
}

#[test]
fn rounds_go_on_while_there_is_always_news() {
    let mut pace = Pace::new(START);
    recipients(&mut pace, START, 500, 88);

    let start = START + STEP * 500;
    let rounds = (0..50).filter(|step| pace.next(start + STEP * *step, true, 88) != Reach::None);

    assert!(rounds.count() >= 10);
}

proptest! {
    #[test]
    fn gossip_is_bounded_however_much_news_there_is(peers in 1_usize..1_000, seconds in 1_u32..60) {
        let sent = recipients(&mut Pace::new(START), START, seconds * 50, peers);

        let rounds = f64::from(seconds) / ROUND_INTERVAL.as_secs_f64() + 1.0;
        let burst = BROADCAST_BURST.max(peers as f64);
        let bound = rounds * FANOUT as f64 + f64::from(seconds) * BROADCAST_RATE + burst;
        prop_assert!(sent as f64 <= bound, "{sent} of {bound}");
    }
}
