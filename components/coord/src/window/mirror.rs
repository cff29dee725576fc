//! Keeps other entries' counters, and writes them when an entry is gone.

use std::collections::BTreeMap;

use chervilgate_clock::Time;
use smallvec::SmallVec;

use crate::{
    ident::Incarnation,
    order::ShardId,
    step::Step,
    store::{CallId, CallIds, StoreCall, StoreReply},
    window::{
        meter::{Meter, MeterAction},
        seal::{Sheet, WindowId},
    },
};

/// What a mirror wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MirrorAction {
    /// Call the platform.
    Call {
        /// Matches the reply.
        id: CallId,
        /// The step it is.
        step: Step,
        /// The call.
        call: StoreCall,
    },
}

/// Actions of one step.
pub type MirrorActions = SmallVec<[MirrorAction; 4]>;

/// The counters of entries that have chosen this node as their mirror.
#[derive(Debug, Clone, Default)]
pub struct Mirror {
    sheets: BTreeMap<(Incarnation, ShardId), (WindowId, Sheet)>,
    heirs: Vec<Meter>,
}

impl Mirror {
    /// Takes a state of an entry; an older one than is held is passed over.
    pub fn note(&mut self, entry: Incarnation, window: WindowId, sheet: Sheet) {
        let held = self.sheets.get(&(entry, window.shard.clone()));
        if held.is_none_or(|(_, present)| present.state < sheet.state) {
            self.sheets.insert((entry, window.shard.clone()), (window, sheet));
        }
    }

    /// Brings the counters of an entry that is believed gone to the platform.
    ///
    /// Should the entry still run, its own later states replace these.
    pub fn take_over(&mut self, now: Time, entry: Incarnation, seed: u64) {
        let gone: Vec<(Incarnation, ShardId)> =
            self.sheets.keys().filter(|(of, _)| *of == entry).cloned().collect();
        for key in gone {
            if let Some((window, sheet)) = self.sheets.remove(&key) {
                self.heirs.push(Meter::resume(entry, window, sheet, now, seed));
            }
        }
    }

    /// Whether counters of gone entries are still to be written.
    pub fn is_busy(&self) -> bool {
        !self.heirs.is_empty()
    }

    /// When [`Mirror::advance`] is due again.
    pub fn wake_at(&self) -> Time {
        self.heirs.iter().map(Meter::wake_at).min().unwrap_or(Time::NEVER)
    }

    /// Makes the calls that are due.
    pub fn advance(&mut self, now: Time, ids: &mut CallIds) -> MirrorActions {
        let mut actions = MirrorActions::new();
        for meter in &mut self.heirs {
            actions.extend(meter.advance(now, ids).into_iter().filter_map(call_of));
        }
        self.heirs.retain(|meter| !meter.is_settled());
        actions
    }

    /// Takes a reply; `None` if it belongs to another machine or came late.
    pub fn reply(
        &mut self,
        now: Time,
        ids: &mut CallIds,
        id: CallId,
        reply: &StoreReply,
    ) -> Option<MirrorActions> {
        let found = self.heirs.iter_mut().find_map(|meter| meter.reply(now, ids, id, reply))?;
        self.heirs.retain(|meter| !meter.is_settled());
        Some(found.into_iter().filter_map(call_of).collect())
    }
}

fn call_of(action: MeterAction) -> Option<MirrorAction> {
    match action {
        MeterAction::Call { id, step, call } => Some(MirrorAction::Call { id, step, call }),
        MeterAction::Mirror { .. } => None,
    }
}
