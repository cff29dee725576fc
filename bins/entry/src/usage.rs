//! The actor that counts usage and brings it to the platform.
//!
//! Organisations are spread over groups; each group has windows of its own.
//! Between two flushes, a mirror on another host holds this host's counters,
//! and this host holds those of others: when one is gone, its mirror brings
//! its counters home.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use chervilgate_clock::Time;
use chervilgate_coord::{
    CallId, CallIds, Incarnation, Node, ShardId, StoreCall, StoreReply, weigh,
    window::{Meter, MeterAction, Mirror, MirrorAction, Sheet, Usage, WindowId},
};
use chervilgate_driver::Alarm;
use chervilgate_wire::Message;
use ractor::{Actor, ActorProcessingErr, ActorRef};
use sha2::{Digest, Sha256};

use crate::host::Host;

/// Groups that organisations are spread over.
pub const USAGE_GROUPS: u8 = 16;
/// Calls of this actor are numbered apart from those of the others.
const FIRST_CALL: u64 = 2 << 32;

/// The shard that an organisation's windows belong to.
pub fn usage_shard(organisation: &str) -> ShardId {
    let digest = Sha256::digest(organisation.as_bytes());
    ShardId(format!("usage/{:02}", digest[0] % USAGE_GROUPS))
}

/// Counts one host's usage.
pub(crate) struct UsageKeeper;

/// What the usage keeper is told.
pub(crate) enum UsageMessage {
    /// Something was used.
    Add {
        /// By whom.
        organisation: String,
        /// What.
        usage: Usage,
    },
    /// The machines' time has come.
    Wake,
    /// A reply of the platform's store.
    Reply(CallId, StoreReply),
    /// Another entry's counters, to be mirrored.
    Mirror(Incarnation, WindowId, Sheet),
    /// The entries that are believed live.
    Members(Vec<Node>),
    /// Flush at once, for a planned stop.
    Hurry,
}

/// The keeper's state.
pub(crate) struct UsageState {
    host: Arc<Host>,
    node: Node,
    meters: BTreeMap<ShardId, Meter>,
    mirror: Mirror,
    members: Vec<Node>,
    ids: CallIds,
    alarm: Alarm,
}

impl Actor for UsageKeeper {
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
            mirror: Mirror::default(),
            members: Vec::new(),
            ids: CallIds::from(FIRST_CALL),
            alarm: Alarm::default(),
        })
    }

    async fn handle(
        &self,
        myself: ActorRef<UsageMessage>,
        message: UsageMessage,
        state: &mut UsageState,
    ) -> Result<(), ActorProcessingErr> {
        let now = state.host.borders.clock.now();
        match message {
            UsageMessage::Add { organisation, usage } => state.add(now, &organisation, usage),
            UsageMessage::Wake => {}
            UsageMessage::Reply(id, reply) => state.reply(now, &myself, id, &reply),
            UsageMessage::Mirror(entry, window, sheet) => state.mirror.note(entry, window, sheet),
            UsageMessage::Members(members) => state.set_members(now, members),
            UsageMessage::Hurry => state.hurry(now),
        }
        state.advance(now, &myself);
        state.alarm.set(now, state.wake_at(), &myself, UsageMessage::Wake);
        Ok(())
    }
}

impl UsageState {
    fn add(&mut self, now: Time, organisation: &str, usage: Usage) {
        let shard = usage_shard(organisation);
        let me = self.node.incarnation;
        let meter = self
            .meters
            .entry(shard.clone())
            .or_insert_with(|| Meter::new(me, shard, 1, now, rand::random()));
        meter.add(organisation, usage);
    }

    /// Brings home the counters of entries that are live no more.
    fn set_members(&mut self, now: Time, members: Vec<Node>) {
        let live: BTreeSet<Incarnation> = members.iter().map(|node| node.incarnation).collect();
        let gone = self.members.iter().filter(|node| !live.contains(&node.incarnation));
        for node in gone {
            self.mirror.take_over(now, node.incarnation, rand::random());
        }
        self.members = members;
    }

    fn hurry(&mut self, now: Time) {
        for meter in self.meters.values_mut() {
            meter.hurry(now);
        }
    }

    fn advance(&mut self, now: Time, myself: &ActorRef<UsageMessage>) {
        let mut due = Vec::new();
        for meter in self.meters.values_mut() {
            due.extend(meter.advance(now, &mut self.ids));
        }
        let mirrored = self.mirror.advance(now, &mut self.ids);
        self.act(myself, due);
        self.act_mirror(myself, mirrored);
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
                self.act(myself, actions);
                return;
            }
        }
        if let Some(actions) = self.mirror.reply(now, &mut self.ids, id, reply) {
            self.act_mirror(myself, actions);
        }
    }

    fn act(&self, myself: &ActorRef<UsageMessage>, actions: impl IntoIterator<Item = MeterAction>) {
        for action in actions {
            match action {
                MeterAction::Call { id, call, .. } => self.call(myself, id, call),
                MeterAction::Mirror { window, sheet, .. } => self.send_mirror(window, sheet),
            }
        }
    }

    fn act_mirror(
        &self,
        myself: &ActorRef<UsageMessage>,
        actions: impl IntoIterator<Item = MirrorAction>,
    ) {
        for MirrorAction::Call { id, call, .. } in actions {
            self.call(myself, id, call);
        }
    }

    fn call(&self, myself: &ActorRef<UsageMessage>, id: CallId, call: StoreCall) {
        let (store, myself) = (self.host.borders.store.clone(), myself.clone());
        tokio::spawn(async move {
            let reply = store.call(&call).await;
            let _ = myself.cast(UsageMessage::Reply(id, reply));
        });
    }

    fn send_mirror(&self, window: WindowId, sheet: Sheet) {
        if let Some(mirror) = choose_mirror(&self.node, &self.members) {
            let entry = self.node.incarnation;
            let message = Message::Mirror { entry, window, sheet: Box::new(sheet) };
            self.host.peers.tell(mirror.addr, &message);
        }
    }

    fn wake_at(&self) -> Time {
        let meters = self.meters.values().map(Meter::wake_at);
        meters.min().unwrap_or(Time::NEVER).min(self.mirror.wake_at())
    }
}

/// The member that mirrors this one; in another zone if there is one.
fn choose_mirror<'a>(me: &Node, members: &'a [Node]) -> Option<&'a Node> {
    let place = ShardId(format!("mirror/{}", me.addr));
    let others = members.iter().filter(|node| node.incarnation != me.incarnation);
    others.max_by_key(|node| (node.zone != me.zone, weigh(&place, node)))
}
