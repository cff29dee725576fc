//! Requests that must run at most once, identified by an idempotency key.
//!
//! If the request carries a scope from the locate answer, one incarnation keeps
//! the key in memory. Every entry forwards the request to it; if neither that
//! incarnation nor its successor can be reached, the answer is "unknown", and
//! the request is never run a second time. Without a scope, a claim is written
//! to the store before the request is dispatched; if the store cannot be reached,
//! nothing is dispatched.
//!
//! Memory is bounded: a scope is handed out for [`SCOPE_LIFETIME`], and its keys are
//! kept for [`SCOPE_RETENTION`] afterwards. A key of a discarded scope is answered
//! "unknown". A claim in the store is kept for at least [`CLAIM_RETENTION`].

mod directory;
mod memory;
mod stripe;
mod table;

pub use self::{
    directory::{ScopeDirectory, ScopeHolder},
    memory::{
        Admission, IdempotencyKeys, KeyTransfer, RequestState, SCOPE_LIFETIME, SCOPE_RETENTION,
        Scope, ScopedKey, TooManyKeys,
    },
    stripe::{CLAIM_RETENTION, Claim, ClaimError, Stripe},
    table::{ClaimAction, ClaimActions, ClaimTable, Ticket},
};
