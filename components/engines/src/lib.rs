//! A model of the engines the system serves, in virtual time.
//!
//! An [`Engine`] batches continuously: each step gives every decoding sequence
//! one token and spends what is left of the step's token budget on prefill
//! chunks. It holds KV memory for its sequences, keeps a [`PrefixCache`],
//! honours priorities, cancels, resumes, exports and imports KV, and leaves
//! service while it changes role. [`Supply`] orders and returns engines zone by
//! zone, [`WeightStore`] limits cold starts, and [`Feed`] delays reports.
//!
//! Nothing here reads a clock or draws random numbers: the same calls at the
//! same virtual times give the same events.

mod cache;
mod engine;
mod feed;
mod job;
mod profile;
mod queue;
mod supply;
mod weights;

pub use crate::{
    cache::{CacheChange, PrefixCache},
    engine::{Engine, Event, Load, Lost, Refusal},
    feed::Feed,
    job::{Job, Stage},
    profile::{Profile, Role, RoleLimits},
    queue::Queue,
    supply::{Ordered, Supply, Tariff, Tier, Unavailable},
    weights::WeightStore,
};
