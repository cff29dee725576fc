//! Workloads and scenarios that several experiments share.

use std::time::Duration;

use chervilgate_clock::Time;
use chervilgate_engines::Profile;

use crate::{
    scenario::{GAP_LIMIT, Scenario, steady_fleet},
    workload::{Mix, OrgShare, OrgShares, Workload},
};

/// A mix of `rate` requests a second that take `work` engine seconds each, `share` of it
/// for prefill.
pub(super) fn mix(profile: &Profile, rate: f64, work: f64, share: f64) -> Mix {
    Mix {
        rate,
        prompt: work * share / (profile.prefill_ns as f64 / 1e9),
        output: work * (1.0 - share) / (profile.decode_ns as f64 / 1e9),
    }
}

/// Requests a second that use `load` of the capacity of `engines`, with steps as long as the
/// gap limit.
pub(super) fn rate_for_load(profile: &Profile, engines: usize, load: f64, work: f64) -> f64 {
    let limit = GAP_LIMIT.as_secs_f64();
    let useful = (limit - profile.mixed.base.as_secs_f64()) / limit;
    engines as f64 * useful * load / work
}

/// A workload of eight organisations with a constant mix, `span` seconds long.
pub(super) fn constant_workload(mix: Mix, span: f64) -> Workload {
    Workload {
        span: Duration::from_secs_f64(span),
        entries: 9,
        mix: Box::new(move |_| mix),
        peak: mix.rate,
        org_shares: Box::new(|_| eight_org_shares()),
        nonrepeatable_share: 0.0,
    }
}

/// `count` organisations; the share of organisation n is proportional to 1/sqrt(n).
pub(super) fn decreasing_org_shares(count: u32) -> OrgShares {
    let org_share = |org: u32| OrgShare { org, share: 1.0 / f64::from(org).sqrt() };
    let org_shares: Vec<OrgShare> = (1..=count).map(org_share).collect();
    Box::new(move |_| org_shares.clone())
}

/// Eight organisations, of which three send two thirds of the requests.
pub(super) fn eight_org_shares() -> Vec<OrgShare> {
    let shares = [30.0, 22.0, 16.0, 10.0, 8.0, 6.0, 5.0, 3.0];
    (1..).zip(shares).map(|(org, share)| OrgShare { org, share }).collect()
}

/// A trapezoid wave between `low` and `high`: a linear ramp of `ramp` seconds at the end of
/// every `period / 2` seconds.
pub(super) fn trapezoid_wave(now: Time, low: f64, high: f64, period: f64, ramp: f64) -> f64 {
    let half = period / 2.0;
    let phase = now.as_secs_f64() % period;
    let (from, to, since) =
        if phase < half { (low, high, phase) } else { (high, low, phase - half) };
    let start = half - ramp;
    let done = ((since - start) / ramp).clamp(0.0, 1.0);
    from + (to - from) * done
}

/// A scenario of steady engines in three zones, without faults.
pub(super) fn base_scenario(
    name: &'static str,
    profile: Profile,
    engines: usize,
    workload: Workload,
) -> Scenario {
    Scenario {
        name,
        fleet: steady_fleet(engines, 3),
        profile,
        zones: 3,
        local_delay: Duration::from_micros(300),
        remote_delay: Duration::from_micros(1_500),
        workload,
        prefill_share: 0.31,
        report_interval: Duration::from_millis(500),
        report_lag: Duration::from_millis(400),
        cache_lag: Duration::from_secs(1),
        cache_loss: 0.01,
        faults: Vec::new(),
        spending: None,
    }
}
