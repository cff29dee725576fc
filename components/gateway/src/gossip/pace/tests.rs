use std::time::Duration;

use chervilgate_clock::Time;
use proptest::prelude::*;

use super::{BROADCAST_BURST, BROADCAST_RATE, Pace, ROUND_INTERVAL, Reach};

const START: Time = Time::from_secs(100);
const STEP: Duration = Duration::from_millis(20);

/// Bytes of broadcasts, and number of other rounds, in `steps` steps of which each has urgent news.
fn play(pace: &mut Pace, from: Time, steps: u32, broadcast_bytes: usize) -> (usize, usize) {
    let (mut bytes, mut rounds) = (0, 0);
    for step in 0..steps {
        match pace.next(from + STEP * step, true) {
            Reach::All => {
                pace.record_broadcast(broadcast_bytes);
                bytes += broadcast_bytes;
            }
            Reach::Some => rounds += 1,
            Reach::None => {}
        }
    }
    (bytes, rounds)
}

#[test]
fn news_reaches_all_hosts_at_once() {
    assert_eq!(Pace::new(START).next(START, true), Reach::All);
}

#[test]
fn rounds_go_on_while_there_is_always_news() {
    let (_, rounds) = play(&mut Pace::new(START), START, 500, 300_000);

    assert!(rounds >= 90, "{rounds}");
}

proptest! {
    #[test]
    fn broadcasts_are_bounded_however_much_news_there_is(size in 1_usize..2_000_000, seconds in 1_u32..60) {
        let (bytes, rounds) = play(&mut Pace::new(START), START, seconds * 50, size);

        let bound = f64::from(seconds) * BROADCAST_RATE + BROADCAST_BURST + size as f64;
        let most_rounds = f64::from(seconds) / ROUND_INTERVAL.as_secs_f64() + 1.0;
        prop_assert!(bytes as f64 <= bound, "{bytes} of {bound}");
        prop_assert!(rounds as f64 <= most_rounds, "{rounds} of {most_rounds}");
    }
}
