//! Gossip between hosts: liveness and the work they have in flight on targets.
//!
//! A lost or late datagram only worsens an estimate of a target's queue, so UDP is
//! enough. Each round goes to a few hosts in rotation, so that its cost does not grow
//! with the number of hosts. A long prompt delays the next requests on its target, so
//! its start and end are broadcast to all hosts at once, within a bound. That the store has come back from an older
//! copy is passed on by each host that hears of it.

mod datagram;
mod feed;
mod kv_tokens;
mod news;
mod origins;
mod pace;
mod quota;
mod receive;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use rand::seq::{IndexedRandom, SliceRandom};
use serde::{Deserialize, Serialize};
use tokio::{
    net::UdpSocket,
    time::{sleep, timeout},
};

pub(crate) use self::{
    feed::{pass_changes, request_changes},
    news::{send_latest_changes, send_store_era},
    origins::send_origins,
    quota::{
        OwnerNotice, OwnerRotation, QuotaAsk, QuotaReturn, announce_owner, ask_quota,
        candidate_key, return_quota,
    },
    receive::receive,
};
use crate::{
    admission::WaitingCount,
    demand::DemandReport,
    fleet::{
        CachedPart, EndNotice, GroupReport, InFlightWork, KvTokens, LifeNotice, LimitNotice,
        OutcomeNotice, PastEnd, TargetSpeedReport,
    },
    gossip::datagram::{
        encode, encode_evidence, encode_limits, encode_outcomes, encode_report,
        encode_target_speeds,
    },
    gossip::kv_tokens::{append, encode_kv_tokens},
    gossip::news::{LatestChanges, ProgressReply},
    gossip::pace::{FANOUT, Pace, ROUND_INTERVAL, Reach},
    gossip::quota::{QuotaAnswer, QuotaTooLarge},
    origins::{OriginAnswer, OriginNotice, OriginQuestion, StreamKey},
    poison::{CrashEvidence, FailedRun},
    state::Shared,
    target_feed::{FeedRequest, PassedChanges},
    usage::PeerWindow,
    view::{Confirmation, ConfirmationRequest},
};

#[cfg(test)]
mod tests;

/// Length of a cycle of rounds while no work is in flight; the first two rounds of each
/// cycle are sent.
const IDLE_ROUND_CYCLE: u32 = 4;

/// Number of rounds in which hosts are told that no request waits any more: what they were told
/// before counts for no longer.
const CLEARING_ROUNDS: u32 = 15;

/// Interval at which usage counts are sent to the lease holder: a killed host loses
/// what it counted since.
const COUNTS_INTERVAL: Duration = Duration::from_millis(800);

/// Interval at which a host has a poller confirm its configuration.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(700);

/// The same while its configuration was never confirmed.
const FIRST_CONFIRM_INTERVAL: Duration = Duration::from_millis(100);

/// Interval at which what was seen of the targets' speeds is applied and sent.
const SPEEDS_INTERVAL: Duration = Duration::from_secs(1);

/// Number of hosts that receive it; what a single host has seen changes little.
const SPEEDS_FANOUT: usize = 4;

/// Minimum interval between broadcasts to all hosts.
const MIN_BROADCAST_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum number of failed runs in a message, so that it fits into one datagram.
const MAX_FAILED_RUNS: usize = 60;

/// Headers of a datagram on the wire.
const HEADER_BYTES: usize = 28;

/// Maximum size of a datagram.
const MAX_DATAGRAM_BYTES: usize = 1_400;

/// Content of a datagram.
#[derive(Serialize, Deserialize)]
enum Message {
    Work(WorkReport),
    Window(PeerWindow),
    Confirm(ConfirmationRequest),
    Confirmed(Confirmation),
    Speeds(SpeedMessage),
    /// Era of the store that the sender has seen or heard of.
    StoreEra(u64),
    Crashes(CrashEvidence),
    LatestChanges(LatestChanges),
    Progress(ProgressReply),
    Limits(Vec<LimitNotice>),
    /// Which software versions began streams.
    Origins(Vec<OriginNotice>),
    OriginAsked(OriginQuestion),
    OriginAnswered(StreamKey, OriginAnswer),
    /// Known failed runs, with the milliseconds since each.
    FailedRuns(Vec<(u32, FailedRun)>),
    /// Starts of targets that the sender has seen end.
    Ends(Vec<EndNotice>),
    /// Work of the sender's callers, for the lease holder.
    Demand(DemandReport),
    QuotaAsked(QuotaAsk),
    QuotaAnswered(QuotaAnswer),
    QuotaOwner(OwnerNotice),
    Outcomes(OutcomeMessage),
    /// Requests that wait at the sender, whose gossip id comes first.
    Waiting(u32, Vec<WaitingCount>),
    TargetSpeeds(TargetSpeedMessage),
    /// KV tokens of the sender's requests in flight, whose gossip id comes first.
    KvTokens(u32, Vec<KvTokens>),
    /// Ends of targets, for hosts that have started since.
    PastEnds(Vec<PastEnd>),
    TargetChanges(PassedChanges),
    TargetChangesAsked(FeedRequest),
    QuotaReturned(QuotaReturn),
    /// An ask is for more than a bucket can grant until it is settled. The usual answer follows, for hosts
    /// that do not know this one.
    QuotaTooLarge(QuotaTooLarge),
    /// Starts of targets that go on, though hosts have told of their ends.
    Lives(Vec<LifeNotice>),
    /// The process with this gossip id has not begun a stream that it was asked for.
    OriginDenied(StreamKey, u32),
}

/// What a host has seen of targets with failures.
#[derive(Serialize, Deserialize)]
struct OutcomeMessage {
    /// Gossip id of the sender.
    host: u32,
    outcomes: Vec<OutcomeNotice>,
}

/// What a host has seen of the targets' speeds.
#[derive(Serialize, Deserialize)]
struct SpeedMessage {
    /// Gossip id of the sender.
    host: u32,
    speeds: Vec<GroupReport>,
}

/// What a host has seen of single targets' speeds.
#[derive(Serialize, Deserialize)]
struct TargetSpeedMessage {
    /// Gossip id of the sender.
    host: u32,
    speeds: Vec<TargetSpeedReport>,
}

#[derive(Serialize, Deserialize)]
struct WorkReport {
    /// Gossip id of the sender.
    host: u32,
    /// The sender's wall clock, in microseconds since 1970.
    time: u64,
    /// Whether the sender holds the duty lease.
    in_charge: bool,
    work: Vec<InFlightWork>,
    /// Prompt parts that the sender placed on targets within one rotation.
    parts: Vec<CachedPart>,
    /// Recent failed runs on any host.
    broken: Vec<FailedRun>,
}

/// Sends this host's work in flight to other hosts.
pub(crate) async fn send_work(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    let host = shared.gossip_id();
    let mut idle_rounds = 0;
    let mut rounds_without_waiting = u32::MAX;
    let mut rotation = PeerRotation::default();
    let mut pace = Pace::new(shared.now());
    loop {
        sleep(MIN_BROADCAST_INTERVAL).await;
        let is_urgent =
            timeout(ROUND_INTERVAL - MIN_BROADCAST_INTERVAL, shared.broadcast.notified())
                .await
                .is_ok();
        correct_clock(&shared);
        let now = shared.now();
        let reach = pace.next(now, is_urgent);
        if is_urgent {
            shared.metrics.count_broadcast(reach == Reach::All);
        }
        if reach == Reach::None {
            continue;
        }
        let time = shared.wall_clock().at(now).as_micros() as u64;
        let kv_tokens = encode_kv_tokens(&shared, now);
        let (work, parts, failed_runs, evidence, limits, outcomes, waiting, peers, in_charge) = {
            let mut state = shared.state();
            let failed_runs = state.poison.runs_to_gossip(now);
            let peers = state.membership.gossip_addrs();
            let span = rotation_time(peers.len());
            let parts = state.fleet.recent_parts(now, span);
            let outcomes = state.fleet.outcome_notices(now, span);
            let evidence = state.poison.evidence_to_gossip(now);
            let work = state.fleet.in_flight_work(now);
            let limits = state.fleet.limit_notices(now, true);
            let waiting = state.admission.report();
            let in_charge = state.holds_lease;
            (work, parts, failed_runs, evidence, limits, outcomes, waiting, peers, in_charge)
        };
        rounds_without_waiting =
            if waiting.is_empty() { rounds_without_waiting.saturating_add(1) } else { 0 };
        // Hosts that were told of waiting requests are told that none wait any more.
        let waiting = (rounds_without_waiting <= CLEARING_ROUNDS)
            .then(|| encode(&Message::Waiting(host, waiting)))
            .flatten();
        let evidence = encode_evidence(evidence);
        let limits = encode_limits(limits);
        let outcomes = encode_outcomes(host, outcomes);
        // The first empty round clears what was sent last; later ones only show that this host is
        // alive.
        let is_idle = work.is_empty() && parts.is_empty() && failed_runs.is_empty();
        let is_idle = is_idle && limits.is_none() && outcomes.is_none() && waiting.is_none();
        idle_rounds = if is_idle && evidence.is_none() { idle_rounds + 1 } else { 0 };
        if idle_rounds % IDLE_ROUND_CYCLE > 1 && !is_urgent {
            continue;
        }
        let report = WorkReport { host, time, in_charge, work, parts, broken: failed_runs };
        let Some(mut datagram) = encode_report(report) else { continue };
        let kv_tokens = append(&mut datagram, kv_tokens);
        let recipients = if reach == Reach::All {
            shared.state().fleet.clear_sent_parts();
            peers
        } else {
            rotation.next(peers, FANOUT)
        };
        let datagrams = [
            Some(&datagram),
            kv_tokens.as_ref(),
            evidence.as_ref(),
            limits.as_ref(),
            outcomes.as_ref(),
            waiting.as_ref(),
        ];
        if reach == Reach::All {
            let bytes: usize =
                datagrams.iter().flatten().map(|bytes| bytes.len() + HEADER_BYTES).sum();
            pace.record_broadcast(bytes * recipients.len());
        }
        for peer in recipients {
            for datagram in datagrams.into_iter().flatten() {
                send_datagram(&socket, datagram, peer).await;
            }
        }
    }
}

/// Sends what this host has seen of the targets' speeds, and the failed runs, crashes and limits of
/// targets that it knows of, to a few hosts in rotation: one that has just started hears of them so.
pub(crate) async fn send_speeds(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    let mut rotation = PeerRotation::default();
    loop {
        let due = shared.now() + SPEEDS_INTERVAL;
        sleep(SPEEDS_INTERVAL).await;
        let now = shared.now();
        shared.record_delay(now.since(due));
        let (speeds, target_speeds, failed_runs, evidence, limits, ends, lives, peers) = {
            let state = &mut *shared.state();
            let own = (!state.leaving).then_some(&*shared.settings.name);
            state.fleet.set_hosts(now, own, state.membership.live_names(now));
            state.share_repeats(now, &shared.settings.name);
            state.fleet.update_speeds(now);
            let mut failed_runs = state.poison.all_runs(now);
            failed_runs.truncate(MAX_FAILED_RUNS);
            let evidence = state.poison.all_evidence(now);
            let limits = state.fleet.limit_notices(now, false);
            let (speeds, peers) = (state.fleet.speed_reports(now), state.membership.gossip_addrs());
            let target_speeds = state.fleet.target_speed_reports(now);
            let (ends, lives) = (state.fleet.past_ends(now), state.fleet.past_lives(now));
            (speeds, target_speeds, failed_runs, evidence, limits, ends, lives, peers)
        };
        let message = (!speeds.is_empty())
            .then(|| Message::Speeds(SpeedMessage { host: shared.gossip_id(), speeds }));
        let message = message.as_ref().and_then(encode);
        let target_speeds = encode_target_speeds(shared.gossip_id(), target_speeds);
        let failed_runs = (!failed_runs.is_empty()).then_some(Message::FailedRuns(failed_runs));
        let failed_runs = failed_runs.as_ref().and_then(encode);
        let (evidence, limits) = (encode_evidence(evidence), encode_limits(limits));
        let ends = (!ends.is_empty()).then_some(Message::PastEnds(ends));
        let ends = ends.as_ref().and_then(encode);
        let lives = (!lives.is_empty()).then_some(Message::Lives(lives));
        let lives = lives.as_ref().and_then(encode);
        let datagrams = [message, target_speeds, failed_runs, evidence, limits, ends, lives];
        for peer in rotation.next(peers, SPEEDS_FANOUT) {
            for datagram in datagrams.iter().flatten() {
                send_datagram(&socket, datagram, peer).await;
            }
        }
    }
}

/// Has a poller confirm this host's configuration, again and again.
pub(crate) async fn request_confirmations(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    loop {
        let is_first = shared.state().view.is_unconfirmed();
        sleep(if is_first { FIRST_CONFIRM_INTERVAL } else { CONFIRM_INTERVAL }).await;
        let now = shared.now();
        let pollers = shared.state().membership.pollers(now);
        // Pollers ask each other, too: one that started with an older copy hears of it.
        let Some(poller) = pollers.addrs.choose(&mut rand::rng()) else { continue };
        let request = ConfirmationRequest { host: shared.gossip_id(), sent: now.as_micros() };
        send(&socket, &Message::Confirm(request), *poller).await;
    }
}

/// Sends a message to one host; a failure is only logged, since the next message replaces it.
async fn send(socket: &UdpSocket, message: &Message, to: SocketAddr) {
    if let Some(datagram) = encode(message) {
        send_datagram(socket, &datagram, to).await;
    }
}

async fn send_datagram(socket: &UdpSocket, datagram: &[u8], to: SocketAddr) {
    if let Err(error) = socket.send_to(datagram, to).await {
        log::debug!(target: "gossip", to:%, error:%; "gossip not sent");
    }
}

/// Time in which each of `peers` hosts receives a round, plus one round to spare.
fn rotation_time(peers: usize) -> Duration {
    ROUND_INTERVAL * u32::try_from(peers.div_ceil(FANOUT) + 1).unwrap_or(u32::MAX)
}

/// Picks the hosts for each round in rotation.
#[derive(Default)]
struct PeerRotation {
    remaining: Vec<SocketAddr>,
}

impl PeerRotation {
    /// Picks `fanout` hosts of this round from `peers`.
    fn next(&mut self, mut peers: Vec<SocketAddr>, fanout: usize) -> Vec<SocketAddr> {
        if peers.len() <= fanout {
            return peers;
        }
        if self.remaining.len() < fanout {
            peers.shuffle(&mut rand::rng());
            self.remaining.extend(peers);
        }
        self.remaining.drain(..fanout).collect()
    }
}

/// Sends this host's usage counts to the lease holder.
pub(crate) async fn send_counts(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    loop {
        sleep(COUNTS_INTERVAL).await;
        let now = shared.now();
        let Some(holder) = shared.holder_addr(now) else { continue };
        let current = shared.wall_clock().window(now, shared.settings.bounds.window);
        let windows: Vec<PeerWindow> =
            shared.state().meter.recent_windows(&shared.settings.name, current).collect();
        for window in windows {
            send(&socket, &Message::Window(window), holder).await;
        }
        let reports = shared.state().demand_reports(now, shared.gossip_id());
        for report in reports {
            send(&socket, &Message::Demand(report), holder).await;
        }
    }
}

/// Corrects this host's wall clock if most other hosts disagree with it.
fn correct_clock(shared: &Shared) {
    let now = shared.now();
    let mut times = shared.state().membership.clock_offsets(now);
    let shift = shared.wall_clock().correct(now, &mut times);
    if let Some(shift) = shift {
        log::warn!(target: "usage", shift_ms = shift / 1_000; "true time set right");
        shared.state().membership.clear_clock_offsets();
    }
}
