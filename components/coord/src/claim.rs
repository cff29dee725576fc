//! Requests that run once at most.
//!
//! A caller names such a request with an idempotency key. With a scope from
//! the locate answer, one incarnation remembers the key: every entry forwards
//! the request there, and when that incarnation or its heir cannot be asked the
//! answer is "unknown", never a second run. Without a scope, a claim is written
//! to the platform before the request is dispatched, and without the platform
//! nothing is dispatched.
//!
//! Memory is bounded: a scope stays open for [`SCOPE_SPAN`], and its keys are
//! remembered for [`RETENTION`]. A key of a forgotten scope is answered
//! "unknown". A claim in the platform is remembered for at least
//! [`CLAIM_RETENTION`].

mod directory;
mod memory;
mod stripe;
mod table;

pub use self::{
    directory::{Directory, Keeper},
    memory::{
        Admission, Legacy, Memory, MemoryFull, RETENTION, Record, SCOPE_SPAN, Scope, ScopedKey,
    },
    stripe::{CLAIM_RETENTION, Claim, ClaimError, Stripe},
    table::{ClaimTable, TableAction, TableActions, Ticket},
};
