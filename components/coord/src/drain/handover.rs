//! Requests on their way from one process to targets.

use std::collections::BTreeMap;

use crate::{
    drain::DrainMessage,
    ident::Incarnation,
    view::{Draining, Seq},
};

/// Counts requests on their way, by target.
///
/// A request counts from the check of the view until the first byte of its
/// answer, or until its connection is closed for good: before that, it may
/// still reach the target after the target has said that it is idle.
#[derive(Debug, Clone, Default)]
pub struct Handovers {
    open: BTreeMap<String, usize>,
}

impl Handovers {
    /// A request was checked and is about to be handed to the target.
    pub fn begin(&mut self, target: &str) {
        *self.open.entry(target.to_owned()).or_default() += 1;
    }

    /// The target has begun to answer, or will never get the request.
    pub fn end(&mut self, target: &str) {
        let Some(count) = self.open.get_mut(target) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            self.open.remove(target);
        }
    }

    /// Whether no request is on its way.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// The answer of process `by` to a question, if it can be given now.
    ///
    /// `held` is the view it holds, and `draining` that view's drains. A drain
    /// that has ended meanwhile is not answered: its end is newer.
    pub fn answer(
        &self,
        by: Incarnation,
        held: Seq,
        draining: &[Draining],
        ask: &Draining,
    ) -> Option<DrainMessage> {
        let quiet = !self.open.contains_key(&ask.target);
        let holds = held >= ask.since && draining.contains(ask);
        (quiet && holds).then(|| DrainMessage::Holds { drain: ask.clone(), by })
    }
}
