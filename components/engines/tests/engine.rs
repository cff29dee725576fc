//! Tests of the simulated engine: property tests with arbitrary jobs, then single cases.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use chervilgate_clock::Time;
use chervilgate_engines::{Engine, Event, Job, Profile, Refusal, Role, Stage};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};

const GAP_LIMIT: Duration = Duration::from_millis(60);

fn small_engine(role: Role) -> Engine {
    let profile = Profile { kv_tokens: 6_000, cache_blocks: 16, ..Profile::small() };
    Engine::new(profile, role, GAP_LIMIT)
}

fn job(id: u64, prompt_tokens: u32, output_tokens: u32) -> Job {
    Job {
        id,
        prompt_tokens,
        prefix_blocks: Arc::from([]),
        output_tokens,
        max_tokens: output_tokens,
        emitted_tokens: 0,
        priority: 1,
        stage: Stage::Whole,
        poison: false,
    }
}

/// Advances the engine until it is idle and returns the events with their times.
fn run_to_end(engine: &mut Engine) -> Vec<(Time, Event)> {
    let mut log = Vec::new();
    while let Some(at) = engine.next_event() {
        let mut events = Vec::new();
        engine.advance(at, &mut events);
        log.extend(events.into_iter().map(|event| (at, event)));
    }
    log
}

/// Advances the engine up to `until` and returns the events.
fn run_until(engine: &mut Engine, until: Time) -> Vec<Event> {
    let mut events = Vec::new();
    while let Some(at) = engine.next_event().filter(|at| *at <= until) {
        engine.advance(at, &mut events);
    }
    events
}

/// Number of tokens by job that finished.
fn tokens_by_job(log: &[(Time, Event)]) -> BTreeMap<u64, u32> {
    let done = log.iter().filter_map(|(_, event)| match event {
        Event::Done { id, tokens, .. } => Some((*id, *tokens)),
        _ => None,
    });
    let mut counts = BTreeMap::new();
    for (id, tokens) in done {
        assert!(counts.insert(id, tokens).is_none(), "job {id} finished twice");
    }
    counts
}

/// Jobs in the order of their first tokens.
fn first_token_order(log: &[(Time, Event)]) -> Vec<u64> {
    let first = log.iter().filter_map(|(_, event)| match event {
        Event::FirstToken { id, .. } => Some(*id),
        _ => None,
    });
    first.collect()
}

/// Prompt tokens, output tokens, priority and milliseconds since the previous job.
fn any_job() -> impl Strategy<Value = (u32, u32, u8, u64)> {
    (1..3_000u32, 1..200u32, 0..3u8, 0..2_000u64)
}

proptest! {
    #![proptest_config(Config {
        cases: 64,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(17),
        ..Config::default()
    })]

    #[test]
    fn every_job_gets_each_token_once(jobs in prop::collection::vec(any_job(), 1..40)) {
        let mut engine = small_engine(Role::Mixed);
        let mut outputs = BTreeMap::new();

        for (id, (prompt, output, priority, _)) in (0..).zip(jobs) {
            let job = Job { priority, ..job(id, prompt, output) };
            engine.submit(Time::ZERO, job).unwrap();
            outputs.insert(id, output);
        }
        let log = run_to_end(&mut engine);

        prop_assert_eq!(tokens_by_job(&log), outputs);
        prop_assert_eq!(engine.load().kv_used, 0);
        prop_assert_eq!(engine.job_count(), 0);
    }

    #[test]
    fn kv_memory_is_never_exceeded(jobs in prop::collection::vec(any_job(), 1..40)) {
        let mut engine = small_engine(Role::Mixed);
        let capacity = engine.profile().kv_tokens;

        let mut now = Time::ZERO;
        for (id, (prompt, output, priority, wait)) in (0..).zip(jobs) {
            now += Duration::from_millis(wait);
            run_until(&mut engine, now);
            engine.submit(now, Job { priority, ..job(id, prompt, output) }).unwrap();

            prop_assert!(engine.load().kv_used <= capacity);
        }
    }

    #[test]
    fn work_is_conserved(jobs in prop::collection::vec(any_job(), 1..40)) {
        let mut engine = small_engine(Role::Mixed);
        let profile = engine.profile().clone();
        let mut min_ns = 0;

        for (id, (prompt, output, _, _)) in (0..).zip(jobs) {
            engine.submit(Time::ZERO, job(id, prompt, output)).unwrap();
            min_ns += u64::from(prompt) * profile.prefill_ns;
            min_ns += u64::from(output - 1) * profile.decode_ns;
        }
        let log = run_to_end(&mut engine);
        let end = log.last().map_or(Time::ZERO, |(at, _)| *at);

        prop_assert_eq!(end.since(Time::ZERO), engine.busy_time(), "engine idle while jobs waited");
        prop_assert!(engine.busy_time() >= Duration::from_nanos(min_ns / 1_000 * 1_000 * 99 / 100));
    }

    #[test]
    fn equal_priorities_are_served_in_order(jobs in prop::collection::vec(any_job(), 1..30)) {
        let mut engine = small_engine(Role::Mixed);
        let count = jobs.len() as u64;

        for (id, (prompt, output, _, _)) in (0..).zip(jobs) {
            engine.submit(Time::ZERO, job(id, prompt, output)).unwrap();
        }
        let log = run_to_end(&mut engine);

        prop_assert_eq!(first_token_order(&log), (0..count).collect::<Vec<_>>());
    }

    #[test]
    fn a_resumed_job_produces_each_token_once(
        output in 2..200u32,
        stop in 1..6_000u64,
    ) {
        let mut engine = small_engine(Role::Mixed);
        let whole = job(1, 500, output);
        engine.submit(Time::ZERO, whole.clone()).unwrap();

        let before = run_until(&mut engine, Time::from_millis(stop));
        let lost = engine.crash();
        engine.restart();
        let Some(lost) = lost.first() else {
            let done = before.iter().any(|event| matches!(event, Event::Done { .. }));
            prop_assert!(done);
            return Ok(());
        };
        let rest = Job { emitted_tokens: lost.emitted_tokens, ..whole };
        engine.submit(Time::from_millis(stop), rest).unwrap();
        let log = run_to_end(&mut engine);

        prop_assert_eq!(lost.emitted_tokens + tokens_by_job(&log)[&1], output);
    }
}

#[test]
fn higher_priority_goes_first() {
    let mut engine = small_engine(Role::Mixed);
    for id in 0..4 {
        engine.submit(Time::ZERO, job(id, 2_000, 10)).unwrap();
    }
    engine.submit(Time::ZERO, Job { priority: 2, ..job(9, 100, 10) }).unwrap();

    let log = run_to_end(&mut engine);

    let order = first_token_order(&log);
    assert!(order.iter().position(|id| *id == 9) <= Some(1), "{order:?}");
}

#[test]
fn a_cached_prefix_is_not_computed_again() {
    let mut engine = small_engine(Role::Mixed);
    let blocks: Arc<[u64]> = (0..10).collect();
    engine.submit(Time::ZERO, Job { prefix_blocks: blocks.clone(), ..job(1, 800, 1) }).unwrap();
    run_to_end(&mut engine);

    engine.submit(Time::from_secs(5), Job { prefix_blocks: blocks, ..job(2, 800, 1) }).unwrap();
    let log = run_to_end(&mut engine);

    assert_eq!(log[0].1, Event::FirstToken { id: 2, cached: 640 });
}

#[test]
fn a_role_change_waits_for_running_jobs() {
    let mut engine = small_engine(Role::Mixed);
    engine.submit(Time::ZERO, job(1, 500, 50)).unwrap();

    engine.change_role(Time::from_millis(5), Role::Prefill).unwrap();
    let refused = engine.submit(Time::from_millis(6), job(2, 10, 1));
    let log = run_to_end(&mut engine);

    assert_eq!(refused, Err(Refusal::Unavailable));
    assert_eq!(tokens_by_job(&log)[&1], 50);
    assert_eq!(log.last().map(|(_, event)| event), Some(&Event::RoleChanged(Role::Prefill)));
    let done = log[log.len() - 2].0;
    assert_eq!(log[log.len() - 1].0, done + engine.profile().role_change);
}

#[test]
fn an_export_holds_memory_until_released() {
    let mut engine = small_engine(Role::Prefill);
    engine.submit(Time::ZERO, Job { stage: Stage::Prefill, ..job(1, 500, 50) }).unwrap();

    let log = run_to_end(&mut engine);
    let held = engine.load();
    engine.release(Time::from_secs(9), 1);

    assert!(log.iter().any(|(_, event)| *event == Event::Exportable { id: 1 }));
    assert_eq!((held.exporting, held.kv_used), (1, 501));
    assert_eq!(engine.load().kv_used, 0);
}

#[test]
fn an_imported_job_produces_the_rest() {
    let mut engine = small_engine(Role::Decode);
    let imported = Job { stage: Stage::Decode, emitted_tokens: 1, ..job(1, 500, 50) };
    engine.submit(Time::ZERO, imported).unwrap();

    let log = run_to_end(&mut engine);

    assert_eq!(tokens_by_job(&log)[&1], 49);
}

#[test]
fn a_poison_job_crashes_the_engine() {
    let mut engine = small_engine(Role::Mixed);
    engine.submit(Time::ZERO, job(1, 100, 50)).unwrap();
    engine.submit(Time::ZERO, Job { poison: true, ..job(2, 600, 50) }).unwrap();

    let log = run_to_end(&mut engine);

    let Some((_, Event::Crashed { by: 2, lost })) = log.last() else { panic!("no crash: {log:?}") };
    assert_eq!(lost.iter().map(|lost| lost.id).collect::<Vec<_>>(), [1, 2]);
    assert!(engine.is_down());
}
