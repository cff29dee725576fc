//! Usage counters by organisation.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Usage of one organisation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct Usage {
    /// Number of answered requests.
    pub requests: u64,
    /// Number of prompt tokens.
    pub prompt: u64,
    /// Number of generated tokens.
    pub generated: u64,
}

/// Usage by organisation.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct UsageTotals {
    /// Usage, keyed by the organisation's name.
    pub usage: BTreeMap<String, Usage>,
}

impl UsageTotals {
    /// Adds usage of one organisation.
    pub fn add(&mut self, organisation: &str, used: Usage) {
        let sum = self.usage.entry(organisation.to_owned()).or_default();
        sum.requests += used.requests;
        sum.prompt += used.prompt;
        sum.generated += used.generated;
    }

    /// Adds all usage of another tally.
    pub fn merge(&mut self, other: &UsageTotals) {
        for (organisation, used) in &other.usage {
            self.add(organisation, *used);
        }
    }

    /// The difference from an earlier state of the same tally.
    pub fn since(&self, earlier: &UsageTotals) -> UsageTotals {
        let mut difference = UsageTotals::default();
        for (organisation, used) in &self.usage {
            let before = earlier.usage.get(organisation).copied().unwrap_or_default();
            let delta = Usage {
                requests: used.requests.saturating_sub(before.requests),
                prompt: used.prompt.saturating_sub(before.prompt),
                generated: used.generated.saturating_sub(before.generated),
            };
            if delta != Usage::default() {
                difference.add(organisation, delta);
            }
        }
        difference
    }

    /// Whether no usage has been added.
    pub fn is_empty(&self) -> bool {
        self.usage.is_empty()
    }

    /// Number of answered requests of all organisations.
    pub fn requests(&self) -> u64 {
        self.usage.values().map(|used| used.requests).sum()
    }
}
