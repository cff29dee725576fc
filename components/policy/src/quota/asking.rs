//! The order in which a host asks owners for one request.
//!
//! One owner after the other is asked for the whole amount. If each has refused a request that none of
//! them can ever grant alone, all are asked for a part. Parts of other requests would be lost whenever
//! not all owners grant theirs.

use std::time::Duration;

use chervilgate_clock::Time;
use smallvec::SmallVec;

use crate::quota::{Holdings, QUOTA_PARTITIONS, QuotaTerms};

/// Longest time for which a request waits for owners.
const ASK_TIMEOUT: Duration = Duration::from_millis(60);

/// Time without a reply after which the next owner is asked.
const NEXT_OWNER_TIME: Duration = Duration::from_millis(15);

type PartitionOrder = SmallVec<[usize; QUOTA_PARTITIONS]>;

/// What to do next for a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AskStep {
    /// Ask the owner of this partition for an amount, and for a further one in advance.
    Ask {
        /// The partition.
        partition: usize,
        /// Amount that is needed.
        need: f64,
        /// Amount in advance.
        extra: f64,
    },
    /// Wait for replies until this time.
    Wait(Time),
    /// Refuse the request; it may be granted after this time.
    Refuse(Duration),
    /// Refuse the request, since no owner has answered.
    Unknown,
}

/// The asking for one request.
#[derive(Debug)]
pub struct Asking {
    count: f64,
    terms: QuotaTerms,
    deadline: Time,
    /// Partitions that may still be asked, the next one last.
    left: PartitionOrder,
    /// Partitions whose reply is awaited.
    awaited: [bool; QUOTA_PARTITIONS],
    next_at: Time,
    /// Shortest and longest wait of those that refused.
    waits: Option<(Duration, Duration)>,
    in_parts: bool,
}

impl Asking {
    /// Begins to ask for `count`. `order` names the partitions whose owners are known, the first one to
    /// ask first.
    pub fn new(
        now: Time,
        deadline: Time,
        count: f64,
        terms: QuotaTerms,
        order: &[usize],
        holdings: &Holdings,
    ) -> Asking {
        let mut asking = Asking {
            count,
            terms,
            deadline: deadline.min(now + ASK_TIMEOUT),
            left: PartitionOrder::new(),
            awaited: [false; QUOTA_PARTITIONS],
            next_at: now,
            waits: None,
            in_parts: false,
        };
        for partition in order.iter().rev() {
            match holdings.refused_for(now, *partition, count, terms.rate) {
                Some(wait) => asking.record_wait(wait),
                None => asking.left.push(*partition),
            }
        }
        asking
    }

    fn record_wait(&mut self, wait: Duration) {
        let (shortest, longest) = self.waits.unwrap_or((wait, wait));
        self.waits = Some((shortest.min(wait), longest.max(wait)));
    }

    /// Records that the owner of `partition` refused for `wait`.
    pub fn refused(&mut self, partition: usize, wait: Duration) {
        self.record_wait(wait);
        self.answered(partition);
    }

    /// Records a reply of `partition`, which may be that it is owned by another host.
    pub fn answered(&mut self, partition: usize) {
        self.awaited[partition] = false;
        if !self.awaited.contains(&true) {
            self.next_at = Time::ZERO;
        }
    }

    /// The next step while this host holds `held`, which is less than the request's count.
    pub fn next(&mut self, now: Time, held: f64, extra: f64) -> AskStep {
        if now < self.deadline {
            if now < self.next_at && !self.in_parts {
                return AskStep::Wait(self.next_at.min(self.deadline));
            }
            if let Some(partition) = self.left.pop() {
                self.awaited[partition] = true;
                self.next_at = now + NEXT_OWNER_TIME;
                let need = if self.in_parts { self.part() } else { self.count - held };
                let extra = if self.in_parts { 0.0 } else { extra };
                return AskStep::Ask { partition, need, extra };
            }
            if self.awaited.contains(&true) {
                return AskStep::Wait(self.deadline);
            }
        }
        match self.waits {
            Some((shortest, longest)) => {
                AskStep::Refuse(if self.needs_parts() { longest } else { shortest })
            }
            None => AskStep::Unknown,
        }
    }

    /// Begins to ask all partitions for a part each; returns false if that has no point.
    pub fn begin_parts(&mut self, now: Time, order: &[usize], holdings: &Holdings) -> bool {
        if self.in_parts || !self.needs_parts() || now >= self.deadline {
            return false;
        }
        self.in_parts = true;
        let part = self.part();
        let rate = self.terms.rate;
        let free =
            |partition: &&usize| holdings.refused_for(now, **partition, part, rate).is_none();
        self.left = order.iter().filter(free).copied().collect();
        if self.left.len() < QUOTA_PARTITIONS {
            self.left.clear();
        }
        !self.left.is_empty()
    }

    /// Amount that each partition is asked for if one does not have enough.
    pub fn part(&self) -> f64 {
        (self.count / QUOTA_PARTITIONS as f64).ceil()
    }

    /// Whether no partition alone can ever grant the request.
    fn needs_parts(&self) -> bool {
        self.count > self.terms.burst.max(0.0) + self.terms.max_debt
    }
}
