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
use serde::{Deserialize, Serialize};
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

/// Time that attention adds, in milliseconds for each million pairs of a computed
/// token and a token before it; from the users' sheets.
const PAIRS_COST: f64 = 0.367;

/// Cost of computing a prompt on one engine and generating on another, in
/// milliseconds: a second call, the transfer of the KV cache and its price.
const SPLIT_COST: f64 = 25.0;

/// Weight of computing a shared part again: its price comes on top of its time.
const REREAD_WEIGHT: f64 = 2.0;

/// Rendezvous weight of an engine that only computes prompts, against one that
/// generates: their speeds with prompts.
const PREFILL_WEIGHT: f64 = 2.0;

/// Probability that the first-ranked engine holds a shared part that this host has not
/// sent there: all hosts send it there first.
const OWNER_CACHED: f64 = 1.0;

/// The same for the second-ranked one, which takes over while the first is busy.
const SECOND_CACHED: f64 = 0.5;

/// Time beyond a prediction after which a request without a first token counts as
/// overdue: several steps of a full batch.
const OVERDUE_GRACE: Duration = Duration::from_millis(1_000);

/// What a target's failures, as another host tells of them, cost in milliseconds for
/// each unit of its failure rate: less than own experience, since the fault may lie
/// between that host and the target.
const TOLD_FAILURE_COST: f64 = 400.0;

/// Failure rate from which other hosts are told.
const TOLD_FAILURE_RATE: f64 = 0.3;

/// Time for which what another host told of its open work counts.
const HEARD_SPAN: Duration = Duration::from_millis(1_500);

/// Parts of prompts remembered for each target.
const PARTS: usize = 512;

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

impl Place {
    /// Time until the prompt is computed.
    pub fn predicted(&self) -> Duration {
        Duration::from_secs_f64((self.wait + self.read).max(0.0) / 1e3)
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
    /// The request ended for a reason of its own.
    Neutral,
}

/// One host's open work at one target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct OpenWork {
    /// Stands for the target's id.
    pub target: u32,
    /// Prompt computation that is not done, in milliseconds.
    pub pending: u16,
    /// Requests.
    pub open: u16,
}

#[derive(Debug)]
struct Heard {
    at: Time,
    work: Vec<OpenWork>,
}

#[derive(Debug)]
struct Member {
    entry: TargetEntry,
    key: u32,
    /// Open requests of the other hosts.
    others_open: u32,
    /// Prompt computation of the other hosts, in milliseconds.
    others_pending: f64,
    open: u32,
    /// Prompt computation sent and not known to be done, in milliseconds.
    pending: f64,
    /// When each request without a first token is overdue.
    due: SmallVec<[(Ticket, Time); 4]>,
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
    heard: HashMap<u32, Heard>,
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
            heard: HashMap::new(),
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
        let Some(known) = self.members.get_mut(&entry.id) else {
            let member = Member {
                key: short_key(&entry.id),
                others_open: 0,
                others_pending: 0.0,
                open: 0,
                pending: 0.0,
                due: SmallVec::new(),
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

    /// Takes a target out whose entry was deleted.
    pub fn remove(&mut self, id: &str) {
        self.members.remove(id);
    }

    /// Takes over a whole list of entries; targets that it leaves out are removed.
    ///
    /// Entries that lapsed during an outage of the store come back soon after it;
    /// until then their targets are kept, but no longer than a leaving one may be.
    pub fn replace(&mut self, now: Time, entries: Vec<TargetEntry>) {
        let listed: Vec<Arc<str>> = entries.iter().map(|entry| entry.id.clone()).collect();
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
    }

    /// Every target's entry.
    pub fn entries(&self) -> impl Iterator<Item = &TargetEntry> {
        self.members.values().map(|member| &member.entry)
    }

    /// Requests of this host that are open at a target.
    pub fn open(&self, id: &str) -> u32 {
        self.members.get(id).map_or(0, |member| member.open)
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
        let failing = |member: &Member| member.health.rate(now) >= TOLD_FAILURE_RATE;
        let told = self.members.values().filter(|member| member.open > 0 || failing(member));
        let work = told.map(|member| OpenWork {
            target: member.key,
            pending: member.told(now).min(f64::from(u16::MAX)) as u16,
            open: u16::try_from(member.open).unwrap_or(u16::MAX),
        });
        work.collect()
    }

    /// Takes in another host's open work in place of what it told before.
    pub fn hear(&mut self, now: Time, host: u32, work: Vec<OpenWork>) {
        self.heard.insert(host, Heard { at: now, work });
        self.heard.retain(|_, heard| now.since(heard.at) < HEARD_SPAN);
        self.members.retain(|_, member| member.lapses.is_none_or(|lapses| now < lapses));
        for member in self.members.values_mut() {
            let told = self.heard.values().flat_map(|heard| &heard.work);
            let told = told.filter(|work| work.target == member.key);
            let (open, pending) = told.fold((0, 0.0), |(open, pending), work| {
                (open + u32::from(work.open), pending + f64::from(work.pending))
            });
            member.others_open = open;
            member.others_pending = pending;
        }
    }

    /// Counts a request as sent to its place.
    pub fn start(&mut self, now: Time, place: &Place, prompt: &Prompt) -> Ticket {
        self.tickets += 1;
        let ticket = Ticket(self.tickets);
        let Some(member) = self.members.get_mut(&place.id) else { return ticket };
        member.open += 1;
        member.pending += place.read;
        member.due.push((ticket, now + place.predicted() * 2 + OVERDUE_GRACE));
        for part in &prompt.parts {
            member.parts.insert(part.id, now);
        }
        if member.parts.len() > PARTS {
            let mut times: Vec<Time> = member.parts.values().copied().collect();
            let middle = times.len() / 2;
            let median = *times.select_nth_unstable(middle).1;
            member.parts.retain(|_, used| *used > median);
        }
        ticket
    }

    /// Counts a request's prompt as computed; doing so again changes nothing.
    pub fn computed(&mut self, place: &Place, ticket: Ticket) {
        let Some(member) = self.members.get_mut(&place.id) else { return };
        let Some(at) = member.due.iter().position(|(known, _)| *known == ticket) else { return };
        member.due.remove(at);
        member.pending = (member.pending - place.read).max(0.0);
    }

    /// Counts a request as ended.
    pub fn finish(&mut self, now: Time, place: &Place, ticket: Ticket, outcome: Outcome) {
        self.computed(place, ticket);
        let Some(member) = self.members.get_mut(&place.id) else { return };
        member.open = member.open.saturating_sub(1);
        member.health.note(now, outcome);
        if outcome == Outcome::Unreachable {
            member.parts.clear();
        }
    }

    fn best(&self, now: Time, need: &Need<'_>, stage: impl Fn(Stage) -> bool) -> Option<Place> {
        let key = affinity(need.prompt);
        let serves = |member: &&Member| {
            let entry = &member.entry;
            &*entry.service == need.service
                && !entry.draining
                && member.lapses.is_none_or(|lapses| now < lapses)
        };
        let serving: SmallVec<[&Member; 32]> = self.members.values().filter(serves).collect();
        let rank = |member: &Member| {
            let weight = if member.entry.stage == Stage::Prefill { PREFILL_WEIGHT } else { 1.0 };
            rank(key, &member.entry.id, weight)
        };
        let mut ranks: SmallVec<[f64; 32]> = serving.iter().map(|member| rank(member)).collect();
        ranks.sort_unstable_by(|a, b| b.total_cmp(a));
        let (first, second) = (*ranks.first()?, ranks.get(1).copied());
        let likely = |member: &Member| match rank(member) {
            own if own == first => OWNER_CACHED,
            own if Some(own) == second => SECOND_CACHED,
            _ => 0.0,
        };
        let fitting = serving
            .into_iter()
            .filter(|member| stage(member.entry.stage) && !need.except.contains(&member.entry.id));
        let offers = fitting.map(|member| {
            let missing = member.missing(need.prompt, likely(member));
            let far = if member.entry.zone == self.zone { 0.0 } else { ZONE_COST };
            let failing = FAILURE_COST * member.health.rate(now);
            let read = member.read_time(missing.shared, need.prompt.tokens) * REREAD_WEIGHT
                + member.read_time(missing.own, need.prompt.tokens);
            (member, missing, member.wait(now) + read + far + failing)
        });
        let (member, missing, cost) = offers
            .min_by(|a, b| a.2.total_cmp(&b.2).then_with(|| rank(b.0).total_cmp(&rank(a.0))))?;
        let compute = missing.shared + missing.own;
        Some(Place {
            id: member.entry.id.clone(),
            addr: member.entry.addr,
            zone: member.entry.zone.clone(),
            compute,
            read: member.read_time(compute, need.prompt.tokens),
            wait: member.wait(now),
            cost,
        })
    }
}

/// Prompt tokens that a target has to compute.
#[derive(Debug, Clone, Copy, Default)]
struct Missing {
    /// Of parts that other requests share.
    shared: u32,
    /// Of the request's own.
    own: u32,
}

impl Member {
    /// Prompt tokens to compute: all after the first part that is not cached.
    ///
    /// Shared parts that this host has not sent here are there with probability `likely`.
    fn missing(&self, prompt: &Prompt, likely: f64) -> Missing {
        let (mut cached, mut shared) = (0, 0);
        let last = prompt.parts.len().saturating_sub(1);
        let mut whole = true;
        for (index, part) in prompt.parts.iter().enumerate() {
            whole &= self.parts.contains_key(&part.id);
            if whole {
                cached += part.tokens;
            } else if index < last {
                shared += part.tokens;
            }
        }
        let own = prompt.tokens.saturating_sub(cached + shared);
        let shared = (f64::from(shared) * (1.0 - likely)) as u32;
        Missing { shared, own: own.max(u32::from(prompt.tokens > 0)) }
    }

    /// Time to compute `tokens` of a prompt of `all` tokens, in milliseconds.
    fn read_time(&self, tokens: u32, all: u32) -> f64 {
        let slowdown = if self.entry.stage == Stage::Decode { DECODE_SLOWDOWN } else { 1.0 };
        let pairs = f64::from(tokens) * f64::from(all) / 1e6;
        (f64::from(tokens) / PREFILL_RATE + pairs * PAIRS_COST) * slowdown
    }

    /// Time until the target begins with a new request, in milliseconds.
    fn wait(&self, now: Time) -> f64 {
        let open = f64::from(self.open + self.others_open);
        let late = self.overdue(now) + self.others_pending;
        if self.entry.stage == Stage::Whole {
            return open * PLAIN_COST / f64::from(self.entry.slots.max(1)) + late;
        }
        let crowding = if self.entry.stage == Stage::Decode { open * OPEN_COST } else { 0.0 };
        self.pending + late + crowding
    }

    /// How long the oldest request without a first token is overdue, in milliseconds.
    ///
    /// A target may accept requests and stay silent; nothing else shows it.
    fn overdue(&self, now: Time) -> f64 {
        let oldest = self.due.iter().map(|(_, due)| *due).min();
        oldest.map_or(0.0, |due| now.since(due).as_secs_f64() * 1e3)
    }

    /// What other hosts are told of the work in front of the target.
    fn told(&self, now: Time) -> f64 {
        self.pending + self.overdue(now) + TOLD_FAILURE_COST * self.health.rate(now)
    }
}

/// A number that stands for a target's id between hosts.
fn short_key(id: &str) -> u32 {
    rank::hash(&id) as u32
}
