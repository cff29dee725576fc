//! Execution of operators' commands at a node.

use std::{collections::BTreeMap, net::SocketAddr};

use chervilgate_clock::Time;
use chervilgate_coord::{
    CallId, CallIds, EditId, ProbeReply, StoreReply, Version, decode,
    drain::{Drain, DrainAction, DrainMessage},
    publication::{Publisher, PublisherAction},
    view::{Digest, Draining, Edit, EditError, PublicationId, Seq, Snapshot, ViewEvent},
};
use chervilgate_testbed::{Answer, Fact, Output};

use crate::{
    node::{
        EntryNode,
        calls::{call_target, hash_key},
        message::{NodeMessage, TargetReply, TargetRequest},
        send,
    },
    operator_log::OperatorEvent,
};

/// The command that an edit of the view belongs to.
enum PendingCommand {
    Publish(u64),
    Withdraw(String),
    Drain(String),
}

struct PublishJob {
    config: String,
    publisher: Publisher,
}

struct DrainJob {
    drain: Drain,
    query: Option<CallId>,
}

/// An action required by an operator's command.
pub(super) enum OperatorAction {
    Publisher { number: u64, action: PublisherAction },
    Drain { target: String, action: DrainAction },
}

/// Operators' commands in progress at a node.
pub(super) struct Operators {
    seed: u64,
    edit_count: u64,
    commands_by_edit: BTreeMap<EditId, PendingCommand>,
    publishing: BTreeMap<u64, PublishJob>,
    drains: BTreeMap<String, DrainJob>,
}

impl Operators {
    pub(super) fn new(seed: u64) -> Operators {
        let (commands_by_edit, publishing) = (BTreeMap::new(), BTreeMap::new());
        Operators { seed, edit_count: 0, commands_by_edit, publishing, drains: BTreeMap::new() }
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
                log::error!(target: "scenario", error:% = error; "cannot pack config {config}");
                return Vec::new();
            }
        };
        let publisher = Publisher::new(PublicationId(id), base, packed, self.seed ^ id);
        self.publishing.insert(id, PublishJob { config, publisher });
        self.advance(now, ids)
    }

    pub(super) fn withdraw(&mut self, key: String) -> (EditId, Edit) {
        let hash = hash_key(&key);
        (self.new_edit(PendingCommand::Withdraw(key)), Edit::Withdraw([hash].into()))
    }

    pub(super) fn drain(&mut self, target: String) -> (EditId, Edit) {
        (self.new_edit(PendingCommand::Drain(target.clone())), Edit::Drain(target))
    }

    pub(super) fn wake_at(&self) -> Time {
        let publishers = self.publishing.values().map(|job| job.publisher.wake_at());
        let drains = self.drains.values().map(|job| job.drain.wake_at());
        publishers.chain(drains).min().unwrap_or(Time::NEVER)
    }

    pub(super) fn advance(&mut self, now: Time, ids: &mut CallIds) -> Vec<OperatorAction> {
        let mut actions = Vec::new();
        for (number, job) in &mut self.publishing {
            let job_actions = job.publisher.advance(now, ids);
            actions.extend(publisher_actions(*number, job_actions));
        }
        for job in self.drains.values_mut() {
            let job_actions = job.drain.advance(now, ids);
            actions.extend(drain_actions(&job.drain, job_actions));
        }
        actions
    }

    pub(super) fn handle_reply(
        &mut self,
        now: Time,
        ids: &mut CallIds,
        id: CallId,
        reply: &StoreReply,
    ) -> Option<Vec<OperatorAction>> {
        for (number, job) in &mut self.publishing {
            if let Some(job_actions) = job.publisher.reply(now, ids, id, reply) {
                return Some(publisher_actions(*number, job_actions).collect());
            }
        }
        for job in self.drains.values_mut() {
            if let Some(job_actions) = job.drain.reply(now, ids, id, reply) {
                return Some(drain_actions(&job.drain, job_actions).collect());
            }
        }
        None
    }

    pub(super) fn handle_probe(
        &mut self,
        now: Time,
        ids: &mut CallIds,
        id: CallId,
        reply: &ProbeReply,
    ) -> Option<Vec<OperatorAction>> {
        for job in self.drains.values_mut() {
            if let Some(job_actions) = job.drain.probed(now, ids, id, reply) {
                return Some(drain_actions(&job.drain, job_actions).collect());
            }
        }
        None
    }

    /// Handles a target's answer; `None` if the call was not made here.
    pub(super) fn handle_answer(
        &mut self,
        now: Time,
        id: CallId,
        answer: &Answer,
    ) -> Option<Vec<OperatorAction>> {
        let job = self.drains.values_mut().find(|job| job.query == Some(id))?;
        job.query = None;
        let Answer::Bytes(bytes) = answer else {
            return Some(Vec::new());
        };
        let Ok(TargetReply::Running { count }) = decode::<TargetReply>(bytes) else {
            return Some(Vec::new());
        };
        let job_actions = job.drain.note_running(now, count);
        Some(drain_actions(&job.drain, job_actions).collect())
    }

    pub(super) fn edit_rejected(
        &mut self,
        now: Time,
        ids: &mut CallIds,
        edit: EditId,
        error: &EditError,
    ) -> Vec<OperatorAction> {
        let Some(PendingCommand::Publish(number)) = self.commands_by_edit.remove(&edit) else {
            return Vec::new();
        };
        let Some(job) = self.publishing.get_mut(&number) else {
            return Vec::new();
        };
        let job_actions = job.publisher.rejected(now, ids, error);
        publisher_actions(number, job_actions).collect()
    }

    fn new_edit(&mut self, command: PendingCommand) -> EditId {
        self.edit_count += 1;
        let id = EditId(self.edit_count);
        self.commands_by_edit.insert(id, command);
        id
    }
}

fn publisher_actions(
    number: u64,
    actions: impl IntoIterator<Item = PublisherAction>,
) -> impl Iterator<Item = OperatorAction> {
    actions.into_iter().map(move |action| OperatorAction::Publisher { number, action })
}

fn drain_actions(
    drain: &Drain,
    actions: impl IntoIterator<Item = DrainAction>,
) -> impl Iterator<Item = OperatorAction> {
    let target = drain.drain().target.clone();
    actions.into_iter().map(move |action| OperatorAction::Drain { target: target.clone(), action })
}

impl EntryNode {
    pub(super) fn apply_operator_actions(
        &mut self,
        now: Time,
        actions: Vec<OperatorAction>,
        out: &mut Vec<Output>,
    ) {
        for action in actions {
            match action {
                OperatorAction::Publisher { number, action } => {
                    self.apply_publisher_action(now, number, action, out);
                }
                OperatorAction::Drain { target, action } => {
                    self.apply_drain_action(now, &target, action, out);
                }
            }
        }
    }

    fn apply_publisher_action(
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
            PublisherAction::AddBlob(blob) => {
                self.handle_view_event(now, ViewEvent::AddBlob(blob), out)
            }
            PublisherAction::Submit(edit) => {
                let id = self.operators.new_edit(PendingCommand::Publish(number));
                self.handle_view_event(now, ViewEvent::Submit { id, edit }, out);
            }
            PublisherAction::Accepted(seq) => {
                out.push(Output::Record(Fact::Accepted { config: Version::first_era(seq.0) }));
                self.settings.operator_log.record(now, OperatorEvent::Accepted { config, seq });
            }
            PublisherAction::Conflict { objects, .. } => {
                self.settings.operator_log.record(now, OperatorEvent::Conflict { config, objects });
            }
            PublisherAction::Unresolved => {}
        }
    }

    fn apply_drain_action(
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
                    self.answer_own_drain(now, target, out);
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
                    job.query = Some(id);
                }
                out.push(call_target(id, "ask target", target, &TargetRequest::Running));
            }
            DrainAction::Stop(_) => {
                let id = self.ids.next_id();
                out.push(call_target(id, "stop target", target, &TargetRequest::Stop));
            }
        }
    }

    fn answer_own_drain(&mut self, now: Time, target: &str, out: &mut Vec<Output>) {
        let Some(drain) = self.operators.drains.get(target).map(|job| job.drain.drain().clone())
        else {
            return;
        };
        if let Some(DrainMessage::Holds { drain, by }) = self.drain_answer(&drain) {
            self.handle_holds(now, by, &drain, out);
        }
    }

    fn drain_answer(&self, drain: &Draining) -> Option<DrainMessage> {
        let root = self.view.local_view().root()?;
        let handovers = &self.jobs.handovers;
        handovers.answer(self.me.incarnation, root.seq, &root.draining, drain)
    }

    fn handle_holds(
        &mut self,
        now: Time,
        by: chervilgate_coord::Incarnation,
        drain: &Draining,
        out: &mut Vec<Output>,
    ) {
        let Some(job) = self.operators.drains.get_mut(&drain.target) else {
            return;
        };
        let job_actions = job.drain.note_confirmed(now, &mut self.ids, by, drain);
        let actions = drain_actions(&job.drain, job_actions).collect();
        self.apply_operator_actions(now, actions, out);
    }

    pub(super) fn handle_drain_message(
        &mut self,
        now: Time,
        from: SocketAddr,
        message: DrainMessage,
        out: &mut Vec<Output>,
    ) {
        match message {
            DrainMessage::Ask(drain) => {
                if let Some(answer) = self.drain_answer(&drain) {
                    send(out, from, &NodeMessage::Drain(answer), "hold drain");
                }
            }
            DrainMessage::Holds { drain, by } => self.handle_holds(now, by, &drain, out),
        }
    }

    pub(super) fn edit_accepted(
        &mut self,
        now: Time,
        edit: EditId,
        seq: Seq,
        out: &mut Vec<Output>,
    ) {
        match self.operators.commands_by_edit.remove(&edit) {
            Some(PendingCommand::Publish(number)) => {
                let Some(job) = self.operators.publishing.get_mut(&number) else {
                    return;
                };
                let job_actions = job.publisher.accepted(seq);
                let actions = publisher_actions(number, job_actions).collect();
                self.apply_operator_actions(now, actions, out);
            }
            Some(PendingCommand::Withdraw(key)) => {
                out.push(Output::Record(Fact::Withdrawn { key: key.clone() }));
                self.settings.operator_log.record(now, OperatorEvent::Withdrawn { key });
            }
            Some(PendingCommand::Drain(target)) => {
                out.push(Output::Record(Fact::Leaving { target: target.clone() }));
                let root = self.view.local_view().root();
                let found = root.and_then(|root| {
                    root.draining.iter().find(|drain| drain.target == target).cloned()
                });
                if let Some(drain) = found {
                    let job = DrainJob { drain: Drain::new(drain), query: None };
                    self.operators.drains.insert(target, job);
                }
            }
            None => {}
        }
    }
}
