//! Counts the requests that one process has dispatched and that may not have reached their target.

use std::collections::BTreeMap;

use crate::{
    drain::DrainMessage,
    ident::Incarnation,
    view::{Draining, Seq},
};

/// Counts requests in transit, by target.
///
/// A request counts from the check of the view until the first byte of its
/// response, or until its connection is closed for good: before that, it may
/// still reach the target after the target has reported that it is idle.
#[derive(Debug, Clone, Default)]
pub struct InTransitRequests {
    counts: BTreeMap<String, usize>,
}

impl InTransitRequests {
    /// Records that a request passed the check of the view and is about to be sent to the target.
    pub fn begin(&mut self, target: &str) {
        *self.counts.entry(target.to_owned()).or_default() += 1;
    }

    /// Records that the target has started to respond or will never get the request.
    pub fn end(&mut self, target: &str) {
        let Some(count) = self.counts.get_mut(target) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            self.counts.remove(target);
        }
    }

    /// Whether no request is in transit.
    pub fn is_empty(&self) -> bool {
        self.counts.is_empty()
    }

    /// The reply of process `by` to [`DrainMessage::Ask`], or `None` if it cannot confirm yet.
    ///
    /// `held` is the number of its view, and `draining` are that view's drains. A
    /// drain that has ended in a newer view is not confirmed.
    pub fn answer(
        &self,
        by: Incarnation,
        held: Seq,
        draining: &[Draining],
        asked: &Draining,
    ) -> Option<DrainMessage> {
        let none_in_transit = !self.counts.contains_key(&asked.target);
        let holds_drain = held >= asked.since && draining.contains(asked);
        (none_in_transit && holds_drain).then(|| DrainMessage::Holds { drain: asked.clone(), by })
    }
}
