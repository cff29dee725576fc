//! Scheduled events, ordered by time and then by insertion.

use std::{cmp::Ordering, net::SocketAddr};

use chervilgate_clock::Time;
use chervilgate_coord::{CallId, StoreCall};

use crate::{
    network::{HostId, Place},
    process::{Input, Request},
};

/// A scheduled action of the bed.
#[derive(Debug, Clone)]
pub(crate) enum Event {
    /// An input is delivered to a process.
    Deliver { host: HostId, generation: u64, input: Input },
    /// A call times out at its caller.
    CallTimesOut { host: HostId, generation: u64, id: CallId },
    /// A call arrives at the store.
    StoreCallArrives { host: HostId, generation: u64, id: CallId, call: StoreCall },
    /// A call arrives at an endpoint.
    EndpointCallArrives {
        host: HostId,
        generation: u64,
        id: CallId,
        endpoint: String,
        request: Request,
    },
    /// A probe arrives at an address.
    ProbeArrives { host: HostId, generation: u64, id: CallId, addr: SocketAddr },
    /// A message arrives at an address.
    MessageArrives { from: SocketAddr, to: SocketAddr, body: Vec<u8> },
    /// An answer arrives at its caller.
    Answer { from: Place, host: HostId, generation: u64, id: CallId, input: Input },
    /// The store ends a watch without changes.
    WatchExpires { host: HostId, generation: u64, id: CallId },
    /// A paused host resumes.
    Resume(HostId),
    /// A process is started on a host.
    Start(HostId),
    /// A host's isolation ends.
    Rejoin(HostId),
    /// The store answers normally again.
    StoreUp,
}

/// An event with its time, sorted so that a max-heap yields the earliest first.
#[derive(Debug)]
pub(crate) struct Scheduled {
    pub(crate) at: Time,
    pub(crate) order: u64,
    pub(crate) event: Event,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Scheduled) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Scheduled) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Scheduled) -> Ordering {
        (other.at, other.order).cmp(&(self.at, self.order))
    }
}
