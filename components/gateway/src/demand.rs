//! Measures the work that callers ask of engines, and sums it up at the lease holder.
//!
//! Each host counts since its start and sends the totals to the holder, so that a lost datagram
//! only delays what it told. The holder takes the differences of two reports as rates.

use std::{
    collections::{HashMap, HashSet},
    sync::atomic::{AtomicBool, Ordering},
    time::Duration,
};

use chervilgate_clock::Time;
use chervilgate_policy::demand::Work;
use serde::{Deserialize, Serialize};

use crate::{
    fleet::{AttemptId, TargetEntry, TargetRole},
    hash::stable_hash,
    protocol::Prompt,
};

/// Maximum number of services in a report, so that it fits into one datagram.
pub(crate) const MAX_REPORTED_SERVICES: usize = 20;

/// Time for which a host's last report counts; after that it is scaled up from the others.
const REPORT_TTL: Duration = Duration::from_secs(3);

/// Shortest time between two reports from which a rate is taken.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(300);

/// Share of the hosts that are alive whose reports are enough to know the demand.
const MIN_HEARD_SHARE: f64 = 0.5;

/// Work since the start of a host, for one service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct WorkTotals {
    /// Identifies the service.
    pub service: u32,
    /// Prompt computation at prefill engines, in microseconds of the reference engine.
    pub prefill_us: u64,
    /// Prompt computation at decode engines, in microseconds of the reference engine there.
    pub decode_us: u64,
    /// Requests open at decode engines, in request-milliseconds.
    pub stream_ms: u64,
    /// KV tokens held at prefill engines, in token-seconds.
    pub prefill_tokens: u64,
    /// KV tokens held at decode engines, in token-seconds.
    pub decode_tokens: u64,
    /// Prompts to compute, placed or refused.
    pub prompts: u64,
    /// Prompts among them that were refused, or had to wait for long.
    pub waiting: u64,
}

/// What a host tells the lease holder. Services that do not fit are in further reports of the same
/// time; nothing is known of one that is in none.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct DemandReport {
    /// Gossip id of the sender.
    pub host: u32,
    /// The sender's monotonic clock, in microseconds.
    pub at: u64,
    /// Totals by service.
    pub services: Vec<WorkTotals>,
}

impl DemandReport {
    /// The reports of a host on `services`, also of those without work, each of which fits into one
    /// datagram.
    pub fn all<'a>(
        now: Time,
        host: u32,
        services: impl Iterator<Item = &'a str>,
        totals: &[WorkTotals],
    ) -> Vec<DemandReport> {
        let totals = |service: &str| {
            let service = service_hash(service);
            let known = totals.iter().find(|totals| totals.service == service).copied();
            known.unwrap_or(WorkTotals { service, ..WorkTotals::default() })
        };
        let totals: Vec<WorkTotals> = services.map(totals).collect();
        let parts = totals.chunks(MAX_REPORTED_SERVICES);
        let at = now.as_micros();
        parts.map(|part| DemandReport { host, at, services: part.to_vec() }).collect()
    }
}

/// Whether the long wait of a request was counted.
///
/// A prompt counts where it is computed. A request that is split over two engines may wait for both
/// and would count twice for one prompt.
#[derive(Debug, Default)]
pub struct WaitCount(AtomicBool);

impl WaitCount {
    /// Returns whether to count the wait of an attempt: `computes` is true if the attempt computes
    /// the prompt, `is_long` if it has to wait for long.
    pub fn should_count(&self, computes: bool, is_long: bool) -> bool {
        if computes {
            self.0.store(false, Ordering::Relaxed);
        }
        is_long && !self.0.swap(true, Ordering::Relaxed)
    }
}

/// A request in flight.
#[derive(Debug, Clone, Copy)]
struct OpenWork {
    service: u32,
    role: TargetRole,
    tokens: u32,
    since: Time,
}

/// Counts the work of this host's callers.
#[derive(Debug, Default)]
pub struct WorkMeter {
    totals: HashMap<u32, Work>,
    open: HashMap<u64, OpenWork>,
}

impl WorkMeter {
    /// Counts an attempt that was sent to `target`, on which the prompt takes `prompt_ms` of the
    /// reference engine. Returns the KV tokens that it may use there; none at targets that are no engines.
    pub fn start(
        &mut self,
        now: Time,
        attempt: AttemptId,
        target: &TargetEntry,
        prompt_ms: f64,
        prompt: &Prompt,
    ) -> u32 {
        let role = target.role;
        if role == TargetRole::Whole {
            return 0;
        }
        let service = service_hash(&target.service);
        self.count_prompt(service, role, prompt_ms);
        let tokens = prompt.tokens.saturating_add(prompt.max_output);
        self.open.insert(attempt.number(), OpenWork { service, role, tokens, since: now });
        tokens
    }

    /// Records that an attempt ended. Returns the KV tokens that it may have used.
    pub fn finish(&mut self, now: Time, attempt: AttemptId) -> u32 {
        let Some(open) = self.open.remove(&attempt.number()) else { return 0 };
        add_held(self.totals.entry(open.service).or_default(), now, &open);
        open.tokens
    }

    /// Counts a prompt that was refused.
    pub fn record_refused(&mut self, service: &str, role: TargetRole, prompt_ms: f64) {
        let service = service_hash(service);
        self.count_prompt(service, role, prompt_ms);
        self.totals.entry(service).or_default().waiting += 1.0;
    }

    /// Counts a prompt that was placed where it has to wait for long.
    pub fn record_wait(&mut self, service: &str) {
        self.totals.entry(service_hash(service)).or_default().waiting += 1.0;
    }

    /// Totals of all services up to now.
    pub fn totals(&self, now: Time) -> Vec<WorkTotals> {
        let mut totals = self.totals.clone();
        for open in self.open.values() {
            add_held(totals.entry(open.service).or_default(), now, open);
        }
        let mut totals: Vec<WorkTotals> =
            totals.into_iter().map(|(service, work)| encode_totals(service, &work)).collect();
        totals.sort_unstable_by_key(|totals| totals.service);
        totals
    }

    fn count_prompt(&mut self, service: u32, role: TargetRole, prompt_ms: f64) {
        let totals = self.totals.entry(service).or_default();
        if role == TargetRole::Prefill {
            totals.prefill_ms += prompt_ms;
        } else {
            totals.decode_ms += prompt_ms;
        }
        // A request that imports its KV cache was counted where its prompt was computed.
        totals.prompts += f64::from(u8::from(prompt_ms > 0.0));
    }
}

/// Adds the time for which a request was open.
fn add_held(totals: &mut Work, now: Time, open: &OpenWork) {
    let span = now.since(open.since).as_secs_f64();
    let tokens = f64::from(open.tokens) * span;
    if open.role == TargetRole::Prefill {
        totals.prefill_tokens += tokens;
    } else {
        totals.streams += span;
        totals.decode_tokens += tokens;
    }
}

fn encode_totals(service: u32, work: &Work) -> WorkTotals {
    WorkTotals {
        service,
        prefill_us: (work.prefill_ms * 1e3) as u64,
        decode_us: (work.decode_ms * 1e3) as u64,
        stream_ms: (work.streams * 1e3) as u64,
        prefill_tokens: work.prefill_tokens as u64,
        decode_tokens: work.decode_tokens as u64,
        prompts: work.prompts as u64,
        waiting: work.waiting as u64,
    }
}

/// Rates per second between two totals; none if they are not of one process.
fn rate_between(before: &WorkTotals, after: &WorkTotals, span: Duration) -> Option<Work> {
    let secs = span.as_secs_f64();
    let per_sec = |before: u64, after: u64| Some(after.checked_sub(before)? as f64 / secs);
    Some(Work {
        prefill_ms: per_sec(before.prefill_us, after.prefill_us)? / 1e3,
        decode_ms: per_sec(before.decode_us, after.decode_us)? / 1e3,
        streams: per_sec(before.stream_ms, after.stream_ms)? / 1e3,
        prefill_tokens: per_sec(before.prefill_tokens, after.prefill_tokens)?,
        decode_tokens: per_sec(before.decode_tokens, after.decode_tokens)?,
        prompts: per_sec(before.prompts, after.prompts)?,
        waiting: per_sec(before.waiting, after.waiting)?,
    })
}

/// What one host reported last of a service.
#[derive(Debug)]
struct HostDemand {
    received_at: Time,
    sent_at: u64,
    totals: WorkTotals,
    /// Work per second; none before a second report, and after a restart of the host.
    rate: Option<Work>,
}

impl HostDemand {
    fn is_recent(&self, now: Time) -> bool {
        now.since(self.received_at) < REPORT_TTL
    }

    fn update(&mut self, now: Time, sent_at: u64, totals: &WorkTotals) {
        let span = Duration::from_micros(sent_at.saturating_sub(self.sent_at));
        if span < MIN_REPORT_INTERVAL {
            return;
        }
        let rate = rate_between(&self.totals, totals, span);
        *self = HostDemand { received_at: now, sent_at, totals: *totals, rate };
    }
}

/// The work that hosts reported to the lease holder.
#[derive(Debug, Default)]
pub struct ReportedDemand {
    /// By service and host.
    services: HashMap<u32, HashMap<u32, HostDemand>>,
}

impl ReportedDemand {
    /// Records a host's report; one that was overtaken is ignored.
    pub fn record(&mut self, now: Time, report: &DemandReport) {
        for totals in &report.services {
            let hosts = self.services.entry(totals.service).or_default();
            match hosts.get_mut(&report.host).filter(|host| host.is_recent(now)) {
                Some(host) => host.update(now, report.at, totals),
                None => {
                    let (sent_at, totals) = (report.at, *totals);
                    let host = HostDemand { received_at: now, sent_at, totals, rate: None };
                    hosts.insert(report.host, host);
                }
            }
        }
    }

    /// The rate of work of all hosts per second, of which `alive` are alive; none if too few have
    /// reported. Work of hosts that have not is estimated from the others'.
    pub fn rate(&mut self, now: Time, service: &str, alive: usize) -> Option<Work> {
        let hosts = self.services.get_mut(&service_hash(service))?;
        hosts.retain(|_, host| host.is_recent(now));
        let mut heard = 0;
        let mut sum = Work::default();
        for rate in hosts.values().filter_map(|host| host.rate) {
            heard += 1;
            sum += rate;
        }
        if heard == 0 || f64::from(heard) < alive as f64 * MIN_HEARD_SHARE {
            return None;
        }
        Some(sum * (alive as f64 / f64::from(heard)).max(1.0))
    }

    /// Drops what was reported of other services.
    pub fn retain_services<'a>(&mut self, services: impl Iterator<Item = &'a str>) {
        let kept: HashSet<u32> = services.map(service_hash).collect();
        self.services.retain(|service, _| kept.contains(service));
    }
}

fn service_hash(service: &str) -> u32 {
    stable_hash(&service) as u32
}
