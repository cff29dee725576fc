//! Tracks the drains of targets whose services belong to owned shards.

use std::collections::BTreeMap;

use chervilgate_clock::Time;
use chervilgate_coord::{
    CallId, CallIds, Incarnation, Node, ProbeReply, StoreReply,
    drain::{Drain, DrainAction, DrainActions},
    view::Draining,
};

/// First id of this component's store calls. Each component of a process has its own range
/// of 2^32 ids, so that a reply is matched to one component only.
const FIRST_CALL_ID: u64 = 4 << 32;

/// An action that the drain of a target requests.
pub(crate) struct TargetAction {
    /// The name of the target.
    pub(crate) target: String,
    /// What to do.
    pub(crate) action: DrainAction,
}

/// The drains of targets in owned shards, by target name.
pub(crate) struct DrainTracker {
    active: BTreeMap<String, Drain>,
    /// Finished drains.
    drained: BTreeMap<String, Draining>,
    ids: CallIds,
}

impl DrainTracker {
    /// Starts without drains.
    pub(crate) fn new() -> DrainTracker {
        DrainTracker {
            active: BTreeMap::new(),
            drained: BTreeMap::new(),
            ids: CallIds::from(FIRST_CALL_ID),
        }
    }

    /// Starts tracking new drains and stops tracking those that are not in `accepted`.
    pub(crate) fn sync(&mut self, accepted: &[Draining]) {
        let is_accepted = |drain: &Draining| accepted.contains(drain);
        self.active.retain(|_, drain| is_accepted(drain.drain()));
        self.drained.retain(|_, drain| is_accepted(drain));
        for drain in accepted {
            let known =
                self.active.contains_key(&drain.target) || self.drained.contains_key(&drain.target);
            if !known {
                self.active.insert(drain.target.clone(), Drain::new(drain.clone()));
            }
        }
    }

    /// Returns the targets that run nothing and that no process sends to any more.
    pub(crate) fn drained(&self) -> impl Iterator<Item = &String> {
        self.drained.keys()
    }

    /// Returns the processes that have neither confirmed the drain of `target` nor been
    /// proved to have stopped.
    pub(crate) fn waiting(&self, target: &str) -> Vec<Node> {
        self.active.get(target).map(|drain| drain.waiting().cloned().collect()).unwrap_or_default()
    }

    /// Returns the targets whose drains are not finished.
    pub(crate) fn active(&self) -> impl Iterator<Item = &String> {
        self.active.keys()
    }

    /// Returns the actions that are due at `now`.
    pub(crate) fn advance(&mut self, now: Time) -> Vec<TargetAction> {
        let mut due = Vec::new();
        for (target, drain) in &mut self.active {
            collect(target, drain.advance(now, &mut self.ids), &mut due);
        }
        self.move_finished(due)
    }

    /// Handles the reply to a store call and returns the actions that follow.
    pub(crate) fn handle_reply(
        &mut self,
        now: Time,
        id: CallId,
        reply: &StoreReply,
    ) -> Vec<TargetAction> {
        let mut due = Vec::new();
        for (target, drain) in &mut self.active {
            let actions = drain.reply(now, &mut self.ids, id, reply);
            collect(target, actions.unwrap_or_default(), &mut due);
        }
        self.move_finished(due)
    }

    /// Records that the process `by` has confirmed a drain.
    pub(crate) fn record_confirmation(
        &mut self,
        now: Time,
        by: Incarnation,
        confirmed: &Draining,
    ) -> Vec<TargetAction> {
        let mut due = Vec::new();
        if let Some(drain) = self.active.get_mut(&confirmed.target) {
            collect(
                &confirmed.target,
                drain.note_confirmed(now, &mut self.ids, by, confirmed),
                &mut due,
            );
        }
        self.move_finished(due)
    }

    /// Handles the result of a probe and returns the actions that follow.
    pub(crate) fn handle_probe(
        &mut self,
        now: Time,
        id: CallId,
        reply: &ProbeReply,
    ) -> Vec<TargetAction> {
        let mut due = Vec::new();
        for (target, drain) in &mut self.active {
            let actions = drain.probed(now, &mut self.ids, id, reply);
            collect(target, actions.unwrap_or_default(), &mut due);
        }
        self.move_finished(due)
    }

    /// Records how many requests a target reports as running or waiting.
    pub(crate) fn record_running(&mut self, now: Time, target: &str, running: usize) {
        let mut due = Vec::new();
        if let Some(drain) = self.active.get_mut(target) {
            collect(target, drain.note_running(now, running), &mut due);
        }
        self.move_finished(due);
    }

    /// Moves the finished drains from `active` to `drained` and returns the other actions.
    fn move_finished(&mut self, due: Vec<TargetAction>) -> Vec<TargetAction> {
        let mut rest = Vec::new();
        for request in due {
            match request.action {
                DrainAction::Stop(drain) => {
                    log::info!(target: "drain", name = request.target.as_str(); "target drained");
                    self.active.remove(&request.target);
                    self.drained.insert(request.target, drain);
                }
                action => rest.push(TargetAction { target: request.target, action }),
            }
        }
        rest
    }
}

fn collect(target: &str, actions: DrainActions, due: &mut Vec<TargetAction>) {
    let target = target.to_owned();
    due.extend(actions.into_iter().map(|action| TargetAction { target: target.clone(), action }));
}
