//! Request counters and timers, sent to a statsd daemon.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr, UdpSocket},
    time::Duration,
};

use cadence::{
    BufferedUdpMetricSink, Counted, CountedExt, NopMetricSink, QueuingMetricSink, StatsdClient,
    Timed,
};
use snafu::{ResultExt, Snafu};

/// Prefix of every metric name.
const METRIC_PREFIX: &str = "chervilgate";

/// Why the statsd client could not be set up.
#[derive(Debug, Snafu)]
pub enum MetricsError {
    /// The UDP socket could not be opened.
    #[snafu(display("cannot open a UDP socket for metrics: {source}"))]
    Socket {
        /// The I/O error.
        source: io::Error,
    },
    /// The statsd address cannot be used.
    #[snafu(display("cannot send metrics to {addr}: {source}"))]
    Address {
        /// The statsd address.
        addr: SocketAddr,
        /// The error of the statsd client.
        source: cadence::MetricError,
    },
}

/// Outcome of a request: the value of the `end` tag of its counter.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The caller got a complete response.
    Answered,
    /// No target ran the request.
    NotRun,
    /// A target ran the request, but the caller got no complete response.
    Ran,
    /// It is unknown whether a target ran the request.
    Unknown,
}

impl RequestOutcome {
    fn as_str(self) -> &'static str {
        match self {
            RequestOutcome::Answered => "answered",
            RequestOutcome::NotRun => "not-run",
            RequestOutcome::Ran => "ran",
            RequestOutcome::Unknown => "unknown",
        }
    }
}

/// A statsd client, or a sink that discards every metric.
#[derive(Debug)]
pub struct Metrics {
    client: StatsdClient,
}

impl Metrics {
    /// Discards every metric.
    pub fn disabled() -> Metrics {
        Metrics { client: StatsdClient::from_sink(METRIC_PREFIX, NopMetricSink) }
    }

    /// Sends metrics to the statsd daemon at `addr` from a background thread.
    ///
    /// # Errors
    /// If no socket can be opened, or the address cannot be used.
    pub fn statsd(addr: SocketAddr) -> Result<Metrics, MetricsError> {
        let socket = UdpSocket::bind((Ipv4Addr::UNSPECIFIED, 0)).context(SocketSnafu)?;
        socket.set_nonblocking(true).context(SocketSnafu)?;
        let sink = BufferedUdpMetricSink::from(addr, socket).context(AddressSnafu { addr })?;
        let client = StatsdClient::from_sink(METRIC_PREFIX, QueuingMetricSink::from(sink));
        Ok(Metrics { client })
    }

    /// Counts a finished request.
    pub fn count_request(&self, end: RequestOutcome) {
        self.client.count_with_tags("entry.requests", 1).with_tag("end", end.as_str()).send();
    }

    /// Counts generated tokens that were forwarded to callers.
    pub fn count_tokens(&self, tokens: u64) {
        let _ = self.client.count("entry.tokens", tokens);
    }

    /// Counts a stream that lost its target, whether it was resumed on another one or ended.
    pub fn count_stream_break(&self) {
        let _ = self.client.incr("entry.breaks");
    }

    /// Records the time from the arrival of a request to its first token.
    pub fn record_first_token(&self, span: Duration) {
        let _ = self.client.time("entry.first_token", span);
    }

    /// Sends the buffered metrics.
    pub fn flush(&self) {
        let _ = self.client.flush();
    }
}
