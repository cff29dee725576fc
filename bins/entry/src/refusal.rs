//! Maps the policy's refusals to error responses.

use chervilgate_policy::{Refusal, RefusalReason};

use crate::outcome::Failure;

/// The error response for a refusal, with the time after which to retry.
pub(crate) fn to_failure(refusal: &Refusal) -> Failure {
    let message = match refusal.reason {
        RefusalReason::NoTarget => "no target serves this service now",
        RefusalReason::Full => "every target is full",
        RefusalReason::Late => "no target can respond within the deadline",
        RefusalReason::ShareUsed => "the organisation has used its share of a busy service",
        RefusalReason::Quarantined => "the same request made targets fail before",
        RefusalReason::Budget => "the retry budget is used up",
    };
    match refusal.reason {
        RefusalReason::Quarantined => Failure::quarantined(message, refusal.retry_after),
        _ => Failure::overloaded(message, refusal.retry_after),
    }
}
