//! The simulated system of an experiment: engines, network, workload and faults.

use std::time::Duration;

use chervilgate_clock::Time;
use chervilgate_engines::{PricingTier, Profile};
use chervilgate_policy::{PricingClass, Role, TargetSpecs};

use crate::workload::Workload;

/// Maximum time to the first token of a good request.
pub const TTFT_LIMIT: Duration = Duration::from_millis(870);

/// Maximum time between two tokens, up to the exceptions of [`SLOW_GAP_DIVISOR`].
pub const GAP_LIMIT: Duration = Duration::from_millis(60);

/// One in this many gaps of a good request may exceed [`GAP_LIMIT`].
pub const SLOW_GAP_DIVISOR: u32 = 20;

/// Time after the end of the arrivals at which an unfinished request counts as lost.
pub const DRAIN_LIMIT: Duration = Duration::from_secs(60);

/// Zone and tier of an engine.
#[derive(Debug, Clone, Copy)]
pub struct EnginePlacement {
    /// Availability zone of the engine.
    pub zone: u8,
    /// Price tier: steady, or cheap and reclaimable.
    pub tier: PricingTier,
}

/// A fault injected at a given time.
#[derive(Debug, Clone, Copy)]
pub enum Fault {
    /// The platform reclaims every cheap target of a zone.
    Reclaim {
        /// Zone that loses its cheap targets.
        zone: u8,
        /// Time for which no cheap target can be ordered in the zone.
        withheld: Duration,
    },
    /// Delays load reports by this much from now on.
    ReportDelay(Duration),
    /// Drops load reports and cache events for this long.
    ReportOutage(Duration),
    /// Crashes the engine with this index.
    Crash(usize),
}

/// The simulated system of one experiment.
pub struct Scenario {
    /// Name of the experiment.
    pub name: &'static str,
    /// Speeds and limits of every engine.
    pub profile: Profile,
    /// Engines at the start of the run.
    pub fleet: Vec<EnginePlacement>,
    /// Number of availability zones.
    pub zones: u8,
    /// One-way network delay inside a zone.
    pub local_delay: Duration,
    /// One-way network delay between zones.
    pub remote_delay: Duration,
    /// Requests that arrive.
    pub workload: Workload,
    /// Prefill share of the work, from which the initial roles are derived.
    pub prefill_share: f64,
    /// Interval between two load reports of an engine.
    pub report_interval: Duration,
    /// Delay of a load report to the entries.
    pub report_lag: Duration,
    /// Delay of a cache event to the entries.
    pub cache_lag: Duration,
    /// Probability that a cache event is lost.
    pub cache_loss: f64,
    /// Injected faults with their times.
    pub faults: Vec<(Time, Fault)>,
    /// Settings of target orders; None if the fleet is fixed.
    pub spending: Option<SpendingConfig>,
}

impl Scenario {
    /// Maximum number of engines that can serve at once.
    pub fn max_engines(&self) -> u64 {
        let ordered = self.spending.map_or(0, |spending| u64::from(spending.ceiling));
        ordered.max(self.fleet.len() as u64)
    }

    /// Time span of the arrivals, in seconds.
    pub fn span(&self) -> f64 {
        self.workload.span.as_secs_f64()
    }
}

/// Prices and limits for ordering targets.
#[derive(Debug, Clone, Copy)]
pub struct SpendingConfig {
    /// Price of a steady target, in cents an hour.
    pub steady: u64,
    /// Price of a cheap target, in cents an hour.
    pub cheap: u64,
    /// Throughput of the weight store, in bytes a second.
    pub store_rate: u64,
    /// Time from order to serving that the planner assumes.
    pub cold_start: Duration,
    /// Minimum number of targets.
    pub floor: u32,
    /// Maximum number of targets.
    pub ceiling: u32,
}

/// `count` steady engines, assigned to `zones` zones in turn.
pub fn steady_fleet(count: usize, zones: u8) -> Vec<EnginePlacement> {
    let place = |index: usize| EnginePlacement {
        zone: (index % usize::from(zones)) as u8,
        tier: PricingTier::Steady,
    };
    (0..count).map(place).collect()
}

/// Converts an engine's profile in `role` to the policy's specs.
pub fn specs(profile: &Profile, role: Role) -> TargetSpecs {
    /// Maximum number of prompts at a prefill engine, which has no decode batch to limit it.
    const PREFILL_SLOTS: u32 = 256;

    let limits = profile.limits(engine_role(role));
    TargetSpecs {
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

/// Converts a policy role to the engine model's type.
pub fn engine_role(role: Role) -> chervilgate_engines::Role {
    match role {
        Role::Prefill => chervilgate_engines::Role::Prefill,
        Role::Decode => chervilgate_engines::Role::Decode,
        Role::Mixed => chervilgate_engines::Role::Mixed,
    }
}

/// Converts an engine-model role to the policy's type.
pub fn policy_role(role: chervilgate_engines::Role) -> Role {
    match role {
        chervilgate_engines::Role::Prefill => Role::Prefill,
        chervilgate_engines::Role::Decode => Role::Decode,
        chervilgate_engines::Role::Mixed => Role::Mixed,
    }
}

/// Converts an engine-model tier to the policy's target kind.
pub fn pricing_class(tier: PricingTier) -> PricingClass {
    match tier {
        PricingTier::Steady => PricingClass::Steady,
        PricingTier::Cheap => PricingClass::Cheap,
    }
}

/// Converts a target kind of the policy to the engine model's tier.
pub fn pricing_tier(kind: PricingClass) -> PricingTier {
    match kind {
        PricingClass::Steady => PricingTier::Steady,
        PricingClass::Cheap => PricingTier::Cheap,
    }
}
