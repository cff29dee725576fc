//! The caller side of an entry host.
//!
//! A request comes in at [`caller_api`], is checked against the view, waits in
//! the lane of its service, and goes to a target in as many attempts as its
//! safety allows. Actors keep the view, the members and the engines' load.

mod admin_api;
mod attempt;
mod auth;
mod caller_api;
mod chunk;
mod claims;
mod completion;
mod completion_job;
mod dispatch;
mod entry;
mod host;
mod idempotency;
mod idempotent_job;
mod locate;
mod member;
mod outcome;
mod plain_job;
mod poller;
mod refusal;
mod registrar;
mod relay;
mod scheduler;
mod session;
mod settings;
mod sse;
mod supervisor;
mod targets;
mod tls;
mod usage;
mod view;

pub use crate::{
    entry::{Entry, StartError},
    settings::{Settings, TlsFiles},
    tls::TlsError,
    usage::{USAGE_GROUPS, USAGE_RECEIVER, usage_shard},
};
