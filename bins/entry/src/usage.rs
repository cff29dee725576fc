//! The actor that counts usage and stores it in the platform.
//!
//! Organisations are hashed into groups; each group is a shard with its own
//! windows. Between two flushes, a mirror on another host holds a copy of this
//! host's counters, and this host holds copies for others. When a host is gone,
//! its mirror stores its counters.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use chervilgate_clock::Time;
use chervilgate_coord::{
    CallId, CallIds, Incarnation, Node, ReceiverId, ShardId, StoreCall, StoreReply, decode,
    intent::{ReceiverRecord, receiver_key},
    window::{
        Mirror, MirrorAction, Usage, UsageMeter, UsageMeterAction, UsageSheet, UsageTotals,
        WindowId,
    },
};
use chervilgate_driver::WakeTimer;
use chervilgate_wire::Message;
use ractor::{Actor, ActorProcessingErr, ActorRef, RpcReplyPort};
use sha2::{Digest, Sha256};
use tokio::time::sleep;

use crate::host::Host;

/// Number of usage shards. Must equal `SHARDS_PER_KIND` of the controller.
pub const USAGE_GROUPS: u8 = 16;
/// First id of this component's store calls. Each component of a process has its own range
/// of 2^32 ids, so that a reply is matched to one component only.
const FIRST_CALL_ID: u64 = 2 << 32;

/// Name of the receiver of each usage shard's reports.
pub const USAGE_RECEIVER: &str = "reports";
/// Pause before a failed lookup of a shard's last reported window is retried.
const LOOKUP_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// The shard of an organisation's windows, by the hash of its name.
pub fn usage_shard(organisation: &str) -> ShardId {
    let digest = Sha256::digest(organisation.as_bytes());
    ShardId(format!("usage/{:02}", digest[0] % USAGE_GROUPS))
}

/// Counts this host's usage and mirrors that of others.
pub(crate) struct UsageActor;

/// Messages to the usage actor.
pub(crate) enum UsageMessage {
    /// Add to an organisation's usage.
    Add {
        /// The organisation's name.
        organisation: String,
        /// The amounts to add.
        usage: Usage,
    },
    /// The next timer of a meter or of the mirror is due.
    Wake,
    /// A reply of the platform's store.
    Reply(CallId, StoreReply),
    /// The number of a shard's first unreported window, found in the store.
    OpenWindow(ShardId, u64),
    /// Another entry's counters for a window, to be mirrored.
    Mirror(Incarnation, WindowId, UsageSheet),
    /// The entries with a live session.
    Members(Vec<Node>),
    /// Flush at once, for a shutdown; answered once all counters are stored.
    Flush(RpcReplyPort<()>),
}

/// The usage actor's state.
pub(crate) struct UsageState {
    host: Arc<Host>,
    node: Node,
    meters: BTreeMap<ShardId, UsageMeter>,
    /// Usage counted before the shard's first unreported window was known.
    pending: BTreeMap<ShardId, UsageTotals>,
    mirror: Mirror,
    members: Vec<Node>,
    flush_reply_port: Option<RpcReplyPort<()>>,
    ids: CallIds,
    alarm: WakeTimer,
}

impl Actor for UsageActor {
    type Msg = UsageMessage;
    type State = UsageState;
    type Arguments = Arc<Host>;

    async fn pre_start(
        &self,
        _myself: ActorRef<UsageMessage>,
        host: Arc<Host>,
    ) -> Result<UsageState, ActorProcessingErr> {
        Ok(UsageState {
            node: host.node(),
            host,
            meters: BTreeMap::new(),
            pending: BTreeMap::new(),
            mirror: Mirror::default(),
            members: Vec::new(),
            flush_reply_port: None,
            ids: CallIds::from(FIRST_CALL_ID),
            alarm: WakeTimer::default(),
        })
    }

    async fn handle(
        &self,
        myself: ActorRef<UsageMessage>,
        message: UsageMessage,
        state: &mut UsageState,
    ) -> Result<(), ActorProcessingErr> {
        let now = state.host.deps.clock.now();
        match message {
            UsageMessage::Add { organisation, usage } => state.add(&myself, &organisation, usage),
            UsageMessage::OpenWindow(shard, number) => state.open_window(now, shard, number),
            UsageMessage::Wake => {}
            UsageMessage::Reply(id, reply) => state.reply(now, &myself, id, &reply),
            UsageMessage::Mirror(entry, window, sheet) => state.mirror.update(entry, window, sheet),
            UsageMessage::Members(members) => state.set_members(now, members),
            UsageMessage::Flush(reply_port) => state.flush(now, reply_port),
        }
        state.advance(now, &myself);
        state.answer_flush();
        state.alarm.set(now, state.wake_at(), &myself, UsageMessage::Wake);
        Ok(())
    }
}

impl UsageState {
    fn add(&mut self, myself: &ActorRef<UsageMessage>, organisation: &str, usage: Usage) {
        let shard = usage_shard(organisation);
        if let Some(meter) = self.meters.get_mut(&shard) {
            meter.add(organisation, usage);
            return;
        }
        if !self.pending.contains_key(&shard) {
            tokio::spawn(find_open_window(self.host.clone(), shard.clone(), myself.clone()));
        }
        self.pending.entry(shard).or_default().add(organisation, usage);
    }

    /// Starts a shard's meter at window `number` and adds the pending counts.
    fn open_window(&mut self, now: Time, shard: ShardId, number: u64) {
        let pending = self.pending.remove(&shard).unwrap_or_default();
        let me = self.node.incarnation;
        let mut meter = UsageMeter::new(me, shard.clone(), number, now, rand::random());
        for (organisation, usage) in pending.usage {
            meter.add(&organisation, usage);
        }
        self.meters.insert(shard, meter);
    }

    /// Updates the live entries: stores the mirrored counters of those that are gone and
    /// sends this host's counters to its mirror if that has changed.
    fn set_members(&mut self, now: Time, members: Vec<Node>) {
        let live: BTreeSet<Incarnation> = members.iter().map(|node| node.incarnation).collect();
        let gone = self.members.iter().filter(|node| !live.contains(&node.incarnation));
        for node in gone {
            self.mirror.store_sheets_of(now, node.incarnation, rand::random());
        }
        let former = choose_mirror(&self.node, &self.members).cloned();
        self.members = members;
        if choose_mirror(&self.node, &self.members) == former.as_ref() {
            return;
        }
        for meter in self.meters.values_mut() {
            meter.resend_to_mirror(now);
        }
    }

    /// Answers a pending flush request once all counters are stored.
    fn answer_flush(&mut self) {
        let flushed =
            self.pending.is_empty() && self.meters.values().all(UsageMeter::is_safely_stored);
        if flushed && let Some(reply_port) = self.flush_reply_port.take() {
            let _ = reply_port.send(());
        }
    }

    fn flush(&mut self, now: Time, reply_port: RpcReplyPort<()>) {
        self.flush_reply_port = Some(reply_port);
        for meter in self.meters.values_mut() {
            meter.prepare_stop(now);
        }
    }

    fn advance(&mut self, now: Time, myself: &ActorRef<UsageMessage>) {
        let mut meter_actions = Vec::new();
        for meter in self.meters.values_mut() {
            meter_actions.extend(meter.advance(now, &mut self.ids));
        }
        let mirror_actions = self.mirror.advance(now, &mut self.ids);
        self.apply(myself, meter_actions);
        self.apply_mirror(myself, mirror_actions);
    }

    fn reply(
        &mut self,
        now: Time,
        myself: &ActorRef<UsageMessage>,
        id: CallId,
        reply: &StoreReply,
    ) {
        for meter in self.meters.values_mut() {
            if let Some(actions) = meter.reply(now, &mut self.ids, id, reply) {
                self.apply(myself, actions);
                return;
            }
        }
        if let Some(actions) = self.mirror.reply(now, &mut self.ids, id, reply) {
            self.apply_mirror(myself, actions);
        }
    }

    fn apply(
        &self,
        myself: &ActorRef<UsageMessage>,
        actions: impl IntoIterator<Item = UsageMeterAction>,
    ) {
        for action in actions {
            match action {
                UsageMeterAction::Call { id, call, .. } => self.send_call(myself, id, call),
                UsageMeterAction::Mirror { window, sheet, .. } => self.send_mirror(window, sheet),
            }
        }
    }

    fn apply_mirror(
        &self,
        myself: &ActorRef<UsageMessage>,
        actions: impl IntoIterator<Item = MirrorAction>,
    ) {
        for MirrorAction::Call { id, call, .. } in actions {
            self.send_call(myself, id, call);
        }
    }

    fn send_call(&self, myself: &ActorRef<UsageMessage>, id: CallId, call: StoreCall) {
        let (store, myself) = (self.host.deps.store.clone(), myself.clone());
        tokio::spawn(async move {
            let reply = store.call(&call).await;
            let _ = myself.cast(UsageMessage::Reply(id, reply));
        });
    }

    fn send_mirror(&self, window: WindowId, sheet: UsageSheet) {
        if let Some(mirror) = choose_mirror(&self.node, &self.members) {
            let entry = self.node.incarnation;
            let message = Message::Mirror { entry, window, sheet: Box::new(sheet) };
            self.host.peers.send(mirror.addr, &message);
        }
    }

    fn wake_at(&self) -> Time {
        let meters = self.meters.values().map(UsageMeter::wake_at);
        meters.min().unwrap_or(Time::NEVER).min(self.mirror.wake_at())
    }
}

/// Finds the first window of a shard that has not been reported.
///
/// It and later ones may be sealed already; the meter detects that itself.
async fn find_open_window(host: Arc<Host>, shard: ShardId, myself: ActorRef<UsageMessage>) {
    let receiver = ReceiverId { shard: shard.clone(), name: USAGE_RECEIVER.to_owned() };
    let call = StoreCall::Get { key: receiver_key(&receiver) };
    loop {
        match host.deps.store.call(&call).await {
            StoreReply::Found(object) => {
                let record = object.and_then(|object| decode::<ReceiverRecord>(&object.value).ok());
                let reported = record.map_or(0, |record| record.cause);
                let _ = myself.cast(UsageMessage::OpenWindow(shard, reported + 1));
                return;
            }
            _ => sleep(LOOKUP_RETRY_INTERVAL).await,
        }
    }
}

/// The member that mirrors this one.
///
/// Prefers another zone, and there takes the next higher incarnation, cyclically, so that
/// mirrors are spread over the members.
fn choose_mirror<'a>(me: &Node, members: &'a [Node]) -> Option<&'a Node> {
    let others = members.iter().filter(|node| node.incarnation != me.incarnation);
    others.min_by_key(|node| {
        let same_zone = node.zone == me.zone;
        (same_zone, node.incarnation.0.wrapping_sub(me.incarnation.0))
    })
}
