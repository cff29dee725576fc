//! A point on one host's clock.

use std::{
    fmt,
    ops::{Add, AddAssign, Sub},
    time::Duration,
};

use serde::{Deserialize, Serialize};

/// Microseconds since an arbitrary start; only comparable on one host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
#[derive(Serialize, Deserialize)]
pub struct Time(u64);

impl Time {
    /// The clock's start.
    pub const ZERO: Time = Time(0);
    /// A point that is never reached.
    pub const NEVER: Time = Time(u64::MAX);

    /// The point `micros` microseconds after the start.
    pub const fn from_micros(micros: u64) -> Time {
        Time(micros)
    }

    /// The point `millis` milliseconds after the start.
    pub const fn from_millis(millis: u64) -> Time {
        Time(millis.saturating_mul(1_000))
    }

    /// The point `secs` seconds after the start.
    pub const fn from_secs(secs: u64) -> Time {
        Time(secs.saturating_mul(1_000_000))
    }

    /// Microseconds since the start.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Seconds since the start.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// Time passed since `earlier`; zero if `earlier` lies ahead.
    pub const fn since(self, earlier: Time) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// This point less `span`, but not before the start.
    pub fn before(self, span: Duration) -> Time {
        Time(self.0.saturating_sub(micros(span)))
    }
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

impl Add<Duration> for Time {
    type Output = Time;

    fn add(self, span: Duration) -> Time {
        Time(self.0.saturating_add(micros(span)))
    }
}

impl AddAssign<Duration> for Time {
    fn add_assign(&mut self, span: Duration) {
        *self = *self + span;
    }
}

impl Sub for Time {
    type Output = Duration;

    fn sub(self, earlier: Time) -> Duration {
        self.since(earlier)
    }
}

impl fmt::Display for Time {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.3}s", self.as_secs_f64())
    }
}
