//! Keeps the usage sheets of other entries, and stores them when an entry dies.

use std::collections::BTreeMap;

use chervilgate_clock::Time;
use smallvec::SmallVec;

use crate::{
    ident::Incarnation,
    order::ShardId,
    step::Step,
    store::{CallId, CallIds, StoreCall, StoreReply},
    window::{
        meter::{UsageMeter, UsageMeterAction},
        seal::{UsageSheet, WindowId},
    },
};

/// An action for the driver of a [`Mirror`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MirrorAction {
    /// Call the store.
    Call {
        /// Matches the reply.
        id: CallId,
        /// The protocol step, for logs and tests.
        step: Step,
        /// The call.
        call: StoreCall,
    },
}

/// Actions that result from one event.
pub type MirrorActions = SmallVec<[MirrorAction; 4]>;

/// The sheets of entries that use this process as their mirror.
#[derive(Debug, Clone, Default)]
pub struct Mirror {
    sheets: BTreeMap<(Incarnation, ShardId), (WindowId, UsageSheet)>,
    /// Meters that store the sheets of dead entries.
    meters: Vec<UsageMeter>,
}

impl Mirror {
    /// Keeps an entry's sheet, unless a later one is kept already.
    pub fn update(&mut self, entry: Incarnation, window: WindowId, sheet: UsageSheet) {
        let known = self.sheets.get(&(entry, window.shard.clone()));
        if known.is_none_or(|(_, kept)| kept.state < sheet.state) {
            self.sheets.insert((entry, window.shard.clone()), (window, sheet));
        }
    }

    /// Stores the sheets of an entry that is believed dead.
    ///
    /// If the entry still runs, its own later sheets replace these.
    pub fn store_sheets_of(&mut self, now: Time, entry: Incarnation, seed: u64) {
        let dead: Vec<(Incarnation, ShardId)> =
            self.sheets.keys().filter(|(of, _)| *of == entry).cloned().collect();
        for key in dead {
            if let Some((window, sheet)) = self.sheets.remove(&key) {
                self.meters.push(UsageMeter::resume(entry, window, sheet, now, seed));
            }
        }
    }

    /// Whether sheets of dead entries are still to be stored.
    pub fn is_busy(&self) -> bool {
        !self.meters.is_empty()
    }

    /// When [`Mirror::advance`] is due again.
    pub fn wake_at(&self) -> Time {
        self.meters.iter().map(UsageMeter::wake_at).min().unwrap_or(Time::NEVER)
    }

    /// Makes the calls that are due.
    pub fn advance(&mut self, now: Time, ids: &mut CallIds) -> MirrorActions {
        let mut actions = MirrorActions::new();
        for meter in &mut self.meters {
            actions.extend(meter.advance(now, ids).into_iter().filter_map(store_call));
        }
        self.meters.retain(|meter| !meter.is_done());
        actions
    }

    /// Handles a store reply; `None` if its call is not pending here.
    pub fn reply(
        &mut self,
        now: Time,
        ids: &mut CallIds,
        id: CallId,
        reply: &StoreReply,
    ) -> Option<MirrorActions> {
        let found = self.meters.iter_mut().find_map(|meter| meter.reply(now, ids, id, reply))?;
        self.meters.retain(|meter| !meter.is_done());
        Some(found.into_iter().filter_map(store_call).collect())
    }
}

fn store_call(action: UsageMeterAction) -> Option<MirrorAction> {
    match action {
        UsageMeterAction::Call { id, step, call } => Some(MirrorAction::Call { id, step, call }),
        UsageMeterAction::Mirror { .. } => None,
    }
}
