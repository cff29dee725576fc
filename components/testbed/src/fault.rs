//! Faults, and the step that each of them strikes.

use std::{fmt, time::Duration};

use chervilgate_coord::Step;

use crate::network::HostId;

/// A fault that strikes at a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Fault {
    /// The process is killed right before the call leaves.
    KilledBefore,
    /// The process is killed right after the call has left.
    KilledAfter,
    /// The host vanishes after the call has left: nothing answers there again.
    Vanished,
    /// The host pauses between the last check and the call, past every lease.
    PausedBefore,
    /// The host pauses after the call has left, past every lease.
    PausedAfter,
    /// The host is cut off from everything, before the call leaves.
    Partitioned,
    /// The call is lost before it takes effect.
    CallLost,
    /// The call takes effect and its answer is lost.
    AnswerLost,
    /// The answer comes twice, the second time late.
    AnswerDoubled,
    /// The answer comes after the caller has given up on it.
    AnswerLate,
    /// The call arrives twice, the second time late; of an order, which goes
    /// over a connection, only the answer comes twice.
    CallDoubled,
    /// The call arrives after the caller has given up on it.
    CallLate,
    /// The store is slow for a while.
    StoreSlow,
    /// The store is down for a while.
    StoreDown,
}

impl Fault {
    /// Every fault.
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

/// How long the faults last.
#[derive(Debug, Clone, Copy)]
pub struct Spans {
    /// Until a killed process is started again.
    pub restart: Duration,
    /// A pause.
    pub pause: Duration,
    /// A partition.
    pub partition: Duration,
    /// An outage or slowness of the store.
    pub outage: Duration,
}

impl Default for Spans {
    fn default() -> Spans {
        Spans {
            restart: Duration::from_secs(25),
            pause: Duration::from_secs(30),
            partition: Duration::from_secs(30),
            outage: Duration::from_secs(25),
        }
    }
}

/// A fault bound to an occurrence of a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Strike {
    /// The step.
    pub step: Step,
    /// Which occurrence of the step in the run, from 0.
    pub nth: usize,
    /// Only occurrences on this host, if named.
    pub host: Option<HostId>,
    /// What happens there.
    pub fault: Fault,
}

impl fmt::Display for Strike {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} at {} #{}", self.fault, self.step, self.nth)?;
        match self.host {
            Some(host) => write!(f, " on host {}", host.0),
            None => Ok(()),
        }
    }
}
