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
    scenario::{DRAIN, FIRST_LIMIT, GAP_LIMIT, SLOW_SHARE, Scenario, Spend},
    workload::{Arrival, BLOCK_TOKENS},
};

/// Length of the windows of the prefill relaxation.
const WINDOW: Duration = Duration::from_secs(5);

/// Minimum engine time of a request, in nanoseconds.
#[derive(Debug, Clone, Copy)]
pub struct Cost {
    /// Time for the uncached part of the prompt.
    pub prefill: u64,
    /// Time for the tokens of the answer after the first.
    pub decode: u64,
}

/// Maximum number of good requests among `arrivals` under any scheme.
pub fn most_good(scenario: &Scenario, arrivals: &[Arrival]) -> u64 {
    let engines = scenario.most_engines();
    let arrivals: Vec<&Arrival> = arrivals.iter().filter(|arrival| !arrival.poison).collect();
    let costs: Vec<Cost> = arrivals.iter().map(|a| least_cost(&scenario.profile, a)).collect();
    let end = Time::ZERO + scenario.workload.span + DRAIN;
    let by_time = most_by_time(&arrivals, &costs, engines, end);
    by_time.min(most_by_prefill(&arrivals, &costs, engines))
}

/// Minimum engine time of one request.
pub fn least_cost(profile: &Profile, arrival: &Arrival) -> Cost {
    let base = [profile.mixed, profile.decode].map(|role| role.base).into_iter().min();
    let base = base.unwrap_or_default().as_nanos() as u64;
    let limit = GAP_LIMIT.as_nanos() as u64;
    let fast = profile.decode_ns * limit / (limit - base);
    let gaps = u64::from(arrival.output.saturating_sub(1));
    let slow = gaps / u64::from(SLOW_SHARE);
    let shared = BLOCK_TOKENS * arrival.blocks.len() as u32;
    let own = u64::from(arrival.prompt.saturating_sub(shared).max(1));
    let decode = (gaps - slow) * fast + slow * profile.decode_ns;
    Cost { prefill: own * profile.prefill_ns * longest_step(profile) / 1_000, decode }
}

/// Smallest ratio of a step's length to the time for its tokens over all roles, in thousandths.
fn longest_step(profile: &Profile) -> u64 {
    let roles = [profile.prefill, profile.decode, profile.mixed];
    let stretch = roles.into_iter().map(|role| {
        let prefill = u64::from(role.chunk) * profile.prefill_ns;
        let tokens = prefill + u64::from(role.batch) * profile.decode_ns;
        (tokens + role.base.as_nanos() as u64) * 1_000 / tokens
    });
    stretch.min().unwrap_or(1_000)
}

fn most_by_time(arrivals: &[&Arrival], costs: &[Cost], engines: u64, end: Time) -> u64 {
    let mut chosen = BinaryHeap::new();
    let mut total = 0;
    for (arrival, cost) in arrivals.iter().zip(costs).rev() {
        let cost = cost.prefill + cost.decode;
        chosen.push(cost);
        total += cost;
        let room = engines * end.since(arrival.at).as_nanos() as u64;
        while total > room {
            let Some(largest) = chosen.pop() else { break };
            total -= largest;
        }
    }
    chosen.len() as u64
}

fn most_by_prefill(arrivals: &[&Arrival], costs: &[Cost], engines: u64) -> u64 {
    let room = engines * (WINDOW + FIRST_LIMIT).as_nanos() as u64;
    let window = |arrival: &Arrival| arrival.at.as_micros() / WINDOW.as_micros() as u64;
    let mut count = 0;
    let mut start = 0;
    while start < arrivals.len() {
        let this = window(arrivals[start]);
        let length = arrivals[start..].iter().take_while(|a| window(a) == this).count();
        let mut prefills: Vec<u64> =
            costs[start..start + length].iter().map(|cost| cost.prefill).collect();
        prefills.sort_unstable();
        count += take_while_fits(&prefills, room);
        start += length;
    }
    count
}

fn take_while_fits(sorted: &[u64], room: u64) -> u64 {
    let mut total = 0;
    let fits = sorted.iter().take_while(|cost| {
        total += **cost;
        total <= room
    });
    fits.count() as u64
}

/// Length of the periods over which [`min_price`] averages work.
const PERIOD: Duration = Duration::from_secs(60);

/// Minimum price of serving every request of `arrivals` well, in cents.
///
/// Work is averaged over whole periods and priced by the fraction of a target. The
/// planner's minimum number of targets is steady; all other work runs on cheap targets,
/// as if these were always available without delay.
pub fn least_price(scenario: &Scenario, spend: &Spend, arrivals: &[Arrival]) -> f64 {
    let period = PERIOD.as_secs_f64();
    let periods = (scenario.span() / period).ceil() as usize;
    let mut work = vec![0.0; periods.max(1)];
    for arrival in arrivals {
        let cost = least_cost(&scenario.profile, arrival);
        let index = (arrival.at.as_secs_f64() / period) as usize;
        work[index] += (cost.prefill + cost.decode) as f64 / 1e9;
    }
    let price = |(index, work): (usize, &f64)| {
        let length = (scenario.span() - index as f64 * period).min(period);
        let cheap = (work / length - f64::from(spend.floor)).max(0.0);
        let rate = f64::from(spend.floor) * spend.steady as f64 + cheap * spend.cheap as f64;
        rate * length / 3_600.0
    };
    work.iter().enumerate().map(price).sum()
}
