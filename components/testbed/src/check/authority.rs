//! Rules about orders and about the ownership of shards.

use std::collections::BTreeMap;

use chervilgate_clock::Time;
use chervilgate_coord::{
    Epoch, FencingToken, Incarnation, Order, OrderReply, ReceiverId, ShardId, Zone,
    target_order::zone_shard,
};

use crate::{
    check::{Promise, Report, Rule},
    history::{Entry, Fact},
};

#[derive(Debug, Default)]
struct Receiver {
    open: Option<u64>,
    seq: u64,
    body: Vec<u8>,
    fence: FencingToken,
}

/// Checks that each receiver carries out its orders in sequence, and each only
/// while the receiver's record in the store names it as open.
///
/// A late copy of the receiver's last order changes nothing, so it is allowed.
#[derive(Debug, Default)]
pub(super) struct Orders {
    receivers: BTreeMap<ReceiverId, Receiver>,
}

impl Orders {
    fn apply(&mut self, at: Time, order: &Order, fencing: bool, report: &mut Report) {
        let receiver = self.receivers.entry(order.id.receiver.clone()).or_default();
        report.observe(Promise::NoConflict);
        report.observe(Promise::NoStaleOrder);
        let repeats = order.id.seq == receiver.seq && order.body == receiver.body;
        if order.id.seq < receiver.seq {
            let what = format!("{} was carried out after #{}", order.id, receiver.seq);
            report.add_violation(Promise::NoConflict, at, what);
        }
        if order.id.seq == receiver.seq && !repeats {
            let what = format!("{} was carried out with two contents", order.id);
            report.add_violation(Promise::NoConflict, at, what);
        }
        if !repeats && receiver.open != Some(order.id.seq) {
            let what = format!("{} from {} is not the open order", order.id, order.sender);
            report.add_violation(Promise::NoStaleOrder, at, what);
        }
        if fencing && order.fence < receiver.fence {
            let what = format!("{} from {} has an old fencing token", order.id, order.sender);
            report.add_violation(Promise::NoStaleOrder, at, what);
        }
        receiver.seq = receiver.seq.max(order.id.seq);
        receiver.body.clone_from(&order.body);
        receiver.fence = receiver.fence.max(order.fence);
    }
}

impl Rule for Orders {
    fn visit(&mut self, entry: &Entry, report: &mut Report) {
        match &entry.fact {
            Fact::Recorded { receiver, open } => {
                self.receivers.entry(receiver.clone()).or_default().open = *open;
            }
            Fact::Received { order, fencing, reply: OrderReply::Done } => {
                self.apply(entry.at, order, *fencing, report);
            }
            _ => {}
        }
    }
}

#[derive(Debug, Default)]
struct Shard {
    owners: BTreeMap<Incarnation, Time>,
    epoch: Epoch,
    order_epoch: Epoch,
}

impl Shard {
    fn owner_count(&self, now: Time) -> usize {
        self.owners.values().filter(|until| now < **until).count()
    }
}

/// Checks that no two processes believe that they own a shard at the same time.
#[derive(Debug, Default)]
pub(super) struct Ownership {
    shards: BTreeMap<ShardId, Shard>,
}

impl Ownership {
    fn hold(
        &mut self,
        at: Time,
        process: Incarnation,
        shard: &ShardId,
        epoch: Epoch,
        until: Time,
        report: &mut Report,
    ) {
        let promise = promise_of(shard);
        let known = self.shards.entry(shard.clone()).or_default();
        known.owners.insert(process, until);
        if known.owner_count(at) > 1 {
            report.add_violation(promise, at, format!("two processes believe they own {shard}"));
        }
        if epoch < known.epoch {
            report.add_violation(promise, at, format!("{shard} is owned under an old epoch"));
        }
        known.epoch = known.epoch.max(epoch);
    }

    fn order_targets(&mut self, at: Time, order: &Order, report: &mut Report) {
        let known = self.shards.entry(order.id.receiver.shard.clone()).or_default();
        report.observe(Promise::OneOrderer);
        let epoch = order.fence.epoch();
        if epoch < known.order_epoch {
            let what = format!("{} came after an order of a later owner", order.id);
            report.add_violation(Promise::OneOrderer, at, what);
        }
        if known.owner_count(at) > 1 {
            let what = format!("{} came while two processes believe they own the shard", order.id);
            report.add_violation(Promise::OneOrderer, at, what);
        }
        known.order_epoch = known.order_epoch.max(epoch);
    }
}

impl Rule for Ownership {
    fn visit(&mut self, entry: &Entry, report: &mut Report) {
        match (&entry.fact, entry.process) {
            (Fact::Holds { shard, epoch, until }, Some(process)) => {
                self.hold(entry.at, process, shard, *epoch, *until, report);
            }
            (Fact::Yields { shard }, Some(process)) => {
                self.shards.entry(shard.clone()).or_default().owners.remove(&process);
            }
            (Fact::Died, Some(process)) => {
                for shard in self.shards.values_mut() {
                    shard.owners.remove(&process);
                }
            }
            (Fact::TargetOrdered { order }, _) => self.order_targets(entry.at, order, report),
            _ => {}
        }
    }
}

/// The promise that is broken when two processes own the shard.
fn promise_of(shard: &ShardId) -> Promise {
    if shard.0.starts_with(&zone_shard(&Zone(String::new())).0) {
        return Promise::OneOrderer;
    }
    if shard.0.starts_with("usage") {
        return Promise::UsageOnce;
    }
    Promise::NoConflict
}
