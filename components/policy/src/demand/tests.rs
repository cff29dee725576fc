use std::time::Duration;

use chervilgate_clock::Time;
use proptest::prelude::*;

use super::*;

fn specs(prefill_share: f64) -> EngineSpecs {
    EngineSpecs {
        prefill_factor: 1.0,
        decode_factor: 1.0,
        prefill_share,
        slots: 64,
        kv_tokens: 400_000,
        latency_target: Duration::from_millis(250),
    }
}

const LIMITS: FleetLimits = FleetLimits { zones: 3, min_targets: 1, max_targets: 60 };

/// Work that keeps this many prefill and decode engines busy.
fn work(prefill: f64, decode: f64) -> Work {
    let (prefill_ms, decode_ms) = (prefill * 1e3, decode * 1e3);
    Work { prefill_ms, decode_ms, prompts: 200.0, ..Work::default() }
}

fn demand(mean: Work, largest: Work) -> PlannedDemand {
    PlannedDemand { mean, largest, span: Duration::from_secs(60) }
}

// Guards against a plan by all work together: the platform decides an engine's stage, so idle
// decode engines do not help while prefill engines have queues.
#[test]
fn the_scarcer_stage_decides() {
    let both = plan_demand(&demand(work(4.0, 8.0), work(4.0, 8.0)), &specs(0.34), LIMITS);
    let prefill = plan_demand(&demand(work(8.0, 4.0), work(8.0, 4.0)), &specs(0.34), LIMITS);

    assert!(prefill.targets > both.targets);
    assert!(f64::from(prefill.targets * 3) * 0.34 * prefill.utilization >= 16.0);
}

#[test]
fn what_decided_is_named() {
    let mean = work(1.0, 2.0);
    let peak = plan_demand(&demand(mean, mean * 3.0), &specs(0.35), LIMITS);
    let steady = plan_demand(&demand(mean, mean), &specs(0.35), LIMITS);
    let full = Work { decode_tokens: 8e6, ..mean };
    let memory = plan_demand(&demand(mean, full), &specs(0.35), LIMITS);
    let limit = plan_demand(&demand(mean * 30.0, mean * 30.0), &specs(0.35), LIMITS);
    let one_zone = FleetLimits { zones: 1, ..LIMITS };
    let loss = plan_demand(&demand(mean, mean), &specs(0.35), one_zone);

    let reasons = [peak, steady, memory, limit, loss].map(|plan| plan.reason.as_str());
    assert_eq!(reasons, ["peak", "mean", "memory", "limit", "loss"]);
}

#[test]
fn little_history_counts_as_a_larger_burst() {
    let largest = work(3.0, 6.0);
    let seen = demand(work(1.0, 2.0), largest);
    let new = PlannedDemand { span: Duration::from_secs(10), ..seen };

    let plan = |demand| plan_demand(&demand, &specs(0.35), LIMITS).targets;

    assert!(plan(new) > plan(seen));
}

#[test]
fn the_history_keeps_the_largest_two_seconds_of_a_minute() {
    let mut history = DemandHistory::default();
    for step in 0..=240u64 {
        let now = Time::from_millis(step * 500);
        let rate = if (80..84).contains(&step) { work(9.0, 0.0) } else { work(1.0, 0.0) };
        history.observe(now, rate);
        if step == 160 {
            assert!(history.largest().prefill_ms > 6_000.0);
            assert!(history.mean().prefill_ms < 1_400.0);
        }
    }

    assert!(history.largest().prefill_ms < 1_001.0);
    assert!(history.span() >= Duration::from_secs(58));
}

// Guards against a holder that stood still: what it did not see must not count as idle time.
#[test]
fn a_gap_is_not_seen() {
    let mut history = DemandHistory::default();
    for second in [0, 1, 2, 3, 4, 50, 51, 52] {
        history.observe(Time::from_secs(second), work(2.0, 0.0));
    }

    assert!((history.mean().prefill_ms - 2_000.0).abs() < 1.0);
    assert_eq!(history.span(), Duration::from_secs(6));
}

proptest! {
    // The guarantee to callers: whatever the load, the plan carries bursts and losses unless it is
    // at the limit, where orders are as without a plan.
    #[test]
    fn a_plan_keeps_the_guarantee(
        prefill in 0.0f64..30.0,
        decode in 0.0f64..40.0,
        burst in 1.0f64..5.0,
        tokens in 0.0f64..2e7,
        share in 0.1f64..0.9,
        zones in 1u32..6,
        min_targets in 0u32..5,
        max_targets in 5u32..80,
        factor in 0.3f64..3.0,
        target_ms in 100u64..2_000,
    ) {
        let engine = EngineSpecs {
            prefill_factor: factor,
            decode_factor: factor,
            latency_target: Duration::from_millis(target_ms),
            ..specs(share)
        };
        let limits = FleetLimits { zones, min_targets, max_targets };
        let mean = Work { decode_tokens: tokens, ..work(prefill, decode) };
        let largest = mean * burst;

        let plan = plan_demand(&demand(mean, largest), &engine, limits);

        prop_assert!(plan.targets <= max_targets && plan.on_demand <= plan.targets);
        prop_assert!(plan.targets >= min_targets && plan.on_demand >= 1);
        if plan.needs_limit(limits) {
            return Ok(());
        }
        let all = f64::from(plan.targets * zones);
        let peak = (mean * 2.0).max(largest);
        let (prefill_busy, decode_busy) = engine.busy_stages(&peak);
        let within = |busy: f64, engines: f64, utilization: f64| {
            busy <= engines * utilization + 1e-9
        };
        // The burst.
        prop_assert!(within(prefill_busy, all * share, plan.utilization));
        prop_assert!(within(decode_busy, all * (1.0 - share), plan.utilization));
        let prompt_ms = (mean.prefill_ms + mean.decode_ms) * factor / mean.prompts;
        let wait = plan.utilization / (1.0 - plan.utilization) * prompt_ms;
        prop_assert!(plan.utilization <= 0.35);
        prop_assert!(wait <= target_ms as f64 / 2.0 + 1e-6 || plan.utilization <= 0.1);
        // The loss of a zone's reclaimable targets, and of a fifth of the rest.
        let left = (all - f64::from(plan.targets - plan.on_demand)) * 0.8;
        let (prefill_busy, decode_busy) = engine.busy_stages(&mean);
        prop_assert!(within(prefill_busy, left * share, 0.7));
        prop_assert!(within(decode_busy, left * (1.0 - share), 0.7));
        let (prefill_busy, decode_busy) = engine.busy_stages(&largest);
        prop_assert!(within(prefill_busy, left * share, 1.0));
        prop_assert!(within(decode_busy, left * (1.0 - share), 1.0));
        // On-demand targets alone.
        let steady = f64::from(plan.on_demand * zones);
        prop_assert!(within(engine.busy_targets(&mean), steady, 0.8));
        // Memory.
        let cache = all * (1.0 - share) * engine.kv_tokens as f64;
        prop_assert!(largest.decode_tokens <= cache * 0.5 + 1e-6);
    }

    #[test]
    fn more_work_never_needs_fewer_targets(
        prefill in 0.0f64..20.0,
        decode in 0.0f64..30.0,
        more in 1.0f64..3.0,
        share in 0.1f64..0.9,
    ) {
        let mean = work(prefill, decode);
        let plan = |factor: f64| {
            plan_demand(&demand(mean, mean * 1.5 * factor), &specs(share), LIMITS)
        };

        prop_assert!(plan(more).targets >= plan(1.0).targets);
    }
}

// Guards against an order up to the limit for a service of which no zone is known.
#[test]
fn no_zones_are_planned_as_one() {
    let planned = demand(work(0.1, 0.2), work(0.1, 0.2));
    let [none, one] =
        [0, 1].map(|zones| plan_demand(&planned, &specs(0.35), FleetLimits { zones, ..LIMITS }));

    assert_eq!(none, one);
    assert!(one.targets < LIMITS.max_targets);
}
