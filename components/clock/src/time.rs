//! Timestamps on one host's clock.

use std::{
    fmt,
    ops::{Add, AddAssign, Sub},
    time::Duration,
};

use serde::{Deserialize, Serialize};

/// A timestamp: microseconds since an arbitrary epoch, comparable only on one host.
///
/// All arithmetic saturates.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
#[derive(Serialize, Deserialize)]
pub struct Time(u64);

impl Time {
    /// The clock's epoch.
    pub const ZERO: Time = Time(0);
    /// Later than every real timestamp; stands for no deadline.
    pub const NEVER: Time = Time(u64::MAX);

    /// The timestamp `micros` microseconds after the epoch.
    pub const fn from_micros(micros: u64) -> Time {
        Time(micros)
    }

    /// The timestamp `millis` milliseconds after the epoch.
    pub const fn from_millis(millis: u64) -> Time {
        Time(millis.saturating_mul(1_000))
    }

    /// The timestamp `secs` seconds after the epoch.
    pub const fn from_secs(secs: u64) -> Time {
        Time(secs.saturating_mul(1_000_000))
    }

    /// Microseconds since the epoch.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Seconds since the epoch.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// Time elapsed since `earlier`; zero if `earlier` is later than `self`.
    pub const fn since(self, earlier: Time) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Subtracts `duration`; stops at the epoch.
    pub fn saturating_sub(self, duration: Duration) -> Time {
        Time(self.0.saturating_sub(micros(duration)))
    }
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

impl Add<Duration> for Time {
    type Output = Time;

    fn add(self, duration: Duration) -> Time {
        Time(self.0.saturating_add(micros(duration)))
    }
}

impl AddAssign<Duration> for Time {
    fn add_assign(&mut self, duration: Duration) {
        *self = *self + duration;
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
