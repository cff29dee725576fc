//! Drains of targets whose services this controller looks after.

use std::collections::BTreeMap;

use chervilgate_clock::Time;
use chervilgate_coord::{
    CallId, CallIds, Incarnation, Node, ProbeReply, StoreReply,
    drain::{Drain, DrainAction, DrainActions},
    view::Draining,
};

/// Calls of the drains are numbered apart from those of the others.
const FIRST_CALL: u64 = 4 << 32;

/// What a drain wants done.
pub(crate) struct DrainWish {
    /// The target.
    pub(crate) target: String,
    /// The action.
    pub(crate) action: DrainAction,
}

/// Follows the drains of owned shards.
pub(crate) struct Drains {
    open: BTreeMap<String, Drain>,
    quiet: BTreeMap<String, Draining>,
    ids: CallIds,
}

impl Drains {
    /// No drain yet.
    pub(crate) fn new() -> Drains {
        Drains { open: BTreeMap::new(), quiet: BTreeMap::new(), ids: CallIds::from(FIRST_CALL) }
    }

    /// Follows just these drains from now on.
    pub(crate) fn set(&mut self, wanted: &[Draining]) {
        let same = |drain: &Draining| wanted.contains(drain);
        self.open.retain(|_, drain| same(drain.drain()));
        self.quiet.retain(|_, drain| same(drain));
        for drain in wanted {
            let known =
                self.open.contains_key(&drain.target) || self.quiet.contains_key(&drain.target);
            if !known {
                self.open.insert(drain.target.clone(), Drain::new(drain.clone()));
            }
        }
    }

    /// Targets that nothing runs on and nobody sends to.
    pub(crate) fn quiet(&self) -> impl Iterator<Item = &String> {
        self.quiet.keys()
    }

    /// Processes that a drain waits for.
    pub(crate) fn waiting(&self, target: &str) -> Vec<Node> {
        self.open.get(target).map(|drain| drain.waiting().cloned().collect()).unwrap_or_default()
    }

    /// Drains that are not finished.
    pub(crate) fn open(&self) -> impl Iterator<Item = &String> {
        self.open.keys()
    }

    /// What is due.
    pub(crate) fn advance(&mut self, now: Time) -> Vec<DrainWish> {
        let mut wishes = Vec::new();
        for (target, drain) in &mut self.open {
            collect(target, drain.advance(now, &mut self.ids), &mut wishes);
        }
        self.settle(wishes)
    }

    /// Takes a reply of the store.
    pub(crate) fn reply(&mut self, now: Time, id: CallId, reply: &StoreReply) -> Vec<DrainWish> {
        let mut wishes = Vec::new();
        for (target, drain) in &mut self.open {
            let actions = drain.reply(now, &mut self.ids, id, reply);
            collect(target, actions.unwrap_or_default(), &mut wishes);
        }
        self.settle(wishes)
    }

    /// Takes a process's word that it holds a drain.
    pub(crate) fn note_holds(
        &mut self,
        now: Time,
        by: Incarnation,
        held: &Draining,
    ) -> Vec<DrainWish> {
        let mut wishes = Vec::new();
        if let Some(drain) = self.open.get_mut(&held.target) {
            collect(&held.target, drain.note_holds(now, &mut self.ids, by, held), &mut wishes);
        }
        self.settle(wishes)
    }

    /// Takes a probe's finding.
    pub(crate) fn probed(&mut self, now: Time, id: CallId, reply: &ProbeReply) -> Vec<DrainWish> {
        let mut wishes = Vec::new();
        for (target, drain) in &mut self.open {
            let actions = drain.probed(now, &mut self.ids, id, reply);
            collect(target, actions.unwrap_or_default(), &mut wishes);
        }
        self.settle(wishes)
    }

    /// Takes a target's word on how many requests it runs.
    pub(crate) fn note_running(&mut self, now: Time, target: &str, running: usize) {
        let mut wishes = Vec::new();
        if let Some(drain) = self.open.get_mut(target) {
            collect(target, drain.note_running(now, running), &mut wishes);
        }
        self.settle(wishes);
    }

    /// Moves finished drains over; returns what is left to do.
    fn settle(&mut self, wishes: Vec<DrainWish>) -> Vec<DrainWish> {
        let mut rest = Vec::new();
        for wish in wishes {
            match wish.action {
                DrainAction::Stop(drain) => {
                    log::info!(target: "drain", name = wish.target.as_str(); "target is quiet");
                    self.open.remove(&wish.target);
                    self.quiet.insert(wish.target, drain);
                }
                action => rest.push(DrainWish { target: wish.target, action }),
            }
        }
        rest
    }
}

fn collect(target: &str, actions: DrainActions, wishes: &mut Vec<DrainWish>) {
    let target = target.to_owned();
    wishes.extend(actions.into_iter().map(|action| DrainWish { target: target.clone(), action }));
}
