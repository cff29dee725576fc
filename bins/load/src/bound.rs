//! Bounds on goodput and price that no scheme can beat, even one that knows all arrivals ahead.
//!
//! The cost of a request is the minimum engine time that a good answer to it takes in
//! the engine model. A step of length `T` leaves `T - base` for tokens, so a decode
//! token in a step no longer than the gap limit costs at least
//! `decode * limit / (limit - base)`. One gap in twenty may exceed the limit; a token
//! after such a gap costs at least `decode`. A prefill token costs least in the longest
//! step that any role allows. The shareable prefix always counts as cached.
//!
//! The goodput bound is the smaller result of two relaxations:
//!
//! * the cost of the chosen requests that arrive after `t` fits into the engine time of
//!   the whole fleet from `t` to the end of the run, as if any engine could work on any
//!   part of any request at any time;
//! * the prefill cost of the chosen requests that arrive in a window fits into the
//!   engine time of the fleet in the window and the first-token limit after it.
//!
//! Both are maximised exactly: the first by the Moore-Hodgson algorithm (add each
//! request, drop the most expensive one when the total does not fit), the second by
//! taking the cheapest requests first.

use std::{collections::BinaryHeap, time::Duration};

use chervilgate_clock::Time;
use chervilgate_engines::Profile;

use crate::{
    scenario::{DRAIN_LIMIT, GAP_LIMIT, SLOW_GAP_DIVISOR, Scenario, SpendingConfig, TTFT_LIMIT},
    workload::{Arrival, BLOCK_TOKENS},
};

/// Length of the windows of the prefill relaxation.
const PREFILL_WINDOW: Duration = Duration::from_secs(5);

/// Minimum engine time of a request, in nanoseconds.
#[derive(Debug, Clone, Copy)]
pub struct RequestCost {
    /// Time for the uncached part of the prompt.
    pub prefill: u64,
    /// Time for the tokens of the answer after the first.
    pub decode: u64,
}

/// Maximum number of good requests among `arrivals` under any scheme.
pub fn max_good_requests(scenario: &Scenario, arrivals: &[Arrival]) -> u64 {
    let engines = scenario.max_engines();
    let arrivals: Vec<&Arrival> = arrivals.iter().filter(|arrival| !arrival.poison).collect();
    let costs: Vec<RequestCost> =
        arrivals.iter().map(|a| min_request_cost(&scenario.profile, a)).collect();
    let end = Time::ZERO + scenario.workload.span + DRAIN_LIMIT;
    let by_time = max_by_total_time(&arrivals, &costs, engines, end);
    by_time.min(max_by_prefill_time(&arrivals, &costs, engines))
}

/// Minimum engine time of one request.
pub fn min_request_cost(profile: &Profile, arrival: &Arrival) -> RequestCost {
    let base = [profile.mixed, profile.decode].map(|role| role.base).into_iter().min();
    let base = base.unwrap_or_default().as_nanos() as u64;
    let limit = GAP_LIMIT.as_nanos() as u64;
    let fast_token = profile.decode_ns * limit / (limit - base);
    let gaps = u64::from(arrival.output.saturating_sub(1));
    let slow_gaps = gaps / u64::from(SLOW_GAP_DIVISOR);
    let shared_tokens = BLOCK_TOKENS * arrival.blocks.len() as u32;
    let uncached_tokens = u64::from(arrival.prompt.saturating_sub(shared_tokens).max(1));
    let decode = (gaps - slow_gaps) * fast_token + slow_gaps * profile.decode_ns;
    RequestCost {
        prefill: uncached_tokens * profile.prefill_ns * min_step_ratio(profile) / 1_000,
        decode,
    }
}

/// Smallest ratio of a step's length to the time for its tokens over all roles, in thousandths.
fn min_step_ratio(profile: &Profile) -> u64 {
    let roles = [profile.prefill, profile.decode, profile.mixed];
    let ratios = roles.into_iter().map(|role| {
        let prefill = u64::from(role.chunk) * profile.prefill_ns;
        let token_time = prefill + u64::from(role.batch) * profile.decode_ns;
        (token_time + role.base.as_nanos() as u64) * 1_000 / token_time
    });
    ratios.min().unwrap_or(1_000)
}

fn max_by_total_time(arrivals: &[&Arrival], costs: &[RequestCost], engines: u64, end: Time) -> u64 {
    let mut chosen = BinaryHeap::new();
    let mut total = 0;
    for (arrival, cost) in arrivals.iter().zip(costs).rev() {
        let cost = cost.prefill + cost.decode;
        chosen.push(cost);
        total += cost;
        let available = engines * end.since(arrival.at).as_nanos() as u64;
        while total > available {
            let Some(largest) = chosen.pop() else { break };
            total -= largest;
        }
    }
    chosen.len() as u64
}

fn max_by_prefill_time(arrivals: &[&Arrival], costs: &[RequestCost], engines: u64) -> u64 {
    let available = engines * (PREFILL_WINDOW + TTFT_LIMIT).as_nanos() as u64;
    let window = |arrival: &Arrival| arrival.at.as_micros() / PREFILL_WINDOW.as_micros() as u64;
    let mut count = 0;
    let mut start = 0;
    while start < arrivals.len() {
        let current = window(arrivals[start]);
        let length = arrivals[start..].iter().take_while(|a| window(a) == current).count();
        let mut prefills: Vec<u64> =
            costs[start..start + length].iter().map(|cost| cost.prefill).collect();
        prefills.sort_unstable();
        count += count_fitting(&prefills, available);
        start += length;
    }
    count
}

fn count_fitting(sorted: &[u64], available: u64) -> u64 {
    let mut total = 0;
    let fits = sorted.iter().take_while(|cost| {
        total += **cost;
        total <= available
    });
    fits.count() as u64
}

/// Length of the periods over which [`min_price`] averages work.
const PRICE_PERIOD: Duration = Duration::from_secs(60);

/// Minimum price of serving every request of `arrivals` well, in cents.
///
/// Work is averaged over whole periods and priced by the fraction of a target. The
/// planner's minimum number of targets is steady; all other work runs on cheap targets,
/// as if these were always available without delay.
pub fn min_price(scenario: &Scenario, spending: &SpendingConfig, arrivals: &[Arrival]) -> f64 {
    let period = PRICE_PERIOD.as_secs_f64();
    let periods = (scenario.span() / period).ceil() as usize;
    let mut work = vec![0.0; periods.max(1)];
    for arrival in arrivals {
        let cost = min_request_cost(&scenario.profile, arrival);
        let index = (arrival.at.as_secs_f64() / period) as usize;
        work[index] += (cost.prefill + cost.decode) as f64 / 1e9;
    }
    let price = |(index, work): (usize, &f64)| {
        let length = (scenario.span() - index as f64 * period).min(period);
        let cheap = (work / length - f64::from(spending.floor)).max(0.0);
        let rate =
            f64::from(spending.floor) * spending.steady as f64 + cheap * spending.cheap as f64;
        rate * length / 3_600.0
    };
    work.iter().enumerate().map(price).sum()
}
