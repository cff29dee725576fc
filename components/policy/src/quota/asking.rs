//! The order in which a host asks owners for one request.
//!
//! One owner after the other is asked for the whole amount. Of a request that none of them can grant alone
//! unless its bucket is nearly full, as many as needed are asked for a part each, and others in place of those that refuse. The caller
//! returns the parts if too few are granted.

use std::time::Duration;

use chervilgate_clock::Time;
use smallvec::SmallVec;

use crate::quota::{Holdings, QUOTA_PARTITIONS, QuotaTerms};

/// Longest time for which a request waits for owners.
const ASK_TIMEOUT: Duration = Duration::from_millis(60);

/// Time without a reply after which the next owner is asked.
const NEXT_OWNER_TIME: Duration = Duration::from_millis(15);

/// Largest amount that one partition is asked for, relative to the largest that it can ever grant. For that a
/// bucket must be nearly full: with 1.0, 0.95 of what one bucket would serve were served of requests of which
/// half exceed a bucket, with 0.75 all of it.
const PART_SIZE_SHARE: f64 = 0.75;

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
    deadline: Time,
    /// Partitions that may still be asked, the next one last.
    left: PartitionOrder,
    /// Partitions whose reply is awaited.
    awaited: [bool; QUOTA_PARTITIONS],
    next_at: Time,
    /// Waits of those that refused.
    waits: SmallVec<[Duration; QUOTA_PARTITIONS]>,
    /// Number of partitions that must grant, and of those that have granted a part.
    parts: usize,
    granted: usize,
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
            deadline: deadline.min(now + ASK_TIMEOUT),
            left: PartitionOrder::new(),
            awaited: [false; QUOTA_PARTITIONS],
            next_at: now,
            waits: SmallVec::new(),
            parts: part_count(count, &terms),
            granted: 0,
        };
        let part = asking.part();
        for partition in order.iter().rev() {
            match holdings.refused_for(now, *partition, part, &terms) {
                Some(wait) => asking.waits.push(wait),
                None => asking.left.push(*partition),
            }
        }
        asking
    }

    /// Whether several partitions are asked for a part each.
    pub fn is_in_parts(&self) -> bool {
        self.parts > 1
    }

    /// Records that the owner of `partition` refused for `wait`.
    pub fn refused(&mut self, partition: usize, wait: Duration) {
        self.waits.push(wait);
        self.answered(partition);
    }

    /// Records that the owner of `partition` granted a part.
    pub fn part_granted(&mut self, partition: usize) {
        self.granted += 1;
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
        let awaited = self.awaited.iter().filter(|awaited| **awaited).count();
        let expected = self.granted + awaited;
        if now < self.deadline && expected + self.left.len() >= self.parts {
            if now < self.next_at && expected >= self.parts {
                return AskStep::Wait(self.next_at.min(self.deadline));
            }
            if let Some(partition) = self.left.pop() {
                self.awaited[partition] = true;
                self.next_at = now + NEXT_OWNER_TIME;
                let (need, extra) = match self.is_in_parts() {
                    true => (self.part(), 0.0),
                    false => (self.count - held, extra),
                };
                return AskStep::Ask { partition, need, extra };
            }
            if awaited > 0 {
                return AskStep::Wait(self.deadline);
            }
        }
        match self.wait() {
            Some(wait) => AskStep::Refuse(wait),
            None => AskStep::Unknown,
        }
    }

    /// Time until enough partitions may grant.
    fn wait(&mut self) -> Option<Duration> {
        self.waits.sort_unstable();
        let others = QUOTA_PARTITIONS - self.waits.len().min(QUOTA_PARTITIONS);
        let needed = self.parts.saturating_sub(others).max(1);
        self.waits.get(needed - 1).copied()
    }

    /// Amount that a partition is asked for if this host holds nothing.
    fn part(&self) -> f64 {
        if self.is_in_parts() { (self.count / self.parts as f64).ceil() } else { self.count }
    }
}

/// Number of partitions that together can grant a request of `count`.
fn part_count(count: f64, terms: &QuotaTerms) -> usize {
    let largest = (terms.burst.max(0.0) + terms.max_debt) * PART_SIZE_SHARE;
    let suffice = |parts: &usize| count <= largest * *parts as f64;
    (1..QUOTA_PARTITIONS).find(suffice).unwrap_or(QUOTA_PARTITIONS)
}
