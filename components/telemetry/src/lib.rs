//! Metrics of the daemons.
//!
//! Logs go through `log` with a target for each part. Metrics go to a statsd
//! daemon over UDP, if settings name one.

mod metrics;

pub use crate::metrics::{Metrics, MetricsError, RequestEnd};
