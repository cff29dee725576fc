//! What the simulated hosts admitted, against what is allowed.

use chervilgate_clock::Time;

use super::world::{APPLY_TIME, BOUNDS, World};
use crate::config::Quota;

/// Amount and number of requests.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Served {
    pub(super) amount: f64,
    pub(super) requests: f64,
}

impl Served {
    pub(super) fn add(&mut self, count: f64) {
        self.amount += count;
        self.requests += 1.0;
    }

    pub(super) fn add_all(&mut self, other: Served) {
        self.amount += other.amount;
        self.requests += other.requests;
    }

    /// Whether this is at least 95 % of `ideal`.
    pub(super) fn suffices(&self, ideal: &Served) -> bool {
        self.amount >= 0.95 * ideal.amount && self.requests >= 0.95 * ideal.requests
    }
}

impl World {
    /// The worst window: what was admitted, and what was allowed.
    pub(super) fn worst_window(&self) -> (f64, f64) {
        let mut worst = (0.0, f64::INFINITY);
        let (mut end, mut sum) = (0, 0.0);
        for (start, count) in &self.admitted {
            while self.admitted.get(end).is_some_and(|(at, _)| *at <= *start + BOUNDS.window) {
                sum += self.admitted[end].1;
                end += 1;
            }
            let allowed = self.allowed(*start);
            if sum / allowed > worst.0 / worst.1 {
                worst = (sum, allowed);
            }
            sum -= count;
        }
        worst
    }

    /// What is allowed in the window from `start`: of the limits that may be in force at any host.
    fn allowed(&self, start: Time) -> f64 {
        let ends = self.quotas.iter().skip(1).map(|(since, _)| *since).chain([Time::NEVER]);
        let limits = self.quotas.iter().zip(ends).filter(|((since, _), until)| {
            *since <= start + BOUNDS.window && *until + APPLY_TIME >= start
        });
        let (rate, burst) = limits.fold((0.0_f64, 0.0_f64), |(rate, burst), ((_, quota), _)| {
            (rate.max(quota.rate), burst.max(quota.burst))
        });
        (rate * BOUNDS.window.as_secs_f64() + burst) * (1.0 + self.bounds.overage)
            + self.bounds.slack
    }

    /// What one bucket for all hosts would have served of the requests since `since`.
    pub(super) fn ideal_since(&self, since: Time) -> Served {
        let mut quotas = self.quotas.iter().peekable();
        let mut quota = self.quotas[0].1;
        let (mut balance, mut last) = (quota.burst, self.quotas[0].0);
        let mut served = Served::default();
        for (at, count) in &self.asked {
            while let Some((from, next)) = quotas.next_if(|(from, _)| from <= at) {
                balance += quota.rate * from.since(last).as_secs_f64();
                balance = balance.min(quota.burst).min(next.burst);
                (quota, last) = (*next, *from);
            }
            let Quota { rate, burst, .. } = quota;
            balance = (balance + rate * at.since(last).as_secs_f64()).min(burst);
            last = *at;
            if balance >= *count {
                balance -= count;
                if *at >= since {
                    served.add(*count);
                }
            }
        }
        served
    }

    pub(super) fn served_since(&self, since: Time) -> Served {
        let mut served = Served::default();
        let admitted = self.admitted.iter().filter(|(at, _)| *at >= since);
        admitted.for_each(|(_, count)| served.add(*count));
        served
    }
}
