//! Usage counted on this host since the last flush.

use std::{
    collections::BTreeMap,
    sync::{Mutex, PoisonError},
};

/// Usage of one organisation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) struct Usage {
    /// Requests that ran.
    pub requests: u64,
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// Generated tokens that reached the caller.
    pub output_tokens: u64,
}

/// Counts usage by organisation.
#[derive(Debug, Default)]
pub(crate) struct Meter {
    counts: Mutex<BTreeMap<String, Usage>>,
}

impl Meter {
    /// Adds to an organisation's usage.
    pub(crate) fn add(&self, organisation: &str, usage: Usage) {
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        let sum = counts.entry(organisation.to_owned()).or_default();
        sum.requests += usage.requests;
        sum.prompt_tokens += usage.prompt_tokens;
        sum.output_tokens += usage.output_tokens;
    }

    /// Takes out what has been counted.
    pub(crate) fn take(&self) -> BTreeMap<String, Usage> {
        std::mem::take(&mut *self.counts.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
