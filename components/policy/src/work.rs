//! Learns how long targets work on answers from their beginning to their end.
//!
//! What a host promises that stops soon is the end of an answer, not its beginning. The work that an
//! answer takes is known by what the caller asks for, such as a number of tokens, and by the pace that
//! was seen for it. Since an answer that ends a little too late is lost, the slowest recent pace counts,
//! with a margin, not a mean one.

use std::{collections::VecDeque, time::Duration};

use chervilgate_clock::Time;

#[cfg(test)]
mod tests;

/// Number of answers that are kept.
const MAX_ANSWERS: usize = 64;

/// Number of answers from which the slowest is a bound for the next.
const MIN_ANSWERS: usize = 8;

/// Age from which an answer no longer counts.
const MAX_AGE: Duration = Duration::from_secs(30);

/// Factor on the slowest pace: targets slow down as more answers run beside each other.
const MARGIN: f64 = 1.25;

/// The pace of the recent answers of one service.
#[derive(Debug, Clone, Default)]
pub struct WorkMeter {
    /// Time per unit that an answer took, oldest first.
    paces: VecDeque<(Time, Duration)>,
}

impl WorkMeter {
    /// Records that an answer of up to `units` took this time to its end.
    pub fn record(&mut self, now: Time, units: u32, took: Duration) {
        if self.paces.len() == MAX_ANSWERS {
            self.paces.pop_front();
        }
        self.paces.push_back((now, took / units.max(1)));
    }

    /// Time within which an answer of up to `units` ends; none if too little was seen.
    pub fn bound(&self, now: Time, units: u32) -> Option<Duration> {
        let recent = self.paces.iter().filter(|(at, _)| now.since(*at) < MAX_AGE);
        let (count, slowest) = recent.fold((0, Duration::ZERO), |(count, slowest), (_, pace)| {
            (count + 1, slowest.max(*pace))
        });
        (count >= MIN_ANSWERS).then(|| slowest.mul_f64(f64::from(units.max(1)) * MARGIN))
    }
}
