//! Timer that wakes an actor when its state machine has work due.

use std::time::Duration;

use chervilgate_clock::Time;
use ractor::{ActorRef, Message};
use tokio::task::JoinHandle;

/// Longest time between two wake-ups, also for a state machine that asks for none.
const MAX_SLEEP: Duration = Duration::from_secs(1);

/// A one-shot timer with at most one pending message. Dropping it cancels the message.
#[derive(Debug, Default)]
pub struct WakeTimer {
    task: Option<JoinHandle<()>>,
}

impl WakeTimer {
    /// Sends `message` to `actor` at `due`, but after `MAX_SLEEP` at the latest. Replaces the
    /// pending message.
    pub fn set<M: Message>(&mut self, now: Time, due: Time, actor: &ActorRef<M>, message: M) {
        self.clear();
        let delay = due.since(now).min(MAX_SLEEP);
        let actor = actor.clone();
        self.task = Some(tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            let _ = actor.cast(message);
        }));
    }

    /// Cancels the pending message.
    pub fn clear(&mut self) {
        if let Some(task) = self.task.take() {
            task.abort();
        }
    }
}

impl Drop for WakeTimer {
    fn drop(&mut self) {
        self.clear();
    }
}
