//! This host's part of the budget for repeats that all hosts share, by service.

use std::{collections::HashMap, sync::Arc};

use chervilgate_clock::Time;
use chervilgate_policy::{RepeatBudget, RepeatSettings, SlackShare, share_of_limit};

use crate::{hash::stable_hash, settings::HostLimits};

/// The repeats that this host may send.
#[derive(Debug)]
pub struct Repeats {
    settings: RepeatSettings,
    /// Slack of a service, over all hosts.
    total_slack: f64,
    /// None until the hosts are known.
    slack: Option<SlackShare>,
    /// Whether no earlier process of this host can have spent a share of it.
    is_unspent: bool,
    budgets: HashMap<Arc<str>, RepeatBudget>,
}

impl Repeats {
    /// Starts without requests and without a share of the slack.
    pub fn new(limits: &HostLimits) -> Repeats {
        Repeats {
            settings: RepeatSettings { window: limits.retry_window, ratio: limits.retry_ratio },
            total_slack: limits.retry_burst,
            slack: None,
            is_unspent: false,
            budgets: HashMap::new(),
        }
    }

    /// Records that no process of this host has run before, so that its share of the slack counts as
    /// soon as the hosts are known.
    pub fn start_first(&mut self) {
        self.is_unspent = true;
    }

    /// Sets the hosts that share the slack, to be called about once a second: this one, and the others
    /// that may be alive.
    pub fn set_hosts<'a>(&mut self, now: Time, own: &str, others: impl Iterator<Item = &'a str>) {
        let others: Vec<u64> = others.map(|name| stable_hash(&name)).collect();
        let share = share_of_limit(self.total_slack, 0, stable_hash(&own), &others);
        let share = share.unwrap_or(0.0);
        let slack = self.slack.get_or_insert_with(|| {
            if self.is_unspent {
                SlackShare::unspent(share)
            } else {
                SlackShare::after_restart(share)
            }
        });
        slack.set(now, self.settings.window, share);
    }

    /// Counts a caller's request.
    pub fn count_request(&mut self, now: Time, service: &Arc<str>) {
        self.budget(service).count_request(now);
    }

    /// Counts a repeat that is about to be sent; returns false if it may not be.
    pub fn try_repeat(&mut self, now: Time, service: &Arc<str>) -> bool {
        let slack = self.slack();
        self.budget(service).try_repeat(now, slack)
    }

    /// Whether a prompt may be sent to be computed apart.
    pub fn may_compute_apart(&mut self, now: Time, service: &Arc<str>) -> bool {
        let slack = self.slack();
        self.budget(service).may_compute_apart(now, slack)
    }

    /// Records that a prompt was sent to be computed apart and that no target is known to have
    /// accepted it. What follows for the request is a repeat.
    pub fn record_refused_prompt(&mut self, now: Time, service: &Arc<str>) {
        self.budget(service).record_refused_prompt(now);
    }

    fn slack(&self) -> f64 {
        self.slack.as_ref().map_or(0.0, SlackShare::get)
    }

    fn budget(&mut self, service: &Arc<str>) -> &mut RepeatBudget {
        if !self.budgets.contains_key(service) {
            self.budgets.insert(service.clone(), RepeatBudget::new(self.settings));
        }
        self.budgets.get_mut(service).expect("inserted above")
    }
}
