//! Waking an actor at the time that its machine names.

use std::time::Duration;

use chervilgate_clock::Time;
use ractor::{ActorRef, Message};
use tokio::task::JoinHandle;

/// The longest sleep; a machine without a wish is still looked at now and then.
const LONGEST_SLEEP: Duration = Duration::from_secs(1);

/// One actor's pending wake-up; a new one replaces it.
#[derive(Debug, Default)]
pub struct Alarm {
    task: Option<JoinHandle<()>>,
}

impl Alarm {
    /// Sends `message` to `actor` at `due`.
    pub fn set<M: Message>(&mut self, now: Time, due: Time, actor: &ActorRef<M>, message: M) {
        self.clear();
        let pause = due.since(now).min(LONGEST_SLEEP);
        let actor = actor.clone();
        self.task = Some(tokio::spawn(async move {
            tokio::time::sleep(pause).await;
            let _ = actor.cast(message);
        }));
    }

    /// Takes the wake-up back.
    pub fn clear(&mut self) {
        if let Some(task) = self.task.take() {
            task.abort();
        }
    }
}

impl Drop for Alarm {
    fn drop(&mut self) {
        self.clear();
    }
}
