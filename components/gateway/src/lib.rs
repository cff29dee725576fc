//! The gateway forwards callers' requests to targets without changing their bodies.
//!
//! Each host runs one gateway process. It serves callers, tells them which hosts to use, and
//! competes for the lease on the duties that only one process at a time performs. Decisions are
//! made in modules without I/O or clocks ([`admission`], [`build_record`], [`config`],
//! [`crash_record`], [`demand`], [`fleet`], [`freshness`], [`identity`], [`joining`], [`lease`], [`membership`],
//! [`memory`], [`origins`], [`outage`], [`planner`], [`poison`], [`quota`], [`repeats`],
//! [`stopping`], [`target_feed`], [`usage`], [`verdict`], [`view`]); the other modules do the I/O
//! and call them.
//!
//! External systems are reached through traits: [`Protocol`] for the headers of callers
//! and targets, [`Decoder`] for stored objects, and the traits of the clients crate for
//! the store, target orders and usage reports.

pub mod admission;
pub mod announced;
mod answered_over;
mod attempt;
mod body;
pub mod build_record;
mod caller_request;
pub mod config;
mod counted;
mod crash;
pub mod crash_record;
pub mod demand;
mod directory;
mod duty;
mod events;
mod exchange;
mod explain;
mod failure;
pub mod fleet;
mod forward;
pub mod freshness;
mod gossip;
mod hash;
mod host;
pub mod identity;
pub mod joining;
pub mod lease;
pub mod membership;
pub mod memory;
mod metrics;
pub mod numbering;
pub mod origins;
pub mod outage;
mod passed_on;
pub mod planner;
pub mod poison;
mod prefill;
mod progress;
mod protocol;
pub mod quota;
pub mod repeats;
mod run_end;
mod serve;
mod settings;
mod state;
pub mod stopping;
mod stored_list;
mod stream;
pub mod stream_record;
mod takeover;
pub mod target_feed;
pub mod usage;
pub mod verdict;
pub mod view;
mod waiting;
mod watch;

pub use chervilgate_policy::QuotaBounds;

pub use crate::{
    events::EventSplitter,
    host::{Dependencies, DutyClients, Host, HostError},
    metrics::LostLines,
    protocol::{
        Content, DecodeError, Decoder, ForwardedRequest, InvalidHeader, LimitStatement,
        LocateRequest, PrefillResponse, Prompt, PromptPart, Protocol, RequestHead, RequestStage,
        ResponseHead,
    },
    settings::{HostLimits, HostSettings},
};
