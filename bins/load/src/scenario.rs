//! The system that an experiment runs.

use std::time::Duration;

use chervilgate_clock::Time;
use chervilgate_engines::{Profile, Tier};
use chervilgate_policy::{Kind, Role, Specs};

use crate::workload::Workload;

/// Longest time to the first token of a good request.
pub const FIRST_LIMIT: Duration = Duration::from_millis(870);

/// Longest good time between two tokens.
pub const GAP_LIMIT: Duration = Duration::from_millis(60);

/// One in this many gaps of a good request may be longer than the limit.
pub const SLOW_SHARE: u32 = 20;

/// Time after the last arrival at which an unfinished request counts as lost.
pub const DRAIN: Duration = Duration::from_secs(60);

/// An engine of the fleet at the start.
#[derive(Debug, Clone, Copy)]
pub struct Place {
    /// Its availability zone.
    pub zone: u8,
    /// How it is paid for.
    pub tier: Tier,
}

/// Something that goes wrong at a set time.
#[derive(Debug, Clone, Copy)]
pub enum Fault {
    /// The provider takes back every cheap target of a zone.
    Reclaim {
        /// The zone.
        zone: u8,
        /// Time for which the zone offers no cheap target.
        withheld: Duration,
    },
    /// Load reports arrive with this lag from now on.
    Lag(Duration),
    /// Load reports and cache events stop for a while.
    Silence(Duration),
    /// An engine crashes.
    Crash(usize),
}

/// A fleet, its network and its faults.
pub struct Scenario {
    /// The experiment's name.
    pub name: &'static str,
    /// The kind of engine.
    pub profile: Profile,
    /// The fleet at the start.
    pub fleet: Vec<Place>,
    /// Availability zones.
    pub zones: u8,
    /// One-way time inside a zone.
    pub near: Duration,
    /// One-way time between zones.
    pub far: Duration,
    /// What arrives.
    pub workload: Workload,
    /// Share of prefill in the work at the start.
    pub share: f64,
    /// Time between two load reports of an engine.
    pub every: Duration,
    /// Time from a load report to its arrival.
    pub lag: Duration,
    /// Time from a cache event to its arrival.
    pub cache_lag: Duration,
    /// Share of cache events that are lost.
    pub cache_loss: f64,
    /// What goes wrong, and when.
    pub faults: Vec<(Time, Fault)>,
    /// Target orders, where the experiment has them.
    pub spend: Option<Spend>,
}

impl Scenario {
    /// Most engines that can serve at once.
    pub fn most_engines(&self) -> u64 {
        let ordered = self.spend.map_or(0, |spend| u64::from(spend.ceiling));
        ordered.max(self.fleet.len() as u64)
    }

    /// Span of the arrivals, in seconds.
    pub fn span(&self) -> f64 {
        self.workload.span.as_secs_f64()
    }
}

/// Target orders of an experiment.
#[derive(Debug, Clone, Copy)]
pub struct Spend {
    /// Price of a steady target, in cents an hour.
    pub steady: u64,
    /// Price of a cheap target, in cents an hour.
    pub cheap: u64,
    /// Bytes a second of the weight store.
    pub store_rate: u64,
    /// Time from an order to a target that serves, as the planner expects it.
    pub cold_start: Duration,
    /// Targets kept at least.
    pub floor: u32,
    /// Targets ordered at most.
    pub ceiling: u32,
}

/// A fleet of `count` steady engines, spread over `zones`.
pub fn steady_fleet(count: usize, zones: u8) -> Vec<Place> {
    let place =
        |index: usize| Place { zone: (index % usize::from(zones)) as u8, tier: Tier::Steady };
    (0..count).map(place).collect()
}

/// The policy's view of an engine's speeds in `role`.
pub fn specs(profile: &Profile, role: Role) -> Specs {
    /// Prompts that a prefill engine holds at once.
    const PREFILL_SLOTS: u32 = 256;

    let limits = profile.limits(engine_role(role));
    Specs {
        prefill_rate: 1e9 / profile.prefill_ns as f64,
        step_base: limits.base,
        step_seq: Duration::from_nanos(profile.decode_ns),
        chunk: limits.chunk,
        slots: if limits.batch == 0 { PREFILL_SLOTS } else { limits.batch },
        kv_tokens: u64::from(profile.kv_tokens),
        transfer_rate: profile.link_rate as f64 / profile.token_bytes as f64,
        transfer_base: profile.link_delay,
    }
}

/// The engine model's word for a role.
pub fn engine_role(role: Role) -> chervilgate_engines::Role {
    match role {
        Role::Prefill => chervilgate_engines::Role::Prefill,
        Role::Decode => chervilgate_engines::Role::Decode,
        Role::Mixed => chervilgate_engines::Role::Mixed,
    }
}

/// The policy's word for a role.
pub fn policy_role(role: chervilgate_engines::Role) -> Role {
    match role {
        chervilgate_engines::Role::Prefill => Role::Prefill,
        chervilgate_engines::Role::Decode => Role::Decode,
        chervilgate_engines::Role::Mixed => Role::Mixed,
    }
}

/// The policy's word for a tier.
pub fn policy_kind(tier: Tier) -> Kind {
    match tier {
        Tier::Steady => Kind::Steady,
        Tier::Cheap => Kind::Cheap,
    }
}

/// The engine model's word for a kind of target.
pub fn engine_tier(kind: Kind) -> Tier {
    match kind {
        Kind::Steady => Tier::Steady,
        Kind::Cheap => Tier::Cheap,
    }
}
