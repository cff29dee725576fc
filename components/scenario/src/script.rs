//! A parsed scenario.

use std::time::Duration;

use chervilgate_clock::Time;

/// A scenario: who is there, what happens, and what is expected.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Script {
    /// What it shows.
    pub title: String,
    /// Seeds the run.
    pub seed: u64,
    /// Entry hosts, in order.
    pub entries: Vec<Entry>,
    /// Targets, in order.
    pub targets: Vec<Target>,
    /// Keys, in order.
    pub keys: Vec<Key>,
    /// What happens, in order of the text.
    pub events: Vec<Event>,
    /// What is expected.
    pub expectations: Vec<Expectation>,
    /// When the run ends.
    pub end: Time,
}

/// An entry host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Its name.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
}

/// What a target is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetKind {
    /// A model engine.
    Engine {
        /// Whether it refuses old fencing tokens.
        fencing: bool,
    },
    /// A plain service.
    Service,
}

/// A target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Its name.
    pub name: String,
    /// What it is.
    pub kind: TargetKind,
    /// Its availability zone.
    pub zone: String,
}

/// A key, as it stands in every published configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Key {
    /// Its name, which is also its text.
    pub name: String,
    /// The organisation it speaks for.
    pub organisation: String,
}

/// Something that happens at a time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// When.
    pub at: Time,
    /// The line it stands on.
    pub line: usize,
    /// What.
    pub kind: EventKind,
}

/// How a request may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RepeatPolicy {
    /// As often as needed.
    Unlimited,
    /// Never; the caller has a scope from locate.
    Scoped,
    /// Never; the caller has no scope.
    Unscoped,
}

/// A caller's request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Its name; a resend has the same.
    pub name: String,
    /// The key that comes with it; `None` on an open route.
    pub key: Option<String>,
    /// Targets that may run it.
    pub targets: Vec<String>,
    /// How long it runs.
    pub run_time: Duration,
    /// How it may be repeated.
    pub repeat: RepeatPolicy,
}

/// What happens.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EventKind {
    /// A caller sends a request.
    Request {
        /// The request.
        request: Request,
        /// The entry it is sent to.
        entry: String,
    },
    /// The caller sends a request again, without an answer.
    Resend {
        /// The request.
        request: String,
        /// The entry it is sent to.
        entry: String,
    },
    /// Callers keep sending short repeatable requests to every entry.
    Traffic {
        /// Their key.
        key: String,
        /// Targets that may run them.
        targets: Vec<String>,
        /// From one to the next, at each entry.
        period: Duration,
        /// How long.
        span: Duration,
    },
    /// An operator publishes a configuration.
    Publish {
        /// Its name.
        config: String,
        /// The configuration it was made from.
        base: Option<String>,
        /// Objects that it sets.
        sets: Vec<(String, String)>,
        /// The entry that takes it.
        entry: String,
    },
    /// An operator puts an earlier configuration into force again.
    Rollback {
        /// The earlier configuration.
        config: String,
        /// The entry that takes it.
        entry: String,
    },
    /// An operator withdraws a key.
    Withdraw {
        /// The key.
        key: String,
        /// The entry that takes it.
        entry: String,
    },
    /// An operator has a target drained and stopped.
    Drain {
        /// The target.
        target: String,
        /// The entry that looks after it.
        entry: String,
    },
    /// The policy wants an engine in another role.
    Role {
        /// The engine.
        target: String,
        /// The role.
        role: String,
    },
    /// The platform takes a zone's targets away.
    Reclaim {
        /// The zone.
        zone: String,
    },
    /// A process is killed and started again.
    Kill {
        /// The entry or target.
        name: String,
    },
    /// A host or target goes for good.
    Vanish {
        /// The entry or target.
        name: String,
    },
    /// A new host comes at a vanished one's address.
    Replace {
        /// The entry.
        name: String,
    },
    /// A host stands still.
    Pause {
        /// The entry.
        name: String,
        /// How long.
        span: Duration,
    },
    /// A host is cut off from everything.
    Partition {
        /// The entry.
        name: String,
        /// How long.
        span: Duration,
    },
    /// Two groups of entries do not reach each other.
    Split {
        /// One side; the rest is the other.
        side: Vec<String>,
        /// How long.
        span: Duration,
    },
    /// Some entries do not reach the store.
    CutStore {
        /// The entries.
        names: Vec<String>,
        /// How long.
        span: Duration,
    },
    /// The store does not answer.
    StoreDown {
        /// How long.
        span: Duration,
    },
    /// The store answers in seconds.
    StoreSlow {
        /// How long.
        span: Duration,
    },
    /// The store forgets its log of changes.
    Compact,
    /// An entry is stopped as planned.
    Stop {
        /// The entry.
        name: String,
    },
    /// A fault strikes at the next occurrence of a step.
    Strike {
        /// The fault, as the bed names it.
        fault: String,
        /// The step, as `Protocol.name`.
        step: String,
        /// Only on this entry, if named.
        entry: Option<String>,
    },
}

/// Something that is expected of the history.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Expectation {
    /// The line it stands on.
    pub line: usize,
    /// What.
    pub condition: Condition,
}

/// How a request ended for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// With the whole answer.
    Answered,
    /// Refused as not run.
    NotRun,
    /// With an unknown outcome.
    Unknown,
    /// Without any word.
    Silence,
}

/// What is expected.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Condition {
    /// A request ran this often.
    Ran {
        /// The request.
        request: String,
        /// How often.
        times: usize,
    },
    /// The last thing its caller was told.
    Ended {
        /// The request.
        request: String,
        /// How.
        ending: Ending,
    },
    /// A configuration was accepted, in this span of time.
    Accepted {
        /// The configuration.
        config: String,
        /// Not after this time, if given.
        by: Option<Time>,
    },
    /// A configuration lost against another; these objects differ.
    Conflict {
        /// The configuration.
        config: String,
        /// The objects that were named.
        objects: Vec<String>,
    },
    /// A configuration was not accepted.
    Unaccepted {
        /// The configuration.
        config: String,
    },
    /// Every entry that runs at the end has this configuration in force.
    InForce {
        /// The configuration.
        config: String,
    },
    /// A withdrawal was accepted.
    Withdrawn {
        /// The key.
        key: String,
        /// Not after this time, if given.
        by: Option<Time>,
        /// Not before this time, if given.
        after: Option<Time>,
    },
    /// A withdrawal was not accepted.
    NotWithdrawn {
        /// The key.
        key: String,
    },
    /// No request ran with the key after this time.
    Refused {
        /// The key.
        key: String,
        /// From then on.
        from: Time,
    },
    /// Requests ran with the key within these times.
    Served {
        /// The key.
        key: String,
        /// From.
        from: Time,
        /// To.
        to: Time,
    },
    /// A target was stopped.
    Stopped {
        /// The target.
        target: String,
        /// Not after this time, if given.
        by: Option<Time>,
        /// Not before this time, if given.
        after: Option<Time>,
    },
    /// A target was not stopped.
    NotStopped {
        /// The target.
        target: String,
    },
    /// An engine has taken this role.
    Role {
        /// The engine.
        target: String,
        /// The role.
        role: String,
    },
    /// Target orders for a zone.
    Ordered {
        /// The zone.
        zone: String,
        /// How many.
        times: usize,
    },
    /// This many usage windows were reported at least.
    Reported {
        /// How many.
        windows: usize,
    },
    /// Reported usage equals the requests answered, less at most this many.
    Billed {
        /// Requests that may be missing.
        missing: usize,
    },
    /// A strike's step has come.
    StrikesMet,
}
