//! The gateway: requests passed through to targets as callers sent them.
//!
//! One process a host serves callers, tells them which hosts to use, and stands
//! as candidate for the duties that one process at a time performs. What is
//! decided lives in modules without I/O or clocks ([`config`], [`fleet`],
//! [`lease`], [`members`], [`supply`], [`suspects`], [`usage`],
//! [`view`]); the others run it.
//!
//! The outside is met through traits: [`Protocol`] for the headers of callers and
//! targets, [`Decoder`] for what the store holds, and the clients' traits for
//! the store, orders and usage reports.

mod answer;
mod attempt;
pub mod config;
mod counted;
mod directory;
mod duty;
mod events;
pub mod fleet;
mod forward;
mod gossip;
mod hash;
mod host;
pub mod lease;
pub mod members;
mod metrics;
mod protocol;
mod serve;
mod settings;
mod state;
mod stream;
pub mod supply;
pub mod suspects;
pub mod usage;
pub mod view;
mod watch;

pub use crate::{
    events::EventSplitter,
    host::{DutyCalls, Host, HostError, Outside},
    protocol::{
        AnswerHead, Ask, BadAsk, Decoder, Handover, Locate, Part, Prefilled, Prompt, Protocol,
        Undecodable, Work,
    },
    settings::{Bounds, HostSettings},
};
