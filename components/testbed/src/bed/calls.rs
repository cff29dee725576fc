//! Transport of calls: send, arrival, effect and answer, with timeouts.

use std::{net::SocketAddr, time::Duration};

use chervilgate_coord::{CallId, Change, ProbeReply, StoreCall, StoreReply};
use rand::RngExt;

use crate::{
    bed::{PendingWatch, StoreMode, Testbed, faults::AnswerFault, hosts::HostState},
    network::{HostId, Place, path_delay, store_delay},
    process::{Answer, Input, Output, Request},
    queue::Event,
    store::StoreOutcome,
};

/// Client timeout of a store call other than a watch.
const STORE_TIMEOUT: Duration = Duration::from_secs(1);

/// How long the store holds a watch open before it replies without changes.
const WATCH_HOLD_TIME: Duration = Duration::from_secs(10);

/// Client timeout of a watch.
const WATCH_TIMEOUT: Duration = Duration::from_secs(12);

/// Client timeout of an endpoint call.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Client timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Extra delay of a late answer: longer than every timeout except a watch's.
const LATE_ANSWER_DELAY: Duration = Duration::from_secs(4);

/// Extra delay of a late call: longer than its timeout, within `Timings::delivery_time`.
const LATE_CALL_DELAY: Duration = Duration::from_millis(2_500);

/// Extra delay of the second copy of a duplicated call or answer.
pub(super) const DUPLICATE_DELAY: Duration = Duration::from_millis(1_500);

/// How a sent call arrives: never, once, once but late, or twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Delivery {
    Never,
    Once,
    Late,
    Twice,
}

impl Testbed {
    /// Sends a call that has passed its last check and starts its timeout.
    pub(super) fn transmit(
        &mut self,
        host: HostId,
        generation: u64,
        output: Output,
        delivery: Delivery,
    ) {
        if self.hosts[host.0].generation != generation {
            return;
        }
        self.count(&output);
        self.start_timeout(host, generation, &output);
        let Some(to) = self.destination(&output) else {
            return;
        };
        if delivery == Delivery::Never || !self.network.connects(&Place::Host(host), &to) {
            return;
        }
        let delay = match to {
            Place::Store => store_delay(&mut self.rng, self.store_mode == StoreMode::Slow),
            Place::Host(_) | Place::Endpoint(_) => path_delay(&mut self.rng),
        };
        let Some(event) = self.arrival_event(host, generation, output) else {
            return;
        };
        let at = self.now + delay;
        match delivery {
            Delivery::Never => {}
            Delivery::Once => self.push(at, event),
            Delivery::Late => self.push(at + LATE_CALL_DELAY, event),
            Delivery::Twice => {
                self.push(at, event.clone());
                self.push(at + DUPLICATE_DELAY, event);
            }
        }
    }

    fn destination(&self, output: &Output) -> Option<Place> {
        match output {
            Output::Store { .. } => Some(Place::Store),
            Output::Call { endpoint, .. } => Some(Place::Endpoint(endpoint.clone())),
            Output::Probe { addr, .. } => self.host_at(*addr).map(Place::Host),
            Output::Peer { to, .. } => self.host_at(*to).map(Place::Host),
            Output::Record(_) | Output::Exit => None,
        }
    }

    fn arrival_event(&self, host: HostId, generation: u64, output: Output) -> Option<Event> {
        match output {
            Output::Store { id, call, .. } => {
                Some(Event::StoreCallArrives { host, generation, id, call })
            }
            Output::Call { id, endpoint, request, .. } => {
                Some(Event::EndpointCallArrives { host, generation, id, endpoint, request })
            }
            Output::Probe { id, addr, .. } => {
                Some(Event::ProbeArrives { host, generation, id, addr })
            }
            Output::Peer { to, body, .. } => {
                Some(Event::MessageArrives { from: self.hosts[host.0].addr, to, body })
            }
            Output::Record(_) | Output::Exit => None,
        }
    }

    pub(super) fn serve_store(
        &mut self,
        host: HostId,
        generation: u64,
        id: CallId,
        call: &StoreCall,
    ) {
        if self.store_mode == StoreMode::Down {
            self.reject_store_call(host, generation, id);
            return;
        }
        let before = self.store.version();
        match self.store.serve(call) {
            StoreOutcome::Reply(reply) => {
                if let (StoreCall::Put { key, value, .. }, StoreReply::Written(_)) = (call, &reply)
                {
                    self.record_write(key, value);
                }
                self.answer_store(host, generation, id, reply);
            }
            StoreOutcome::Pending { prefix, after } => {
                self.watches.push(PendingWatch { host, generation, id, prefix, after });
                self.push(self.now + WATCH_HOLD_TIME, Event::WatchExpires { host, generation, id });
            }
        }
        if self.store.version() != before {
            self.recheck_watches();
        }
    }

    pub(super) fn end_watch(&mut self, host: HostId, generation: u64, id: CallId) {
        let matches = |watch: &PendingWatch| {
            watch.host == host && watch.generation == generation && watch.id == id
        };
        let Some(position) = self.watches.iter().position(matches) else {
            return;
        };
        let watch = self.watches.swap_remove(position);
        let reply = StoreReply::Changed { changes: Vec::new(), version: watch.after };
        self.answer_store(host, generation, id, reply);
    }

    pub(super) fn serve_endpoint(
        &mut self,
        host: HostId,
        generation: u64,
        id: CallId,
        name: &str,
        request: &Request,
    ) {
        let Some(endpoint) = self.endpoints.get_mut(name) else {
            return;
        };
        let mut facts = Vec::new();
        let answer = endpoint.handle(self.now, request, &mut facts);
        for fact in facts {
            self.history.add(self.now, fact);
        }
        let Some(reply) = answer else {
            return;
        };
        let delay = path_delay(&mut self.rng);
        let input = Input::Answer { id, reply };
        self.push_answer(Place::Endpoint(name.to_owned()), host, generation, id, input, delay);
    }

    pub(super) fn answer_probe(
        &mut self,
        host: HostId,
        generation: u64,
        id: CallId,
        addr: SocketAddr,
    ) {
        let Some(probed) = self.host_at(addr) else {
            return;
        };
        if !self.network.connects(&Place::Host(host), &Place::Host(probed)) {
            return;
        }
        let reply = match self.hosts[probed.0].state {
            HostState::Up => ProbeReply::Answers(self.hosts[probed.0].incarnation),
            HostState::NoProcess => ProbeReply::Refused,
            HostState::Paused | HostState::Lost => return,
        };
        let delay = path_delay(&mut self.rng);
        let input = Input::Probe { id, reply };
        self.push_answer(Place::Host(probed), host, generation, id, input, delay);
    }

    pub(super) fn deliver_message(&mut self, from: SocketAddr, to: SocketAddr, body: Vec<u8>) {
        let (Some(sender), Some(host)) = (self.host_at(from), self.host_at(to)) else {
            return;
        };
        if self.network.connects(&Place::Host(sender), &Place::Host(host)) {
            let generation = self.hosts[host.0].generation;
            self.deliver(host, generation, Input::Peer { from, body });
        }
    }

    pub(super) fn expire(&mut self, host: HostId, generation: u64, id: CallId) {
        let Some(Event::Deliver { input, .. }) = self.timeouts.remove(&(host, generation, id))
        else {
            return;
        };
        self.deliver(host, generation, input);
    }

    fn start_timeout(&mut self, host: HostId, generation: u64, output: &Output) {
        let Some((id, timeout, input)) = timeout_of(output) else {
            return;
        };
        self.timeouts.insert((host, generation, id), Event::Deliver { host, generation, input });
        self.push(self.now + timeout, Event::CallTimesOut { host, generation, id });
    }

    fn answer_store(&mut self, host: HostId, generation: u64, id: CallId, reply: StoreReply) {
        self.counts.bytes += reply_bytes(&reply);
        let delay = store_delay(&mut self.rng, self.store_mode == StoreMode::Slow);
        let input = Input::Store { id, reply };
        self.push_answer(Place::Store, host, generation, id, input, delay);
    }

    fn push_answer(
        &mut self,
        from: Place,
        host: HostId,
        generation: u64,
        id: CallId,
        input: Input,
        delay: Duration,
    ) {
        let at = self.now + delay;
        let answer = Event::Answer { from, host, generation, id, input };
        match self.answer_faults.remove(&(host, generation, id)) {
            None => self.push(at, answer),
            Some(AnswerFault::Lost) => {}
            Some(AnswerFault::Duplicated) => {
                self.push(at, answer.clone());
                self.push(at + DUPLICATE_DELAY, answer);
            }
            Some(AnswerFault::Late) => self.push(at + LATE_ANSWER_DELAY, answer),
        }
    }

    fn reject_store_call(&mut self, host: HostId, generation: u64, id: CallId) {
        if self.rng.random_bool(0.5) {
            self.answer_store(host, generation, id, StoreReply::Refused);
        }
    }

    fn recheck_watches(&mut self) {
        let pending = std::mem::take(&mut self.watches);
        for watch in pending {
            let call = StoreCall::Watch { prefix: watch.prefix.clone(), after: watch.after };
            match self.store.serve(&call) {
                StoreOutcome::Pending { .. } => self.watches.push(watch),
                StoreOutcome::Reply(reply) => {
                    self.answer_store(watch.host, watch.generation, watch.id, reply)
                }
            }
        }
    }

    fn record_write(&mut self, key: &str, value: &[u8]) {
        let Some(fact) = self.recorder.as_ref().and_then(|recorder| recorder(key, value)) else {
            return;
        };
        self.history.add(self.now, fact);
    }

    fn count(&mut self, output: &Output) {
        match output {
            Output::Store { call, .. } => self.count_store(call),
            Output::Call { .. } => self.counts.calls += 1,
            Output::Probe { .. } => self.counts.probes += 1,
            Output::Peer { .. } => self.counts.messages += 1,
            Output::Record(_) | Output::Exit => {}
        }
    }

    fn count_store(&mut self, call: &StoreCall) {
        let bytes = match call {
            StoreCall::Get { key } | StoreCall::List { prefix: key } => key.len(),
            StoreCall::Watch { prefix, .. } => prefix.len(),
            StoreCall::Put { key, value, .. } => key.len() + value.len(),
            StoreCall::Delete { key, .. } => key.len(),
        };
        self.counts.bytes += bytes as u64;
        match call {
            StoreCall::Put { .. } | StoreCall::Delete { .. } => self.counts.writes += 1,
            StoreCall::Get { .. } | StoreCall::List { .. } | StoreCall::Watch { .. } => {
                self.counts.reads += 1;
            }
        }
    }
}

/// The timeout of an output that expects an answer, and the input that its caller
/// gets when the timeout fires.
fn timeout_of(output: &Output) -> Option<(CallId, Duration, Input)> {
    match output {
        Output::Store { id, call, .. } => {
            let is_watch = matches!(call, StoreCall::Watch { .. });
            let timeout = if is_watch { WATCH_TIMEOUT } else { STORE_TIMEOUT };
            Some((*id, timeout, Input::Store { id: *id, reply: StoreReply::Unknown }))
        }
        Output::Call { id, .. } => {
            Some((*id, CALL_TIMEOUT, Input::Answer { id: *id, reply: Answer::Unknown }))
        }
        Output::Probe { id, .. } => {
            Some((*id, PROBE_TIMEOUT, Input::Probe { id: *id, reply: ProbeReply::Silent }))
        }
        Output::Peer { .. } | Output::Record(_) | Output::Exit => None,
    }
}

fn reply_bytes(reply: &StoreReply) -> u64 {
    let object_bytes = |object: &chervilgate_coord::Object| object.key.len() + object.value.len();
    let bytes = match reply {
        StoreReply::Found(object) | StoreReply::Conflict(object) => {
            object.as_ref().map_or(0, object_bytes)
        }
        StoreReply::Listed { objects, .. } => objects.iter().map(object_bytes).sum(),
        StoreReply::Changed { changes, .. } => changes
            .iter()
            .map(|change| match change {
                Change::Put(object) => object_bytes(object),
                Change::Delete { key, .. } => key.len(),
            })
            .sum(),
        StoreReply::Written(_)
        | StoreReply::Compacted
        | StoreReply::Refused
        | StoreReply::Unknown => 0,
    };
    bytes as u64
}
