//! Logging and metrics of the daemons.
//!
//! Log records go through the `log` crate, with one target for each subsystem. Metrics
//! go to a statsd daemon over UDP if the settings name one.

mod logs;
mod metrics;

pub use crate::{
    logs::{finish_logs, lines_lost, start_logs},
    metrics::{Metrics, MetricsError, RequestEnd},
};
