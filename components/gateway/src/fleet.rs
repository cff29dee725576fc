//! The targets that this host knows, and the choice of a target for each request.
//!
//! Each host decides alone. All hosts rank the engines alike for requests that share a
//! prompt part (rendezvous hashing over the part and the target's id), so that the part
//! is cached on few engines. A busy target loses the advantage of its rank as soon as
//! waiting for it costs more than computing the part again elsewhere. Hosts tell each
//! other which parts they sent where; the rank only decides about parts that no host
//! has reported.

mod builds;
mod capacity;
mod costs;
mod demand;
mod departures;
mod ends;
mod entry;
mod explain;
mod failures;
mod first_seconds;
mod health;
mod imports;
mod joins;
mod limits;
mod pauses;
mod peer_loads;
mod placing;
mod plan;
mod rank;
mod rests;
mod room;
mod sending;
mod target;

use std::{
    collections::{HashMap, HashSet, VecDeque},
    sync::Arc,
    time::Duration,
};

use chervilgate_clock::Time;
use chervilgate_policy::{GroupSpeed, SpeedReport};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::{
    demand::WorkMeter,
    fleet::{
        builds::GoneBuilds,
        departures::{Departure, Departures},
        failures::Failures,
        first_seconds::FirstSeconds,
        imports::Imports,
        joins::Joins,
        limits::Limits,
        pauses::PauseMeter,
        peer_loads::PeerLoads,
        rests::Rests,
        target::{Observation, Seen, TargetState},
    },
    protocol::Prompt,
};

pub use crate::fleet::{
    builds::{Build, BuildId, STREAM_LIFE, SeenBuilds, ServiceBuild},
    capacity::{Capacity, CapacityClaim},
    costs::{ComputeCost, CostTerms, SplitTerms},
    demand::{EngineSpeeds, StageCounts},
    ends::{EndNotice, LifeNotice, PastEnd, SettledBuilds},
    entry::{TargetCounts, TargetEntry, TargetRole},
    explain::{CandidateCost, Comparison, Held, StageCosts},
    failures::OutcomeNotice,
    imports::Import,
    limits::LimitNotice,
    peer_loads::{InFlightWork, KvTokens},
    plan::{Placement, Plan, TargetQuery},
    room::EngineLimits,
    sending::Hold,
};

/// Maximum number of targets in a message, so that it fits into one datagram; those
/// with the most pending work are kept.
const MAX_GOSSIP_TARGETS: usize = 80;

/// Maximum number of prompt parts in a message, so that it fits into one datagram; the
/// latest are kept.
const MAX_GOSSIP_PARTS: usize = 40;

/// Maximum number of targets' speeds in a message, so that it fits into one datagram; the
/// latest are kept.
const MAX_GOSSIP_SPEEDS: usize = 40;

/// Time after a store outage for which a target without an entry is kept, as a share of
/// the time in which a draining target may still get work.
const EXPIRED_ENTRY_SHARE: f64 = 0.9;

/// How a request ended on a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The target responded.
    Answered,
    /// The target refused the request for lack of capacity.
    Full,
    /// The target answered with an error of its own.
    ErrorAnswer,
    /// The target failed midway, lost the answer or timed out.
    Failed,
    /// The connection failed.
    Unreachable,
    /// Another process answers at its address, or it no longer matches its entry.
    Replaced,
    /// The request ended for a reason unrelated to the target.
    Unrelated,
}

/// A prompt part that was sent to a target and is taken as cached there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CachedPart {
    /// Hash of the target's id.
    pub target: u32,
    /// Id of the part.
    pub part: u64,
}

/// The targets that this host knows, and its requests in flight on them.
#[derive(Debug)]
pub struct Fleet {
    zone: Arc<str>,
    drain_time: Duration,
    targets: HashMap<Arc<str>, TargetState>,
    departures: Departures,
    limits: Limits,
    rests: Rests,
    gone_builds: GoneBuilds,
    joins: Joins,
    untold_ends: Vec<EndNotice>,
    /// Starts whose ends were disproved, of which others are to be told.
    untold_lives: Vec<LifeNotice>,
    peer_loads: PeerLoads,
    first_seconds: FirstSeconds,
    failures: Failures,
    /// Target ids by their hash.
    ids_by_hash: HashMap<u32, Arc<str>>,
    /// Parts that this host sent recently, in order of time.
    sent_parts: VecDeque<(Time, CachedPart)>,
    /// Since when targets may lack an entry because of an outage; none once they were listed after it.
    store_recovered_at: Option<Time>,
    last_attempt: u64,
    /// Speeds by group, which [`TargetState::group`] identifies.
    speeds: HashMap<u32, GroupSpeed>,
    pauses: PauseMeter,
    work: WorkMeter,
    /// Tokens in an event of a stream, by service; services without are not known.
    event_tokens: HashMap<Arc<str>, u32>,
    /// What engines hold at most, by service; services without are not known.
    engine_limits: HashMap<Arc<str>, EngineLimits>,
    imports: Imports,
}

/// What a host has seen of the speed of a group of targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct GroupReport {
    /// Identifies the group: the targets of one service and role.
    pub group: u32,
    /// What was seen.
    pub report: SpeedReport,
}

/// What a host has seen of the speed of one start of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TargetSpeedReport {
    /// Hash of the target's id.
    pub target: u32,
    /// Hash of its id and start.
    pub start: u32,
    /// What was seen.
    pub report: SpeedReport,
}

/// Identifies an attempt to run a request on a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptId(u64);

impl AttemptId {
    pub(crate) fn number(self) -> u64 {
        self.0
    }
}

impl Fleet {
    /// A fleet without targets; `zone` is this host's zone and `drain_time` the time in
    /// which a draining target may still get work.
    pub fn new(zone: &str, drain_time: Duration) -> Fleet {
        Fleet {
            zone: zone.into(),
            drain_time,
            targets: HashMap::new(),
            departures: Departures::default(),
            limits: Limits::new(),
            rests: Rests::default(),
            gone_builds: GoneBuilds::default(),
            joins: Joins::default(),
            untold_ends: Vec::new(),
            untold_lives: Vec::new(),
            peer_loads: PeerLoads::default(),
            first_seconds: FirstSeconds::default(),
            failures: Failures::default(),
            ids_by_hash: HashMap::new(),
            sent_parts: VecDeque::new(),
            store_recovered_at: None,
            last_attempt: 0,
            speeds: HashMap::new(),
            pauses: PauseMeter::default(),
            work: WorkMeter::default(),
            event_tokens: HashMap::new(),
            engine_limits: HashMap::new(),
            imports: Imports::default(),
        }
    }

    /// Records that the store responds again after an outage. Targets that the next list lacks count as without
    /// an entry since `since`.
    pub fn store_recovered(&mut self, since: Time) {
        self.store_recovered_at = self.store_recovered_at.max(Some(since));
    }

    /// Adds a target or updates its entry, unless it wrote that before what is known of it.
    pub fn upsert(&mut self, now: Time, mut entry: TargetEntry) {
        match self.departures.of(&entry) {
            None => {}
            Some(Departure::Announced) => entry.draining = true,
            Some(departure) => return log_skipped(&entry, &format!("{departure:?}")),
        }
        if entry.draining {
            self.departures.record(now, &entry.id, entry.incarnation, Departure::Announced);
        }
        self.record_build(now, &entry);
        match self.targets.get_mut(&entry.id) {
            Some(known) if entry.is_later_start_than(&known.entry) => {
                let earlier = known.entry.incarnation;
                self.gone_builds.record_gone(now, &known.entry);
                self.departures.record(now, &entry.id, earlier, Departure::Replaced);
                known.update_entry(now, entry);
            }
            Some(known)
                if known.entry.incarnation == entry.incarnation
                    && entry.is_older_than(known.entry.sequence) =>
            {
                known.expires_at = None;
                log_skipped(&entry, "a later write is known");
            }
            Some(known) => {
                if known.entry.build != entry.build {
                    self.gone_builds.record_gone(now, &known.entry);
                }
                known.update_entry(now, entry);
            }
            None => {
                let state = TargetState::new(now, entry);
                self.ids_by_hash.insert(state.id_hash, state.entry.id.clone());
                self.targets.insert(state.entry.id.clone(), state);
            }
        }
    }

    /// Removes a target whose entry was deleted.
    pub fn remove(&mut self, now: Time, id: &str) {
        if let Some(state) = self.targets.remove(id) {
            self.ids_by_hash.remove(&state.id_hash);
            self.gone_builds.record_gone(now, &state.entry);
            let TargetEntry { id, incarnation, .. } = &state.entry;
            self.departures.record(now, id, *incarnation, state.entry.removal());
        }
    }

    /// Removes the targets without an entry whose time is over.
    fn remove_expired(&mut self, now: Time) {
        let is_expired = |state: &TargetState| state.expires_at.is_some_and(|at| now >= at);
        let expired = self.targets.values().filter(|state| is_expired(state));
        let expired: SmallVec<[Arc<str>; 4]> =
            expired.map(|state| state.entry.id.clone()).collect();
        for id in expired {
            self.remove(now, &id);
        }
    }

    /// Replaces all entries; targets that are not listed are removed. Returns whether there were
    /// any.
    ///
    /// Entries that expired during a store outage come back soon after it. Until then the targets that
    /// the first list after it lacks are kept, but no longer than a draining target may get work. What a
    /// later list lacks was removed since.
    pub fn replace(&mut self, now: Time, entries: Vec<TargetEntry>) -> bool {
        let is_first = self.gone_builds.record_list(now);
        let listed: HashSet<Arc<str>> = entries.iter().map(|entry| entry.id.clone()).collect();
        for entry in entries {
            self.upsert(now, entry);
        }
        if is_first {
            self.admit_listed();
        }
        let hold_time = self.drain_time.mul_f64(EXPIRED_ENTRY_SHARE);
        let until = self
            .store_recovered_at
            .take()
            .map(|recovered_at| recovered_at + hold_time)
            .filter(|until| now < *until);
        let mut is_missing_some = false;
        for (id, state) in &mut self.targets {
            if !listed.contains(id) {
                state.expires_at = state.expires_at.or(until).or(Some(now));
                is_missing_some = true;
            }
        }
        self.remove_expired(now);
        is_missing_some
    }

    /// The entries of all targets.
    pub fn entries(&self) -> impl Iterator<Item = &TargetEntry> + Clone {
        self.targets.values().map(|state| &state.entry)
    }

    /// Counts the targets by state.
    pub fn target_counts(&self, now: Time) -> TargetCounts {
        let mut counts = TargetCounts::default();
        for state in self.targets.values() {
            let draining = state.entry.draining;
            counts.serving += u32::from(!draining);
            counts.draining += u32::from(draining);
            counts.failing += u32::from(state.is_failing(now));
        }
        counts.resting = u32::try_from(self.rests.count(now)).unwrap_or(u32::MAX);
        counts.limited = u32::try_from(self.limits.count()).unwrap_or(u32::MAX);
        counts
    }

    /// This host's work in flight, to send to other hosts.
    pub fn in_flight_work(&self, now: Time) -> Vec<InFlightWork> {
        let reported = self.targets.values();
        let reported = reported.filter(|state| state.in_flight > 0 || state.is_failing(now));
        let work = reported.map(|state| state.reported_work(now));
        let mut work: Vec<InFlightWork> = work.collect();
        if work.len() > MAX_GOSSIP_TARGETS {
            work.sort_unstable_by_key(|work| std::cmp::Reverse(work.pending));
            work.truncate(MAX_GOSSIP_TARGETS);
        }
        work
    }

    /// Replaces the work in flight that another host reported before.
    pub fn apply_peer_work(&mut self, now: Time, host: u32, work: Vec<InFlightWork>) {
        self.first_seconds.record_report(host, &work);
        self.peer_loads.update(now, host, work);
        self.remove_expired(now);
    }

    /// This host's outcomes within `span` on targets with failures, to send to other hosts.
    pub fn outcome_notices(&mut self, now: Time, span: Duration) -> Vec<OutcomeNotice> {
        self.failures.notices(now, span)
    }

    /// Applies what another host saw of targets with failures.
    pub fn apply_outcome_notices(&mut self, now: Time, host: u32, notices: &[OutcomeNotice]) {
        for notice in notices {
            let limits = &self.limits;
            self.failures.apply(now, host, notice, || limits.is_first_host(notice.start));
        }
    }

    /// Prompt parts that this host sent to targets within `span`, latest first.
    pub fn recent_parts(&mut self, now: Time, span: Duration) -> Vec<CachedPart> {
        while self.sent_parts.front().is_some_and(|(at, _)| now.since(*at) >= span) {
            self.sent_parts.pop_front();
        }
        self.sent_parts.iter().rev().take(MAX_GOSSIP_PARTS).map(|(_, part)| *part).collect()
    }

    /// Clears the sent parts after a broadcast to all hosts.
    pub fn clear_sent_parts(&mut self) {
        self.sent_parts.clear();
    }

    /// Records prompt parts that another host sent to targets.
    pub fn apply_peer_parts(&mut self, now: Time, parts: &[CachedPart]) {
        for cached in parts {
            let state =
                self.ids_by_hash.get(&cached.target).and_then(|id| self.targets.get_mut(id));
            if let Some(state) = state {
                state.record_part(now, cached.part);
            }
        }
    }

    /// Records a stream that has ended; `late` if it paused for longer than its route allows.
    pub fn record_stream(&mut self, now: Time, late: bool) {
        self.pauses.record(now, late);
    }

    /// Sets the tokens in an event of a stream by service, by the configuration.
    pub fn set_event_tokens(&mut self, event_tokens: HashMap<Arc<str>, u32>) {
        self.event_tokens = event_tokens;
    }

    /// What this host has seen of the targets' speeds, to send to other hosts.
    pub fn speed_reports(&self, now: Time) -> Vec<GroupReport> {
        let reports = self.speeds.iter();
        let reports = reports.filter_map(|(group, speed)| {
            Some(GroupReport { group: *group, report: speed.report(now)? })
        });
        reports.take(MAX_GOSSIP_TARGETS).collect()
    }

    /// Replaces what another host reported of the targets' speeds before.
    pub fn apply_speed_reports(&mut self, now: Time, host: u32, reports: &[GroupReport]) {
        for GroupReport { group, report } in reports {
            // Reports of groups that this host does not know are of no use to it.
            if self.targets.values().any(|state| state.group == *group) {
                self.speeds.entry(*group).or_default().apply_report(now, host, *report);
            }
        }
    }

    /// What this host has seen of single targets' speeds, to send to other hosts: the latest.
    pub fn target_speed_reports(&self, now: Time) -> Vec<TargetSpeedReport> {
        let seen = self.targets.values().filter_map(|state| Some((state.speed.latest()?, state)));
        let mut seen: Vec<(Time, &TargetState)> = seen.collect();
        seen.sort_unstable_by_key(|(at, _)| std::cmp::Reverse(*at));
        let reports = seen.into_iter().take(MAX_GOSSIP_SPEEDS).filter_map(|(_, state)| {
            let (target, start) = (state.id_hash, state.start_hash);
            Some(TargetSpeedReport { target, start, report: state.speed.report(now)? })
        });
        reports.collect()
    }

    /// Replaces what another host reported of single targets' speeds before.
    pub fn apply_target_speeds(&mut self, now: Time, host: u32, reports: &[TargetSpeedReport]) {
        for TargetSpeedReport { target, start, report } in reports {
            let state = self.ids_by_hash.get(target).and_then(|id| self.targets.get_mut(id));
            if let Some(state) = state.filter(|state| state.start_hash == *start) {
                state.speed.apply_report(now, host, *report);
                // Groups are updated even if this host has seen nothing of them.
                self.speeds.entry(state.group).or_default();
            }
        }
    }

    /// Applies what was learned of the targets' speeds to predictions from now on; to be
    /// called a few times a second.
    pub fn update_speeds(&mut self, now: Time) {
        self.speeds.retain(|group, _| self.targets.values().any(|state| state.group == *group));
        for (group, speed) in &mut self.speeds {
            if !speed.update(now) {
                continue;
            }
            for state in self.targets.values_mut().filter(|state| state.group == *group) {
                state.speed_factor = state.speed.factor(now, speed.factor());
            }
        }
    }

    /// What to tell other hosts of the targets' limits: what has changed just now, or all.
    pub fn limit_notices(&self, now: Time, only_news: bool) -> Vec<LimitNotice> {
        self.limits.notices(now, only_news)
    }

    /// Records what another host told of the targets' limits. Returns whether any of it is new.
    pub fn apply_limit_notices(&mut self, now: Time, notices: &[LimitNotice]) -> bool {
        let mut is_new = false;
        for notice in notices {
            // It is told again, should the target's entry arrive later.
            let Some(id) = self.ids_by_hash.get(&notice.target) else { continue };
            is_new |= self.limits.apply_notice(now, id, notice);
        }
        is_new
    }

    /// Counts a request as in flight on its target.
    pub fn start(&mut self, now: Time, placement: &Placement, prompt: &Prompt) -> AttemptId {
        self.last_attempt += 1;
        let attempt = AttemptId(self.last_attempt);
        self.start_import(now, placement);
        if let Some(state) = self.targets.get_mut(&placement.id) {
            let reference_ms = state.reference_ms(placement);
            let tokens = self.work.start(now, attempt, &state.entry, reference_ms, prompt);
            state.kv_tokens += u64::from(tokens);
            state.start(now, attempt, placement, prompt);
            self.failures.record_start(now, state.start_hash);
            let target = state.id_hash;
            let parts = prompt.parts.iter().map(|part| CachedPart { target, part: part.id });
            self.sent_parts.extend(parts.map(|part| (now, part)));
        }
        attempt
    }

    /// Marks a request's prompt as computed; a repeat has no effect.
    ///
    /// Returns whether it was not marked before.
    pub fn mark_computed(&mut self, now: Time, placement: &Placement, attempt: AttemptId) -> bool {
        let Some(state) = self.targets.get_mut(&placement.id) else { return false };
        let Some(Seen { observation, imported }) = state.mark_computed(now, attempt, placement)
        else {
            return false;
        };
        if let Some(hit) = imported {
            self.imports.record(now, hit);
        }
        if let Some(Observation { reference, seen }) = observation {
            state.speed.record(now, reference, seen);
            self.speeds.entry(state.group).or_default().record(now, reference, seen);
        }
        true
    }

    /// Removes a request from its target and records the outcome.
    ///
    /// Returns whether this made the target failing, or is the first failure that is known of it.
    pub fn finish(
        &mut self,
        now: Time,
        placement: &Placement,
        attempt: AttemptId,
        outcome: AttemptOutcome,
    ) -> bool {
        if outcome == AttemptOutcome::Answered {
            self.mark_computed(now, placement, attempt);
        }
        let tokens = self.work.finish(now, attempt);
        let Some(state) = self.targets.get_mut(&placement.id) else { return false };
        state.kv_tokens = state.kv_tokens.saturating_sub(u64::from(tokens));
        let before = state.is_failing(now);
        // The time until a failure says nothing about the target's speed.
        state.mark_computed(now, attempt, placement);
        state.finish(now, outcome);
        let start = state.start_hash;
        let limits = &self.limits;
        let is_first = self.failures.record(now, start, outcome, || limits.is_first_host(start));
        is_first || state.is_failing(now) && !before
    }
}

fn log_skipped(entry: &TargetEntry, reason: &str) {
    let TargetEntry { id, incarnation, sequence, .. } = entry;
    log::info!(target: "fleet", id, incarnation, sequence, reason; "target's entry is old; skipped");
}
