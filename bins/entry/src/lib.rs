//! The entry: the HTTP front end that authenticates callers and routes their
//! requests to targets.
//!
//! A request comes in at `caller_api`, is checked against the view (the
//! published configuration), waits in the `scheduler` of its service and is
//! sent to a target. A failed attempt is retried on another target as long as
//! the request may be repeated. Actors maintain the view, the list of entries
//! and the engines' load.

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
