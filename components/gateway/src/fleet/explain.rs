//! The targets that a request may be sent to, with the terms by which they are compared.

use std::{sync::Arc, time::Duration};

use chervilgate_clock::Time;
use serde::Serialize;

use crate::{
    fleet::{
        CapacityClaim, CostTerms, Fleet, Placement, Plan, SplitTerms, TargetQuery, TargetRole,
        costs::Candidate, placing::Rules,
    },
    protocol::Prompt,
};

/// Maximum number of targets that are listed.
const MAX_LISTED: usize = 8;

/// The cost of a target for a stage of a request.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct CandidateCost {
    /// The target's id.
    pub target: Arc<str>,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Sum of the terms.
    pub cost_ms: f64,
    /// The terms.
    pub terms: CostTerms,
    /// Prompt tokens that it is expected to compute.
    pub compute_tokens: u32,
    /// Predicted time until it has computed them.
    pub first_event_ms: f64,
    /// Engine that it would import a prefix from; none if it imports nothing.
    pub import_from: Option<Arc<str>>,
    /// Whether it has capacity for the whole request; none where that is not asked.
    pub has_capacity: Option<bool>,
}

/// The targets for a stage of a request, the cheapest first.
#[derive(Debug, Clone, PartialEq, Default, Serialize)]
pub struct StageCosts {
    /// The first of them.
    pub best: Vec<CandidateCost>,
    /// Number of further ones.
    pub more: usize,
}

/// A target that may not be sent the request now.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Held {
    /// The target's id.
    pub target: Arc<str>,
    /// Why not.
    pub reason: &'static str,
    /// Time until it may be, in milliseconds; none if that is not known.
    pub wait_ms: Option<u64>,
}

/// All that is compared when the targets of a request are chosen.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Comparison {
    /// Targets that run the whole request.
    pub whole: StageCosts,
    /// Engines that only compute its prompt.
    pub prefill: StageCosts,
    /// Engines that generate from a prompt that another one has computed.
    pub decode: StageCosts,
    /// Cost of computing the prompt on another engine; none if that is not possible.
    pub split: Option<SplitTerms>,
    /// Targets of the service that may not be sent the request now.
    pub held: Vec<Held>,
    /// Number of further ones.
    pub more_held: usize,
}

impl Fleet {
    /// What [`Fleet::place`] compares, or with `claim` what [`Fleet::place_with_capacity`] compares first.
    pub fn compare(
        &self,
        now: Time,
        query: &TargetQuery<'_>,
        claim: Option<&CapacityClaim<'_>>,
    ) -> Comparison {
        let rules = Rules { max_wait: None, assumes_work: claim.is_some() };
        let is_whole = |role| role != TargetRole::Prefill;
        let (whole, _) = self.stage(now, query, query.prompt, rules, claim, is_whole);
        let mut comparison = Comparison {
            whole,
            prefill: StageCosts::default(),
            decode: StageCosts::default(),
            split: None,
            held: Vec::new(),
            more_held: 0,
        };
        if query.prompt.tokens > 0 {
            self.compare_stages(now, query, rules, &mut comparison);
        }
        let mut held: Vec<Held> = self.held_targets(now, query).collect();
        held.sort_unstable_by(|a, b| a.wait_ms.cmp(&b.wait_ms).then(a.target.cmp(&b.target)));
        comparison.more_held = held.len().saturating_sub(MAX_LISTED);
        held.truncate(MAX_LISTED);
        comparison.held = held;
        comparison
    }

    fn compare_stages(
        &self,
        now: Time,
        query: &TargetQuery<'_>,
        rules: Rules,
        comparison: &mut Comparison,
    ) {
        // A prompt that is lost is computed again, whatever the request.
        let stage = TargetQuery { runs_once: false, ..*query };
        let is_prefill = |role| role == TargetRole::Prefill;
        let (costs, prefill) = self.stage(now, &stage, query.prompt, rules, None, is_prefill);
        comparison.prefill = costs;
        let no_prompt = Prompt::default();
        let decoding = TargetQuery { prompt: &no_prompt, ..*query };
        let is_decode = |role| role == TargetRole::Decode;
        let (costs, any) = self.stage(now, &decoding, query.prompt, rules, None, is_decode);
        comparison.decode = costs;
        comparison.split = prefill.and_then(|prefill| {
            let same = TargetQuery { build: Some(prefill.build.id), ..*query };
            let decode = self.decoding_target(now, &same, rules)?;
            let need = self.need(query.service, query.prompt);
            Some(self.split_cost(&prefill, &decode, any.as_ref(), &need))
        });
    }

    /// The costs of the targets for a stage of a request with `prompt`, and the cheapest.
    fn stage(
        &self,
        now: Time,
        query: &TargetQuery<'_>,
        prompt: &Prompt,
        rules: Rules,
        claim: Option<&CapacityClaim<'_>>,
        has_role: impl Fn(TargetRole) -> bool,
    ) -> (StageCosts, Option<Placement>) {
        let need = self.need(query.service, prompt);
        let mut candidates: Vec<Candidate<'_>> = Vec::new();
        self.visit_candidates(now, query, &need, rules, has_role, |it| candidates.push(it));
        candidates.sort_by(Candidate::order);
        let best = candidates.iter().take(MAX_LISTED).map(|candidate| {
            let placement = self.placement(now, query, candidate);
            let first_event_ms = placement.wait_ms + placement.prefill_ms;
            let import_from = placement.import.as_ref().map(|import| import.source.clone());
            let (target, zone) = (placement.id.clone(), placement.zone.clone());
            let compute_tokens = placement.compute_tokens;
            let plan = Plan { placement, prefill: None };
            CandidateCost {
                target,
                zone,
                cost_ms: candidate.cost_ms,
                terms: candidate.terms,
                compute_tokens,
                first_event_ms,
                import_from,
                has_capacity: claim.map(|claim| self.has_capacity(now, query, &plan, claim)),
            }
        });
        let more = candidates.len().saturating_sub(MAX_LISTED);
        let costs = StageCosts { best: best.collect(), more };
        let first = candidates.first().map(|candidate| self.placement(now, query, candidate));
        (costs, first)
    }

    fn held_targets(&self, now: Time, query: &TargetQuery<'_>) -> impl Iterator<Item = Held> {
        let listed = self.targets.values().filter(|state| *state.entry.service == *query.service);
        listed.filter_map(move |state| {
            let held = |reason, wait: Option<Duration>| {
                let wait_ms = wait.map(|wait| wait.as_millis() as u64);
                Some(Held { target: state.entry.id.clone(), reason, wait_ms })
            };
            if !state.serves(now, query.service) {
                let avoided = state.avoided_until.filter(|until| now < *until);
                return match avoided {
                    _ if state.entry.draining => held("draining", None),
                    Some(until) => held("avoided", Some(until.since(now))),
                    None if state.is_ended(now) => held("ended", None),
                    None => held("left", None),
                };
            }
            let (hold, wait) = self.hold(now, state)?;
            held(hold.as_str(), Some(wait))
        })
    }
}
