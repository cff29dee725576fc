//! Counters and timers for the measures that operators watch.

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

/// Starts the name of each metric.
const PREFIX: &str = "chervilgate";

/// Why metrics cannot be sent.
#[derive(Debug, Snafu)]
pub enum MetricsError {
    /// No socket is to be had.
    #[snafu(display("no socket for metrics: {source}"))]
    Socket {
        /// What the system said.
        source: io::Error,
    },
    /// The address cannot be used.
    #[snafu(display("metrics cannot go to {addr}: {source}"))]
    Address {
        /// The address.
        addr: SocketAddr,
        /// What is wrong.
        source: cadence::MetricError,
    },
}

/// How a request ended, as its metric is tagged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestEnd {
    /// Answered.
    Answered,
    /// Not run.
    NotRun,
    /// Ran without a usable end.
    Ran,
    /// Not known.
    Unknown,
}

impl RequestEnd {
    fn as_str(self) -> &'static str {
        match self {
            RequestEnd::Answered => "answered",
            RequestEnd::NotRun => "not-run",
            RequestEnd::Ran => "ran",
            RequestEnd::Unknown => "unknown",
        }
    }
}

/// Sends metrics, or drops them where none are wanted.
#[derive(Debug)]
pub struct Metrics {
    client: StatsdClient,
}

impl Metrics {
    /// Drops every metric.
    pub fn none() -> Metrics {
        Metrics { client: StatsdClient::from_sink(PREFIX, NopMetricSink) }
    }

    /// Sends metrics to `addr` from a thread of their own.
    ///
    /// # Errors
    /// If there is no socket, or the address cannot be used.
    pub fn to(addr: SocketAddr) -> Result<Metrics, MetricsError> {
        let socket = UdpSocket::bind((Ipv4Addr::UNSPECIFIED, 0)).context(SocketSnafu)?;
        socket.set_nonblocking(true).context(SocketSnafu)?;
        let sink = BufferedUdpMetricSink::from(addr, socket).context(AddressSnafu { addr })?;
        let client = StatsdClient::from_sink(PREFIX, QueuingMetricSink::from(sink));
        Ok(Metrics { client })
    }

    /// Counts a request that ended.
    pub fn count_request(&self, end: RequestEnd) {
        self.client.count_with_tags("entry.requests", 1).with_tag("end", end.as_str()).send();
    }

    /// Counts generated tokens that were passed on.
    pub fn count_tokens(&self, tokens: u64) {
        let _ = self.client.count("entry.tokens", tokens);
    }

    /// Counts a stream that broke off and went on elsewhere, or was given up.
    pub fn count_break(&self) {
        let _ = self.client.incr("entry.breaks");
    }

    /// Times a first token, from the request's arrival.
    pub fn time_first(&self, span: Duration) {
        let _ = self.client.time("entry.first_token", span);
    }

    /// Sends what is still held back.
    pub fn flush(&self) {
        let _ = self.client.flush();
    }
}
