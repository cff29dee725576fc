//! Session, shards, orders and takeover as one machine.
//!
//! This is what a program embeds. It hands events in and carries the returned
//! actions out: calls on the store, orders to send, addresses to probe. It
//! asks [`Authority::wake_at`] when to call again. Replies may be late, double
//! or missing; a client reports a missing one as unknown after its timeout.
//!
//! An order must be sent over a connection that the sender closes when it gives
//! the answer up, and whose unacknowledged bytes the system drops within
//! [`Terms::flight`] (`TCP_USER_TIMEOUT`). A process must listen at its node's
//! address before the first event, and until [`Notice::Ended`].

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use chervilgate_clock::Time;

use crate::{
    guards::Guards,
    ident::Node,
    intent::{Orders, ReceiverRecord, Wish, WishError},
    membership::Sighting,
    observer::Observer,
    order::{Epoch, OrderReply, ProbeReply, ReceiverId, ShardId},
    outbox::{Actions, Notice, Outbox},
    session::{Phase, Session},
    shard::Shards,
    store::{CallId, CallIds, StoreReply},
    takeover::Proofs,
    terms::Terms,
};

/// How long a stop waits for orders to finish before it leaves them open.
const STOP_WAIT: Duration = Duration::from_secs(10);

/// What an [`Authority`] is made of.
#[derive(Debug, Clone)]
pub struct AuthorityConfig {
    /// This process.
    pub node: Node,
    /// Every shard there is; the same on all candidates.
    ///
    /// A process that is given none has a session and is no candidate.
    pub shards: Vec<ShardId>,
    /// Spans of time; the same on all processes.
    pub terms: Terms,
    /// Protections; the default outside tests.
    pub guards: Guards,
    /// Whether the platform delists no host that still runs.
    pub trust_list: bool,
    /// Seeds the jitter of retries.
    pub seed: u64,
    /// Numbers of its calls; apart from those of other machines of the process.
    pub calls: CallIds,
}

/// Something that has reached the process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// The time of [`Authority::wake_at`] has come, or the process begins.
    Wake,
    /// A reply of the store.
    Reply {
        /// The call it belongs to.
        id: CallId,
        /// The reply.
        reply: StoreReply,
    },
    /// What became of a sent order.
    Answer {
        /// The call it belongs to.
        id: CallId,
        /// The outcome.
        reply: OrderReply,
    },
    /// What a probe has found.
    Probed {
        /// The probe it belongs to.
        id: CallId,
        /// The finding.
        reply: ProbeReply,
    },
    /// The platform's list of hosts.
    Hosts(Vec<SocketAddr>),
    /// The process is to stop as planned.
    Stop,
}

/// One incarnation's authority over shards.
#[derive(Debug, Clone)]
pub struct Authority {
    session: Session,
    observer: Observer,
    shards: Shards,
    orders: Orders,
    proofs: Proofs,
    out: Outbox,
    stop: Option<Time>,
    ended: bool,
    busy: bool,
}

impl Authority {
    /// An authority that begins with the first event.
    pub fn new(config: AuthorityConfig) -> Authority {
        let AuthorityConfig { node, shards, terms, guards, trust_list, seed, calls } = config;
        let candidate = !shards.is_empty();
        Authority {
            shards: Shards::new(&node, shards, terms, guards, seed ^ 1),
            session: Session::new(node, candidate, terms, seed),
            observer: Observer::new(terms),
            orders: Orders::new(terms, guards, seed ^ 2),
            proofs: Proofs::new(terms, guards, trust_list),
            out: Outbox::new(calls),
            stop: None,
            ended: false,
            busy: false,
        }
    }

    /// Takes an event and returns what is to be done.
    pub fn handle(&mut self, now: Time, event: Event) -> Actions {
        match event {
            Event::Wake => {}
            Event::Reply { id, reply } => self.reply(now, id, &reply),
            Event::Answer { id, reply } => self.orders.answered(now, id, reply),
            Event::Probed { id, reply } => self.proofs.probed(now, id, reply),
            Event::Hosts(hosts) => self.proofs.take_hosts(now, &hosts),
            Event::Stop => self.stop_at(now),
        }
        self.advance(now);
        self.out.take()
    }

    /// Accepts an order to a receiver of an owned shard.
    ///
    /// [`Notice::Completed`] tells its end. If the shard is lost before, the
    /// order may have been carried out or not; the next owner finishes it if
    /// it was written down.
    ///
    /// # Errors
    ///
    /// Fails if this process does not own the shard or has not read its
    /// records, if another order to the receiver is open, or if the event that
    /// causes it has been acted on.
    pub fn order(&mut self, now: Time, wish: Wish) -> Result<Actions, WishError> {
        let shard = &wish.receiver.shard;
        if self.shards.epoch(now, &self.session, shard).is_none() || self.shards.leaving(shard) {
            return Err(WishError::NotOwner);
        }
        self.orders.accept(wish)?;
        self.advance(now);
        Ok(self.out.take())
    }

    /// When the next [`Event::Wake`] is due.
    pub fn wake_at(&self) -> Time {
        if self.ended {
            return Time::NEVER;
        }
        let quiet = match self.session.phase() {
            Phase::Sealed if !self.orders.settled(Time::NEVER) => Time::NEVER,
            Phase::Sealed => self.orders.quiet_at(),
            _ => Time::NEVER,
        };
        let session = self.session.wake_at().min(self.observer.wake_at());
        let orders = self.orders.wake_at().min(self.proofs.wake_at());
        session.min(self.shards.wake_at()).min(orders).min(quiet)
    }

    /// Shards owned now, with their epochs.
    pub fn owned(&self, now: Time) -> impl Iterator<Item = (&ShardId, Epoch)> {
        self.shards.owned(now, &self.session)
    }

    /// When authority ends unless renewed.
    pub fn until(&self) -> Time {
        self.session.until()
    }

    /// The records of an owned shard's receivers, once they have been read.
    pub fn records<'a>(
        &'a self,
        shard: &'a ShardId,
    ) -> impl Iterator<Item = (&'a ReceiverId, &'a ReceiverRecord)> {
        self.orders.records(shard)
    }

    /// Receivers that wait for proof about a former sender.
    pub fn frozen(&self) -> impl Iterator<Item = &ReceiverId> {
        self.orders.frozen()
    }

    /// Processes whose sessions are live, as far as is known.
    pub fn members(&self, now: Time) -> impl Iterator<Item = &Node> {
        self.observer.live(now).map(|member| member.node)
    }

    /// Tells whether the embedding program has something of its own under way.
    ///
    /// A session is not released meanwhile, since a release says that nothing
    /// of the process is.
    pub fn set_busy(&mut self, busy: bool) {
        self.busy = busy;
    }

    /// Whether another process has ended this one's session.
    ///
    /// It has no authority any more; the program should finish what it has
    /// under way and start anew.
    pub fn is_sealed(&self) -> bool {
        self.session.phase() == Phase::Sealed
    }

    /// Every session as it was last read.
    pub fn sightings(&self) -> impl Iterator<Item = Sighting> {
        self.observer.sightings()
    }

    /// Whether this incarnation is over.
    pub fn ended(&self) -> bool {
        self.ended
    }

    fn reply(&mut self, now: Time, id: CallId, reply: &StoreReply) {
        let out = &mut self.out;
        if self.observer.reply(now, id, reply) {
            if matches!(reply, StoreReply::Written(_)) {
                self.shards.review_soon(now);
            }
            return;
        }
        let _taken = self.session.reply(now, id, reply, out)
            || self.shards.reply(now, id, reply, &self.session, out)
            || self.orders.reply(now, id, reply, out)
            || self.proofs.reply(now, id, reply);
    }

    fn stop_at(&mut self, now: Time) {
        if self.stop.is_none() {
            self.stop = Some(now + STOP_WAIT);
            self.shards.stop(now);
        }
    }

    fn advance(&mut self, now: Time) {
        if self.ended {
            return;
        }
        self.session.set_acting(self.acting(now));
        self.session.wake(now, &mut self.out);
        self.observer.wake(now, &mut self.out);
        self.advance_shards(now);
        self.sync(now);
        self.orders.wake(now, &self.session, &mut self.proofs, &mut self.out);
        self.proofs.wake(now, &mut self.out);
        self.finish(now);
    }

    fn advance_shards(&mut self, now: Time) {
        let me = self.session.me().incarnation;
        let patient = self.stop.is_none_or(|stop| now < stop);
        let orders = &self.orders;
        let busy = |shard: &ShardId| patient && orders.busy(shard, me);
        self.shards.wake(now, &self.session, &mut self.observer, &busy, &mut self.out);
    }

    /// Shards that this process owns, or has something under way for.
    fn acting(&self, now: Time) -> Vec<ShardId> {
        let me = self.session.me().incarnation;
        let shards: BTreeSet<&ShardId> =
            self.shards.named(me).chain(self.orders.unsettled(now)).collect();
        shards.into_iter().cloned().collect()
    }

    /// Lets the orders follow the ownership of shards.
    fn sync(&mut self, now: Time) {
        let gone: Vec<ShardId> = self
            .orders
            .shards()
            .filter(|shard| self.shards.epoch(now, &self.session, shard).is_none())
            .cloned()
            .collect();
        for shard in gone {
            self.orders.lose(&shard);
        }
        for (shard, epoch) in self.shards.owned(now, &self.session) {
            if self.orders.epoch(shard) != Some(epoch) {
                self.orders.lose(shard);
                self.orders.gain(now, shard, epoch);
            }
        }
    }

    /// Ends the incarnation once nothing of it is under way.
    fn finish(&mut self, now: Time) {
        let me = self.session.me().incarnation;
        let stopped = self.stop.is_some() && self.shards.stopped(me);
        let over = self.session.phase() == Phase::Sealed || stopped;
        if over && !self.busy && self.orders.settled(now) {
            self.session.release(now);
            self.session.wake(now, &mut self.out);
        }
        if self.session.phase() == Phase::Released {
            self.ended = true;
            self.out.note(Notice::Ended);
        }
    }
}
