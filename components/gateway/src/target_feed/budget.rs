//! Limits the changes that a host sends in answers.

use std::time::Duration;

use chervilgate_clock::Time;

/// Maximum number of messages with changes in answers within [`INTERVAL`], some 256 KB. After a batch that
/// was too large to send unasked, hundreds of hosts ask for it within a gossip round.
const MAX_MESSAGES: usize = 187;

/// Time after which as many messages may be sent again.
const INTERVAL: Duration = Duration::from_secs(1);

/// Messages that were sent in the present interval.
#[derive(Debug, Default, Clone, Copy)]
pub(super) struct AnswerBudget {
    since: Time,
    sent: usize,
}

impl AnswerBudget {
    /// Whether `messages` may be sent at `now`; if so, they count as sent.
    pub(super) fn take(&mut self, now: Time, messages: usize) -> bool {
        if now.since(self.since) >= INTERVAL {
            *self = AnswerBudget { since: now, sent: 0 };
        }
        let sent = self.sent + messages;
        let fits = sent <= MAX_MESSAGES;
        if fits {
            self.sent = sent;
        }
        fits
    }
}
