//! What hosts tell each other of the store: that it has come back from an older copy, the latest
//! changes there, and up to which change a poller has read.

use std::sync::Arc;

use chervilgate_clock::Time;
use chervilgate_coord::Version;
use rand::seq::SliceRandom;
use serde::{Deserialize, Serialize};
use tokio::{net::UdpSocket, time::sleep};

use crate::{
    freshness::{Progress, Reads},
    gossip::{FANOUT, Message, ROUND_INTERVAL, send},
    state::Shared,
    view::ConfirmationRequest,
};

/// Number of rounds in which a host tells others of a new era of the store, or of a change there.
const NEWS_ROUNDS: u32 = 4;

/// Versions of the latest changes that the sender has read or heard of.
#[derive(Serialize, Deserialize)]
pub(super) struct LatestChanges {
    config: Version,
    targets: Version,
}

/// What a host that was asked for a confirmation has read of the store.
#[derive(Serialize, Deserialize)]
pub(super) struct ProgressReply {
    request: ConfirmationRequest,
    config: Option<Progress>,
    targets: Option<Progress>,
}

/// Tells other hosts when the store has come back from an older copy. Each host passes it on, so
/// that it reaches all of them within a few rounds.
pub(crate) async fn send_store_era(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    let mut latest = shared.store_era.subscribe();
    while latest.changed().await.is_ok() {
        let message = Message::StoreEra(*latest.borrow_and_update());
        for _ in 0..NEWS_ROUNDS {
            send_to_some(&shared, &socket, &message).await;
            sleep(ROUND_INTERVAL).await;
        }
    }
}

/// Tells other hosts of the latest changes in the store, whose watches may have missed them. Each
/// host passes it on, so that it reaches all of them within a few rounds.
pub(crate) async fn send_latest_changes(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    loop {
        shared.change_known.notified().await;
        for _ in 0..NEWS_ROUNDS {
            let message = {
                let Reads { config, targets } = &shared.state().reads;
                let (config, targets) = (config.latest(), targets.latest());
                Message::LatestChanges(LatestChanges { config, targets })
            };
            send_to_some(&shared, &socket, &message).await;
            sleep(ROUND_INTERVAL).await;
        }
    }
}

/// Sends a message to a few hosts, chosen at random.
async fn send_to_some(shared: &Shared, socket: &UdpSocket, message: &Message) {
    let mut peers = shared.state().membership.gossip_addrs();
    peers.shuffle(&mut rand::rng());
    for peer in peers.into_iter().take(FANOUT) {
        send(socket, message, peer).await;
    }
}

/// Applies a poller's reply about what it has read, if it is to a request of this process.
pub(super) fn apply_progress(shared: &Shared, now: Time, reply: &ProgressReply) {
    let asked = Time::from_micros(reply.request.sent);
    if reply.request.host != shared.gossip_id() || asked > now {
        return;
    }
    let reads = &mut shared.state().reads;
    let mut is_later = false;
    if let Some(progress) = &reply.config {
        is_later |= reads.config.apply_progress(now, asked, progress);
    }
    if let Some(progress) = &reply.targets {
        is_later |= reads.targets.apply_progress(now, asked, progress);
    }
    notify_of_changes(shared, reads, is_later);
}

/// Has watches look whether they are overdue, and other hosts told if a change `is_later` than those
/// known before.
pub(super) fn notify_of_changes(shared: &Shared, reads: &Reads, is_later: bool) {
    if reads.config.is_behind() || reads.targets.is_behind() {
        shared.change_missed.notify_waiters();
    }
    if is_later {
        shared.change_known.notify_one();
    }
}

/// What this host has read, for a host that asks.
pub(super) fn progress_reply(
    shared: &Shared,
    now: Time,
    request: ConfirmationRequest,
) -> ProgressReply {
    let Reads { config, targets } = &shared.state().reads;
    ProgressReply { request, config: config.progress(now), targets: targets.progress(now) }
}

/// Records the latest changes that another host knows of.
pub(super) fn apply_latest_changes(shared: &Shared, now: Time, latest: &LatestChanges) {
    let reads = &mut shared.state().reads;
    let is_later = reads.config.hear(now, latest.config) | reads.targets.hear(now, latest.targets);
    notify_of_changes(shared, reads, is_later);
}
