//! The syntax tree of a scenario script.

use std::time::Duration;

use chervilgate_clock::Time;

/// A parsed scenario: declared hosts, targets and keys, timed events and expectations.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Script {
    /// Title, from the `scenario` statement; names the run in reports.
    pub title: String,
    /// Seed of the run's random numbers; 1 unless the script sets it.
    pub seed: u64,
    /// Entry hosts, in order of declaration.
    pub entries: Vec<Entry>,
    /// Targets, in order of declaration.
    pub targets: Vec<Target>,
    /// Keys, in order of declaration.
    pub keys: Vec<Key>,
    /// Timed events, in the order of the script's lines.
    pub events: Vec<Event>,
    /// Conditions checked after the run.
    pub expectations: Vec<Expectation>,
    /// Virtual time at which the run ends.
    pub end: Time,
}

/// A declared entry host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Its name.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
}

/// The kind of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetKind {
    /// A model engine.
    Engine {
        /// Whether it rejects orders with an outdated fencing token.
        fencing: bool,
    },
    /// A plain service, not a model engine.
    Service,
}

/// A declared target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Its name.
    pub name: String,
    /// Engine or plain service.
    pub kind: TargetKind,
    /// Its availability zone.
    pub zone: String,
}

/// A caller's API key, present in every published configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Key {
    /// Name in the script, which is also the key's secret text.
    pub name: String,
    /// Organisation that the key belongs to.
    pub organisation: String,
}

/// A timed event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Virtual time of the event.
    pub at: Time,
    /// Line of the script, from 1.
    pub line: usize,
    /// The action to perform.
    pub kind: EventKind,
}

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RepeatPolicy {
    /// Entries may retry it on other targets.
    Unlimited,
    /// At most once; its idempotency key has a scope from a locate call.
    Scoped,
    /// At most once; its idempotency key has no scope.
    Unscoped,
}

/// A caller's request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Name in the script; a resend uses the same name.
    pub name: String,
    /// API key sent with it; `None` on a route that needs no key.
    pub key: Option<String>,
    /// Targets that may run it.
    pub targets: Vec<String>,
    /// Run time on the target.
    pub run_time: Duration,
    /// Whether it may run more than once.
    pub repeat: RepeatPolicy,
}

/// The action of an event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EventKind {
    /// A caller sends a request.
    Request {
        /// Request as declared.
        request: Request,
        /// Entry that receives it.
        entry: String,
    },
    /// The caller sends an earlier request again.
    Resend {
        /// Name of the request.
        request: String,
        /// Entry that receives it.
        entry: String,
    },
    /// Callers send short repeatable requests to every entry at a fixed rate.
    Traffic {
        /// API key of the requests.
        key: String,
        /// Targets that may run them.
        targets: Vec<String>,
        /// Time between two requests at each entry.
        period: Duration,
        /// How long the traffic lasts.
        duration: Duration,
    },
    /// An operator publishes a configuration.
    Publish {
        /// Name of the configuration.
        config: String,
        /// Configuration it is based on; `None` means the last one published, if any.
        base: Option<String>,
        /// Objects that it sets, with their values.
        sets: Vec<(String, String)>,
        /// Entry that receives the command.
        entry: String,
    },
    /// An operator publishes an earlier configuration again.
    Rollback {
        /// Name of the earlier configuration.
        config: String,
        /// Entry that receives the command.
        entry: String,
    },
    /// An operator withdraws a key.
    Withdraw {
        /// The key.
        key: String,
        /// Entry that receives the command.
        entry: String,
    },
    /// An operator has a target drained and stopped.
    Drain {
        /// The target.
        target: String,
        /// Entry that carries out the drain.
        entry: String,
    },
    /// The scheduling policy assigns an engine another role.
    Role {
        /// The engine.
        target: String,
        /// The role.
        role: String,
    },
    /// The platform removes all targets of a zone.
    Reclaim {
        /// The zone.
        zone: String,
    },
    /// A process is killed and restarted; a target loses its running requests.
    Kill {
        /// The entry or target.
        name: String,
    },
    /// A host or target disappears permanently.
    Vanish {
        /// The entry or target.
        name: String,
    },
    /// A new host starts at the address of a vanished one.
    Replace {
        /// The entry.
        name: String,
    },
    /// A host's process is suspended.
    Pause {
        /// The entry.
        name: String,
        /// How long the pause lasts.
        duration: Duration,
    },
    /// A host loses all network connections.
    Partition {
        /// The entry.
        name: String,
        /// How long the partition lasts.
        duration: Duration,
    },
    /// Two groups of entries cannot reach each other.
    Split {
        /// One group; all other entries form the second.
        side: Vec<String>,
        /// How long the split lasts.
        duration: Duration,
    },
    /// Some entries cannot reach the store.
    CutStore {
        /// The entries.
        names: Vec<String>,
        /// How long the outage lasts.
        duration: Duration,
    },
    /// The store is unavailable.
    StoreDown {
        /// How long the outage lasts.
        duration: Duration,
    },
    /// The store takes seconds to answer.
    StoreSlow {
        /// How long the slowness lasts.
        duration: Duration,
    },
    /// The store discards its change log, so that watches must read afresh.
    Compact,
    /// An entry shuts down gracefully.
    Stop {
        /// The entry.
        name: String,
    },
    /// A fault is injected at the next occurrence of a protocol step.
    InjectFault {
        /// Name of the test bed's `Fault` variant.
        fault: String,
        /// The step, as `Protocol.name`.
        step: String,
        /// Entry to inject it on; `None` means any.
        entry: Option<String>,
    },
}

/// A condition that the run's history must meet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Expectation {
    /// Line of the script, from 1.
    pub line: usize,
    /// Condition to check.
    pub condition: Condition,
}

/// The last outcome that a request's caller received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The complete answer.
    Answered,
    /// An error saying that the request was not run.
    NotRun,
    /// An error saying that the outcome is unknown.
    Unknown,
    /// No response.
    NoResponse,
}

/// The condition of an expectation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Condition {
    /// Targets ran a request exactly this many times.
    Ran {
        /// Name of the request.
        request: String,
        /// Number of runs.
        times: usize,
    },
    /// A request's caller received this outcome last.
    Ended {
        /// Name of the request.
        request: String,
        /// Expected outcome.
        outcome: RequestOutcome,
    },
    /// A configuration was accepted.
    Accepted {
        /// The configuration.
        config: String,
        /// Latest time; `None` means any.
        by: Option<Time>,
    },
    /// A configuration was rejected as conflicting with another.
    Conflict {
        /// The configuration.
        config: String,
        /// Conflicting objects reported to the operator.
        objects: Vec<String>,
    },
    /// A configuration was not accepted.
    Unaccepted {
        /// The configuration.
        config: String,
    },
    /// Every entry running at the end has adopted this configuration or a newer one.
    InForce {
        /// The configuration.
        config: String,
    },
    /// A withdrawal was accepted.
    Withdrawn {
        /// The key.
        key: String,
        /// Latest time; `None` means any.
        by: Option<Time>,
        /// Earliest time; `None` means any.
        after: Option<Time>,
    },
    /// A withdrawal was not accepted.
    NotWithdrawn {
        /// The key.
        key: String,
    },
    /// No request with the key was dispatched from this time on.
    Refused {
        /// The key.
        key: String,
        /// Start of the period.
        from: Time,
    },
    /// A request with the key was dispatched within the period.
    Served {
        /// The key.
        key: String,
        /// Start of the period, inclusive.
        from: Time,
        /// End of the period, exclusive.
        to: Time,
    },
    /// A target was stopped.
    Stopped {
        /// The target.
        target: String,
        /// Latest time; `None` means any.
        by: Option<Time>,
        /// Earliest time; `None` means any.
        after: Option<Time>,
    },
    /// A target was not stopped.
    NotStopped {
        /// The target.
        target: String,
    },
    /// The last order that an engine accepted assigns this role.
    Role {
        /// The engine.
        target: String,
        /// The role.
        role: String,
    },
    /// This many distinct target orders were sent for a zone.
    Ordered {
        /// The zone.
        zone: String,
        /// Number of orders.
        times: usize,
    },
    /// At least this many usage windows were reported.
    Reported {
        /// Minimum number of windows.
        windows: usize,
    },
    /// Billed requests equal the answered requests, less at most `missing`.
    Billed {
        /// Answered requests that may be absent from the bills.
        missing: usize,
    },
    /// Every `strike` event's step occurred, so its fault was injected.
    AllFaultsInjected,
}
