//! Shows for requests that need it that the list of targets is current.
//!
//! A watch that waits shows nothing while nothing changes. A call that asks for changes without waiting
//! does: one for all requests that came before it was sent.

use std::{sync::Arc, time::Duration};

use chervilgate_coord::{Change, StoreReply};
use tokio::time::sleep;

use crate::state::Shared;

/// Time for which the store may hold the call; it takes no zero.
const WAIT: Duration = Duration::from_millis(1);

/// Shortest pause between two calls, and that after one without an answer.
const PAUSES: (Duration, Duration) = (Duration::from_millis(20), Duration::from_millis(100));

/// Asks the store for changes of the targets whenever a request needs to know that there are none.
pub(crate) async fn confirm_target_list(shared: Arc<Shared>) {
    let prefix = shared.decoder.target_prefix().to_owned();
    loop {
        shared.list_doubted.notified().await;
        let pause = if confirm(&shared, &prefix).await { PAUSES.0 } else { PAUSES.1 };
        shared.origin_settled.notify_waiters();
        sleep(pause).await;
    }
}

/// Asks the store once; returns whether it answered.
async fn confirm(shared: &Shared, prefix: &str) -> bool {
    let (known, answer_time) = {
        let targets = &shared.state().reads.targets;
        (targets.known(), targets.answer_time())
    };
    let Some(known) = known else { return false };
    let sent = shared.now();
    let StoreReply::Changed { changes, .. } =
        shared.store.watch(prefix, known, WAIT, answer_time).await
    else {
        return false;
    };
    let targets = &mut shared.state().reads.targets;
    match changes.iter().map(Change::version).max() {
        None => targets.confirm(sent, known),
        Some(newest) => {
            // The watch of the targets brings them once it does not pause.
            targets.hear(shared.now(), newest);
            shared.changes_wanted.notify_one();
        }
    }
    true
}
