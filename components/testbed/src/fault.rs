//! The faults that a test can inject, and where it injects them.

use std::{fmt, time::Duration};

use chervilgate_coord::Step;

use crate::network::HostId;

/// A fault that is injected when a process reaches a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Fault {
    /// The process is killed right before the call is sent.
    KilledBefore,
    /// The process is killed right after the call is sent.
    KilledAfter,
    /// The host is lost after the call is sent: nothing answers there again.
    Vanished,
    /// The host is paused between the last check of the call and its send, for longer
    /// than every lease.
    PausedBefore,
    /// The host is paused after the call is sent, for longer than every lease.
    PausedAfter,
    /// The host is isolated from the whole network before the call is sent.
    Partitioned,
    /// The call is lost before it takes effect.
    CallLost,
    /// The call takes effect and its answer is lost.
    AnswerLost,
    /// The answer arrives twice, the second time late.
    AnswerDoubled,
    /// The answer arrives after the caller's timeout.
    AnswerLate,
    /// The call arrives twice, the second time late. An endpoint call goes over a
    /// connection, so only its answer arrives twice.
    CallDoubled,
    /// The call arrives after the caller's timeout.
    CallLate,
    /// The store is slow for a while.
    StoreSlow,
    /// The store is down for a while.
    StoreDown,
}

impl Fault {
    /// All faults, in the order of their declaration.
    pub const ALL: [Fault; 14] = [
        Fault::KilledBefore,
        Fault::KilledAfter,
        Fault::Vanished,
        Fault::PausedBefore,
        Fault::PausedAfter,
        Fault::Partitioned,
        Fault::CallLost,
        Fault::AnswerLost,
        Fault::AnswerDoubled,
        Fault::AnswerLate,
        Fault::CallDoubled,
        Fault::CallLate,
        Fault::StoreSlow,
        Fault::StoreDown,
    ];
}

/// How long the faults last that end by themselves.
#[derive(Debug, Clone, Copy)]
pub struct FaultDurations {
    /// Until a killed process is started again.
    pub restart: Duration,
    /// Length of a pause.
    pub pause: Duration,
    /// Length of a partition.
    pub partition: Duration,
    /// Length of an outage or slowdown of the store.
    pub outage: Duration,
}

impl Default for FaultDurations {
    fn default() -> FaultDurations {
        FaultDurations {
            restart: Duration::from_secs(25),
            pause: Duration::from_secs(30),
            partition: Duration::from_secs(30),
            outage: Duration::from_secs(25),
        }
    }
}

/// A fault and the occurrence of a step that it is injected at.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct FaultInjection {
    /// The step that triggers it.
    pub step: Step,
    /// Which occurrence of the step in the run triggers it, counted from 0.
    pub nth: usize,
    /// Counts only occurrences on this host; `None` counts those on all hosts.
    pub host: Option<HostId>,
    /// The fault to inject.
    pub fault: Fault,
}

impl fmt::Display for FaultInjection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} at {} #{}", self.fault, self.step, self.nth)?;
        match self.host {
            Some(host) => write!(f, " on host {}", host.0),
            None => Ok(()),
        }
    }
}
