//! Seals and reports the usage windows of the shards that this controller owns.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use chervilgate_clock::Time;
use chervilgate_coord::{
    CallId, CallIds, ReceiverId, ShardId, StoreCall, StoreReply,
    intent::{NewOrder, OrderError},
    window::{SealerAction, WindowId, WindowSeal, WindowSealer},
};

use crate::orders::{OrderBody, OrganisationUsage};

/// First id of this component's store calls. Each component of a process has its own range
/// of 2^32 ids, so that a reply is matched to one component only.
const FIRST_CALL_ID: u64 = 3 << 32;
/// Name of the receiver of usage reports in each usage shard. Entries read its record, so it
/// must match `USAGE_RECEIVER` of the entry.
const USAGE_RECEIVER: &str = "reports";

struct UsageShard {
    sealer: WindowSealer,
    /// Sealed windows that are not yet known to be reported, oldest first.
    pending: VecDeque<PendingReport>,
}

struct PendingReport {
    window: WindowId,
    seal: WindowSeal,
}

/// A store call that a sealer requests.
pub(crate) struct SealerCall {
    /// Identifies the reply.
    pub(crate) id: CallId,
    /// The call.
    pub(crate) call: StoreCall,
}

/// The usage windows of all owned usage shards.
pub(crate) struct UsageWindows {
    length: Duration,
    shards: BTreeMap<ShardId, UsageShard>,
    ids: CallIds,
}

impl UsageWindows {
    /// Starts without shards; each window lasts `length`.
    pub(crate) fn new(length: Duration) -> UsageWindows {
        UsageWindows { length, shards: BTreeMap::new(), ids: CallIds::from(FIRST_CALL_ID) }
    }

    /// Adds a shard whose windows up to number `reported` have been reported.
    pub(crate) fn add_shard(&mut self, shard: &ShardId, reported: u64) {
        let sealer = WindowSealer::new(shard.clone(), reported, self.length, rand::random());
        self.shards.insert(shard.clone(), UsageShard { sealer, pending: VecDeque::new() });
    }

    /// Whether the shard has been added.
    pub(crate) fn has_shard(&self, shard: &ShardId) -> bool {
        self.shards.contains_key(shard)
    }

    /// Removes the shards that are no longer owned.
    pub(crate) fn retain_owned(&mut self, owned: impl Fn(&ShardId) -> bool) {
        self.shards.retain(|shard, _| owned(shard));
    }

    /// Returns the store calls that are due at `now`.
    pub(crate) fn advance(&mut self, now: Time) -> Vec<SealerCall> {
        let mut calls = Vec::new();
        for shard in self.shards.values_mut() {
            let actions = shard.sealer.advance(now, &mut self.ids);
            shard.apply(actions, &mut calls);
        }
        calls
    }

    /// Handles the reply to a store call and returns the calls that follow.
    pub(crate) fn handle_reply(
        &mut self,
        now: Time,
        id: CallId,
        reply: &StoreReply,
    ) -> Vec<SealerCall> {
        let mut calls = Vec::new();
        for shard in self.shards.values_mut() {
            if let Some(actions) = shard.sealer.reply(now, &mut self.ids, id, reply) {
                shard.apply(actions, &mut calls);
                break;
            }
        }
        calls
    }

    /// Returns the order for the oldest pending report of each shard.
    pub(crate) fn due_reports(&self) -> Vec<NewOrder> {
        let oldest = self.shards.values().filter_map(|shard| shard.pending.front());
        oldest.map(to_order).collect()
    }

    /// Handles the result of requesting the order for a report.
    ///
    /// A report stays pending until the result is [`OrderError::Stale`], which means that it
    /// has been acted on: this controller can lose the shard before the intent is written.
    pub(crate) fn handle_result(&mut self, order: &NewOrder, result: Result<(), OrderError>) {
        if result != Err(OrderError::Stale) {
            return;
        }
        if let Some(shard) = self.shards.get_mut(&order.receiver.shard) {
            shard.pending.retain(|report| Some(report.window.number) > order.cause);
        }
    }
}

impl UsageShard {
    /// Collects the store calls and queues the reports that the sealer requests.
    fn apply(
        &mut self,
        actions: impl IntoIterator<Item = SealerAction>,
        calls: &mut Vec<SealerCall>,
    ) {
        for action in actions {
            match action {
                SealerAction::Call { id, call, .. } => calls.push(SealerCall { id, call }),
                SealerAction::Report { window, seal } => {
                    self.pending.push_back(PendingReport { window, seal });
                }
            }
        }
    }
}

fn to_order(report: &PendingReport) -> NewOrder {
    let usage = report.seal.total.usage.iter();
    let figures = usage.map(|(organisation, usage)| OrganisationUsage {
        organisation: organisation.clone(),
        requests: usage.requests,
        prompt: usage.prompt,
        generated: usage.generated,
    });
    let order_body = OrderBody::Usage { window: report.window.clone(), figures: figures.collect() };
    let shard = report.window.shard.clone();
    NewOrder {
        receiver: ReceiverId { shard, name: USAGE_RECEIVER.to_owned() },
        fencing: false,
        body: order_body.to_bytes(),
        cause: Some(report.window.number),
    }
}
