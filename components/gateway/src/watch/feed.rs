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

/// Follows the pollers for as long as that shows all changes; returns why the store must be read.
pub(super) async fn follow(shared: &Shared) -> ReadReason {
    let pause = shared.settings.bounds.drain_time.mul_f64(LOOK_SHARE).max(Duration::from_millis(1));
    let _following = Following::start(shared);
    loop {
        if let Some(reason) = read_reason(shared) {
            return reason;
        }
        if timeout(pause, shared.changes_wanted.notified()).await.is_ok() {
            return ReadReason::Wanted;
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
