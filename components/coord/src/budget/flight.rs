//! Shares one call among those who wait for the same answer.

use std::collections::BTreeMap;

/// Waiters by the question they ask.
///
/// Only a call that has not left yet is joined: an answer is at least as
/// recent as every question it is given to.
#[derive(Debug, Clone)]
pub struct Flights<Q, W> {
    waiting: BTreeMap<Q, Vec<W>>,
    flying: BTreeMap<Q, Vec<W>>,
}

impl<Q: Ord + Clone, W> Flights<Q, W> {
    /// No question asked yet.
    pub fn new() -> Flights<Q, W> {
        Flights { waiting: BTreeMap::new(), flying: BTreeMap::new() }
    }

    /// Adds a waiter.
    pub fn join(&mut self, question: Q, waiter: W) {
        self.waiting.entry(question).or_default().push(waiter);
    }

    /// A question that is asked and not under way, now under way.
    pub fn depart(&mut self) -> Option<Q> {
        let question = self.waiting.keys().find(|key| !self.flying.contains_key(key))?.clone();
        let waiters = self.waiting.remove(&question)?;
        self.flying.insert(question.clone(), waiters);
        Some(question)
    }

    /// Ends a question's call; the waiters that its answer is for.
    pub fn land(&mut self, question: &Q) -> Vec<W> {
        self.flying.remove(question).unwrap_or_default()
    }
}

impl<Q: Ord + Clone, W> Default for Flights<Q, W> {
    fn default() -> Flights<Q, W> {
        Flights::new()
    }
}
