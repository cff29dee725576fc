//! What the fleet knows for planning the number of its targets.

use chervilgate_clock::Time;

use crate::{
    demand::WorkTotals,
    fleet::{
        Fleet, Plan, TargetRole,
        target::{TargetState, group_of, reference_prompt_ms},
    },
    protocol::Prompt,
};

/// Time that engines take relative to the reference engine, as far as it was learned.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct EngineSpeeds {
    /// Of prefill engines.
    pub prefill: Option<f64>,
    /// Of decode engines.
    pub decode: Option<f64>,
}

/// Number of engines by stage that are not draining.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct StageCounts {
    /// Prefill engines.
    pub prefill: u32,
    /// Decode engines.
    pub decode: u32,
}

impl Fleet {
    /// Work of this host's callers since its start.
    pub fn work_totals(&self, now: Time) -> Vec<WorkTotals> {
        self.work.totals(now)
    }

    /// Counts a prompt that was not sent although targets were chosen for it.
    pub fn record_refused(&mut self, service: &str, plan: &Plan) {
        let placement = plan.prefill.as_ref().unwrap_or(&plan.placement);
        let Some(state) = self.targets.get(&placement.id) else { return };
        if state.entry.role != TargetRole::Whole {
            let prompt_ms = state.reference_ms(placement);
            self.work.record_refused(service, state.entry.role, prompt_ms);
        }
    }

    /// Counts a prompt for which there was no target. All of it counts, since nothing is known of
    /// what is cached.
    pub fn record_unplaced(&mut self, service: &str, prompt: &Prompt) {
        if prompt.tokens > 0 {
            let prompt_ms = reference_prompt_ms(prompt.tokens, prompt.tokens);
            self.work.record_refused(service, TargetRole::Prefill, prompt_ms);
        }
    }

    /// Counts a prompt that was placed where it has to wait for long.
    pub fn record_wait(&mut self, service: &str) {
        self.work.record_wait(service);
    }

    /// What was learned of the speed of a service's engines.
    pub fn engine_speeds(&self, now: Time, service: &str) -> EngineSpeeds {
        let speed = |role| {
            let speed = self.speeds.get(&group_of(service, role))?;
            speed.is_learned(now).then(|| speed.work_factor(now))
        };
        EngineSpeeds { prefill: speed(TargetRole::Prefill), decode: speed(TargetRole::Decode) }
    }

    /// Number of a service's engines by stage.
    pub fn stage_counts(&self, service: &str) -> StageCounts {
        let mut counts = StageCounts::default();
        let entries = self.entries().filter(|entry| &*entry.service == service && !entry.draining);
        for entry in entries {
            match entry.role {
                TargetRole::Prefill => counts.prefill += 1,
                TargetRole::Decode => counts.decode += 1,
                TargetRole::Whole => {}
            }
        }
        counts
    }

    /// Whether a target of `service` fails, is silent, rests, has a limit, or may be gone, so that
    /// the others have to do its work.
    pub fn has_impaired_targets(&self, now: Time, service: &str) -> bool {
        let is_impaired = |state: &TargetState| {
            state.is_failing(now)
                || state.overdue_ms(now) > 0.0
                || state.expires_at.is_some()
                || state.is_ended(now)
                || self.peer_loads.load(state.id_hash).failure_percent > 0
                || self.hold(now, state).is_some()
                || self.limits.has_limit(&state.entry.id, state.entry.incarnation)
        };
        let targets = self.targets.values();
        let mut targets =
            targets.filter(|state| &*state.entry.service == service && !state.entry.draining);
        targets.any(is_impaired)
    }
}
