//! The targets that this host knows, and where a request runs.
//!
//! Each host decides alone. Requests that share a part of their prompt rank the
//! engines alike on every host (rendezvous hashing over the part and the target's
//! id), so that the part stays in few caches without any exchange between hosts.
//! A target with work in front of it loses its rank's advantage as soon as the
//! wait costs more than reading the part again elsewhere.

mod health;
mod rank;

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use chervilgate_clock::Time;
use smallvec::SmallVec;

use crate::{
    fleet::{
        health::Health,
        rank::{affinity, rank},
    },
    protocol::Prompt,
};

/// Prompt tokens that an engine computes in a millisecond with nothing else to do;
/// from the users' sheets, both of which state the same engine.
const PREFILL_RATE: f64 = 60.0;

/// How much slower an engine that generates computes prompts than one that only
/// computes prompts; the platform's documented factor.
const DECODE_SLOWDOWN: f64 = 2.0;

/// Cost of a hop to another availability zone and back, in milliseconds.
const ZONE_COST: f64 = 4.0;

/// What one open request costs the next one at an engine that generates, in
/// milliseconds: a few steps of its batch.
const OPEN_COST: f64 = 6.0;

/// What one open request costs the next one at a plain service, in milliseconds,
/// divided by its slots; the order of one request's work there.
const PLAIN_COST: f64 = 40.0;

/// Cost of a target that failed of late, in milliseconds for each unit of its
/// failure rate; above any queue that is worth waiting in.
const FAILURE_COST: f64 = 2_000.0;

/// Prompt tokens to compute from which a prefill engine does it, if there is one:
/// below, the transfer and the extra call cost more than the slower computation.
const SPLIT_TOKENS: u32 = 1_500;

/// Parts of prompts remembered for each target.
const PARTS: usize = 512;

/// Time after which an entry that was deleted while the store was just back is
/// given up, as a share of the time in which a leaving target may get work.
const LAPSED_SHARE: f64 = 0.9;

/// What an engine is set up to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// Computes prompts for others.
    Prefill,
    /// Generates, and computes prompts in small pieces.
    Decode,
    /// Runs whole requests; plain services too.
    Whole,
}

/// One target as it announces itself.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetEntry {
    /// Its id; a restart may keep it.
    pub id: Arc<str>,
    /// The service that it belongs to.
    pub service: Arc<str>,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is about to leave.
    pub draining: bool,
    /// What it is set up to do.
    pub stage: Stage,
    /// Tells two starts under one id apart.
    pub born: u64,
    /// Whether it is paid for as reclaimable.
    pub cheap: bool,
}

/// What a request needs of a target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Need<'a> {
    /// The service.
    pub service: &'a str,
    /// Its prompt; empty for plain services.
    pub prompt: &'a Prompt,
    /// Targets that have been tried.
    pub except: &'a [Arc<str>],
}

/// Where a request goes.
#[derive(Debug, Clone, PartialEq)]
pub struct Place {
    /// The target.
    pub id: Arc<str>,
    /// Its address.
    pub addr: SocketAddr,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Prompt tokens that it is expected to compute.
    pub compute: u32,
    /// Its predicted cost in milliseconds.
    pub cost: f64,
}

/// How a target did with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It answered.
    Answered,
    /// It stated that it did not run the request, being full.
    Full,
    /// It failed the request, broke off or was silent.
    Failed,
    /// It could not be reached.
    Unreachable,
    /// The request ended for a reason of its own.
    Neutral,
}

#[derive(Debug)]
struct Member {
    entry: TargetEntry,
    open: u32,
    /// Prompt computation sent and not known to be done, in milliseconds.
    pending: f64,
    parts: HashMap<u64, Time>,
    health: Health,
    lapses: Option<Time>,
}

/// The targets that this host knows.
#[derive(Debug)]
pub struct Fleet {
    zone: Arc<str>,
    drain: Duration,
    members: HashMap<Arc<str>, Member>,
    back: Option<Time>,
}

impl Fleet {
    /// A fleet without targets, as seen from `zone`.
    pub fn new(zone: &str, drain: Duration) -> Fleet {
        Fleet { zone: zone.into(), drain, members: HashMap::new(), back: None }
    }

    /// Notes that the store answers again after it did not.
    pub fn store_back(&mut self, now: Time) {
        self.back = Some(now);
    }

    /// Adds a target or takes over its new entry.
    pub fn set(&mut self, now: Time, entry: TargetEntry) {
        let Some(known) = self.members.get_mut(&entry.id) else {
            let member = Member {
                open: 0,
                pending: 0.0,
                parts: HashMap::new(),
                health: Health::new(now),
                lapses: None,
                entry,
            };
            self.members.insert(member.entry.id.clone(), member);
            return;
        };
        if known.entry.born != entry.born || known.entry.addr != entry.addr {
            known.parts.clear();
            known.health = Health::new(now);
        }
        known.lapses = None;
        known.entry = entry;
    }

    /// Takes a target out whose entry is gone.
    ///
    /// Entries that lapsed during an outage of the store come back soon after it;
    /// until then the target is kept, but no longer than a leaving one may be.
    pub fn remove(&mut self, now: Time, id: &str) {
        let hold = self.drain.mul_f64(LAPSED_SHARE);
        let recent = self.back.is_some_and(|back| now.since(back) < hold);
        if !recent {
            self.members.remove(id);
            return;
        }
        if let Some(member) = self.members.get_mut(id)
            && member.lapses.is_none()
        {
            member.lapses = Some(now + hold);
        }
    }

    /// Takes over a whole list of entries; targets that it leaves out are removed.
    pub fn replace(&mut self, now: Time, entries: Vec<TargetEntry>) {
        let kept: Vec<Arc<str>> = entries.iter().map(|entry| entry.id.clone()).collect();
        for entry in entries {
            self.set(now, entry);
        }
        let gone: Vec<Arc<str>> =
            self.members.keys().filter(|id| !kept.contains(id)).cloned().collect();
        for id in gone {
            self.remove(now, &id);
        }
    }

    /// Every target's entry.
    pub fn entries(&self) -> impl Iterator<Item = &TargetEntry> {
        self.members.values().map(|member| &member.entry)
    }

    /// Requests of this host that are open at a target.
    pub fn open(&self, id: &str) -> u32 {
        self.members.get(id).map_or(0, |member| member.open)
    }

    /// Where to run all of a request, or to generate its output.
    pub fn place(&self, now: Time, need: &Need<'_>) -> Option<Place> {
        let generates = |stage| stage != Stage::Prefill;
        self.best(now, need, generates, |member, compute| {
            let read = f64::from(compute) / PREFILL_RATE * DECODE_SLOWDOWN;
            member.pending + read + self.crowding(member)
        })
    }

    /// Where to compute the prompt of a request whose output is generated
    /// elsewhere; none if that does not pay.
    pub fn place_prefill(&self, now: Time, need: &Need<'_>) -> Option<Place> {
        let place = self.best(
            now,
            need,
            |stage| stage == Stage::Prefill,
            |member, compute| member.pending + f64::from(compute) / PREFILL_RATE,
        )?;
        (need.prompt.tokens >= SPLIT_TOKENS).then_some(place)
    }

    /// Where to generate from an exported KV cache: no prompt is computed there.
    pub fn place_decode(&self, now: Time, need: &Need<'_>) -> Option<Place> {
        let bare = Prompt::default();
        let need = Need { prompt: &bare, ..*need };
        self.best(now, &need, |stage| stage == Stage::Decode, |member, _| self.crowding(member))
    }

    /// Counts a request as sent to its place.
    pub fn start(&mut self, now: Time, place: &Place, prompt: &Prompt) {
        let Some(member) = self.members.get_mut(&place.id) else { return };
        member.open += 1;
        member.pending += member.compute_time(place.compute);
        for part in &prompt.parts {
            member.parts.insert(part.id, now);
        }
        if member.parts.len() > PARTS {
            let mut times: Vec<Time> = member.parts.values().copied().collect();
            let middle = times.len() / 2;
            let median = *times.select_nth_unstable(middle).1;
            member.parts.retain(|_, used| *used > median);
        }
    }

    /// Counts a request's prompt as computed.
    pub fn computed(&mut self, place: &Place) {
        let Some(member) = self.members.get_mut(&place.id) else { return };
        let time = member.compute_time(place.compute);
        member.pending = (member.pending - time).max(0.0);
    }

    /// Counts a request as ended.
    pub fn finish(&mut self, now: Time, place: &Place, outcome: Outcome) {
        let Some(member) = self.members.get_mut(&place.id) else { return };
        member.open = member.open.saturating_sub(1);
        if member.open == 0 {
            member.pending = 0.0;
        }
        member.health.note(now, outcome);
        if outcome == Outcome::Unreachable {
            member.parts.clear();
        }
    }

    fn best(
        &self,
        now: Time,
        need: &Need<'_>,
        stage: impl Fn(Stage) -> bool,
        cost: impl Fn(&Member, u32) -> f64,
    ) -> Option<Place> {
        let key = affinity(need.prompt);
        let fits = |member: &&Member| {
            let entry = &member.entry;
            &*entry.service == need.service
                && !entry.draining
                && member.lapses.is_none_or(|lapses| now < lapses)
                && stage(entry.stage)
                && !need.except.contains(&entry.id)
        };
        let fitting: SmallVec<[&Member; 16]> = self.members.values().filter(fits).collect();
        let owner =
            fitting.iter().max_by_key(|member| rank(key, &member.entry.id))?.entry.id.clone();
        let offers = fitting.into_iter().map(|member| {
            let compute = member.missing(need.prompt, member.entry.id == owner);
            let far = if member.entry.zone == self.zone { 0.0 } else { ZONE_COST };
            let failing = FAILURE_COST * member.health.rate(now);
            (member, compute, cost(member, compute) + far + failing)
        });
        let (member, compute, cost) = offers.min_by(|a, b| {
            let tie = || rank(key, &b.0.entry.id).cmp(&rank(key, &a.0.entry.id));
            a.2.total_cmp(&b.2).then_with(tie)
        })?;
        Some(Place {
            id: member.entry.id.clone(),
            addr: member.entry.addr,
            zone: member.entry.zone.clone(),
            compute,
            cost,
        })
    }

    fn crowding(&self, member: &Member) -> f64 {
        let open = f64::from(member.open);
        if member.entry.stage == Stage::Whole {
            return open * PLAIN_COST / f64::from(member.entry.slots.max(1));
        }
        open * OPEN_COST
    }
}

impl Member {
    /// Prompt tokens to compute: all after the first part that is not cached.
    fn missing(&self, prompt: &Prompt, owner: bool) -> u32 {
        let mut cached = 0;
        let shared = prompt.parts.len().saturating_sub(1);
        for (index, part) in prompt.parts.iter().enumerate() {
            let known = self.parts.contains_key(&part.id) || (owner && index < shared);
            if !known {
                break;
            }
            cached += part.tokens;
        }
        prompt.tokens.saturating_sub(cached).max(u32::from(prompt.tokens > 0))
    }

    /// Time to compute `tokens` prompt tokens, in milliseconds.
    fn compute_time(&self, tokens: u32) -> f64 {
        let slowdown = if self.entry.stage == Stage::Decode { DECODE_SLOWDOWN } else { 1.0 };
        f64::from(tokens) / PREFILL_RATE * slowdown
    }
}
