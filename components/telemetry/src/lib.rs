//! Logs and metrics of the daemons.
//!
//! Logs go through `log` with a target for each part. Metrics go to a statsd
//! daemon over UDP, if settings name one.

mod logs;
mod metrics;

pub use crate::{
    logs::{finish_logs, lines_lost, start_logs},
    metrics::{Metrics, MetricsError, RequestEnd},
};
