//! The clock that daemons read, and the trait that tests implement.

use rustix::time::{ClockId, clock_gettime};

use crate::Time;

/// A source of the current time.
pub trait Clock: Send + Sync {
    /// The current time on this host.
    fn now(&self) -> Time;
}

/// Reads `CLOCK_BOOTTIME`, which is monotonic and includes the time spent suspended.
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
