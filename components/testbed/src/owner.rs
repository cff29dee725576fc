//! A process that owns shards and sends orders, for tests of the authority protocol.

use std::{collections::BTreeMap, time::Duration};

use chervilgate_clock::Time;
use chervilgate_coord::{
    Action, Actions, Authority, AuthorityConfig, CallIds, Epoch, Event, Guards, Notice, OrderReply,
    ReceiverId, ShardId, Timings, Zone,
    intent::{NewOrder, RECEIVER_PREFIX, ReceiverRecord},
    target_order::{Reclaim, ZoneOrders},
};
use serde::{Deserialize, Serialize};

use crate::{
    history::Fact,
    process::{Answer, Factory, Input, Output, Process, ProcessContext, Request},
};

/// A receiver as configured at its owner.
#[derive(Debug, Clone)]
pub struct ReceiverSetting {
    /// The receiver; its endpoint is registered under this id as text.
    pub id: ReceiverId,
    /// Whether it refuses old fencing tokens.
    pub fencing: bool,
    /// Time between orders.
    pub period: Duration,
}

/// Configuration of an [`Owner`].
#[derive(Debug, Clone)]
pub struct OwnerSetting {
    /// All shards of the deployment.
    pub shards: Vec<ShardId>,
    /// The receivers of all shards.
    pub receivers: Vec<ReceiverSetting>,
    /// Durations of leases and other deadlines.
    pub terms: Timings,
    /// Which safety checks of the protocol are on; tests turn some off.
    pub guards: Guards,
    /// Whether owners may rely on the platform never delisting a host that still runs.
    pub trust_list: bool,
}

/// The platform's reclaim of targets, which a test sends to every owner.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct ReclaimNotice {
    /// Zone of the lost targets.
    pub zone: Zone,
    /// Their pool in the zone.
    pub pool: String,
    /// Sequence number of the reclaim in the pool.
    pub number: u64,
    /// Number of targets lost.
    pub lost: u32,
}

/// Most targets that one replacement order asks for.
pub const REPLACEMENT_LIMIT: u32 = 4;

/// Takes ownership of every free shard and periodically sends each receiver an order.
///
/// The body of an order contains the owner's incarnation, so that the orders of two
/// owners always differ.
pub struct Owner {
    authority: Authority,
    name: String,
    receivers: Vec<ReceiverSetting>,
    zones: BTreeMap<Zone, ZoneOrders>,
    next: Vec<Time>,
    held: Vec<(ShardId, Epoch)>,
    until: Time,
}

impl Owner {
    /// Returns a factory of owners with this configuration.
    pub fn factory(setting: OwnerSetting) -> Factory {
        Box::new(move |context| Box::new(Owner::new(context, setting.clone())))
    }

    fn new(context: &ProcessContext, setting: OwnerSetting) -> Owner {
        let authority = Authority::new(AuthorityConfig {
            node: context.node.clone(),
            shards: setting.shards,
            terms: setting.terms,
            guards: setting.guards,
            trust_list: setting.trust_list,
            seed: context.seed,
            calls: CallIds::from(1),
        });
        let next = vec![Time::ZERO; setting.receivers.len()];
        Owner {
            authority,
            name: context.incarnation().to_string(),
            receivers: setting.receivers,
            zones: BTreeMap::new(),
            next,
            held: Vec::new(),
            until: Time::ZERO,
        }
    }

    fn send_orders(&mut self, now: Time, out: &mut Vec<Output>) {
        for (receiver, next) in self.receivers.iter().zip(&mut self.next) {
            if now < *next {
                continue;
            }
            *next = now + receiver.period;
            let request = NewOrder {
                receiver: receiver.id.clone(),
                fencing: receiver.fencing,
                body: format!("{} at {now}", self.name).into_bytes(),
                cause: None,
            };
            if let Ok(actions) = self.authority.request_order(now, request) {
                append_outputs(actions, out);
            }
        }
    }

    fn add_reclaim(&mut self, notice: ReclaimNotice) {
        let ReclaimNotice { zone, pool, number, lost } = notice;
        let orders = self
            .zones
            .entry(zone.clone())
            .or_insert_with(|| ZoneOrders::new(zone, REPLACEMENT_LIMIT));
        orders.add_reclaim(&pool, Reclaim { number, lost });
    }

    fn replace_targets(&mut self, now: Time, out: &mut Vec<Output>) {
        for orders in self.zones.values_mut() {
            let due: Vec<NewOrder> = orders.due_requests().collect();
            for request in due {
                let result = self.authority.request_order(now, request.clone());
                orders.handle_result(&request, result.as_ref().map(|_| ()).map_err(|error| *error));
                if let Ok(actions) = result {
                    append_outputs(actions, out);
                }
            }
        }
    }

    /// Records changes in the set of shards that the process believes it owns.
    fn record_ownership(&mut self, now: Time, out: &mut Vec<Output>) {
        let held: Vec<(ShardId, Epoch)> =
            self.authority.owned(now).map(|(shard, epoch)| (shard.clone(), epoch)).collect();
        let until = self.authority.expires_at();
        for (shard, epoch) in &self.held {
            if !held.iter().any(|(other, now)| other == shard && now == epoch) {
                out.push(Output::Record(Fact::Yields { shard: shard.clone() }));
            }
        }
        for (shard, epoch) in &held {
            let known = self.held.iter().any(|(other, since)| other == shard && since == epoch);
            if !known || until != self.until {
                let fact = Fact::Holds { shard: shard.clone(), epoch: *epoch, until };
                out.push(Output::Record(fact));
            }
        }
        self.held = held;
        self.until = until;
    }
}

impl Process for Owner {
    fn handle(&mut self, now: Time, input: Input) -> Vec<Output> {
        if let Input::Command(body) = &input
            && let Ok(news) = chervilgate_coord::decode(body)
        {
            self.add_reclaim(news);
        }
        let event = match input {
            Input::Store { id, reply } => Event::Reply { id, reply },
            Input::Answer { id, reply } => Event::Answer { id, reply: order_reply(&reply) },
            Input::Probe { id, reply } => Event::Probed { id, reply },
            Input::Hosts(hosts) => Event::Hosts(hosts),
            Input::Stop => Event::Stop,
            Input::Start | Input::Wake | Input::Peer { .. } | Input::Command(_) => Event::Wake,
        };
        let mut out = Vec::new();
        append_outputs(self.authority.handle(now, event), &mut out);
        self.replace_targets(now, &mut out);
        self.send_orders(now, &mut out);
        self.record_ownership(now, &mut out);
        out
    }

    fn wake_at(&self) -> Time {
        let orders = match self.held.is_empty() {
            true => Time::NEVER,
            false => self.next.iter().copied().fold(Time::NEVER, Time::min),
        };
        self.authority.wake_at().min(orders)
    }
}

/// Converts actions of an authority to outputs of a process, and appends them to `out`.
pub fn append_outputs(actions: Actions, out: &mut Vec<Output>) {
    for action in actions {
        match action {
            Action::Store { id, step, call } => out.push(Output::Store { id, step, call }),
            Action::Send { id, step, order, deadline } => out.push(Output::Call {
                id,
                step,
                endpoint: order.id.receiver.to_string(),
                request: Request::Order(order),
                deadline,
            }),
            Action::Probe { id, step, addr } => out.push(Output::Probe { id, step, addr }),
            Action::Notice(notice) => record_notice(notice, out),
        }
    }
}

fn record_notice(notice: Notice, out: &mut Vec<Output>) {
    match notice {
        Notice::Frozen { receiver, sender } => {
            out.push(Output::Record(Fact::Frozen { receiver, sender }));
        }
        Notice::Unfrozen { receiver, .. } => out.push(Output::Record(Fact::Thawed { receiver })),
        Notice::Completed { order, reply } => {
            out.push(Output::Record(Fact::Completed { order, reply }));
        }
        Notice::Ended => out.push(Output::Exit),
        Notice::Gained { .. } | Notice::Lost { .. } | Notice::Renewed { .. } => {}
    }
}

/// The outcome of an order according to an endpoint's answer.
pub fn order_reply(answer: &Answer) -> OrderReply {
    match answer {
        Answer::Order(reply) => *reply,
        Answer::NotSent => OrderReply::NotSent,
        Answer::Bytes(_) | Answer::Unknown => OrderReply::Unknown,
    }
}

/// A [`crate::Recorder`] of the receivers' records; `None` for other keys.
pub fn receiver_fact(key: &str, value: &[u8]) -> Option<Fact> {
    let (shard, name) = key.strip_prefix(RECEIVER_PREFIX)?.split_once('/')?;
    let record: ReceiverRecord = chervilgate_coord::decode(value).ok()?;
    let receiver = ReceiverId { shard: ShardId(shard.to_owned()), name: name.to_owned() };
    Some(Fact::Recorded { receiver, open: record.open.is_some().then_some(record.seq) })
}
