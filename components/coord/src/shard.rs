//! Shards: pieces of duty that one process owns at a time.
//!
//! Each shard is one object in the store, with its owner and an epoch that
//! grows with each new owner. It is owned by conditional update and only while
//! the owner's session lasts. Nobody takes a shard from an owner whose session
//! is not over, so the owner needs no further lease for it.
//!
//! All processes are candidates. Rendezvous hashing over the live ones says
//! who tries first; the next ones follow after a stagger each. An owner hands
//! a shard over once a better candidate has been live for some time.

mod duty;

use std::{collections::BTreeSet, time::Duration};

use chervilgate_clock::Time;
use serde::{Deserialize, Serialize};

use self::duty::Duty;
use crate::{
    budget::Backoff,
    guards::Guards,
    ident::{Incarnation, Node},
    observer::{Member, Observer, Standing},
    order::{Epoch, ShardId},
    outbox::{Notice, Outbox},
    rank::{NameDigest, weigh},
    session::Session,
    step::{Protocol, Step},
    store::{CallId, Change, Key, StoreCall, StoreReply, Version},
    terms::Terms,
};

/// Where shards are kept.
pub const SHARD_PREFIX: &str = "shards/";

const LIST: Step = Step::new(Protocol::Shard, "list");
const WATCH: Step = Step::new(Protocol::Shard, "watch");
const TAKE: Step = Step::new(Protocol::Shard, "take");
const READ_BACK: Step = Step::new(Protocol::Shard, "read-back");
const HAND_OVER: Step = Step::new(Protocol::Shard, "hand-over");

/// Candidates that follow an owner's session by themselves.
const CHALLENGERS: usize = 2;

/// How long a shard waits for the process that it was offered to.
const OFFER_WAIT: Duration = Duration::from_secs(2);

/// From one look at the owned shards to the next.
const REVIEW: Duration = Duration::from_millis(500);

/// The name of a shard's object.
pub fn shard_key(shard: &ShardId) -> Key {
    format!("{SHARD_PREFIX}{shard}")
}

/// A shard as stored.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct ShardRecord {
    /// Who owns it.
    pub owner: Option<Node>,
    /// Grows with each owner.
    pub epoch: Epoch,
    /// Whom the last owner left it to.
    pub offer: Option<Incarnation>,
}

/// Which shards have an order under way; they are not handed over.
pub(crate) type Busy<'a> = &'a dyn Fn(&ShardId) -> bool;

/// Looks after all shards on behalf of one process.
#[derive(Debug, Clone)]
pub(crate) struct Shards {
    terms: Terms,
    guards: Guards,
    digest: NameDigest,
    duties: Vec<Duty>,
    read: Option<CallId>,
    read_next: Time,
    seen: Option<Version>,
    review: Time,
    stopping: bool,
    backoff: Backoff,
}

impl Shards {
    /// Shards by name, none of them read yet.
    pub(crate) fn new(
        me: &Node,
        shards: Vec<ShardId>,
        terms: Terms,
        guards: Guards,
        seed: u64,
    ) -> Shards {
        let (first, most) = terms.backoff;
        let duty = |(index, id)| {
            let seed = seed.wrapping_add(1 + index as u64);
            Duty::new(id, Backoff::new(first, most, seed))
        };
        Shards {
            terms,
            guards,
            digest: NameDigest::of_node(me),
            duties: shards.into_iter().enumerate().map(duty).collect(),
            read: None,
            read_next: Time::ZERO,
            seen: None,
            review: Time::ZERO,
            stopping: false,
            backoff: Backoff::new(first, most, seed),
        }
    }

    /// Shards owned now, with their epochs.
    pub(crate) fn owned<'a>(
        &'a self,
        now: Time,
        session: &'a Session,
    ) -> impl Iterator<Item = (&'a ShardId, Epoch)> {
        self.duties.iter().filter_map(move |duty| Some((&duty.id, duty.owned(now, session)?)))
    }

    /// The epoch of a shard, if owned now.
    pub(crate) fn epoch(&self, now: Time, session: &Session, shard: &ShardId) -> Option<Epoch> {
        self.duties.iter().find(|duty| duty.id == *shard)?.owned(now, session)
    }

    /// Shards whose record names this process, as far as it has seen.
    pub(crate) fn named(&self, me: Incarnation) -> impl Iterator<Item = &ShardId> {
        self.duties.iter().filter(move |duty| duty.names(me)).map(|duty| &duty.id)
    }

    /// Whether a shard's owner is about to give it up.
    pub(crate) fn leaving(&self, shard: &ShardId) -> bool {
        self.stopping || self.duties.iter().any(|duty| duty.id == *shard && duty.leaving)
    }

    /// Gives up all shards, and takes no more.
    pub(crate) fn stop(&mut self, now: Time) {
        self.stopping = true;
        self.review = now;
    }

    /// Whether no shard is owned any more, as far as the store has confirmed.
    pub(crate) fn stopped(&self, me: Incarnation) -> bool {
        self.duties.iter().all(|duty| !duty.names(me) && duty.pending.is_none())
    }

    /// Looks at the shards with the next wake-up, whenever that is.
    pub(crate) fn review_soon(&mut self, now: Time) {
        self.review = now;
    }

    /// When to wake up next.
    pub(crate) fn wake_at(&self) -> Time {
        let read = if self.read.is_some() { Time::NEVER } else { self.read_next };
        read.min(self.review)
    }

    pub(crate) fn wake(
        &mut self,
        now: Time,
        session: &Session,
        observer: &mut Observer,
        busy: Busy<'_>,
        out: &mut Outbox,
    ) {
        if self.read.is_none() && now >= self.read_next {
            let prefix = SHARD_PREFIX.to_owned();
            self.read = Some(match self.seen {
                Some(after) => out.call(WATCH, StoreCall::Watch { prefix, after }),
                None => out.call(LIST, StoreCall::List { prefix }),
            });
        }
        self.announce(now, session, out);
        if now < self.review {
            return;
        }
        self.review = now + REVIEW;
        if self.seen.is_none() || !observer.ready() {
            return;
        }
        self.follow(now, session, observer);
        for index in 0..self.duties.len() {
            self.review_one(now, index, session, observer, busy, out);
        }
    }

    /// Takes a reply; false if it belongs to another machine.
    pub(crate) fn reply(
        &mut self,
        now: Time,
        id: CallId,
        reply: &StoreReply,
        session: &Session,
        out: &mut Outbox,
    ) -> bool {
        if self.read == Some(id) {
            self.read = None;
            self.take_read(now, reply);
            self.announce(now, session, out);
            return true;
        }
        let Some(duty) = self.duties.iter_mut().find(|duty| duty.waits_for(id)) else {
            return false;
        };
        duty.reply(now, reply, out, READ_BACK);
        self.announce(now, session, out);
        self.review = now;
        true
    }

    fn take_read(&mut self, now: Time, reply: &StoreReply) {
        match reply {
            StoreReply::Listed { objects, version } => {
                for duty in &mut self.duties {
                    let key = shard_key(&duty.id);
                    match objects.iter().find(|object| object.key == key) {
                        Some(object) => duty.see(now, object),
                        None => duty.miss(now, *version),
                    }
                }
                self.seen = Some(*version);
            }
            StoreReply::Changed { changes, version } => {
                for change in changes {
                    self.take_change(now, change);
                }
                self.seen = self.seen.max(Some(*version));
            }
            StoreReply::Compacted => self.seen = None,
            _ => {
                self.read_next = now + self.backoff.fail();
                return;
            }
        }
        self.backoff.reset();
        self.read_next = now;
        self.review = now;
    }

    fn take_change(&mut self, now: Time, change: &Change) {
        for duty in &mut self.duties {
            let name = shard_key(&duty.id);
            match change {
                Change::Put(object) if object.key == name => duty.see(now, object),
                Change::Delete { key, version } if *key == name => duty.miss(now, *version),
                _ => {}
            }
        }
    }

    fn announce(&mut self, now: Time, session: &Session, out: &mut Outbox) {
        for duty in &mut self.duties {
            let owned = duty.owned(now, session);
            if owned == duty.announced {
                continue;
            }
            duty.announced = owned;
            let shard = duty.id.clone();
            match owned {
                Some(epoch) => {
                    log::info!(target: "shard", "owned; shard={shard} epoch={}", epoch.0);
                    out.note(Notice::Gained { shard, epoch });
                }
                None => {
                    log::info!(target: "shard", "not owned; shard={shard}");
                    out.note(Notice::Lost { shard });
                }
            }
        }
    }

    /// Follows the sessions of owners whose shards are this process's to take.
    fn follow(&self, now: Time, session: &Session, observer: &mut Observer) {
        let me = session.me();
        let others: Vec<Member<'_>> =
            observer.candidates(now).filter(|member| !same(member.node, me)).collect();
        let wanted: BTreeSet<Incarnation> = self
            .duties
            .iter()
            .filter_map(|duty| {
                let owner = duty.record.owner.as_ref()?.incarnation;
                let rivals = others.iter().filter(|member| member.node.incarnation != owner);
                let mine = owner == me.incarnation;
                let place = place(duty, (self.digest, me), rivals);
                (!mine && place < CHALLENGERS).then_some(owner)
            })
            .collect();
        observer.follow(now, &wanted);
    }

    fn review_one(
        &mut self,
        now: Time,
        index: usize,
        session: &Session,
        observer: &mut Observer,
        busy: Busy<'_>,
        out: &mut Outbox,
    ) {
        let duty = &mut self.duties[index];
        if duty.pending.is_some() || now < duty.retry || !session.holds(now) {
            return;
        }
        let me = session.me();
        if duty.giving {
            let record = duty.written.clone();
            duty.give(record, HAND_OVER, out);
            return;
        }
        if duty.names(me.incarnation) {
            self.consider_leaving(now, index, me, observer, busy, out);
            return;
        }
        if self.stopping {
            return;
        }
        let owner = duty.record.owner.as_ref().map(|node| node.incarnation);
        let standing = owner.map_or(Standing::Over, |id| observer.standing(now, id));
        if matches!(standing, Standing::Live | Standing::Unknown) {
            duty.free = None;
            return;
        }
        let turn = turn(now, duty, (self.digest, me), observer, self.terms.stagger);
        if !duty.waited(now, turn) {
            return;
        }
        let open = match (standing, owner) {
            (Standing::Lapsed, Some(owner)) if self.guards.session_seal => {
                observer.seal(owner, out);
                false
            }
            _ => true,
        };
        if open {
            let epoch = Epoch(duty.record.epoch.0 + 1);
            let record = ShardRecord { owner: Some(me.clone()), epoch, offer: None };
            duty.write(record, TAKE, out);
        }
    }

    fn consider_leaving(
        &mut self,
        now: Time,
        index: usize,
        me: &Node,
        observer: &Observer,
        busy: Busy<'_>,
        out: &mut Outbox,
    ) {
        let stopping = self.stopping;
        let span = self.terms.handover;
        let duty = &mut self.duties[index];
        let settled = |member: &Member<'_>| stopping || now - member.since >= span;
        let heir = observer
            .candidates(now)
            .filter(|member| !same(member.node, me) && settled(member))
            .max_by_key(|member| weight(duty, member.digest, member.node));
        let mine = weight(duty, self.digest, me);
        let better = heir
            .filter(|heir| stopping || weight(duty, heir.digest, heir.node) > mine)
            .map(|heir| heir.node);
        duty.leaving = stopping || better.is_some();
        if !duty.leaving || busy(&duty.id) {
            return;
        }
        let offer = better.map(|node| node.incarnation);
        let record = ShardRecord { owner: None, epoch: duty.record.epoch, offer };
        duty.give(record, HAND_OVER, out);
    }
}

/// Whether two nodes stand at one address, so that one has followed the other.
fn same(a: &Node, b: &Node) -> bool {
    a.addr == b.addr
}

/// What orders the candidates for a shard.
fn weight(duty: &Duty, digest: NameDigest, node: &Node) -> (u64, Incarnation) {
    (weigh(duty.digest, digest), node.incarnation)
}

/// How many of the others come before a node as owner of a shard.
fn place<'a>(
    duty: &Duty,
    (digest, node): (NameDigest, &Node),
    others: impl IntoIterator<Item = &'a Member<'a>>,
) -> usize {
    let mine = weight(duty, digest, node);
    others.into_iter().filter(|member| weight(duty, member.digest, member.node) > mine).count()
}

/// How long this process waits before it tries for a free shard.
fn turn(
    now: Time,
    duty: &Duty,
    (digest, me): (NameDigest, &Node),
    observer: &Observer,
    stagger: Duration,
) -> Duration {
    let owned = |node: &Node| duty.names(node.incarnation);
    let others: Vec<Member<'_>> = observer
        .candidates(now)
        .filter(|member| !same(member.node, me) && !owned(member.node))
        .collect();
    let wait = stagger * u32::try_from(place(duty, (digest, me), &others)).unwrap_or(u32::MAX);
    match duty.record.offer {
        Some(heir) if heir == me.incarnation => Duration::ZERO,
        Some(heir) if others.iter().any(|member| member.node.incarnation == heir) => {
            OFFER_WAIT + wait
        }
        _ => wait,
    }
}
