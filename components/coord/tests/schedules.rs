//! Randomised schedules of faults over the same checker.
//!
//! `CHERVILGATE_SCHEDULES` sets how many are run, `CHERVILGATE_SEED` where
//! they start.

use std::{env, time::Duration};

use chervilgate_clock::Time;
use chervilgate_coord::{Protocol, Step};
use chervilgate_testbed::{
    AuthorityScene, Bed, Fault, HostId, Input, Scene, StoreMode, Strike, WorldSetting, check,
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed, TestRunner},
};

/// Schedules in an ordinary run.
const SCHEDULES: u32 = 200;

/// No fault begins later.
const LAST_FAULT: Time = Time::from_secs(40);

/// Steps that the schedules strike.
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

#[derive(Debug, Clone)]
enum Mishap {
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
    period: u64,
    strikes: Vec<(usize, usize, usize)>,
    mishaps: Vec<(u64, Mishap)>,
}

fn mishap() -> impl Strategy<Value = Mishap> {
    prop_oneof![
        (0..5_usize).prop_map(Mishap::Kill),
        (0..5_usize, 1..30_u64).prop_map(|(host, span)| Mishap::Pause(host, span)),
        (0..5_usize, 1..30_u64).prop_map(|(host, span)| Mishap::Partition(host, span)),
        (0..5_usize).prop_map(Mishap::Stop),
        (1..25_u64).prop_map(|span| Mishap::Store(StoreMode::Down, span)),
        (1..25_u64).prop_map(|span| Mishap::Store(StoreMode::Slow, span)),
    ]
}

fn schedule() -> impl Strategy<Value = Schedule> {
    let strike = (0..STEPS.len(), 0..12_usize, 0..Fault::ALL.len());
    let at = 2_000..LAST_FAULT.as_micros() / 1_000;
    (
        any::<u64>(),
        2..6_usize,
        300..3_000_u64,
        prop::collection::vec(strike, 0..4),
        prop::collection::vec((at, mishap()), 0..4),
    )
        .prop_map(|(seed, hosts, period, strikes, mut mishaps)| {
            mishaps.sort_by_key(|(at, _)| *at);
            Schedule { seed, hosts, period, strikes, mishaps }
        })
}

fn strike(&(step, nth, fault): &(usize, usize, usize)) -> Strike {
    Strike { step: STEPS[step], nth, host: None, fault: Fault::ALL[fault] }
}

fn happen(bed: &mut Bed, hosts: usize, mishap: &Mishap) {
    let host = |host: &usize| HostId(host % hosts);
    match mishap {
        Mishap::Kill(at) => bed.kill(host(at), Some(Duration::from_secs(10))),
        Mishap::Pause(at, span) => bed.pause(host(at), Duration::from_secs(*span)),
        Mishap::Partition(at, span) => bed.partition(host(at), Duration::from_secs(*span)),
        Mishap::Stop(at) => bed.give(host(at), Input::Stop),
        Mishap::Store(mode, span) => bed.disturb_store_for(*mode, Duration::from_secs(*span)),
    }
}

/// Runs a schedule; what went wrong.
fn run(schedule: &Schedule) -> Vec<String> {
    let world = WorldSetting {
        hosts: schedule.hosts,
        order_period: Duration::from_millis(schedule.period),
        ..WorldSetting::default()
    };
    let strikes = schedule.strikes.iter().map(strike).collect();
    let scene = AuthorityScene { name: "random", world, strikes, stop: None };
    let mut bed = scene.build(schedule.seed);
    for (at, mishap) in &schedule.mishaps {
        bed.run_until(Time::from_millis(*at));
        happen(&mut bed, schedule.hosts, mishap);
    }
    bed.run_until(LAST_FAULT);
    bed.clear_strikes();
    scene.drive(&mut bed);
    let breaches = check(&bed.history).breaches;
    let mut findings: Vec<String> = breaches.iter().map(ToString::to_string).collect();
    findings.extend(scene.complaints(&bed));
    if !findings.is_empty() {
        findings.push(bed.history.tail(60));
    }
    findings
}

fn number(name: &str) -> Option<u64> {
    env::var(name).ok()?.parse().ok()
}

#[test]
fn promises_hold_under_random_schedules() {
    let cases = number("CHERVILGATE_SCHEDULES").map_or(SCHEDULES, |cases| cases as u32);
    let seed = number("CHERVILGATE_SEED").unwrap_or(11);
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
