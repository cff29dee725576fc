use std::time::Duration;

use chervilgate_clock::Time;

use super::{FACTOR_BOUNDS, GroupSpeed, SpeedReport, TargetSpeed};

const REFERENCE: Duration = Duration::from_millis(100);

/// Time `seconds` after the start of a test.
fn at(seconds: f64) -> Time {
    Time::from_secs(100) + Duration::from_secs_f64(seconds)
}

/// A group that saw twenty responses that took `factor` times the reference.
fn group_with(factor: f64) -> GroupSpeed {
    let mut group = GroupSpeed::default();
    for step in 0..20 {
        group.record(at(f64::from(step) / 10.0), REFERENCE, REFERENCE.mul_f64(factor));
    }
    group.update(at(2.0));
    group
}

#[test]
fn can_learn_that_targets_are_half_or_twice_as_fast() {
    for factor in [0.5, 1.0, 2.0] {
        let learned = group_with(factor).factor();

        assert!((learned - factor).abs() < 0.01, "{factor}: {learned}");
    }
}

#[test]
fn keeps_the_reference_until_enough_was_seen() {
    let mut group = GroupSpeed::default();
    for step in 0..3 {
        group.record(at(f64::from(step)), REFERENCE, REFERENCE * 2);
    }

    group.update(at(4.0));

    assert_eq!(group.factor(), 1.0);
}

#[test]
fn can_tell_two_kinds_of_targets_in_a_group_apart() {
    let group = group_with(1.0);
    let mut slow = TargetSpeed::default();
    for step in 0..10 {
        slow.record(at(f64::from(step) / 5.0), REFERENCE, REFERENCE * 2);
    }

    let (unseen, seen) = (TargetSpeed::default(), slow.factor(at(2.0), group.factor()));

    assert_eq!(unseen.factor(at(2.0), group.factor()), 1.0);
    assert_eq!(seen, 2.0);
}

#[test]
fn can_follow_a_target_that_slows_down() {
    let mut group = group_with(1.0);
    for step in 0..20 {
        group.record(at(2.0 + f64::from(step) / 10.0), REFERENCE, REFERENCE * 2);
    }

    group.update(at(4.0));

    assert!(group.factor() > 1.9, "{}", group.factor());
}

#[test]
fn ignores_frozen_targets_and_prompts_that_were_cached() {
    let mut group = group_with(1.3);
    for (step, seen) in [30_000, 1, 4_000, 2].into_iter().enumerate() {
        group.record(at(2.0 + step as f64 / 10.0), REFERENCE, Duration::from_millis(seen));
    }

    group.update(at(3.0));

    assert!((group.factor() - 1.3).abs() < 0.01, "{}", group.factor());
}

#[test]
fn a_host_with_few_requests_learns_from_others() {
    let (mut group, other) = (GroupSpeed::default(), group_with(2.0));
    let report = other.report(at(2.0)).expect("a report");

    for host in 1..=3 {
        group.apply_report(at(2.0), host, report);
    }
    group.update(at(2.1));

    assert!((group.factor() - 2.0).abs() < 0.01, "{}", group.factor());
}

#[test]
fn forgets_what_was_seen_long_ago() {
    let mut group = group_with(2.0);

    group.update(at(60.0));

    assert_eq!(group.factor(), 1.0);
    assert_eq!(group.report(at(60.0)), None);
}

// Guards against a division by a factor of zero in predictions.
#[test]
fn keeps_reports_of_others_within_bounds() {
    let mut group = GroupSpeed::default();

    for host in 0..9 {
        group.apply_report(at(0.0), host, SpeedReport { factor: 0, samples: 25 });
    }
    group.update(at(0.1));

    assert_eq!(group.factor(), FACTOR_BOUNDS.0);
}

// Guards against one host's view of a target that outweighs what all others saw.
#[test]
fn a_targets_factor_is_the_weighted_median_of_all_hosts() {
    let now = Time::from_secs(10);
    let report = |factor, samples| SpeedReport { factor, samples };
    let mut speed = TargetSpeed::default();
    speed.apply_report(now, 1, report(1_600, 4));
    speed.apply_report(now, 2, report(1_700, 4));
    speed.apply_report(now, 3, report(20_000, 6));

    let told = speed.factor(now, 1.0);
    speed.apply_report(now, 3, report(1_500, 6));
    let replaced = speed.factor(now, 1.0);
    let old = speed.factor(now + Duration::from_secs(60), 1.0);
    speed.clear();

    assert_eq!([told, replaced, old, speed.factor(now, 1.0)], [1.7, 1.5, 1.0, 1.0]);
}

// Guards against work that is overestimated by the constant time of a response: most prompts are
// cached for the most part, so that it takes as long as their computation.
#[test]
fn the_constant_time_of_a_response_hardly_counts_as_work() {
    let mut group = GroupSpeed::default();
    let seen = |reference: Duration| reference.mul_f64(0.4) + Duration::from_millis(30);
    let mut learn = |long: u32| {
        for step in 0..24 {
            let reference = Duration::from_millis(if step < long { 300 } else { 60 });
            group.record(at(f64::from(step) / 10.0), reference, seen(reference));
        }
        group.update(at(2.4));
        group.clone()
    };

    let few = learn(3);
    let enough = learn(12);

    assert!(few.factor() > 0.85 && few.work_factor(at(2.4)) == few.factor());
    assert!(enough.factor() > 0.85);
    assert!((0.4..=0.51).contains(&enough.work_factor(at(2.4))));
    // What was seen long ago does not count.
    assert_eq!(enough.work_factor(at(60.0)), enough.factor());
}

// Guards against a demand that is taken for larger since long prompts were slow at this host alone.
#[test]
fn work_takes_no_longer_than_the_group_shows() {
    let mut group = group_with(0.5);
    for _ in 0..8 {
        group.record(at(1.0), Duration::from_millis(300), Duration::from_millis(900));
    }

    assert_eq!(group.work_factor(at(2.0)), group.factor());
}

// Guards against a plan that doubles or halves when one long prompt more or less is remembered, and
// against one that is made far too small by the prompts of this host alone.
#[test]
fn the_factor_of_work_moves_little_with_each_long_prompt() {
    let mut group = group_with(1.0);
    let mut last = group.work_factor(at(1.0));
    for _ in 0..25 {
        group.record(at(1.0), Duration::from_millis(300), Duration::from_millis(30));
        let next = group.work_factor(at(1.0));
        assert!(last - next < 0.07 && next >= 0.5, "{last} {next}");
        last = next;
    }

    assert_eq!(last, 0.5);
}
