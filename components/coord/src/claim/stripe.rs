//! Claims in the platform, striped over objects.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};
use snafu::{Snafu, ensure};

use crate::{
    document::{Access, Document},
    ident::Incarnation,
    step::{Protocol, Step},
};

/// How long a claim in the platform is remembered at least.
pub const CLAIM_RETENTION: Duration = Duration::from_secs(86_400);

/// The most claims in each half of a stripe, so that it stays under 300 kB.
const MOST_CLAIMS: usize = 4_096;

/// The digest of an organisation and its idempotency key.
type KeyDigest = [u8; 16];

/// Who may run a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct Claim {
    /// The digest of the organisation and its key.
    pub digest: KeyDigest,
    /// The process that claims.
    pub claimer: Incarnation,
    /// Tells its attempts apart.
    pub attempt: u64,
}

/// Why a claim is not given.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Snafu)]
pub enum ClaimError {
    /// Another attempt has it: the request ran, runs or may yet run.
    #[snafu(display("the request has been claimed before"))]
    Taken,
    /// The stripe is full of claims too recent to forget.
    #[snafu(display("no room for another claim"))]
    Full,
}

/// A change to a stripe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StripeEdit {
    /// Adds a claim.
    Add(Claim),
    /// Forgets the older half, and begins the next one.
    ///
    /// Given by a process that has watched `turns` stand still for
    /// [`CLAIM_RETENTION`] on its own clock.
    Turn(u64),
}

/// Claims of one stripe, in two halves by age.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct Stripe {
    /// Counts the times that the older half was forgotten.
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
            StripeEdit::Turn(turns) => self.turns > *turns,
        }
    }

    fn apply(&mut self, edit: &StripeEdit) -> Result<(), ClaimError> {
        match edit {
            StripeEdit::Add(claim) => {
                ensure!(self.find(&claim.digest).is_none(), TakenSnafu);
                ensure!(self.recent.len() < MOST_CLAIMS, FullSnafu);
                self.recent.insert(claim.digest, (claim.claimer, claim.attempt));
            }
            StripeEdit::Turn(turns) if self.turns == *turns => {
                self.older = std::mem::take(&mut self.recent);
                self.turns += 1;
            }
            StripeEdit::Turn(_) => {}
        }
        Ok(())
    }

    fn step(edit: &StripeEdit, access: Access) -> Step {
        let name = match (edit, access) {
            (_, Access::Read) => "read stripe",
            (StripeEdit::Add(_), Access::Write) => "write claim",
            (StripeEdit::Turn(_), Access::Write) => "turn stripe",
        };
        Step::new(Protocol::Claim, name)
    }
}
