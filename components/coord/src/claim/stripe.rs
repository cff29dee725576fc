//! Claims of requests as stored, spread over several objects.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};
use snafu::{Snafu, ensure};

use crate::{
    document::{Access, Document},
    ident::Incarnation,
    step::{Protocol, Step},
};

/// Minimum time for which a claim is kept in the store.
pub const CLAIM_RETENTION: Duration = Duration::from_secs(86_400);

/// Maximum number of claims in each half of a stripe; keeps a stripe under 300 kB.
const MAX_CLAIMS_PER_HALF: usize = 4_096;

/// Digest of an organisation's name and an idempotency key.
type KeyDigest = [u8; 16];

/// The right of one attempt to run a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct Claim {
    /// Digest of the organisation's name and its key.
    pub digest: KeyDigest,
    /// The process that may run the request.
    pub claimer: Incarnation,
    /// Distinguishes the attempts of one process.
    pub attempt: u64,
}

/// Reason why a claim is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Snafu)]
pub enum ClaimError {
    /// Another attempt holds the claim: the request has run, runs or may still run.
    #[snafu(display("the request has already been claimed"))]
    Taken,
    /// The stripe is full of claims that are too recent to drop.
    #[snafu(display("the stripe holds the maximum of {MAX_CLAIMS_PER_HALF} recent claims"))]
    Full,
}

/// A change to a stripe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StripeEdit {
    /// Adds a claim.
    Add(Claim),
    /// Drops the older half and starts a new recent half, if `turns` still has this value.
    ///
    /// Submitted by a process that has seen `turns` unchanged for
    /// [`CLAIM_RETENTION`] by its own clock.
    Rotate(u64),
}

/// The claims stored in one object, in two halves by age.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct Stripe {
    /// Number of times that the older half was dropped.
    pub turns: u64,
    recent: BTreeMap<KeyDigest, (Incarnation, u64)>,
    older: BTreeMap<KeyDigest, (Incarnation, u64)>,
}

impl Stripe {
    fn find(&self, digest: &KeyDigest) -> Option<&(Incarnation, u64)> {
        self.recent.get(digest).or_else(|| self.older.get(digest))
    }
}

impl Document for Stripe {
    type Edit = StripeEdit;
    type Error = ClaimError;

    fn contains(&self, edit: &StripeEdit) -> bool {
        match edit {
            StripeEdit::Add(claim) => {
                self.find(&claim.digest) == Some(&(claim.claimer, claim.attempt))
            }
            StripeEdit::Rotate(turns) => self.turns > *turns,
        }
    }

    fn apply(&mut self, edit: &StripeEdit) -> Result<(), ClaimError> {
        match edit {
            StripeEdit::Add(claim) => {
                ensure!(self.find(&claim.digest).is_none(), TakenSnafu);
                ensure!(self.recent.len() < MAX_CLAIMS_PER_HALF, FullSnafu);
                self.recent.insert(claim.digest, (claim.claimer, claim.attempt));
            }
            StripeEdit::Rotate(turns) if self.turns == *turns => {
                self.older = std::mem::take(&mut self.recent);
                self.turns += 1;
            }
            StripeEdit::Rotate(_) => {}
        }
        Ok(())
    }

    fn step(edit: &StripeEdit, access: Access) -> Step {
        let name = match (edit, access) {
            (_, Access::Read) => "read stripe",
            (StripeEdit::Add(_), Access::Write) => "write claim",
            (StripeEdit::Rotate(_), Access::Write) => "turn stripe",
        };
        Step::new(Protocol::Claim, name)
    }
}
