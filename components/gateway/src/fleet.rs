//! The targets that this host knows, and where a request runs.
//!
//! Each host decides alone. Requests that share a part of their prompt rank the
//! engines alike on every host (rendezvous hashing over the part and the target's
//! id), so that the part stays in few caches. A target with work in front of it
//! loses its rank's advantage as soon as the wait costs more than computing the part
//! again elsewhere. Hosts tell each other where they sent which parts; the rank
//! decides only about parts that nobody told of.

mod health;
mod heard;
mod member;
mod rank;

use std::{
    collections::{HashMap, HashSet, VecDeque},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use chervilgate_clock::Time;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::{
    fleet::{
        heard::Heard,
        member::Member,
        rank::{affinity, rank},
    },
    protocol::Prompt,
};

pub use crate::fleet::heard::OpenWork;

/// Cost of a hop to another availability zone and back, in milliseconds.
const ZONE_COST: f64 = 4.0;

/// Cost of a target that failed of late, in milliseconds for each unit of its
/// failure rate; above any queue that is worth waiting in.
const FAILURE_COST: f64 = 2_000.0;

/// Cost of a target's failures, as another host tells of them, in milliseconds for each
/// unit of its failure rate: less than own experience, since the fault may lie between that
/// host and the target. However many hosts tell of them, they cost no more than own ones.
const TOLD_FAILURE_COST: f64 = 400.0;

/// Cost of computing a prompt on one engine and generating on another, in
/// milliseconds: a second call, the transfer of the KV cache and its price.
const SPLIT_COST: f64 = 25.0;

/// Computation of a prompt from which all hosts are told of it at once, in
/// milliseconds: about what a short prompt may wait and still be on time.
const LONG_READ: f64 = 50.0;

/// Weight of computing a shared part again: its price comes on top of its time.
const REREAD_WEIGHT: f64 = 2.0;

/// Rendezvous weight of an engine that only computes prompts, against one that
/// generates: their speeds with prompts.
const PREFILL_WEIGHT: f64 = 2.0;

/// Probability that the first-ranked engine holds a shared part that no host told of:
/// others may be sending it there right now.
const OWNER_CACHED: f64 = 0.5;

/// The same for the second-ranked one, which takes over while the first is busy.
const SECOND_CACHED: f64 = 0.25;

/// Targets told of at most, so that all fits into one datagram; those with most work.
const TARGETS_TOLD: usize = 80;

/// Parts told of at most, so that all fits into one datagram; the latest.
const PARTS_TOLD: usize = 40;

/// Time after an outage of the store for which a target without an entry is kept, as
/// a share of the time in which a leaving target may get work.
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

/// How many targets are in which state; a failing one is also serving.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Census {
    /// May get requests.
    pub serving: u32,
    /// About to leave.
    pub draining: u32,
    /// Failed so often of late that other hosts are told.
    pub failing: u32,
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
    /// Time that this is expected to take, in milliseconds.
    pub read: f64,
    /// Time until it begins, in milliseconds.
    pub wait: f64,
    /// Its predicted cost in milliseconds.
    pub cost: f64,
}

/// Where a request runs.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// The target that answers the caller.
    pub place: Place,
    /// The target that computes the prompt first, if it is another one.
    pub prefill: Option<Place>,
}

impl Plan {
    /// Time until the first event, as far as it is known.
    pub fn predicted(&self) -> Duration {
        let prefill = self.prefill.as_ref().map_or(Duration::ZERO, Place::predicted);
        prefill + self.place.predicted()
    }
}

impl Place {
    /// Time until the prompt is computed.
    pub fn predicted(&self) -> Duration {
        Duration::from_secs_f64((self.wait + self.read).max(0.0) / 1e3)
    }

    /// Whether its prompt holds up others for so long that all hosts are told at once.
    pub fn is_long(&self) -> bool {
        self.read >= LONG_READ
    }
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
    /// Another process answers at its address, or it no longer does what its entry says.
    Gone,
    /// The request ended for a reason of its own.
    Neutral,
}

/// A part of a prompt at a target that was sent it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CachedPart {
    /// Stands for the target's id.
    pub target: u32,
    /// The part.
    pub part: u64,
}

/// The targets that this host knows.
#[derive(Debug)]
pub struct Fleet {
    zone: Arc<str>,
    drain: Duration,
    members: HashMap<Arc<str>, Member>,
    heard: Heard,
    /// Targets by what stands for them.
    keys: HashMap<u32, Arc<str>>,
    /// Parts that this host sent of late, in order of time.
    sent: VecDeque<(Time, CachedPart)>,
    back: Option<Time>,
    tickets: u64,
}

/// One request at one target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ticket(u64);

impl Fleet {
    /// A fleet without targets, as seen from `zone`.
    pub fn new(zone: &str, drain: Duration) -> Fleet {
        Fleet {
            zone: zone.into(),
            drain,
            members: HashMap::new(),
            heard: Heard::default(),
            keys: HashMap::new(),
            sent: VecDeque::new(),
            back: None,
            tickets: 0,
        }
    }

    /// Notes that the store answers again after it did not.
    pub fn store_back(&mut self, now: Time) {
        self.back = Some(now);
    }

    /// Adds a target or takes over its new entry.
    pub fn set(&mut self, now: Time, entry: TargetEntry) {
        match self.members.get_mut(&entry.id) {
            Some(known) => known.set(now, entry),
            None => {
                let member = Member::new(now, entry);
                self.keys.insert(member.key, member.entry.id.clone());
                self.members.insert(member.entry.id.clone(), member);
            }
        }
    }

    /// Takes a target out whose entry was deleted.
    pub fn remove(&mut self, id: &str) {
        if let Some(member) = self.members.remove(id) {
            self.keys.remove(&member.key);
        }
    }

    /// Takes over a whole list of entries; targets that it leaves out are removed.
    ///
    /// Entries that lapsed during an outage of the store come back soon after it;
    /// until then their targets are kept, but no longer than a leaving one may be.
    pub fn replace(&mut self, now: Time, entries: Vec<TargetEntry>) {
        let listed: HashSet<Arc<str>> = entries.iter().map(|entry| entry.id.clone()).collect();
        for entry in entries {
            self.set(now, entry);
        }
        let hold = self.drain.mul_f64(LAPSED_SHARE);
        let until = self.back.map(|back| back + hold).filter(|until| now < *until);
        self.members.retain(|id, member| {
            if listed.contains(id) {
                return true;
            }
            member.lapses = member.lapses.or(until);
            member.lapses.is_some_and(|lapses| now < lapses)
        });
        self.keys.retain(|_, id| self.members.contains_key(id));
    }

    /// Every target's entry.
    pub fn entries(&self) -> impl Iterator<Item = &TargetEntry> {
        self.members.values().map(|member| &member.entry)
    }

    /// How many targets are in which state.
    pub fn census(&self, now: Time) -> Census {
        let mut census = Census::default();
        for member in self.members.values() {
            let draining = member.entry.draining;
            census.serving += u32::from(!draining);
            census.draining += u32::from(draining);
            census.failing += u32::from(member.is_failing(now));
        }
        census
    }

    /// Where to run a request, and where to compute its prompt first if that is to be
    /// another target.
    pub fn place(&self, now: Time, need: &Need<'_>) -> Option<Plan> {
        let whole = self.best(now, need, |stage| stage != Stage::Prefill);
        if need.prompt.tokens == 0 {
            return whole.map(|place| Plan { place, prefill: None });
        }
        let prefill = self.best(now, need, |stage| stage == Stage::Prefill);
        let decode = self.place_decode(now, need);
        match (whole, prefill, decode) {
            (Some(whole), Some(prefill), Some(place)) if prefill.cost + SPLIT_COST < whole.cost => {
                Some(Plan { place, prefill: Some(prefill) })
            }
            (whole, ..) => whole.map(|place| Plan { place, prefill: None }),
        }
    }

    /// Where to generate from an exported KV cache: no prompt is computed there.
    pub fn place_decode(&self, now: Time, need: &Need<'_>) -> Option<Place> {
        let bare = Prompt::default();
        let need = Need { prompt: &bare, ..*need };
        self.best(now, &need, |stage| stage == Stage::Decode)
    }

    /// This host's open work, to tell the other hosts.
    pub fn open_work(&self, now: Time) -> Vec<OpenWork> {
        let told = self.members.values();
        let told = told.filter(|member| member.open > 0 || member.is_failing(now));
        let work = told.map(|member| member.told(now));
        let mut work: Vec<OpenWork> = work.collect();
        if work.len() > TARGETS_TOLD {
            work.sort_unstable_by_key(|work| std::cmp::Reverse(work.pending));
            work.truncate(TARGETS_TOLD);
        }
        work
    }

    /// Takes in another host's open work in place of what it told before.
    pub fn hear(&mut self, now: Time, host: u32, work: Vec<OpenWork>) {
        self.heard.hear(now, host, work);
        self.members.retain(|_, member| member.lapses.is_none_or(|lapses| now < lapses));
    }

    /// Parts of prompts that this host has sent to targets within `span`.
    pub fn sent_parts(&mut self, now: Time, span: Duration) -> Vec<CachedPart> {
        while self.sent.front().is_some_and(|(at, _)| now.since(*at) >= span) {
            self.sent.pop_front();
        }
        self.sent.iter().rev().take(PARTS_TOLD).map(|(_, part)| *part).collect()
    }

    /// Notes that all hosts have been told of the parts sent so far.
    pub fn told_all(&mut self) {
        self.sent.clear();
    }

    /// Takes in parts of prompts that another host has sent to targets.
    pub fn hear_parts(&mut self, now: Time, parts: &[CachedPart]) {
        for cached in parts {
            let member = self.keys.get(&cached.target).and_then(|id| self.members.get_mut(id));
            if let Some(member) = member {
                member.keep_part(now, cached.part);
            }
        }
    }

    /// Cost of the failures that other hosts tell of, in milliseconds.
    fn told_failure(&self, member: &Member) -> f64 {
        let rate = f64::from(self.heard.load(member.key).failing) / 100.0;
        (TOLD_FAILURE_COST * rate).min(FAILURE_COST)
    }

    /// Time until `member` begins with a new request, in milliseconds.
    fn wait(&self, now: Time, member: &Member) -> f64 {
        let others = self.heard.load(member.key);
        member.wait(now, others.open, f64::from(others.pending))
    }

    /// Counts a request as sent to its place.
    pub fn start(&mut self, now: Time, place: &Place, prompt: &Prompt) -> Ticket {
        self.tickets += 1;
        let ticket = Ticket(self.tickets);
        if let Some(member) = self.members.get_mut(&place.id) {
            member.start(now, ticket, place, prompt);
            let target = member.key;
            let parts = prompt.parts.iter().map(|part| CachedPart { target, part: part.id });
            self.sent.extend(parts.map(|part| (now, part)));
        }
        ticket
    }

    /// Counts a request's prompt as computed; doing so again changes nothing.
    ///
    /// Returns whether it was not counted so before.
    pub fn computed(&mut self, place: &Place, ticket: Ticket) -> bool {
        let member = self.members.get_mut(&place.id);
        member.is_some_and(|member| member.computed(ticket, place))
    }

    /// Counts a request as ended.
    ///
    /// Returns whether the target is failing and was not before.
    pub fn finish(&mut self, now: Time, place: &Place, ticket: Ticket, outcome: Outcome) -> bool {
        let Some(member) = self.members.get_mut(&place.id) else { return false };
        let before = member.is_failing(now);
        member.computed(ticket, place);
        member.finish(now, outcome);
        member.is_failing(now) && !before
    }

    fn best(&self, now: Time, need: &Need<'_>, stage: impl Fn(Stage) -> bool) -> Option<Place> {
        let key = affinity(need.prompt);
        let serving = self.members.values().filter(|member| member.serves(now, need.service));
        let ranked = serving.map(|member| {
            let weight = if member.entry.stage == Stage::Prefill { PREFILL_WEIGHT } else { 1.0 };
            (member, rank(key, &member.entry.id, weight))
        });
        let ranked: SmallVec<[(&Member, f64); 32]> = ranked.collect();
        let (mut first, mut second) = (f64::MIN, f64::MIN);
        for (_, rank) in &ranked {
            second = second.max(rank.min(first));
            first = first.max(*rank);
        }
        let likely = |rank: f64| match rank {
            rank if rank == first => OWNER_CACHED,
            rank if rank == second => SECOND_CACHED,
            _ => 0.0,
        };
        let fitting = ranked.into_iter().filter(|(member, _)| {
            stage(member.entry.stage) && !need.except.contains(&member.entry.id)
        });
        let offers = fitting.map(|(member, rank)| {
            let missing = member.missing(need.prompt, likely(rank));
            let far = if member.entry.zone == self.zone { 0.0 } else { ZONE_COST };
            let failing = FAILURE_COST * member.health.rate(now) + self.told_failure(member);
            let read = member.read_time(missing.shared, need.prompt.tokens) * REREAD_WEIGHT
                + member.read_time(missing.own, need.prompt.tokens);
            (member, rank, missing, self.wait(now, member) + read + far + failing)
        });
        let (member, _, missing, cost) =
            offers.min_by(|a, b| a.3.total_cmp(&b.3).then_with(|| b.1.total_cmp(&a.1)))?;
        let compute = missing.shared + missing.own;
        Some(Place {
            id: member.entry.id.clone(),
            addr: member.entry.addr,
            zone: member.entry.zone.clone(),
            compute,
            read: member.read_time(compute, need.prompt.tokens),
            wait: self.wait(now, member),
            cost,
        })
    }
}
