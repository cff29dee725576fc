//! Maps the policy's refusals to error responses.

use chervilgate_policy::{Reason, Refusal};

use crate::outcome::Failure;

/// The error response for a refusal, with the time after which to retry.
pub(crate) fn to_failure(refusal: &Refusal) -> Failure {
    let message = match refusal.reason {
        Reason::NoTarget => "no target serves this service now",
        Reason::Full => "every target is full",
        Reason::Late => "no target can respond within the deadline",
        Reason::ShareUsed => "the organisation has used its share of a busy service",
        Reason::Quarantined => "the same request made targets fail before",
        Reason::Budget => "the retry budget is used up",
    };
    match refusal.reason {
        Reason::Quarantined => Failure::quarantined(message, refusal.retry_after),
        _ => Failure::overloaded(message, refusal.retry_after),
    }
}
