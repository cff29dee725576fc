//! The shards that a node owns: engines' roles, target orders, usage reports.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
};

use chervilgate_clock::Time;
use chervilgate_coord::{
    Action, Actions, Authority, AuthorityConfig, CallId, CallIds, Epoch, Event, Node, Notice,
    ProbeReply, ReceiverId, ShardId, StoreReply, Terms, Zone, encode,
    intent::{Wish, WishError},
    membership::Sighting,
    target_order::{Reclaim, ZoneOrders, zone_shard},
};
use chervilgate_testbed::{Answer, Fact, Output, order_reply, translate};

use crate::node::{
    NodeSetting,
    message::{engine_shard, usage_shard},
};

/// The pool of targets in each zone.
pub(crate) const POOL: &str = "pool";

/// The receiver of usage reports.
pub(crate) const REPORTS: &str = "reports";

/// Targets that one replacement may order.
const MOST_TARGETS: u32 = 8;

/// A node's authority and what it is to order.
pub(super) struct Owner {
    authority: Authority,
    zones: Vec<ZoneOrders>,
    roles: BTreeMap<String, Wish>,
    reports: VecDeque<Wish>,
    held: Vec<(ShardId, Epoch)>,
    until: Time,
    retry_at: Time,
    pub(super) ended: bool,
}

impl Owner {
    pub(super) fn new(
        me: &Node,
        setting: &NodeSetting,
        terms: Terms,
        calls: CallIds,
        seed: u64,
    ) -> Owner {
        let zones: Vec<Zone> = setting.zones.iter().map(|zone| Zone(zone.clone())).collect();
        let shards = zones.iter().map(zone_shard).chain([engine_shard(), usage_shard()]);
        let authority = Authority::new(AuthorityConfig {
            node: me.clone(),
            shards: shards.collect(),
            terms,
            guards: setting.guards,
            trust_list: false,
            seed,
            calls,
        });
        Owner {
            authority,
            zones: zones.into_iter().map(|zone| ZoneOrders::new(zone, MOST_TARGETS)).collect(),
            roles: BTreeMap::new(),
            reports: VecDeque::new(),
            held: Vec::new(),
            until: Time::ZERO,
            retry_at: Time::ZERO,
            ended: false,
        }
    }

    pub(super) fn wish_role(&mut self, target: String, fencing: bool, role: String, number: u64) {
        let receiver = ReceiverId { shard: engine_shard(), name: target.clone() };
        let (body, cause) = (role.into_bytes(), Some(number));
        self.roles.insert(target, Wish { receiver, fencing, body, cause });
    }

    pub(super) fn reclaim(&mut self, zone: &str, number: u64, lost: u32) {
        let shard = zone_shard(&Zone(zone.to_owned()));
        let orders = self.zones.iter_mut().find(|orders| orders.receiver(POOL).shard == shard);
        if let Some(orders) = orders {
            orders.reclaim(POOL, Reclaim { number, lost });
        }
    }

    pub(super) fn report(&mut self, window: u64, figures: &[u8]) {
        let receiver = ReceiverId { shard: usage_shard(), name: REPORTS.to_owned() };
        let body = encode(&(window, figures));
        self.reports.push_back(Wish { receiver, fencing: false, body, cause: Some(window) });
    }

    /// The last window that was reported, while the usage shard is owned.
    pub(super) fn reported(&self, now: Time) -> Option<u64> {
        let shard = usage_shard();
        self.authority.owned(now).find(|(owned, _)| **owned == shard)?;
        let record = self.authority.records(&shard).next();
        Some(record.map_or(0, |(_, record)| record.cause))
    }

    pub(super) fn sightings(&self) -> Vec<Sighting> {
        self.authority.sightings().collect()
    }

    /// Whether another process has ended this one's session.
    pub(super) fn is_sealed(&self) -> bool {
        self.authority.is_sealed()
    }

    pub(super) fn set_busy(&mut self, busy: bool) {
        self.authority.set_busy(busy);
    }

    pub(super) fn wake_at(&self) -> Time {
        let orders = if self.held.is_empty() { Time::NEVER } else { self.retry_at };
        self.authority.wake_at().min(orders)
    }

    pub(super) fn wake(&mut self, now: Time, out: &mut Vec<Output>) {
        self.take(now, Event::Wake, out);
        if now >= self.retry_at {
            self.retry_at = now + std::time::Duration::from_millis(500);
            self.give_orders(now, out);
        }
    }

    pub(super) fn stop(&mut self, now: Time, out: &mut Vec<Output>) {
        self.take(now, Event::Stop, out);
    }

    pub(super) fn replied(
        &mut self,
        now: Time,
        id: CallId,
        reply: StoreReply,
        out: &mut Vec<Output>,
    ) {
        self.take(now, Event::Reply { id, reply }, out);
    }

    pub(super) fn answered(
        &mut self,
        now: Time,
        id: CallId,
        reply: &Answer,
        out: &mut Vec<Output>,
    ) {
        self.take(now, Event::Answer { id, reply: order_reply(reply) }, out);
    }

    pub(super) fn probed(
        &mut self,
        now: Time,
        id: CallId,
        reply: ProbeReply,
        out: &mut Vec<Output>,
    ) {
        self.take(now, Event::Probed { id, reply }, out);
    }

    pub(super) fn hosts(&mut self, now: Time, hosts: Vec<SocketAddr>, out: &mut Vec<Output>) {
        self.take(now, Event::Hosts(hosts), out);
    }

    fn take(&mut self, now: Time, event: Event, out: &mut Vec<Output>) {
        let actions = self.authority.handle(now, event);
        self.act(actions, out);
        self.record_beliefs(now, out);
    }

    fn act(&mut self, actions: Actions, out: &mut Vec<Output>) {
        let ends = |action: &Action| matches!(action, Action::Notice(Notice::Ended));
        self.ended = self.ended || actions.iter().any(ends);
        translate(actions, out);
        out.retain(|output| *output != Output::Exit);
    }

    fn give_orders(&mut self, now: Time, out: &mut Vec<Output>) {
        let mut wishes: Vec<Wish> = self.roles.values().cloned().collect();
        wishes.extend(self.reports.front().cloned());
        for wish in wishes {
            let result = self.order(now, &wish, out);
            if result == Err(WishError::Stale) {
                self.roles.retain(|_, other| *other != wish);
                self.reports.retain(|other| *other != wish);
            }
        }
        for index in 0..self.zones.len() {
            let due: Vec<Wish> = self.zones[index].due().collect();
            for wish in due {
                let result = self.order(now, &wish, out);
                self.zones[index].offered(&wish, result);
            }
        }
    }

    fn order(&mut self, now: Time, wish: &Wish, out: &mut Vec<Output>) -> Result<(), WishError> {
        let actions = self.authority.order(now, wish.clone())?;
        self.act(actions, out);
        Ok(())
    }

    /// Records what the process believes to own, when that has changed.
    fn record_beliefs(&mut self, now: Time, out: &mut Vec<Output>) {
        let held: Vec<(ShardId, Epoch)> =
            self.authority.owned(now).map(|(shard, epoch)| (shard.clone(), epoch)).collect();
        let until = self.authority.until();
        for (shard, _) in self.held.iter().filter(|owned| !held.contains(owned)) {
            out.push(Output::Record(Fact::Yields { shard: shard.clone() }));
        }
        for (shard, epoch) in &held {
            let known = self.held.contains(&(shard.clone(), *epoch));
            if !known || until != self.until {
                let (shard, epoch) = (shard.clone(), *epoch);
                out.push(Output::Record(Fact::Holds { shard, epoch, until }));
            }
        }
        self.held = held;
        self.until = until;
    }
}
