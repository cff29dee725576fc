//! The recorded history of a run, which the checker reads.

use chervilgate_clock::Time;
use chervilgate_coord::{
    Epoch, Incarnation, Order, OrderId, OrderReply, ReceiverId, ShardId, Step, Version,
};

use crate::network::HostId;

/// One caller's request; unique within a history.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// What a caller is told about a request without a whole answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The request did not run and will not.
    NotRun,
    /// The request ran, or may be running.
    Unknown,
}

/// Why a running request ended early.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CutCause {
    /// A planned change or stop.
    Planned,
    /// A fault of a host or a target.
    Fault,
}

/// An observation during a run.
///
/// The bed and its endpoints record calls, faults and orders; the processes record
/// which shards they believe they own. Facts about requests, keys, draining targets,
/// usage windows and configurations come from the test code that simulates callers,
/// targets and operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fact {
    /// A process sent a call, or a fault was injected at that point.
    Called(Step),
    /// A fault was injected, or the state of a host or the store changed.
    Faulted(String),
    /// The process ended, by itself or by a fault.
    Died,
    /// The process believes that it owns the shard.
    Holds {
        /// The shard.
        shard: ShardId,
        /// The epoch of its ownership.
        epoch: Epoch,
        /// When the ownership ends unless it is extended.
        until: Time,
    },
    /// The process gave up the shard, or learnt that it lost it.
    Yields {
        /// The shard.
        shard: ShardId,
    },
    /// A receiver's record was written to the store.
    Recorded {
        /// The receiver.
        receiver: ReceiverId,
        /// The sequence number of its open order; `None` if none is open.
        open: Option<u64>,
    },
    /// The owner sends a receiver no orders until it is proven that a former sender
    /// can't send to it any more.
    Frozen {
        /// The receiver.
        receiver: ReceiverId,
        /// The former sender.
        sender: Incarnation,
    },
    /// It is proven that the former sender can't send any more: orders go on.
    Thawed {
        /// The receiver.
        receiver: ReceiverId,
    },
    /// A receiver got an order.
    Received {
        /// The order.
        order: Order,
        /// Whether the receiver refuses old fencing tokens.
        fencing: bool,
        /// The receiver's reply.
        reply: OrderReply,
    },
    /// An owner finished an order.
    Completed {
        /// The order.
        order: OrderId,
        /// How it ended.
        reply: OrderReply,
    },
    /// The platform got a target order.
    TargetOrdered {
        /// The order; its receiver is the zone.
        order: Order,
    },
    /// The platform got a usage report.
    Reported {
        /// The window's name.
        window: String,
        /// The figures, in a canonical encoding chosen by whoever records them.
        figures: Vec<u8>,
        /// The process that sent it.
        sender: Incarnation,
        /// The epoch it was sent under.
        epoch: Epoch,
    },
    /// A caller sent a request.
    Requested {
        /// The request; a resend by the caller keeps it.
        request: RequestId,
        /// The organisation of the key that came with it; `None` on an open route.
        organisation: Option<String>,
        /// Whether it may run more than once.
        repeatable: bool,
    },
    /// A request was handed to a target.
    Dispatched {
        /// The request.
        request: RequestId,
        /// The target.
        target: String,
        /// The organisation it runs for.
        organisation: Option<String>,
        /// The key that allowed it.
        key: Option<String>,
        /// Whether the target could see the key.
        exposed: bool,
        /// The configuration it was dispatched under.
        config: Version,
    },
    /// A target started to run a request.
    Ran {
        /// The request.
        request: RequestId,
        /// The target.
        target: String,
    },
    /// A running request was ended before its answer was whole.
    Cut {
        /// The request.
        request: RequestId,
        /// The cause.
        cause: CutCause,
    },
    /// A caller got an answer.
    Answered {
        /// The request that the caller sent.
        request: RequestId,
        /// The request that the answer belongs to.
        origin: RequestId,
        /// Whether the answer is complete, with nothing missing or duplicated.
        whole: bool,
    },
    /// A caller was refused.
    Refused {
        /// The request.
        request: RequestId,
        /// What it was told.
        outcome: Outcome,
    },
    /// An operator was told that a key's withdrawal is accepted.
    Withdrawn {
        /// The key.
        key: String,
    },
    /// An operator was told that a target is leaving.
    Leaving {
        /// The target.
        target: String,
    },
    /// A target or a host was stopped as planned.
    Stopped {
        /// Its name.
        name: String,
        /// Requests that were running on it.
        running: usize,
    },
    /// An operator was told that a configuration is accepted.
    Accepted {
        /// Its version.
        config: Version,
    },
    /// A process started to use a configuration.
    Adopted {
        /// Its version.
        config: Version,
    },
}

/// A fact with its time and source.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Virtual time of the fact.
    pub at: Time,
    /// The host it happened on; `None` for facts from outside the system.
    pub host: Option<HostId>,
    /// The process it happened in; `None` for facts from outside the system.
    pub process: Option<Incarnation>,
    /// The observation.
    pub fact: Fact,
}

/// All facts of a run, in order.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct History {
    /// The entries, oldest first.
    pub entries: Vec<Entry>,
}

impl History {
    /// Adds a fact without a host and process.
    pub fn add(&mut self, at: Time, fact: Fact) {
        self.entries.push(Entry { at, host: None, process: None, fact });
    }

    /// Adds a fact of a process on a host.
    pub fn add_process(&mut self, at: Time, host: HostId, process: Incarnation, fact: Fact) {
        self.entries.push(Entry { at, host: Some(host), process: Some(process), fact });
    }

    /// The last `count` entries, one per line.
    pub fn tail(&self, count: usize) -> String {
        let skip = self.entries.len().saturating_sub(count);
        let lines: Vec<String> = self.entries[skip..].iter().map(Entry::to_string).collect();
        lines.join("\n")
    }
}

impl std::fmt::Display for Entry {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", self.at)?;
        match (self.host, self.process) {
            (Some(host), Some(process)) => write!(f, " host {} ({process})", host.0)?,
            _ => write!(f, " outside")?,
        }
        write!(f, ": {:?}", self.fact)
    }
}
