//! What a request would take of its organisation's quota, without taking it.

use chervilgate_clock::Time;
use chervilgate_policy::{AskStep, Asking};
use serde::Serialize;

use crate::{
    config::Quota,
    failure::Failure,
    quota::{QuotaState, admit::over_quota},
};

/// An organisation's quota as this host sees it.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub(crate) struct QuotaForecast {
    /// What a request counts as: `requests` or `tokens`.
    unit: &'static str,
    rate_per_s: f64,
    burst: f64,
    /// What this request counts as.
    count: f64,
    /// What this host may spend now.
    held: f64,
    /// `held` if this host has enough, `ask` if it would ask owners, else the reason of the refusal.
    pub(crate) outcome: &'static str,
    /// The refusal; none if the request is within the quota or owners would be asked.
    #[serde(skip)]
    pub(crate) failure: Option<Failure>,
}

impl QuotaState {
    /// What [`super::admit::admit`] would do first for a request of `org` that counts `count`.
    pub(crate) fn forecast(
        &self,
        now: Time,
        org: u64,
        quota: &Quota,
        count: f64,
        deadline: Time,
        spread: f64,
    ) -> QuotaForecast {
        let known = self.orgs.get(&org);
        let held = known.map_or(0.0, |known| known.holdings.held(now));
        let step = known.map(|known| {
            if held >= count {
                return Ok("held");
            }
            let partitions = self.known_partitions(now, org);
            let holdings = &known.holdings;
            let mut asking =
                Asking::new(now, deadline, count, held, known.terms, partitions, holdings);
            match asking.next(now, held, 0.0, holdings) {
                AskStep::Refuse(wait) => Err(over_quota(wait, spread)),
                AskStep::Unknown => Err(Failure::QuotaUnknown),
                AskStep::Ask { .. } | AskStep::Wait(_) => Ok("ask"),
            }
        });
        let step = step.unwrap_or(Err(Failure::QuotaUnknown));
        QuotaForecast {
            unit: quota.unit.as_str(),
            rate_per_s: quota.rate,
            burst: quota.burst,
            count,
            held,
            outcome: step.unwrap_or_else(Failure::as_str),
            failure: step.err(),
        }
    }
}
