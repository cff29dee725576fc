//! The number of targets for a given demand.

use std::time::Duration;

use crate::demand::Work;

/// Highest utilization of an engine for which the wait for other prompts is short: prompts that
/// arrive at random at an engine that is busy for `u` of the time wait `u / (1 - u)` of a mean
/// prompt, and prompts of very different length wait for longer.
const MAX_UTILIZATION: f64 = 0.35;

/// Lowest utilization that is planned for, with which a prompt waits a ninth of a mean prompt.
const MIN_UTILIZATION: f64 = 0.1;

/// Share of the shortest latency target that prompts may wait for each other.
const WAIT_SHARE: f64 = 0.5;

/// Burst that is planned for, relative to the mean work.
const MIN_BURST: f64 = 2.0;

/// Factor by which the largest work seen is raised while less than [`FULL_SPAN`] was seen.
const UNSEEN_BURST: f64 = 1.5;

/// Time from which the largest work seen counts as it is.
const FULL_SPAN: Duration = Duration::from_secs(30);

/// Highest utilization by the mean work of the targets that are left after losses.
const SURVIVOR_UTILIZATION: f64 = 0.7;

/// Share of the targets that are left of a loss and do not respond either.
const SILENT_SHARE: f64 = 0.2;

/// Highest utilization of the on-demand targets if they carried the mean work alone.
const ON_DEMAND_UTILIZATION: f64 = 0.8;

/// Share of the KV cache that requests in flight may take; the rest holds prompt parts that
/// later requests share.
const KV_SHARE: f64 = 0.5;

/// What an engine of the service can do.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineSpecs {
    /// Time of a prefill engine relative to the reference engine.
    pub prefill_factor: f64,
    /// Time of a decode engine relative to the reference engine.
    pub decode_factor: f64,
    /// Share of the engines that are prefill engines.
    pub prefill_share: f64,
    /// Requests in a batch.
    pub slots: u32,
    /// KV cache capacity in tokens.
    pub kv_tokens: u64,
    /// Shortest latency target of the service's routes.
    pub latency_target: Duration,
}

/// Limits of the number of targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FleetLimits {
    /// Number of zones in which the service runs.
    pub zones: u32,
    /// Minimum number of targets in a zone.
    pub min_targets: u32,
    /// Maximum number of targets in a zone.
    pub max_targets: u32,
}

/// The demand to plan for, as rates per second.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlannedDemand {
    /// Mean work.
    pub mean: Work,
    /// Largest work over two seconds.
    pub largest: Work,
    /// Time over which both were seen.
    pub span: Duration,
}

/// What decided the number of targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlanReason {
    /// The largest work seen.
    Peak,
    /// A multiple of the mean work.
    Mean,
    /// The loss of targets.
    Loss,
    /// KV memory.
    Memory,
    /// The operators' limits.
    Limit,
}

impl PlanReason {
    /// The name in log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            PlanReason::Peak => "peak",
            PlanReason::Mean => "mean",
            PlanReason::Loss => "loss",
            PlanReason::Memory => "memory",
            PlanReason::Limit => "limit",
        }
    }
}

/// The number of targets that a demand requires, in each zone.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DemandPlan {
    /// Targets of both kinds.
    pub targets: u32,
    /// On-demand targets among them.
    pub on_demand: u32,
    /// What decided.
    pub reason: PlanReason,
    /// Number of busy targets by the mean work, at the scarcer stage.
    pub mean: f64,
    /// Number of busy targets by the work that is planned for, at the scarcer stage.
    pub peak: f64,
    /// Highest utilization by that work.
    pub utilization: f64,
    /// Number of busy targets by the largest work, at the scarcer stage.
    pub largest: f64,
}

impl DemandPlan {
    /// Whether `left` targets, of which some do not respond, carry the mean work, and the largest
    /// work without room to spare.
    pub fn survives_with(&self, left: u32) -> bool {
        survives_with(self.mean, self.largest, f64::from(left))
    }

    /// Whether the demand requires all targets that may be ordered.
    pub fn needs_limit(&self, limits: FleetLimits) -> bool {
        self.targets >= limits.max_targets
    }
}

impl EngineSpecs {
    /// Number of busy prefill engines, and of busy decode engines.
    pub fn busy_stages(&self, work: &Work) -> (f64, f64) {
        let prefill = work.prefill_ms * self.prefill_factor / 1e3;
        let streams = work.streams / f64::from(self.slots.max(1));
        (prefill, work.decode_ms * self.decode_factor / 1e3 + streams)
    }

    /// Number of targets, in the proportion of the stages, of which the scarcer stage is busy.
    pub fn busy_targets(&self, work: &Work) -> f64 {
        let (prefill, decode) = self.busy_stages(work);
        self.scarcer(prefill, decode)
    }

    /// Number of targets in whose KV caches the requests of `work` fit.
    pub fn filled_targets(&self, work: &Work) -> f64 {
        let cache = self.kv_tokens.max(1) as f64 * KV_SHARE;
        self.scarcer(work.prefill_tokens / cache, work.decode_tokens / cache)
    }

    fn scarcer(&self, prefill: f64, decode: f64) -> f64 {
        let needed = |engines: f64, share: f64| if engines > 0.0 { engines / share } else { 0.0 };
        needed(prefill, self.prefill_share).max(needed(decode, 1.0 - self.prefill_share))
    }

    /// Utilization with which prompts wait for each other no longer than the latency targets
    /// allow.
    fn utilization(&self, mean: &Work) -> f64 {
        let prompt_ms = mean.prefill_ms * self.prefill_factor + mean.decode_ms * self.decode_factor;
        if prompt_ms <= 0.0 || mean.prompts <= 0.0 {
            return MAX_UTILIZATION;
        }
        let wait = self.latency_target.as_secs_f64() * 1e3 * WAIT_SHARE;
        let utilization = wait / (wait + prompt_ms / mean.prompts);
        utilization.clamp(MIN_UTILIZATION, MAX_UTILIZATION)
    }
}

/// Number of targets that `demand` requires; at the limits if it requires more. Without zones it
/// is that for a single one.
pub fn plan_demand(
    demand: &PlannedDemand,
    engine: &EngineSpecs,
    limits: FleetLimits,
) -> DemandPlan {
    let limits = FleetLimits { zones: limits.zones.max(1), ..limits };
    let utilization = engine.utilization(&demand.mean);
    let burst = if demand.span < FULL_SPAN { UNSEEN_BURST } else { 1.0 };
    let mean = engine.busy_targets(&demand.mean);
    let largest = engine.busy_targets(&demand.largest) * burst;
    let peak = largest.max(mean * MIN_BURST);
    let peak_reason = if largest >= mean * MIN_BURST { PlanReason::Peak } else { PlanReason::Mean };
    let filled = engine.filled_targets(&demand.largest) * burst;
    let on_demand = zone_part(mean / ON_DEMAND_UTILIZATION, limits.zones);
    let mut on_demand = on_demand.max(limits.min_targets).max(1).min(limits.max_targets);

    let mut targets = zone_part(peak / utilization, limits.zones);
    let mut reason = peak_reason;
    let for_memory = zone_part(filled, limits.zones);
    if for_memory > targets {
        (targets, reason) = (for_memory, PlanReason::Memory);
    }
    if on_demand > targets {
        (targets, reason) = (on_demand, PlanReason::Limit);
    }
    while targets < limits.max_targets
        && !survives_loss(mean, largest, targets, on_demand, limits.zones)
    {
        reason = PlanReason::Loss;
        if limits.zones > 1 {
            targets += 1;
        } else {
            // Only on-demand targets are left of a single zone.
            on_demand += 1;
            targets = targets.max(on_demand);
        }
    }
    if targets >= limits.max_targets {
        (targets, reason) = (limits.max_targets, PlanReason::Limit);
    }
    DemandPlan { targets, on_demand, reason, mean, peak, utilization, largest }
}

/// Whether the targets that are left after the loss of the reclaimable ones of a zone, and of some
/// of the rest, carry the mean work, and the largest work without room to spare.
fn survives_loss(mean: f64, largest: f64, targets: u32, on_demand: u32, zones: u32) -> bool {
    let lost = targets.saturating_sub(on_demand);
    survives_with(mean, largest, f64::from((targets * zones).saturating_sub(lost)))
}

/// Whether `left` targets carry the mean work, and the largest without room to spare, although the
/// silent share of them does not respond.
fn survives_with(mean: f64, largest: f64, left: f64) -> bool {
    let responding = left * (1.0 - SILENT_SHARE);
    mean <= responding * SURVIVOR_UTILIZATION && largest <= responding
}

/// Part of a zone of `targets`, rounded up.
fn zone_part(targets: f64, zones: u32) -> u32 {
    (targets / f64::from(zones)).ceil() as u32
}
