use std::time::Duration;

use chervilgate_clock::Time;
use proptest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use super::{RepeatBudget, RepeatSettings, SlackShare};

const WINDOW: Duration = Duration::from_secs(10);
const SETTINGS: RepeatSettings = RepeatSettings { window: WINDOW, ratio: 0.2 };
const NOW: Time = Time::from_secs(100);

/// A budget that has seen `count` requests at `NOW`.
fn budget_after(count: u32) -> RepeatBudget {
    let mut budget = RepeatBudget::new(SETTINGS);
    (0..count).for_each(|_| budget.count_request(NOW));
    budget
}

fn spend(budget: &mut RepeatBudget, now: Time, slack: f64) -> usize {
    std::iter::repeat_with(|| budget.try_repeat(now, slack)).take_while(|sent| *sent).count()
}

#[test]
fn requests_and_slack_allow_repeats() {
    assert_eq!(spend(&mut budget_after(100), NOW, 0.0), 15);
    assert_eq!(spend(&mut budget_after(0), NOW, 10.0), 5);
    assert_eq!(spend(&mut budget_after(100), NOW, 10.0), 20);
}

#[test]
fn what_was_spent_counts_for_a_window() {
    let mut budget = budget_after(0);
    assert_eq!(spend(&mut budget, NOW, 10.0), 5);

    assert_eq!(spend(&mut budget, NOW + WINDOW, 10.0), 0);
    assert_eq!(spend(&mut budget, NOW + WINDOW * 2, 10.0), 5);
}

#[test]
fn what_requests_earn_is_spent_once_and_soon() {
    let mut budget = budget_after(100);
    assert_eq!(spend(&mut budget, NOW, 0.0), 15);
    assert_eq!(spend(&mut budget, NOW + WINDOW / 10, 0.0), 0);

    (0..100).for_each(|_| budget.count_request(NOW + WINDOW));
    assert_eq!(spend(&mut budget, NOW + WINDOW + WINDOW / 5, 0.0), 15);
    (0..100).for_each(|_| budget.count_request(NOW + WINDOW * 2));
    assert_eq!(spend(&mut budget, NOW + WINDOW * 2 + WINDOW / 2, 0.0), 0);
}

#[test]
fn nothing_is_saved_up() {
    let mut budget = budget_after(100);

    assert_eq!(spend(&mut budget, NOW + WINDOW, 0.0), 0);
}

#[test]
fn a_greater_share_of_the_slack_counts_a_window_later() {
    let mut slack = SlackShare::unspent(0.0);
    slack.set(NOW, WINDOW, 5.0);
    let first = slack.get();

    slack.set(NOW + WINDOW / 2, WINDOW, 4.0);
    slack.set(NOW + WINDOW, WINDOW, 6.0);

    assert_eq!((first, slack.get()), (0.0, 4.0));
    slack.set(NOW + WINDOW, WINDOW, 1.0);
    assert_eq!(slack.get(), 1.0);
}

#[test]
fn a_host_that_starts_again_may_spend_a_part_of_its_share_at_once() {
    let mut slack = SlackShare::after_restart(10.0);

    assert_eq!(spend(&mut budget_after(0), NOW, slack.get()), 2);
    slack.set(NOW, WINDOW, 10.0);
    slack.set(NOW + WINDOW, WINDOW, 10.0);
    assert_eq!(slack.get(), 10.0);
    assert_eq!(spend(&mut budget_after(0), NOW, SlackShare::after_restart(0.5).get()), 0);
}

#[test]
fn prompts_are_computed_apart_until_some_are_refused_beyond_the_budget() {
    let mut budget = budget_after(10);
    spend(&mut budget, NOW, 0.0);
    assert!(budget.may_compute_apart(NOW, 0.0));

    budget.record_refused_prompt(NOW);

    assert!(!budget.may_compute_apart(NOW, 0.0));
    assert!(budget.may_compute_apart(NOW, 10.0));
    assert!(budget.may_compute_apart(NOW + WINDOW, 0.0));
}

/// Slack of the whole service.
const SLACK: f64 = 218.0;

const STEP: Duration = Duration::from_millis(100);
const STEPS: usize = 500;
const STEPS_PER_WINDOW: usize = 100;

/// Longest time that a prompt is on its way, in steps.
const PROMPT_STEPS: usize = 25;

/// One host of the play below.
struct Host {
    budget: RepeatBudget,
    slack: SlackShare,
    /// Share of the callers.
    load: f64,
    /// Step at which it runs again; in the past if it does.
    down_until: usize,
    /// Steps at which prompts that are on their way are answered.
    prompts: Vec<usize>,
}

impl Host {
    fn new(slack: SlackShare) -> Host {
        let budget = RepeatBudget::new(SETTINGS);
        Host { budget, slack, load: 1.0, down_until: 0, prompts: Vec::new() }
    }
}

/// What happens in the play below.
struct Trouble {
    /// Share of what reaches targets that is refused.
    refused: f64,
    /// Whether targets do not answer prompts.
    silent: bool,
    /// Requests a host in a step, on average.
    rate: f64,
}

/// Plays hosts of few requests each, which are killed alone and together and whose callers move, before
/// targets that refuse or fall silent while prompts are on their way. Returns the requests and repeats
/// of each step.
fn play(seed: u64, count: usize) -> Vec<(u32, u32)> {
    let mut rng = Pcg64::seed_from_u64(seed);
    let share = SLACK / count as f64;
    let mut hosts: Vec<Host> = (0..count).map(|_| Host::new(SlackShare::unspent(share))).collect();
    let mut trouble = Trouble { refused: 0.0, silent: false, rate: 0.25 };
    let mut steps = Vec::new();
    for step in 0..STEPS {
        let now = NOW + STEP * step as u32;
        match rng.random_range(0..100) {
            0..4 => {
                let killed = [0.1, 0.6, 1.0][rng.random_range(0..3)];
                for host in &mut hosts {
                    if rng.random_bool(killed) {
                        let down_until = step + rng.random_range(5..20);
                        *host = Host { down_until, ..Host::new(SlackShare::after_restart(share)) };
                    }
                }
            }
            4..7 => hosts.iter_mut().for_each(|host| host.load = rng.random_range(0.0..2.0)),
            7..9 => {
                // All callers move to a part of the hosts.
                let first = rng.random_range(0..count);
                for (index, host) in hosts.iter_mut().enumerate() {
                    let is_near = (index + count - first) % count < count.div_ceil(4);
                    host.load = if is_near { 4.0 } else { 0.0 };
                }
            }
            9..13 => trouble.refused = [0.0, 0.3, 1.0][rng.random_range(0..3)],
            13..16 => trouble.silent = rng.random(),
            16..18 => trouble.rate = [0.15, 0.25, 0.45][rng.random_range(0..3)],
            _ => {}
        }
        let (mut requests, mut repeats) = (0, 0);
        for host in hosts.iter_mut().filter(|host| step >= host.down_until) {
            host.slack.set(now, WINDOW, share);
            let slack = host.slack.get();
            let expected = trouble.rate * host.load;
            let own = expected as u32 + u32::from(rng.random_bool(expected.fract()));
            requests += own;
            // Requests whose prompts were refused or got no answer are sent whole.
            let mut whole = 0;
            let answered: Vec<usize> = host.prompts.extract_if(.., |at| *at <= step).collect();
            for _ in answered {
                if trouble.silent || rng.random_bool(trouble.refused) {
                    host.budget.record_refused_prompt(now);
                    if host.budget.try_repeat(now, slack) {
                        repeats += 1;
                        whole += 1;
                    }
                }
            }
            for _ in 0..own {
                host.budget.count_request(now);
                if host.budget.may_compute_apart(now, slack) {
                    let steps = if trouble.silent { PROMPT_STEPS } else { rng.random_range(1..8) };
                    host.prompts.push(step + steps);
                } else {
                    whole += 1;
                }
            }
            for _ in 0..whole {
                if rng.random_bool(trouble.refused) {
                    repeats += u32::from(host.budget.try_repeat(now, slack));
                }
            }
        }
        steps.push((requests, repeats));
    }
    steps
}

proptest! {
    #[test]
    fn all_hosts_together_keep_the_budget_in_every_window(seed: u64, hosts in 1_usize..120) {
        let steps = play(seed, hosts);

        for end in 0..=steps.len() {
            let sum = |end: usize, part: fn(&(u32, u32)) -> u32| -> u32 {
                let start = end.saturating_sub(STEPS_PER_WINDOW);
                steps[start..end].iter().map(part).sum()
            };
            let windows = [end, end.saturating_sub(50), end.saturating_sub(100)];
            let requests = windows.into_iter().map(|end| sum(end, |step| step.0)).max();
            let allowed = f64::from(requests.unwrap_or(0)) * SETTINGS.ratio + SLACK;
            let repeats = sum(end, |step| step.1);
            prop_assert!(f64::from(repeats) <= allowed, "{repeats} of {allowed} at step {end}");
        }
    }
}
