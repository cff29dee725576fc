//! Simulation of model engines in virtual time.
//!
//! An [`Engine`] uses continuous batching: each step gives every decoding
//! sequence one token and computes prefill chunks up to the role's chunk limit.
//! The engine reserves KV memory for its sequences, keeps a [`PrefixCache`],
//! supports priorities, cancellation, resumed jobs and KV export and import, and
//! is out of service while it changes its role. [`TargetProvider`] orders and returns
//! targets by availability zone, [`WeightStore`] limits how fast new targets load
//! their weights, and [`DelayQueue`] delays reports.
//!
//! The simulation is deterministic: it reads no clock and draws no random
//! numbers, so the same calls at the same virtual times give the same events.

mod cache;
mod delay_queue;
mod engine;
mod job;
mod profile;
mod queue;
mod supply;
mod weights;

pub use crate::{
    cache::{CacheChange, PrefixCache},
    delay_queue::DelayQueue,
    engine::{Engine, EngineLoad, Event, LostJob, Refusal},
    job::{Job, Stage},
    profile::{Profile, Role, RoleLimits},
    queue::EventQueue,
    supply::{NoCapacity, OrderedTarget, PriceList, PricingTier, TargetProvider},
    weights::WeightStore,
};
