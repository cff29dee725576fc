//! Passes changes of the targets on to other hosts, and asks pollers for those that are missing.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use rand::seq::IndexedRandom;
use tokio::{net::UdpSocket, time::timeout};

use crate::{
    gossip::{MAX_DATAGRAM_BYTES, Message, encode, news::notify_of_changes, send, send_datagram},
    metrics::ChangeSource,
    state::{Shared, State},
    target_feed::{Applied, FeedRequest, PassedChanges},
    watch::TargetWatch,
};

/// Maximum bytes that a poller sends to all hosts for one batch of changes, some 0.2 s of a link of
/// 10 Mbit/s. Hosts read larger batches from the store, as one call brings all of it.
const MAX_BATCH_BYTES: usize = 256 << 10;

/// Sends the changes that this host reads as a poller to the hosts that follow it.
pub(crate) async fn pass_changes(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    loop {
        shared.changes_read.notified().await;
        let now = shared.now();
        let era = *shared.store_era.borrow();
        let (news, followers) = {
            let State { membership, feed, .. } = &mut *shared.state();
            let followers = membership.followers(now);
            let datagrams = MAX_BATCH_BYTES / MAX_DATAGRAM_BYTES / followers.len().max(1);
            (feed.take_news(era, datagrams), followers)
        };
        let datagrams: Vec<Vec<u8>> =
            news.into_iter().filter_map(|passed| encode(&Message::TargetChanges(passed))).collect();
        for follower in &followers {
            for datagram in &datagrams {
                send_datagram(&socket, datagram, *follower).await;
            }
        }
        shared.metrics.feed.count_passed(followers.len() * datagrams.len());
    }
}

/// Asks pollers for changes while this host follows them: at intervals, which also shows that they are
/// alive, and when a change is known to be missing.
pub(crate) async fn request_changes(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    loop {
        let now = shared.now();
        let (request, poller, pause) = {
            let State { membership, feed, reads, .. } = &mut *shared.state();
            let request = feed.next_request(now, shared.gossip_id(), &reads.targets);
            let pollers = request.map(|_| membership.pollers(now).addrs).unwrap_or_default();
            let poller = pollers.choose(&mut rand::rng()).copied();
            (request, poller, feed.ask_pause(now))
        };
        if let (Some(request), Some(poller)) = (request, poller) {
            send(&socket, &Message::TargetChangesAsked(request), poller).await;
        }
        wait(&shared, pause).await;
    }
}

/// Waits until `pause` is over, a change is known to be missing, or this host begins to follow.
async fn wait(shared: &Shared, pause: Duration) {
    let event = async {
        tokio::select! {
            () = shared.change_missed.notified() => {}
            () = shared.feed_followed.notified() => {}
        }
    };
    // Without an event it is time to ask again.
    timeout(pause, event).await.ok();
}

/// Answers another host's question with what this one knows.
pub(super) async fn answer_request(
    shared: &Shared,
    socket: &UdpSocket,
    question: FeedRequest,
    from: SocketAddr,
) {
    let now = shared.now();
    let era = *shared.store_era.borrow();
    let answer = {
        let State { store_down, feed, reads, .. } = &mut *shared.state();
        // An answer tells the other host that it need not read the store, which a host that has lost
        // the store cannot know.
        if *store_down { Vec::new() } else { feed.answer(now, era, &question, &reads.targets) }
    };
    for passed in answer {
        send(socket, &Message::TargetChanges(passed), from).await;
    }
}

/// Applies changes that another host passed on.
pub(super) fn apply_changes(shared: &Shared, passed: PassedChanges) {
    let now = shared.now();
    let era = *shared.store_era.borrow();
    let watch = TargetWatch { prefix: shared.decoder.target_prefix().to_owned() };
    let Applied { changes, is_later, has_gap } = {
        // Under one lock, as others must not see the position without its changes.
        let state = &mut *shared.state();
        let State { feed, reads, .. } = state;
        let applied = feed.apply(now, shared.gossip_id(), era, passed, &mut reads.targets);
        for change in &applied.changes {
            watch.apply(shared, state, now, change);
        }
        applied
    };
    shared.metrics.feed.count_changes(ChangeSource::Datagram, changes.len());
    if has_gap {
        shared.metrics.feed.count_gap();
    }
    if !changes.is_empty() {
        log::info!(target: "store", count = changes.len(); "changes of targets passed on");
        shared.origin_settled.notify_waiters();
    }
    notify_of_changes(shared, &shared.state().reads, is_later);
}
