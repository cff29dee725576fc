//! When hosts read from the store who owns the partitions.

use std::time::Duration;

use chervilgate_clock::Time;
use chervilgate_gateway::quota::listing::ListSchedule;

const START: Time = Time::from_secs(100);

/// Number of lists of `hosts` hosts that lack an owner for 9 s, and after which time the first host has listed.
fn lists(hosts: usize) -> (usize, Duration) {
    let (mut count, mut first) = (0, Duration::MAX);
    for host in 0..hosts {
        let mut schedule = ListSchedule::default();
        assert!(schedule.is_due(START, false, true, hosts, 0.0));
        schedule.record(START, true);
        for step in 0..36 {
            let time = Duration::from_secs(60) + Duration::from_millis(250 * step);
            let spread = ((host * 37 + step as usize * 11) % hosts) as f64 / hosts as f64;
            if schedule.is_due(START + time, step % 2 == 0, true, hosts, spread) {
                schedule.record(START + time, true);
                count += 1;
                first = first.min(time - Duration::from_secs(60));
            }
        }
    }
    (count, first)
}

// Guards against calls to the store that grow with the fleet while a partition has no owner.
#[test]
fn lists_while_an_owner_is_lost_do_not_grow_with_the_fleet() {
    let ((few, first), (many, _), (most, _)) = (lists(8), lists(76), lists(330));

    assert_eq!(first, Duration::ZERO);
    // 8 in 2 s.
    assert!([few, many, most].iter().all(|count| *count <= 44), "{few}, {many}, {most}");
}

// Guards against lists for an owner that has been announced meanwhile, and against a list at each step while the
// store does not answer.
#[test]
fn nothing_is_listed_without_need_or_at_once_after_a_failure() {
    let mut schedule = ListSchedule::default();
    schedule.record(START, false);
    assert!(!schedule.is_due(START + Duration::from_millis(250), true, true, 76, 0.0));
    let later = START + Duration::from_secs(1);
    assert!(schedule.is_due(later, true, true, 76, 0.0));
    schedule.record(later, true);

    assert!(!schedule.is_due(later, true, true, 76, 0.1));
    assert!(!schedule.is_due(later + Duration::from_secs(1), false, false, 76, 0.1));
    assert!(!schedule.is_due(later + Duration::from_secs(30), false, true, 76, 0.1));
}
