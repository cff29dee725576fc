//! How long targets work on answers, by service.

use std::{sync::Arc, time::Duration};

use chervilgate_clock::Time;

use crate::{fleet::Fleet, protocol::Prompt};

impl Fleet {
    /// Records that an answer to a request with this prompt took this time from its beginning to its
    /// end; without a prompt, from when it was sent.
    pub fn record_work(&mut self, now: Time, service: &Arc<str>, prompt: &Prompt, took: Duration) {
        self.work.entry(service.clone()).or_default().record(now, prompt.max_output, took);
    }

    /// Time within which an answer to a request with this prompt ends once it has begun. Before enough
    /// were seen, `max_pause` counts for each token; none if nothing bounds it.
    pub fn work_bound(
        &self,
        now: Time,
        service: &str,
        prompt: &Prompt,
        max_pause: Option<Duration>,
    ) -> Option<Duration> {
        let seen = self.work.get(service).and_then(|work| work.bound(now, prompt.max_output));
        seen.or_else(|| max_pause.map(|pause| pause * prompt.max_output.max(1)))
    }
}
