//! Session, shards, orders and takeover combined into one state machine.
//!
//! This is the type that a program embeds. The program passes events in and
//! carries out the returned actions: calls on the store, orders to send,
//! addresses to probe. [`Authority::wake_at`] says when to call again. Replies
//! may be late, duplicated or missing; a client reports a missing reply as
//! unknown after its timeout.
//!
//! An order must be sent over a connection that the sender closes when it stops
//! waiting for the answer, and whose unacknowledged bytes the operating system
//! drops within [`Timings::delivery_time`] (`TCP_USER_TIMEOUT`). A process must
//! listen at its node's address before the first event, and until
//! [`Notice::Ended`].

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use chervilgate_clock::Time;

use crate::{
    guards::Guards,
    ident::Node,
    intent::{NewOrder, OrderError, Orders, ReceiverRecord},
    membership::SessionReading,
    observer::Observer,
    order::{Epoch, OrderReply, ProbeReply, ReceiverId, ShardId},
    outbox::{Actions, Notice, Outbox},
    session::{Phase, Session},
    shard::Shards,
    store::{CallId, CallIds, StoreReply},
    takeover::Proofs,
    terms::Timings,
};

/// How long a planned stop waits for open orders; the next owner finishes the rest.
const STOP_WAIT: Duration = Duration::from_secs(10);

/// Configuration of an [`Authority`].
#[derive(Debug, Clone)]
pub struct AuthorityConfig {
    /// This process.
    pub node: Node,
    /// All shards; must be the same on all candidates.
    ///
    /// A process with an empty list keeps a session but never owns a shard.
    pub shards: Vec<ShardId>,
    /// Timeouts and intervals; must be the same on all processes.
    pub terms: Timings,
    /// Protections that tests may switch off; the default elsewhere.
    pub guards: Guards,
    /// Whether the platform never removes a running host from its list, so that a
    /// removal proves that the host's processes are dead.
    pub trust_list: bool,
    /// Seed of the random retry delays.
    pub seed: u64,
    /// Allocator of call ids; must not overlap with others of the process.
    pub calls: CallIds,
}

/// Input to an [`Authority`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// The time of [`Authority::wake_at`] has come, or the process has just started.
    Wake,
    /// A reply of the store.
    Reply {
        /// The call it belongs to.
        id: CallId,
        /// The reply.
        reply: StoreReply,
    },
    /// The outcome of a sent order.
    Answer {
        /// The call it belongs to.
        id: CallId,
        /// The outcome.
        reply: OrderReply,
    },
    /// The result of a probe.
    Probed {
        /// The probe it belongs to.
        id: CallId,
        /// The result.
        reply: ProbeReply,
    },
    /// A new list of hosts from the platform.
    Hosts(Vec<SocketAddr>),
    /// The process should stop: hand over its shards and release its session.
    Stop,
}

/// The session, shards and open orders of one incarnation.
#[derive(Debug, Clone)]
pub struct Authority {
    session: Session,
    observer: Observer,
    shards: Shards,
    orders: Orders,
    proofs: Proofs,
    out: Outbox,
    /// When a planned stop stops waiting for open orders; None if no stop was requested.
    stop_deadline: Option<Time>,
    ended: bool,
    busy: bool,
}

impl Authority {
    /// An authority that is idle until the first event.
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
            stop_deadline: None,
            ended: false,
            busy: false,
        }
    }

    /// Handles an event and returns the actions to carry out.
    pub fn handle(&mut self, now: Time, event: Event) -> Actions {
        match event {
            Event::Wake => {}
            Event::Reply { id, reply } => self.reply(now, id, &reply),
            Event::Answer { id, reply } => self.orders.handle_answer(now, id, reply),
            Event::Probed { id, reply } => self.proofs.probed(now, id, reply),
            Event::Hosts(hosts) => self.proofs.update_hosts(now, &hosts),
            Event::Stop => self.request_stop(now),
        }
        self.advance(now);
        self.out.take()
    }

    /// Accepts an order to a receiver of an owned shard.
    ///
    /// [`Notice::Completed`] reports its outcome. If the shard is lost first, the
    /// order may or may not have been executed; the next owner finishes it if
    /// its intent was stored.
    ///
    /// # Errors
    ///
    /// Fails if this process does not own the shard or has not read its
    /// records, if another order to the receiver is open, or if an order for
    /// the same event has been accepted before.
    pub fn request_order(&mut self, now: Time, request: NewOrder) -> Result<Actions, OrderError> {
        let shard = &request.receiver.shard;
        if self.shards.epoch(now, &self.session, shard).is_none() || self.shards.handing_over(shard)
        {
            return Err(OrderError::NotOwner);
        }
        self.orders.accept(request)?;
        self.advance(now);
        Ok(self.out.take())
    }

    /// When the next [`Event::Wake`] is due.
    pub fn wake_at(&self) -> Time {
        if self.ended {
            return Time::NEVER;
        }
        let idle_at = match self.session.phase() {
            Phase::Sealed if !self.orders.nothing_in_flight(Time::NEVER) => Time::NEVER,
            Phase::Sealed => self.orders.nothing_in_flight_at(),
            _ => Time::NEVER,
        };
        let session = self.session.wake_at().min(self.observer.wake_at());
        let orders = self.orders.wake_at().min(self.proofs.wake_at());
        session.min(self.shards.wake_at()).min(orders).min(idle_at)
    }

    /// Shards that this process owns at `now`, with their epochs.
    pub fn owned(&self, now: Time) -> impl Iterator<Item = (&ShardId, Epoch)> {
        self.shards.owned(now, &self.session)
    }

    /// When the session expires unless renewed; [`Time::ZERO`] if it is not live.
    pub fn expires_at(&self) -> Time {
        self.session.expires_at()
    }

    /// The records of an owned shard's receivers; empty until they have been read.
    pub fn records<'a>(
        &'a self,
        shard: &'a ShardId,
    ) -> impl Iterator<Item = (&'a ReceiverId, &'a ReceiverRecord)> {
        self.orders.records(shard)
    }

    /// Receivers that get no orders until a former sender is proved unable to send.
    pub fn frozen(&self) -> impl Iterator<Item = &ReceiverId> {
        self.orders.frozen()
    }

    /// Processes whose sessions are live by this process's last reads.
    pub fn members(&self, now: Time) -> impl Iterator<Item = &Node> {
        self.observer.live(now).map(|member| member.node)
    }

    /// Sets whether the driver has work of its own in progress.
    ///
    /// The session is not released meanwhile, since a release states that
    /// nothing of the process is in progress.
    pub fn set_work_pending(&mut self, pending: bool) {
        self.busy = pending;
    }

    /// Whether another process has ended this one's session.
    ///
    /// It can own no shards any more; the driver should finish its work and
    /// start a new incarnation.
    pub fn is_sealed(&self) -> bool {
        self.session.phase() == Phase::Sealed
    }

    /// All sessions as last read.
    pub fn sightings(&self) -> impl Iterator<Item = SessionReading> {
        self.observer.readings()
    }

    /// Whether [`Notice::Ended`] has been given; no further event has an effect.
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
        let _handled = self.session.reply(now, id, reply, out)
            || self.shards.reply(now, id, reply, &self.session, out)
            || self.orders.reply(now, id, reply, out)
            || self.proofs.reply(now, id, reply);
    }

    fn request_stop(&mut self, now: Time) {
        if self.stop_deadline.is_none() {
            self.stop_deadline = Some(now + STOP_WAIT);
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
        self.sync_orders(now);
        self.orders.wake(now, &self.session, &mut self.proofs, &mut self.out);
        self.proofs.wake(now, &mut self.out);
        self.finish(now);
    }

    fn advance_shards(&mut self, now: Time) {
        let me = self.session.me().incarnation;
        let waits = self.stop_deadline.is_none_or(|deadline| now < deadline);
        let orders = &self.orders;
        let has_open_order = |shard: &ShardId| waits && orders.has_open_order(shard, me);
        self.shards.wake(now, &self.session, &mut self.observer, &has_open_order, &mut self.out);
    }

    /// Shards that this process owns, or has orders in flight for.
    fn acting(&self, now: Time) -> Vec<ShardId> {
        let me = self.session.me().incarnation;
        let shards: BTreeSet<&ShardId> =
            self.shards.recorded(me).chain(self.orders.shards_in_flight(now)).collect();
        shards.into_iter().cloned().collect()
    }

    /// Updates the orders to the shards owned now.
    fn sync_orders(&mut self, now: Time) {
        let lost: Vec<ShardId> = self
            .orders
            .shards()
            .filter(|shard| self.shards.epoch(now, &self.session, shard).is_none())
            .cloned()
            .collect();
        for shard in lost {
            self.orders.remove_shard(&shard);
        }
        for (shard, epoch) in self.shards.owned(now, &self.session) {
            if self.orders.epoch(shard) != Some(epoch) {
                self.orders.remove_shard(shard);
                self.orders.add_shard(now, shard, epoch);
            }
        }
    }

    /// Releases the session once the incarnation is over and has nothing in flight.
    fn finish(&mut self, now: Time) {
        let me = self.session.me().incarnation;
        let stopped = self.stop_deadline.is_some() && self.shards.stopped(me);
        let is_over = self.session.phase() == Phase::Sealed || stopped;
        if is_over && !self.busy && self.orders.nothing_in_flight(now) {
            self.session.release(now);
            self.session.wake(now, &mut self.out);
        }
        if self.session.phase() == Phase::Released {
            self.ended = true;
            self.out.notify(Notice::Ended);
        }
    }
}
