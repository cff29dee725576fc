//! Work in flight that other hosts report, summed up by target.

use std::{collections::HashMap, time::Duration};

use chervilgate_clock::Time;
use serde::{Deserialize, Serialize};

/// Time for which another host's report counts.
const WORK_TTL: Duration = Duration::from_millis(1_500);

/// One host's work in flight on one target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct InFlightWork {
    /// Hash of the target's id.
    pub target: u32,
    /// Prompt computation that is not finished, in milliseconds.
    pub pending: u16,
    /// Number of requests in flight.
    pub open: u16,
    /// Recent failure rate in percent; zero if it is too low to report.
    pub failing: u8,
}

/// KV tokens of one host's requests in flight on one engine: their prompts and the most that they may
/// generate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct KvTokens {
    /// Hash of the engine's id.
    pub target: u32,
    /// Number of tokens.
    pub tokens: u32,
}

/// Sum of the other hosts' work in flight on one target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(super) struct PeerLoad {
    /// Number of requests in flight.
    pub(super) in_flight: u32,
    /// Prompt computation that is not finished, in milliseconds.
    pub(super) pending_ms: u32,
    /// Sum of the hosts' failure rates, in percent.
    pub(super) failure_percent: u32,
    /// KV tokens of the requests in flight.
    pub(super) kv_tokens: u64,
}

/// The latest reports of each other host.
#[derive(Debug, Default)]
pub(super) struct PeerLoads {
    hosts: HashMap<u32, (Time, Vec<InFlightWork>)>,
    /// KV tokens, which come in messages of their own.
    tokens: HashMap<u32, (Time, Vec<KvTokens>)>,
    loads: HashMap<u32, PeerLoad>,
}

impl PeerLoads {
    /// Replaces a host's previous report and drops expired ones.
    pub(super) fn update(&mut self, now: Time, host: u32, work: Vec<InFlightWork>) {
        self.add(&work);
        if let Some((_, before)) = self.hosts.insert(host, (now, work)) {
            self.subtract(&before);
        }
        self.expire(now);
    }

    /// Replaces a host's previous report of KV tokens.
    pub(super) fn update_tokens(&mut self, now: Time, host: u32, tokens: Vec<KvTokens>) {
        for KvTokens { target, tokens } in &tokens {
            self.loads.entry(*target).or_default().kv_tokens += u64::from(*tokens);
        }
        let before = if tokens.is_empty() {
            self.tokens.remove(&host)
        } else {
            self.tokens.insert(host, (now, tokens))
        };
        if let Some((_, before)) = before {
            self.subtract_tokens(&before);
        }
    }

    /// Drops expired reports: of hosts that are not heard from, nothing is known.
    pub(super) fn expire(&mut self, now: Time) {
        let old = self.hosts.extract_if(|_, (at, _)| now.since(*at) >= WORK_TTL);
        for (_, (_, work)) in old.collect::<Vec<_>>() {
            self.subtract(&work);
        }
        let old = self.tokens.extract_if(|_, (at, _)| now.since(*at) >= WORK_TTL);
        for (_, (_, tokens)) in old.collect::<Vec<_>>() {
            self.subtract_tokens(&tokens);
        }
    }

    /// Work in flight on the target with the id hash `key`.
    pub(super) fn load(&self, key: u32) -> PeerLoad {
        self.loads.get(&key).copied().unwrap_or_default()
    }

    fn add(&mut self, work: &[InFlightWork]) {
        for work in work {
            let load = self.loads.entry(work.target).or_default();
            load.in_flight += u32::from(work.open);
            load.pending_ms += u32::from(work.pending);
            load.failure_percent += u32::from(work.failing);
        }
    }

    fn subtract(&mut self, work: &[InFlightWork]) {
        for work in work {
            self.reduce(work.target, |load| {
                load.in_flight = load.in_flight.saturating_sub(u32::from(work.open));
                load.pending_ms = load.pending_ms.saturating_sub(u32::from(work.pending));
                load.failure_percent = load.failure_percent.saturating_sub(u32::from(work.failing));
            });
        }
    }

    fn subtract_tokens(&mut self, tokens: &[KvTokens]) {
        for KvTokens { target, tokens } in tokens {
            let tokens = u64::from(*tokens);
            self.reduce(*target, |load| load.kv_tokens = load.kv_tokens.saturating_sub(tokens));
        }
    }

    /// Changes the load of a target, which is forgotten once it is zero.
    fn reduce(&mut self, target: u32, change: impl FnOnce(&mut PeerLoad)) {
        let Some(load) = self.loads.get_mut(&target) else { return };
        change(load);
        if *load == PeerLoad::default() {
            self.loads.remove(&target);
        }
    }
}
