//! Usage windows of the shards that this controller owns.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use chervilgate_clock::Time;
use chervilgate_coord::{
    CallId, CallIds, ReceiverId, ShardId, StoreCall, StoreReply,
    intent::{Wish, WishError},
    window::{Seal, Sealer, SealerAction, WindowId},
};

use crate::orders::{Content, Figures};

/// Calls of the sealers are numbered apart from those of the others.
const FIRST_CALL: u64 = 3 << 32;
/// The receiver of reports within a usage shard.
const RECEIVER: &str = "reports";

struct Shard {
    sealer: Sealer,
    due: VecDeque<Report>,
}

struct Report {
    window: WindowId,
    seal: Seal,
}

/// A call that a sealer wants made.
pub(crate) struct WindowCall {
    /// Matches the reply.
    pub(crate) id: CallId,
    /// The call.
    pub(crate) call: StoreCall,
}

/// Seals and reports the windows of owned shards.
pub(crate) struct Windows {
    span: Duration,
    shards: BTreeMap<ShardId, Shard>,
    ids: CallIds,
}

impl Windows {
    /// No shard owned yet; a window lasts `span`.
    pub(crate) fn new(span: Duration) -> Windows {
        Windows { span, shards: BTreeMap::new(), ids: CallIds::from(FIRST_CALL) }
    }

    /// Begins with a shard whose windows up to `reported` have been reported.
    pub(crate) fn gain(&mut self, shard: &ShardId, reported: u64) {
        let sealer = Sealer::new(shard.clone(), reported, self.span, rand::random());
        self.shards.insert(shard.clone(), Shard { sealer, due: VecDeque::new() });
    }

    /// Whether the shard is looked after.
    pub(crate) fn has(&self, shard: &ShardId) -> bool {
        self.shards.contains_key(shard)
    }

    /// Gives up shards that are no longer owned.
    pub(crate) fn keep(&mut self, owned: impl Fn(&ShardId) -> bool) {
        self.shards.retain(|shard, _| owned(shard));
    }

    /// The calls that are due.
    pub(crate) fn advance(&mut self, now: Time) -> Vec<WindowCall> {
        let mut calls = Vec::new();
        for shard in self.shards.values_mut() {
            let actions = shard.sealer.advance(now, &mut self.ids);
            shard.take(actions, &mut calls);
        }
        calls
    }

    /// Takes a reply; returns the calls that follow.
    pub(crate) fn reply(&mut self, now: Time, id: CallId, reply: &StoreReply) -> Vec<WindowCall> {
        let mut calls = Vec::new();
        for shard in self.shards.values_mut() {
            if let Some(actions) = shard.sealer.reply(now, &mut self.ids, id, reply) {
                shard.take(actions, &mut calls);
                break;
            }
        }
        calls
    }

    /// The next report of each shard, as an order.
    pub(crate) fn due(&self) -> Vec<Wish> {
        let reports = self.shards.values().filter_map(|shard| shard.due.front());
        reports.map(to_wish).collect()
    }

    /// Takes what became of a report that was due.
    ///
    /// A report stays due until it has been acted on: its owner may lose the
    /// shard before the intent is written.
    pub(crate) fn offered(&mut self, wish: &Wish, result: Result<(), WishError>) {
        if result != Err(WishError::Stale) {
            return;
        }
        if let Some(shard) = self.shards.get_mut(&wish.receiver.shard) {
            shard.due.retain(|report| Some(report.window.number) > wish.cause);
        }
    }
}

impl Shard {
    fn take(
        &mut self,
        actions: impl IntoIterator<Item = SealerAction>,
        calls: &mut Vec<WindowCall>,
    ) {
        for action in actions {
            match action {
                SealerAction::Call { id, call, .. } => calls.push(WindowCall { id, call }),
                SealerAction::Report { window, seal } => {
                    self.due.push_back(Report { window, seal });
                }
            }
        }
    }
}

fn to_wish(report: &Report) -> Wish {
    let usage = report.seal.total.usage.iter();
    let figures = usage.map(|(organisation, usage)| Figures {
        organisation: organisation.clone(),
        requests: usage.requests,
        prompt: usage.prompt,
        generated: usage.generated,
    });
    let content = Content::Usage { window: report.window.clone(), figures: figures.collect() };
    let shard = report.window.shard.clone();
    Wish {
        receiver: ReceiverId { shard, name: RECEIVER.to_owned() },
        fencing: false,
        body: content.to_body(),
        cause: Some(report.window.number),
    }
}
