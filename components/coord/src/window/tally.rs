//! Counters by organisation.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// What an organisation has used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct Usage {
    /// Requests answered.
    pub requests: u64,
    /// Tokens of prompts.
    pub prompt: u64,
    /// Tokens generated.
    pub generated: u64,
}

/// Usage by organisation.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct Tally {
    /// Usage by the organisation's name.
    pub usage: BTreeMap<String, Usage>,
}

impl Tally {
    /// Counts usage of one organisation.
    pub fn add(&mut self, organisation: &str, used: Usage) {
        let sum = self.usage.entry(organisation.to_owned()).or_default();
        sum.requests += used.requests;
        sum.prompt += used.prompt;
        sum.generated += used.generated;
    }

    /// Counts everything that another tally holds.
    pub fn merge(&mut self, other: &Tally) {
        for (organisation, used) in &other.usage {
            self.add(organisation, *used);
        }
    }

    /// What this tally holds beyond an earlier state of itself.
    pub fn beyond(&self, earlier: &Tally) -> Tally {
        let mut rest = Tally::default();
        for (organisation, used) in &self.usage {
            let before = earlier.usage.get(organisation).copied().unwrap_or_default();
            let more = Usage {
                requests: used.requests.saturating_sub(before.requests),
                prompt: used.prompt.saturating_sub(before.prompt),
                generated: used.generated.saturating_sub(before.generated),
            };
            if more != Usage::default() {
                rest.add(organisation, more);
            }
        }
        rest
    }

    /// Whether nothing has been counted.
    pub fn is_empty(&self) -> bool {
        self.usage.is_empty()
    }

    /// Requests of all organisations.
    pub fn requests(&self) -> u64 {
        self.usage.values().map(|used| used.requests).sum()
    }
}
