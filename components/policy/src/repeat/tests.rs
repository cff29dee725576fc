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
    assert_eq!(spend(&mut budget_after(100), NOW, 0.0), 14);
    assert_eq!(spend(&mut budget_after(0), NOW, 10.0), 7);
}

#[test]
fn what_was_spent_counts_for_a_window() {
    let mut budget = budget_after(0);
    assert_eq!(spend(&mut budget, NOW, 10.0), 7);

    assert_eq!(spend(&mut budget, NOW + WINDOW, 10.0), 0);
    assert_eq!(spend(&mut budget, NOW + WINDOW * 2, 10.0), 7);
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
fn a_host_that_starts_again_may_send_one_repeat_at_once() {
    let mut slack = SlackShare::after_restart(10.0);

    assert_eq!(spend(&mut budget_after(0), NOW, slack.get()), 1);
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

    budget.count_refused_prompt(NOW);

    assert!(!budget.may_compute_apart(NOW, 0.0));
    assert!(budget.may_compute_apart(NOW, 10.0));
    assert!(budget.may_compute_apart(NOW + WINDOW, 0.0));
}

/// One host of the play below.
struct Host {
    budget: RepeatBudget,
    slack: SlackShare,
    /// Requests in a step, on average.
    load: f64,
    alive: bool,
}

fn starting_host(rng: &mut Pcg64) -> Host {
    let load = [0.0, 0.2, 2.0, 8.0][rng.random_range(0..4)];
    Host { budget: RepeatBudget::new(SETTINGS), slack: SlackShare::unspent(0.0), load, alive: true }
}

/// Slack of the whole service.
const SLACK: f64 = 58.0;

const STEP: Duration = Duration::from_millis(100);
const STEPS: usize = 600;
const STEPS_PER_WINDOW: usize = 100;

/// Plays hosts whose requests are all refused three times, while they start, end and see their loads
/// change. Returns the requests and repeats of each step.
fn play(seed: u64, hosts: usize) -> Vec<(u32, u32)> {
    let mut rng = Pcg64::seed_from_u64(seed);
    let slack = SLACK / hosts as f64;
    let mut hosts: Vec<Host> = (0..hosts).map(|_| starting_host(&mut rng)).collect();
    hosts.iter_mut().for_each(|host| host.slack = SlackShare::unspent(slack));
    let mut steps = Vec::new();
    for step in 0..STEPS {
        let now = NOW + STEP * step as u32;
        if rng.random_range(0..15) == 0 {
            let index = rng.random_range(0..hosts.len());
            let slack = SlackShare::after_restart(SLACK / hosts.len() as f64);
            hosts[index] = Host { alive: rng.random(), slack, ..starting_host(&mut rng) };
        }
        let alive = hosts.iter().filter(|host| host.alive).count().max(1);
        let (mut requests, mut repeats) = (0, 0);
        for host in hosts.iter_mut().filter(|host| host.alive) {
            host.slack.set(now, WINDOW, SLACK / alive as f64);
            let own = (host.load * rng.random_range(0.0..2.0)) as u32;
            for _ in 0..own {
                host.budget.count_request(now);
            }
            requests += own;
            for _ in 0..own * 3 {
                repeats += u32::from(host.budget.try_repeat(now, host.slack.get()));
            }
        }
        steps.push((requests, repeats));
    }
    steps
}

proptest! {
    #[test]
    fn all_hosts_together_keep_the_budget_in_every_window(seed: u64, hosts in 1_usize..14) {
        let steps = play(seed, hosts);

        for end in 0..steps.len() {
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
