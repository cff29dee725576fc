//! The clock that daemons read.

use rustix::time::{ClockId, clock_gettime};

use crate::Time;

/// A source of the present time.
pub trait Clock: Send + Sync {
    /// The present time on this host.
    fn now(&self) -> Time;
}

/// `CLOCK_BOOTTIME`: monotonic, and counts suspended time.
#[derive(Debug, Clone, Copy, Default)]
pub struct BootClock;

impl Clock for BootClock {
    fn now(&self) -> Time {
        let spec = clock_gettime(ClockId::Boottime);
        let secs = u64::try_from(spec.tv_sec).unwrap_or(0);
        let nanos = u64::try_from(spec.tv_nsec).unwrap_or(0);
        Time::from_micros(secs * 1_000_000 + nanos / 1_000)
    }
}
