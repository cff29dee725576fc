//! When a host reads from the store who owns the partitions.

use std::time::Duration;

use chervilgate_clock::Time;

/// Minimum interval between lists of a host.
const LIST_INTERVAL: Duration = Duration::from_secs(2);

/// Number of hosts that may list once in the minimum interval. In a larger fleet each lists less often: the
/// candidates read the object and tell all hosts of the new owner.
const HOSTS_PER_INTERVAL: f64 = 8.0;

/// Decides when the owners are listed.
#[derive(Debug, Default)]
pub struct ListSchedule {
    /// When the owners were last listed; none if they never were.
    listed_at: Option<Time>,
    /// When they are to be listed because a partition lacks an owner.
    due_at: Option<Time>,
    retry_at: Time,
}

impl ListSchedule {
    /// Whether to list now: at the start, or because a request `wants` an owner that this host, one of
    /// `hosts`, still `lacks`. `spread` is random, from 0 to 1: all hosts lack an owner at the same time.
    pub fn is_due(
        &mut self,
        now: Time,
        wants: bool,
        lacks: bool,
        hosts: usize,
        spread: f64,
    ) -> bool {
        let Some(listed_at) = self.listed_at else { return now >= self.retry_at };
        if !lacks {
            self.due_at = None;
            return false;
        }
        if wants && self.due_at.is_none() {
            let share = (hosts as f64 / HOSTS_PER_INTERVAL - 1.0).max(0.0);
            // The mean of `spread` is a half.
            let delay = LIST_INTERVAL.mul_f64(2.0 * share * spread);
            self.due_at = Some((listed_at + LIST_INTERVAL).max(now + delay));
        }
        self.due_at.is_some_and(|at| now >= at.max(self.retry_at))
    }

    /// Records a list, and whether the store answered it.
    pub fn record(&mut self, now: Time, is_answered: bool) {
        if is_answered {
            self.listed_at = Some(now);
            self.due_at = None;
        } else {
            self.retry_at = now + LIST_INTERVAL / 2;
        }
    }
}
