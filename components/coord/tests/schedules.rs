//! Random schedules of faults, after which all promises are checked.
//!
//! `CHERVILGATE_SCHEDULES` sets the number of schedules, `CHERVILGATE_SEED` the
//! seed of their generator.

use std::{env, time::Duration};

use chervilgate_clock::Time;
use chervilgate_coord::{Protocol, Step};
use chervilgate_testbed::{
    AuthorityScene, Fault, FaultInjection, HostId, Input, OwnersSetting, Scene, StoreMode, Testbed,
    check,
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed, TestRunner},
};

/// Number of schedules unless `CHERVILGATE_SCHEDULES` is set.
const DEFAULT_SCHEDULES: u32 = 200;

/// No fault starts later than this.
const LAST_FAULT_AT: Time = Time::from_secs(40);

/// Steps at which the schedules inject faults.
const STEPS: [Step; 14] = [
    Step::new(Protocol::Session, "renew"),
    Step::new(Protocol::Session, "read-back"),
    Step::new(Protocol::Session, "release"),
    Step::new(Protocol::Session, "follow"),
    Step::new(Protocol::Shard, "take"),
    Step::new(Protocol::Shard, "watch"),
    Step::new(Protocol::Shard, "hand-over"),
    Step::new(Protocol::Order, "open"),
    Step::new(Protocol::Order, "send"),
    Step::new(Protocol::Order, "close"),
    Step::new(Protocol::Takeover, "seal"),
    Step::new(Protocol::Takeover, "adopt"),
    Step::new(Protocol::Takeover, "resend"),
    Step::new(Protocol::Takeover, "read-release"),
];

/// A failure of a host or of the store; hosts by index, durations in seconds.
#[derive(Debug, Clone)]
enum Failure {
    Kill(usize),
    Pause(usize, u64),
    Partition(usize, u64),
    Stop(usize),
    Store(StoreMode, u64),
}

#[derive(Debug, Clone)]
struct Schedule {
    seed: u64,
    hosts: usize,
    /// Interval between two orders.
    order_period_ms: u64,
    /// Index into [`STEPS`], occurrence of the step, index into [`Fault::ALL`].
    faults: Vec<(usize, usize, usize)>,
    /// Start in milliseconds, and the failure.
    failures: Vec<(u64, Failure)>,
}

fn failure() -> impl Strategy<Value = Failure> {
    prop_oneof![
        (0..5_usize).prop_map(Failure::Kill),
        (0..5_usize, 1..30_u64).prop_map(|(host, secs)| Failure::Pause(host, secs)),
        (0..5_usize, 1..30_u64).prop_map(|(host, secs)| Failure::Partition(host, secs)),
        (0..5_usize).prop_map(Failure::Stop),
        (1..25_u64).prop_map(|secs| Failure::Store(StoreMode::Down, secs)),
        (1..25_u64).prop_map(|secs| Failure::Store(StoreMode::Slow, secs)),
    ]
}

fn schedule() -> impl Strategy<Value = Schedule> {
    let fault = (0..STEPS.len(), 0..12_usize, 0..Fault::ALL.len());
    let at = 2_000..LAST_FAULT_AT.as_micros() / 1_000;
    (
        any::<u64>(),
        2..6_usize,
        300..3_000_u64,
        prop::collection::vec(fault, 0..4),
        prop::collection::vec((at, failure()), 0..4),
    )
        .prop_map(|(seed, hosts, order_period_ms, faults, mut failures)| {
            failures.sort_by_key(|(at, _)| *at);
            Schedule { seed, hosts, order_period_ms, faults, failures }
        })
}

fn injection(&(step, nth, fault): &(usize, usize, usize)) -> FaultInjection {
    FaultInjection { step: STEPS[step], nth, host: None, fault: Fault::ALL[fault] }
}

fn apply(bed: &mut Testbed, hosts: usize, failure: &Failure) {
    let host = |host: &usize| HostId(host % hosts);
    match failure {
        Failure::Kill(at) => bed.kill(host(at), Some(Duration::from_secs(10))),
        Failure::Pause(at, secs) => bed.pause(host(at), Duration::from_secs(*secs)),
        Failure::Partition(at, secs) => bed.partition(host(at), Duration::from_secs(*secs)),
        Failure::Stop(at) => bed.send_input(host(at), Input::Stop),
        Failure::Store(mode, secs) => bed.set_store_for(*mode, Duration::from_secs(*secs)),
    }
}

/// Runs a schedule and returns the broken promises and other findings.
fn run(schedule: &Schedule) -> Vec<String> {
    let world = OwnersSetting {
        hosts: schedule.hosts,
        order_period: Duration::from_millis(schedule.order_period_ms),
        ..OwnersSetting::default()
    };
    let faults = schedule.faults.iter().map(injection).collect();
    let scene = AuthorityScene { name: "random", world, faults, stop: None };
    let mut bed = scene.build(schedule.seed);
    for (at, failure) in &schedule.failures {
        bed.run_until(Time::from_millis(*at));
        apply(&mut bed, schedule.hosts, failure);
    }
    bed.run_until(LAST_FAULT_AT);
    bed.clear_faults();
    scene.run(&mut bed);
    let violations = check(&bed.history).violations;
    let mut findings: Vec<String> = violations.iter().map(ToString::to_string).collect();
    findings.extend(scene.final_problems(&bed));
    if !findings.is_empty() {
        findings.push(bed.history.tail(60));
    }
    findings
}

fn env_number(name: &str) -> Option<u64> {
    env::var(name).ok()?.parse().ok()
}

#[test]
fn promises_hold_under_random_schedules() {
    let cases = env_number("CHERVILGATE_SCHEDULES").map_or(DEFAULT_SCHEDULES, |cases| cases as u32);
    let seed = env_number("CHERVILGATE_SEED").unwrap_or(11);
    let mut runner = TestRunner::new(Config {
        cases,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        max_shrink_iters: 300,
        ..Config::default()
    });

    let result = runner.run(&schedule(), |schedule| {
        let findings = run(&schedule);
        prop_assert!(findings.is_empty(), "{}", findings.join("\n"));
        Ok(())
    });

    println!("schedules: {cases}, seed {seed}");
    assert!(result.is_ok(), "{}", result.unwrap_err());
}
