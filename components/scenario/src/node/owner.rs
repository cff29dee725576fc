//! The shards that a node owns, and the orders it sends as their owner: engine
//! roles, target orders and usage reports.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
};

use chervilgate_clock::Time;
use chervilgate_coord::{
    Action, Actions, Authority, AuthorityConfig, CallId, CallIds, Epoch, Event, Node, Notice,
    ProbeReply, ReceiverId, ShardId, StoreReply, Timings, Zone, encode,
    intent::{NewOrder, OrderError},
    membership::SessionReading,
    target_order::{Reclaim, ZoneOrders, zone_shard},
};
use chervilgate_testbed::{Answer, Fact, Output, append_outputs, order_reply};

use crate::node::{
    NodeSettings,
    message::{engine_shard, usage_shard},
};

/// Receiver name of the target pool in each zone.
pub(crate) const POOL: &str = "pool";

/// Receiver name for usage reports.
pub(crate) const USAGE_RECEIVER: &str = "reports";

/// Maximum number of targets ordered to replace reclaimed ones.
const MAX_ORDERED_TARGETS: u32 = 8;

/// A node's shard ownership and its pending orders.
pub(super) struct Owner {
    authority: Authority,
    zones: Vec<ZoneOrders>,
    roles: BTreeMap<String, NewOrder>,
    reports: VecDeque<NewOrder>,
    recorded: Vec<(ShardId, Epoch)>,
    recorded_until: Time,
    retry_at: Time,
    pub(super) session_ended: bool,
}

impl Owner {
    pub(super) fn new(
        me: &Node,
        settings: &NodeSettings,
        terms: Timings,
        calls: CallIds,
        seed: u64,
    ) -> Owner {
        let zones: Vec<Zone> = settings.zones.iter().map(|zone| Zone(zone.clone())).collect();
        let shards = zones.iter().map(zone_shard).chain([engine_shard(), usage_shard()]);
        let authority = Authority::new(AuthorityConfig {
            node: me.clone(),
            shards: shards.collect(),
            terms,
            guards: settings.guards,
            trust_list: false,
            seed,
            calls,
        });
        Owner {
            authority,
            zones: zones
                .into_iter()
                .map(|zone| ZoneOrders::new(zone, MAX_ORDERED_TARGETS))
                .collect(),
            roles: BTreeMap::new(),
            reports: VecDeque::new(),
            recorded: Vec::new(),
            recorded_until: Time::ZERO,
            retry_at: Time::ZERO,
            session_ended: false,
        }
    }

    pub(super) fn set_role(&mut self, target: String, fencing: bool, role: String, number: u64) {
        let receiver = ReceiverId { shard: engine_shard(), name: target.clone() };
        let (body, cause) = (role.into_bytes(), Some(number));
        self.roles.insert(target, NewOrder { receiver, fencing, body, cause });
    }

    pub(super) fn reclaim(&mut self, zone: &str, number: u64, lost: u32) {
        let shard = zone_shard(&Zone(zone.to_owned()));
        let orders = self.zones.iter_mut().find(|orders| orders.receiver(POOL).shard == shard);
        if let Some(orders) = orders {
            orders.add_reclaim(POOL, Reclaim { number, lost });
        }
    }

    pub(super) fn queue_report(&mut self, window: u64, figures: &[u8]) {
        let receiver = ReceiverId { shard: usage_shard(), name: USAGE_RECEIVER.to_owned() };
        let body = encode(&(window, figures));
        self.reports.push_back(NewOrder { receiver, fencing: false, body, cause: Some(window) });
    }

    /// The last reported window, 0 if none; `None` unless this node owns the usage shard.
    pub(super) fn last_reported(&self, now: Time) -> Option<u64> {
        let shard = usage_shard();
        self.authority.owned(now).find(|(owned, _)| **owned == shard)?;
        let record = self.authority.records(&shard).next();
        Some(record.map_or(0, |(_, record)| record.cause))
    }

    pub(super) fn observed_sessions(&self) -> Vec<SessionReading> {
        self.authority.sightings().collect()
    }

    /// Whether another process has sealed this node's session.
    pub(super) fn is_sealed(&self) -> bool {
        self.authority.is_sealed()
    }

    pub(super) fn set_busy(&mut self, busy: bool) {
        self.authority.set_work_pending(busy);
    }

    pub(super) fn wake_at(&self) -> Time {
        let orders = if self.recorded.is_empty() { Time::NEVER } else { self.retry_at };
        self.authority.wake_at().min(orders)
    }

    pub(super) fn wake(&mut self, now: Time, out: &mut Vec<Output>) {
        self.handle_event(now, Event::Wake, out);
        if now >= self.retry_at {
            self.retry_at = now + std::time::Duration::from_millis(500);
            self.send_orders(now, out);
        }
    }

    pub(super) fn stop(&mut self, now: Time, out: &mut Vec<Output>) {
        self.handle_event(now, Event::Stop, out);
    }

    pub(super) fn handle_reply(
        &mut self,
        now: Time,
        id: CallId,
        reply: StoreReply,
        out: &mut Vec<Output>,
    ) {
        self.handle_event(now, Event::Reply { id, reply }, out);
    }

    pub(super) fn handle_answer(
        &mut self,
        now: Time,
        id: CallId,
        reply: &Answer,
        out: &mut Vec<Output>,
    ) {
        self.handle_event(now, Event::Answer { id, reply: order_reply(reply) }, out);
    }

    pub(super) fn handle_probe(
        &mut self,
        now: Time,
        id: CallId,
        reply: ProbeReply,
        out: &mut Vec<Output>,
    ) {
        self.handle_event(now, Event::Probed { id, reply }, out);
    }

    pub(super) fn set_hosts(&mut self, now: Time, hosts: Vec<SocketAddr>, out: &mut Vec<Output>) {
        self.handle_event(now, Event::Hosts(hosts), out);
    }

    fn handle_event(&mut self, now: Time, event: Event, out: &mut Vec<Output>) {
        let actions = self.authority.handle(now, event);
        self.apply_actions(actions, out);
        self.record_ownership(now, out);
    }

    fn apply_actions(&mut self, actions: Actions, out: &mut Vec<Output>) {
        let ends = |action: &Action| matches!(action, Action::Notice(Notice::Ended));
        self.session_ended = self.session_ended || actions.iter().any(ends);
        append_outputs(actions, out);
        out.retain(|output| *output != Output::Exit);
    }

    fn send_orders(&mut self, now: Time, out: &mut Vec<Output>) {
        let mut orders_to_send: Vec<NewOrder> = self.roles.values().cloned().collect();
        orders_to_send.extend(self.reports.front().cloned());
        for order in orders_to_send {
            let result = self.send_order(now, &order, out);
            if result == Err(OrderError::Stale) {
                self.roles.retain(|_, other| *other != order);
                self.reports.retain(|other| *other != order);
            }
        }
        for index in 0..self.zones.len() {
            let due: Vec<NewOrder> = self.zones[index].due_requests().collect();
            for order in due {
                let result = self.send_order(now, &order, out);
                self.zones[index].handle_result(&order, result);
            }
        }
    }

    fn send_order(
        &mut self,
        now: Time,
        order: &NewOrder,
        out: &mut Vec<Output>,
    ) -> Result<(), OrderError> {
        let actions = self.authority.request_order(now, order.clone())?;
        self.apply_actions(actions, out);
        Ok(())
    }

    /// Records changes of the ownership that this node assumes, for the invariant checker.
    fn record_ownership(&mut self, now: Time, out: &mut Vec<Output>) {
        let held: Vec<(ShardId, Epoch)> =
            self.authority.owned(now).map(|(shard, epoch)| (shard.clone(), epoch)).collect();
        let until = self.authority.expires_at();
        for (shard, _) in self.recorded.iter().filter(|owned| !held.contains(owned)) {
            out.push(Output::Record(Fact::Yields { shard: shard.clone() }));
        }
        for (shard, epoch) in &held {
            let known = self.recorded.contains(&(shard.clone(), *epoch));
            if !known || until != self.recorded_until {
                let (shard, epoch) = (shard.clone(), *epoch);
                out.push(Output::Record(Fact::Holds { shard, epoch, until }));
            }
        }
        self.recorded = held;
        self.recorded_until = until;
    }
}
