//! Shard ownership: each shard has at most one owner at a time.
//!
//! Each shard is one object in the store that holds the owner and an epoch,
//! which increases with each new owner. A process becomes the owner by a
//! conditional update, and stays the owner only while its session lasts. No
//! other process takes a shard before the owner's session is over, so a shard
//! needs no lease of its own.
//!
//! Every live process that is configured with shards is a candidate. Rendezvous
//! hashing over the live candidates decides which one tries first; each further
//! candidate waits one stagger longer. An owner hands a shard over once a
//! candidate of higher rank has been live for some time.

mod state;

use std::{collections::BTreeSet, time::Duration};

use chervilgate_clock::Time;
use serde::{Deserialize, Serialize};

use self::state::ShardState;
use crate::{
    budget::Backoff,
    guards::Guards,
    ident::{Incarnation, Node},
    observer::{Member, Observer, SessionStatus},
    order::{Epoch, ShardId},
    outbox::{Notice, Outbox},
    rank::{NameDigest, rendezvous_weight},
    session::Session,
    step::{Protocol, Step},
    store::{CallId, Change, Key, StoreCall, StoreReply, Version},
    terms::Timings,
};

/// Key prefix of shard records in the store.
pub const SHARD_PREFIX: &str = "shards/";

const LIST: Step = Step::new(Protocol::Shard, "list");
const WATCH: Step = Step::new(Protocol::Shard, "watch");
const TAKE: Step = Step::new(Protocol::Shard, "take");
const READ_BACK: Step = Step::new(Protocol::Shard, "read-back");
const HAND_OVER: Step = Step::new(Protocol::Shard, "hand-over");

/// Number of candidates that poll an owner's session directly.
const MAX_SESSION_POLLERS: usize = 2;

/// Extra delay of the other candidates while a shard is offered to a live process.
const OFFER_DELAY: Duration = Duration::from_secs(2);

/// Interval between two checks whether to take or hand over shards.
const REVIEW_INTERVAL: Duration = Duration::from_millis(500);

/// The store key of a shard's record.
pub fn shard_key(shard: &ShardId) -> Key {
    format!("{SHARD_PREFIX}{shard}")
}

/// A shard's record in the store.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct ShardRecord {
    /// The owner; None if the last owner gave the shard up.
    pub owner: Option<Node>,
    /// Increases by one with each new owner.
    pub epoch: Epoch,
    /// The process to which the last owner handed the shard over, if any.
    pub offer: Option<Incarnation>,
}

/// Whether a shard has an unfinished order; such a shard is not handed over.
pub(crate) type HasOpenOrder<'a> = &'a dyn Fn(&ShardId) -> bool;

/// Takes, keeps and hands over shards for one process.
#[derive(Debug, Clone)]
pub(crate) struct Shards {
    terms: Timings,
    guards: Guards,
    digest: NameDigest,
    states: Vec<ShardState>,
    pending_read: Option<CallId>,
    next_read_at: Time,
    /// The store version up to which changes were read; None if a new list is needed.
    read_version: Option<Version>,
    next_review_at: Time,
    stopping: bool,
    backoff: Backoff,
}

impl Shards {
    /// Creates the state of shards whose records have not been read yet.
    pub(crate) fn new(
        me: &Node,
        shards: Vec<ShardId>,
        terms: Timings,
        guards: Guards,
        seed: u64,
    ) -> Shards {
        let (first, max) = terms.backoff;
        let state = |(index, id)| {
            let seed = seed.wrapping_add(1 + index as u64);
            ShardState::new(id, Backoff::new(first, max, seed))
        };
        Shards {
            terms,
            guards,
            digest: NameDigest::of_node(me),
            states: shards.into_iter().enumerate().map(state).collect(),
            pending_read: None,
            next_read_at: Time::ZERO,
            read_version: None,
            next_review_at: Time::ZERO,
            stopping: false,
            backoff: Backoff::new(first, max, seed),
        }
    }

    /// Shards that this process owns at `now`, with their epochs.
    pub(crate) fn owned<'a>(
        &'a self,
        now: Time,
        session: &'a Session,
    ) -> impl Iterator<Item = (&'a ShardId, Epoch)> {
        self.states.iter().filter_map(move |state| Some((&state.id, state.owned(now, session)?)))
    }

    /// The epoch of a shard, if this process owns it at `now`.
    pub(crate) fn epoch(&self, now: Time, session: &Session, shard: &ShardId) -> Option<Epoch> {
        self.states.iter().find(|state| state.id == *shard)?.owned(now, session)
    }

    /// Shards whose last read record names this process as the owner.
    pub(crate) fn recorded(&self, me: Incarnation) -> impl Iterator<Item = &ShardId> {
        self.states.iter().filter(move |state| state.is_recorded_owner(me)).map(|state| &state.id)
    }

    /// Whether this process is about to hand the shard over.
    pub(crate) fn handing_over(&self, shard: &ShardId) -> bool {
        self.stopping || self.states.iter().any(|state| state.id == *shard && state.handing_over)
    }

    /// Hands over all shards and takes no further ones.
    pub(crate) fn stop(&mut self, now: Time) {
        self.stopping = true;
        self.next_review_at = now;
    }

    /// Whether the store has confirmed that this process owns no shard.
    pub(crate) fn stopped(&self, me: Incarnation) -> bool {
        self.states.iter().all(|state| !state.is_recorded_owner(me) && state.pending.is_none())
    }

    /// Makes the next wake-up check all shards.
    pub(crate) fn review_soon(&mut self, now: Time) {
        self.next_review_at = now;
    }

    /// When [`Shards::wake`] is due next.
    pub(crate) fn wake_at(&self) -> Time {
        let read_at = if self.pending_read.is_some() { Time::NEVER } else { self.next_read_at };
        read_at.min(self.next_review_at)
    }

    pub(crate) fn wake(
        &mut self,
        now: Time,
        session: &Session,
        observer: &mut Observer,
        has_open_order: HasOpenOrder<'_>,
        out: &mut Outbox,
    ) {
        if self.pending_read.is_none() && now >= self.next_read_at {
            let prefix = SHARD_PREFIX.to_owned();
            self.pending_read = Some(match self.read_version {
                Some(after) => out.call(WATCH, StoreCall::Watch { prefix, after }),
                None => out.call(LIST, StoreCall::List { prefix }),
            });
        }
        self.announce(now, session, out);
        if now < self.next_review_at {
            return;
        }
        self.next_review_at = now + REVIEW_INTERVAL;
        if self.read_version.is_none() || !observer.ready() {
            return;
        }
        self.poll_owner_sessions(now, session, observer);
        for index in 0..self.states.len() {
            self.review_shard(now, index, session, observer, has_open_order, out);
        }
    }

    /// Handles a store reply; false if the call is not one of this type's.
    pub(crate) fn reply(
        &mut self,
        now: Time,
        id: CallId,
        reply: &StoreReply,
        session: &Session,
        out: &mut Outbox,
    ) -> bool {
        if self.pending_read == Some(id) {
            self.pending_read = None;
            self.handle_read(now, reply);
            self.announce(now, session, out);
            return true;
        }
        let Some(state) = self.states.iter_mut().find(|state| state.waits_for(id)) else {
            return false;
        };
        state.reply(now, reply, out, READ_BACK);
        self.announce(now, session, out);
        self.next_review_at = now;
        true
    }

    fn handle_read(&mut self, now: Time, reply: &StoreReply) {
        match reply {
            StoreReply::Listed { objects, version } => {
                for state in &mut self.states {
                    let key = shard_key(&state.id);
                    match objects.iter().find(|object| object.key == key) {
                        Some(object) => state.observe(now, object),
                        None => state.record_absent(now, *version),
                    }
                }
                self.read_version = Some(*version);
            }
            StoreReply::Changed { changes, version } => {
                for change in changes {
                    self.apply_change(now, change);
                }
                self.read_version = self.read_version.max(Some(*version));
            }
            StoreReply::Compacted => self.read_version = None,
            _ => {
                self.next_read_at = now + self.backoff.next_delay();
                return;
            }
        }
        self.backoff.reset();
        self.next_read_at = now;
        self.next_review_at = now;
    }

    fn apply_change(&mut self, now: Time, change: &Change) {
        for state in &mut self.states {
            let name = shard_key(&state.id);
            match change {
                Change::Put(object) if object.key == name => state.observe(now, object),
                Change::Delete { key, version } if *key == name => {
                    state.record_absent(now, *version)
                }
                _ => {}
            }
        }
    }

    /// Reports each change of ownership to the driver.
    fn announce(&mut self, now: Time, session: &Session, out: &mut Outbox) {
        for state in &mut self.states {
            let owned = state.owned(now, session);
            if owned == state.announced {
                continue;
            }
            state.announced = owned;
            let shard = state.id.clone();
            match owned {
                Some(epoch) => {
                    log::info!(
                        target: "shard",
                        "shard gained; shard={shard} epoch={}",
                        epoch.0
                    );
                    out.notify(Notice::Gained { shard, epoch });
                }
                None => {
                    log::info!(
                        target: "shard",
                        "shard lost; shard={shard}"
                    );
                    out.notify(Notice::Lost { shard });
                }
            }
        }
    }

    /// Polls the sessions of owners whose shards this process is among the first to take.
    fn poll_owner_sessions(&self, now: Time, session: &Session, observer: &mut Observer) {
        let me = session.me();
        let others: Vec<Member<'_>> =
            observer.candidates(now).filter(|member| !same_addr(member.node, me)).collect();
        let wanted: BTreeSet<Incarnation> = self
            .states
            .iter()
            .filter_map(|state| {
                let owner = state.record.owner.as_ref()?.incarnation;
                let other_candidates =
                    others.iter().filter(|member| member.node.incarnation != owner);
                let is_me = owner == me.incarnation;
                let rank = candidate_rank(state, (self.digest, me), other_candidates);
                (!is_me && rank < MAX_SESSION_POLLERS).then_some(owner)
            })
            .collect();
        observer.set_polled(now, &wanted);
    }

    fn review_shard(
        &mut self,
        now: Time,
        index: usize,
        session: &Session,
        observer: &mut Observer,
        has_open_order: HasOpenOrder<'_>,
        out: &mut Outbox,
    ) {
        let state = &mut self.states[index];
        if state.pending.is_some() || now < state.retry_at || !session.is_valid(now) {
            return;
        }
        let me = session.me();
        if state.releasing {
            let record = state.pending_record.clone();
            state.release(record, HAND_OVER, out);
            return;
        }
        if state.is_recorded_owner(me.incarnation) {
            self.consider_handover(now, index, me, observer, has_open_order, out);
            return;
        }
        if self.stopping {
            return;
        }
        let owner = state.record.owner.as_ref().map(|node| node.incarnation);
        let status = owner.map_or(SessionStatus::Ended, |id| observer.status(now, id));
        if matches!(status, SessionStatus::Live | SessionStatus::Unknown) {
            state.free_since = None;
            return;
        }
        let delay = takeover_delay(now, state, (self.digest, me), observer, self.terms.stagger);
        if !state.free_for(now, delay) {
            return;
        }
        let may_take = match (status, owner) {
            (SessionStatus::Expired, Some(owner)) if self.guards.session_seal => {
                observer.seal(owner, out);
                false
            }
            _ => true,
        };
        if may_take {
            let epoch = Epoch(state.record.epoch.0 + 1);
            let record = ShardRecord { owner: Some(me.clone()), epoch, offer: None };
            state.write(record, TAKE, out);
        }
    }

    fn consider_handover(
        &mut self,
        now: Time,
        index: usize,
        me: &Node,
        observer: &Observer,
        has_open_order: HasOpenOrder<'_>,
        out: &mut Outbox,
    ) {
        let stopping = self.stopping;
        let min_live = self.terms.handover_delay;
        let state = &mut self.states[index];
        let eligible = |member: &Member<'_>| stopping || now - member.first_seen >= min_live;
        let best = observer
            .candidates(now)
            .filter(|member| !same_addr(member.node, me) && eligible(member))
            .max_by_key(|member| candidate_weight(state, member.digest, member.node));
        let own_weight = candidate_weight(state, self.digest, me);
        let successor = best
            .filter(|best| stopping || candidate_weight(state, best.digest, best.node) > own_weight)
            .map(|best| best.node);
        state.handing_over = stopping || successor.is_some();
        if !state.handing_over || has_open_order(&state.id) {
            return;
        }
        let offer = successor.map(|node| node.incarnation);
        let record = ShardRecord { owner: None, epoch: state.record.epoch, offer };
        state.release(record, HAND_OVER, out);
    }
}

/// Whether two processes have the same address: one is then a restart of the other.
fn same_addr(a: &Node, b: &Node) -> bool {
    a.addr == b.addr
}

/// Sort key of the candidates for a shard; the highest should own it.
fn candidate_weight(state: &ShardState, digest: NameDigest, node: &Node) -> (u64, Incarnation) {
    (rendezvous_weight(state.digest, digest), node.incarnation)
}

/// The number of other candidates that rank above a process as owner of a shard.
fn candidate_rank<'a>(
    state: &ShardState,
    (digest, node): (NameDigest, &Node),
    others: impl IntoIterator<Item = &'a Member<'a>>,
) -> usize {
    let own_weight = candidate_weight(state, digest, node);
    others
        .into_iter()
        .filter(|member| candidate_weight(state, member.digest, member.node) > own_weight)
        .count()
}

/// How long this process waits before it tries to take a free shard.
fn takeover_delay(
    now: Time,
    state: &ShardState,
    (digest, me): (NameDigest, &Node),
    observer: &Observer,
    stagger: Duration,
) -> Duration {
    let is_owner = |node: &Node| state.is_recorded_owner(node.incarnation);
    let others: Vec<Member<'_>> = observer
        .candidates(now)
        .filter(|member| !same_addr(member.node, me) && !is_owner(member.node))
        .collect();
    let delay =
        stagger * u32::try_from(candidate_rank(state, (digest, me), &others)).unwrap_or(u32::MAX);
    match state.record.offer {
        Some(offered) if offered == me.incarnation => Duration::ZERO,
        Some(offered) if others.iter().any(|member| member.node.incarnation == offered) => {
            OFFER_DELAY + delay
        }
        _ => delay,
    }
}
