//! Logging and metrics of the daemons.
//!
//! Log records go through the `log` crate, with one target for each subsystem. Metrics
//! go to a statsd daemon over UDP if the settings name one.

mod logs;
mod metrics;

pub use crate::{
    logs::{DroppedLines, dropped_lines, flush_logs, init_logging},
    metrics::{Metrics, MetricsError, RequestOutcome},
};
