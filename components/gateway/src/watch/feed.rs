//! Leaves the targets' watch out while other hosts pass the changes on.

use std::time::Duration;

use tokio::time::timeout;

use crate::{
    state::{Shared, State},
    target_feed::{FeedConditions, ReadReason},
};

/// Longest time between two looks at whether the store must be read, relative to the time within which a
/// change must be known.
const LOOK_SHARE: f64 = 0.05;

/// Pause after changes of targets of a host that is no poller, as such a share.
const BATCH_DELAY_SHARE: f64 = 0.3;

/// Why this host must read the targets' changes from the store now; none if it may follow the pollers.
pub(super) fn read_reason(shared: &Shared) -> Option<ReadReason> {
    let now = shared.now();
    let era = *shared.store_era.borrow();
    let State { feed, reads, membership, store_down, .. } = &*shared.state();
    let pollers = membership.pollers(now);
    let conditions = FeedConditions {
        is_poller: pollers.includes_own,
        pollers: pollers.addrs.len(),
        is_store_down: *store_down,
        era,
    };
    feed.read_reason(now, &reads.targets, &conditions)
}

/// Pauses after changes, so that further ones arrive in one reply, unless a request needs to know them.
/// Returns whether the pollers may be followed before the next watch.
pub(super) async fn pause(shared: &Shared) -> bool {
    let pause = match read_reason(shared) {
        // Following the pollers takes the place of the pause.
        None => Duration::ZERO,
        Some(ReadReason::Poller) => {
            let (now, state) = (shared.now(), shared.state());
            state.feed.poller_pause(now, &state.reads.targets)
        }
        Some(_) => shared.settings.bounds.drain_time.mul_f64(BATCH_DELAY_SHARE),
    };
    let is_wanted = timeout(pause, shared.changes_wanted.notified()).await.is_ok();
    // A request may also have asked while the watch was under way, for a later change than it brought.
    ReadReason::of_request(is_wanted, &shared.state().reads.targets).is_none()
}

/// Follows the pollers for as long as that shows all changes; returns why the store must be read.
pub(super) async fn follow(shared: &Shared) -> ReadReason {
    // Without a least pause the loop would never wait where the drain time is zero.
    let pause = shared.settings.bounds.drain_time.mul_f64(LOOK_SHARE).max(Duration::from_millis(1));
    let _following = Following::start(shared);
    loop {
        if let Some(reason) = read_reason(shared) {
            return reason;
        }
        let is_wanted = timeout(pause, shared.changes_wanted.notified()).await.is_ok();
        if let Some(reason) = ReadReason::of_request(is_wanted, &shared.state().reads.targets) {
            return reason;
        }
    }
}

/// Has questions sent to pollers until it is dropped, as this host may also stop following because its
/// task turns to something else.
struct Following<'a> {
    shared: &'a Shared,
}

impl<'a> Following<'a> {
    fn start(shared: &'a Shared) -> Following<'a> {
        shared.state().feed.set_following(true);
        shared.feed_followed.notify_one();
        Following { shared }
    }
}

impl Drop for Following<'_> {
    fn drop(&mut self) {
        self.shared.state().feed.set_following(false);
    }
}
