//! Operators' commands at a node.

use std::{collections::BTreeMap, net::SocketAddr};

use chervilgate_clock::Time;
use chervilgate_coord::{
    CallId, CallIds, EditId, ProbeReply, StoreReply, Version, decode,
    drain::{Drain, DrainAction, DrainMessage},
    publication::{Publisher, PublisherAction},
    view::{Digest, Draining, Edit, EditError, KeeperEvent, PublicationId, Seq, Snapshot},
};
use chervilgate_testbed::{Answer, Fact, Output};

use crate::{
    node::{
        EntryNode,
        calls::{call_target, hash_key},
        message::{NodeMessage, Work, WorkReply},
        send,
    },
    told::Told,
};

/// What an edit was made for.
enum Purpose {
    Publish(u64),
    Withdraw(String),
    Drain(String),
}

struct Publishing {
    config: String,
    publisher: Publisher,
}

struct DrainJob {
    drain: Drain,
    ask: Option<CallId>,
}

/// What operators' commands want done.
pub(super) enum OperatorAction {
    Publisher { number: u64, action: PublisherAction },
    Drain { target: String, action: DrainAction },
}

/// Operators' commands under way at a node.
pub(super) struct Operators {
    seed: u64,
    count: u64,
    purposes: BTreeMap<EditId, Purpose>,
    publishing: BTreeMap<u64, Publishing>,
    drains: BTreeMap<String, DrainJob>,
}

impl Operators {
    pub(super) fn new(seed: u64) -> Operators {
        let (purposes, publishing) = (BTreeMap::new(), BTreeMap::new());
        Operators { seed, count: 0, purposes, publishing, drains: BTreeMap::new() }
    }

    pub(super) fn publish(
        &mut self,
        now: Time,
        ids: &mut CallIds,
        config: String,
        base: Option<Digest>,
        objects: BTreeMap<String, Vec<u8>>,
        id: u64,
    ) -> Vec<OperatorAction> {
        let packed = match (Snapshot { objects }).pack() {
            Ok(packed) => packed,
            Err(error) => {
                log::error!(target: "scenario", error:% = error; "cannot publish");
                return Vec::new();
            }
        };
        let publisher = Publisher::new(PublicationId(id), base, packed, self.seed ^ id);
        self.publishing.insert(id, Publishing { config, publisher });
        self.advance(now, ids)
    }

    pub(super) fn withdraw(&mut self, key: String) -> (EditId, Edit) {
        let hash = hash_key(&key);
        (self.edit(Purpose::Withdraw(key)), Edit::Withdraw([hash].into()))
    }

    pub(super) fn drain(&mut self, target: String) -> (EditId, Edit) {
        (self.edit(Purpose::Drain(target.clone())), Edit::Drain(target))
    }

    pub(super) fn wake_at(&self) -> Time {
        let publishers = self.publishing.values().map(|job| job.publisher.wake_at());
        let drains = self.drains.values().map(|job| job.drain.wake_at());
        publishers.chain(drains).min().unwrap_or(Time::NEVER)
    }

    pub(super) fn advance(&mut self, now: Time, ids: &mut CallIds) -> Vec<OperatorAction> {
        let mut actions = Vec::new();
        for (number, job) in &mut self.publishing {
            let wanted = job.publisher.advance(now, ids);
            actions.extend(of_publisher(*number, wanted));
        }
        for job in self.drains.values_mut() {
            let wanted = job.drain.advance(now, ids);
            actions.extend(of_drain(&job.drain, wanted));
        }
        actions
    }

    pub(super) fn replied(
        &mut self,
        now: Time,
        ids: &mut CallIds,
        id: CallId,
        reply: &StoreReply,
    ) -> Option<Vec<OperatorAction>> {
        for (number, job) in &mut self.publishing {
            if let Some(wanted) = job.publisher.reply(now, ids, id, reply) {
                return Some(of_publisher(*number, wanted).collect());
            }
        }
        for job in self.drains.values_mut() {
            if let Some(wanted) = job.drain.reply(now, ids, id, reply) {
                return Some(of_drain(&job.drain, wanted).collect());
            }
        }
        None
    }

    pub(super) fn probed(
        &mut self,
        now: Time,
        ids: &mut CallIds,
        id: CallId,
        reply: &ProbeReply,
    ) -> Option<Vec<OperatorAction>> {
        for job in self.drains.values_mut() {
            if let Some(wanted) = job.drain.probed(now, ids, id, reply) {
                return Some(of_drain(&job.drain, wanted).collect());
            }
        }
        None
    }

    /// Takes a target's answer; `None` if it belongs to another machine.
    pub(super) fn answered(
        &mut self,
        now: Time,
        id: CallId,
        answer: &Answer,
    ) -> Option<Vec<OperatorAction>> {
        let job = self.drains.values_mut().find(|job| job.ask == Some(id))?;
        job.ask = None;
        let Answer::Bytes(bytes) = answer else {
            return Some(Vec::new());
        };
        let Ok(WorkReply::Running { count }) = decode::<WorkReply>(bytes) else {
            return Some(Vec::new());
        };
        let wanted = job.drain.note_running(now, count);
        Some(of_drain(&job.drain, wanted).collect())
    }

    pub(super) fn rejected(
        &mut self,
        now: Time,
        ids: &mut CallIds,
        edit: EditId,
        error: &EditError,
    ) -> Vec<OperatorAction> {
        let Some(Purpose::Publish(number)) = self.purposes.remove(&edit) else {
            return Vec::new();
        };
        let Some(job) = self.publishing.get_mut(&number) else {
            return Vec::new();
        };
        let wanted = job.publisher.rejected(now, ids, error);
        of_publisher(number, wanted).collect()
    }

    fn edit(&mut self, purpose: Purpose) -> EditId {
        self.count += 1;
        let id = EditId(self.count);
        self.purposes.insert(id, purpose);
        id
    }
}

fn of_publisher(
    number: u64,
    actions: impl IntoIterator<Item = PublisherAction>,
) -> impl Iterator<Item = OperatorAction> {
    actions.into_iter().map(move |action| OperatorAction::Publisher { number, action })
}

fn of_drain(
    drain: &Drain,
    actions: impl IntoIterator<Item = DrainAction>,
) -> impl Iterator<Item = OperatorAction> {
    let target = drain.drain().target.clone();
    actions.into_iter().map(move |action| OperatorAction::Drain { target: target.clone(), action })
}

impl EntryNode {
    pub(super) fn act_on_operators(
        &mut self,
        now: Time,
        actions: Vec<OperatorAction>,
        out: &mut Vec<Output>,
    ) {
        for action in actions {
            match action {
                OperatorAction::Publisher { number, action } => {
                    self.act_on_publisher(now, number, action, out);
                }
                OperatorAction::Drain { target, action } => {
                    self.act_on_drain(now, &target, action, out);
                }
            }
        }
    }

    fn act_on_publisher(
        &mut self,
        now: Time,
        number: u64,
        action: PublisherAction,
        out: &mut Vec<Output>,
    ) {
        let config = self.operators.publishing.get(&number).map(|job| job.config.clone());
        let config = config.unwrap_or_default();
        match action {
            PublisherAction::Call { id, step, call } => out.push(Output::Store { id, step, call }),
            PublisherAction::Hold(blob) => self.keep(now, KeeperEvent::Hold(blob), out),
            PublisherAction::Submit(edit) => {
                let id = self.operators.edit(Purpose::Publish(number));
                self.keep(now, KeeperEvent::Submit { id, edit }, out);
            }
            PublisherAction::Accepted(seq) => {
                out.push(Output::Record(Fact::Accepted { config: Version(seq.0) }));
                self.setting.ledger.tell(now, Told::Accepted { config, seq });
            }
            PublisherAction::Conflict { objects, .. } => {
                self.setting.ledger.tell(now, Told::Conflict { config, objects });
            }
            PublisherAction::Unresolved => {}
        }
    }

    fn act_on_drain(
        &mut self,
        now: Time,
        target: &str,
        action: DrainAction,
        out: &mut Vec<Output>,
    ) {
        match action {
            DrainAction::Call { id, step, call } => out.push(Output::Store { id, step, call }),
            DrainAction::Send { to, step, message } => {
                let body = chervilgate_coord::encode(&NodeMessage::Drain(message));
                if to.incarnation == self.me.incarnation {
                    self.answer_self(now, target, out);
                } else {
                    out.push(Output::Peer { step, to: to.addr, body });
                }
            }
            DrainAction::Probe { id, step, node } => {
                if node.incarnation != self.me.incarnation {
                    out.push(Output::Probe { id, step, addr: node.addr });
                }
            }
            DrainAction::AskTarget { .. } => {
                let id = self.ids.next_id();
                if let Some(job) = self.operators.drains.get_mut(target) {
                    job.ask = Some(id);
                }
                out.push(call_target(id, "ask target", target, &Work::Running));
            }
            DrainAction::Stop(_) => {
                let id = self.ids.next_id();
                out.push(call_target(id, "stop target", target, &Work::Stop));
            }
        }
    }

    fn answer_self(&mut self, now: Time, target: &str, out: &mut Vec<Output>) {
        let Some(drain) = self.operators.drains.get(target).map(|job| job.drain.drain().clone())
        else {
            return;
        };
        if let Some(DrainMessage::Holds { drain, by }) = self.holds(&drain) {
            self.note_holds(now, by, &drain, out);
        }
    }

    fn holds(&self, drain: &Draining) -> Option<DrainMessage> {
        let root = self.keeper.holder().root()?;
        let handovers = &self.jobs.handovers;
        handovers.answer(self.me.incarnation, root.seq, &root.draining, drain)
    }

    fn note_holds(
        &mut self,
        now: Time,
        by: chervilgate_coord::Incarnation,
        drain: &Draining,
        out: &mut Vec<Output>,
    ) {
        let Some(job) = self.operators.drains.get_mut(&drain.target) else {
            return;
        };
        let wanted = job.drain.note_holds(now, &mut self.ids, by, drain);
        let actions = of_drain(&job.drain, wanted).collect();
        self.act_on_operators(now, actions, out);
    }

    pub(super) fn hear_drain(
        &mut self,
        now: Time,
        from: SocketAddr,
        message: DrainMessage,
        out: &mut Vec<Output>,
    ) {
        match message {
            DrainMessage::Ask(drain) => {
                if let Some(answer) = self.holds(&drain) {
                    send(out, from, &NodeMessage::Drain(answer), "hold drain");
                }
            }
            DrainMessage::Holds { drain, by } => self.note_holds(now, by, &drain, out),
        }
    }

    pub(super) fn accepted(&mut self, now: Time, edit: EditId, seq: Seq, out: &mut Vec<Output>) {
        match self.operators.purposes.remove(&edit) {
            Some(Purpose::Publish(number)) => {
                let Some(job) = self.operators.publishing.get_mut(&number) else {
                    return;
                };
                let wanted = job.publisher.accepted(seq);
                let actions = of_publisher(number, wanted).collect();
                self.act_on_operators(now, actions, out);
            }
            Some(Purpose::Withdraw(key)) => {
                out.push(Output::Record(Fact::Withdrawn { key: key.clone() }));
                self.setting.ledger.tell(now, Told::Withdrawn { key });
            }
            Some(Purpose::Drain(target)) => {
                out.push(Output::Record(Fact::Leaving { target: target.clone() }));
                let root = self.keeper.holder().root();
                let found = root.and_then(|root| {
                    root.draining.iter().find(|drain| drain.target == target).cloned()
                });
                if let Some(drain) = found {
                    let job = DrainJob { drain: Drain::new(drain), ask: None };
                    self.operators.drains.insert(target, job);
                }
            }
            None => {}
        }
    }
}
