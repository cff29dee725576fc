//! The policy's refusals as callers see them.

use chervilgate_policy::{Reason, Refusal};

use crate::outcome::Failure;

/// The failure for a refusal: not run, with the time to come back.
pub(crate) fn to_failure(refusal: &Refusal) -> Failure {
    let message = match refusal.reason {
        Reason::NoTarget => "no target serves this at present",
        Reason::Full => "every target is full",
        Reason::Late => "no target can answer in time",
        Reason::ShareUsed => "the organisation has used its share of a busy service",
        Reason::Quarantined => "the same request made targets fail before",
        Reason::Budget => "no further attempt was granted",
    };
    match refusal.reason {
        Reason::Quarantined => Failure::quarantined(message, refusal.retry_after),
        _ => Failure::overloaded(message, refusal.retry_after),
    }
}
