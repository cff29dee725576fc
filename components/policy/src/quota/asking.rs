//! The order in which a host asks owners for one request.
//!
//! One owner after the other is asked for the whole amount. Of a request that none of them can grant alone
//! unless its bucket is nearly full, as many as needed are asked for a part each, and others in place of
//! those that refuse. If a part is too large for buckets that are not settled yet, the rest is divided into
//! smaller ones. The caller returns the parts if too few are granted.

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

/// Partitions, the next one last.
type PartitionOrder = SmallVec<[usize; QUOTA_PARTITIONS]>;

type Waits = SmallVec<[Duration; QUOTA_PARTITIONS]>;

/// The partitions whose owners are known.
#[derive(Debug, Clone, Default)]
pub struct KnownPartitions {
    /// Those whose owners answer.
    pub answering: SmallVec<[usize; QUOTA_PARTITIONS]>,
    /// Those whose owners did not answer lately. They are asked only for parts that others do not suffice for.
    pub silent: SmallVec<[usize; QUOTA_PARTITIONS]>,
}

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
    terms: QuotaTerms,
    known: KnownPartitions,
    /// Partitions that may still be asked, the next one last.
    left: PartitionOrder,
    /// Partitions whose reply is awaited.
    awaited: [bool; QUOTA_PARTITIONS],
    next_at: Time,
    /// Waits of those that refused the present part.
    waits: Waits,
    is_in_parts: bool,
    /// Amount of each part; without parts, what was missing at the beginning.
    part: f64,
    /// Number of partitions that must grant a part of this size, and of those that have.
    parts: usize,
    granted: usize,
    /// Partitions that have granted a part of any size.
    has_granted: [bool; QUOTA_PARTITIONS],
}

impl Asking {
    /// Begins to ask for `count`, of which this host holds `held`.
    pub fn new(
        now: Time,
        deadline: Time,
        count: f64,
        held: f64,
        terms: QuotaTerms,
        known: KnownPartitions,
        holdings: &Holdings,
    ) -> Asking {
        let missing = count - held;
        let parts = part_count(missing, &terms);
        let mut asking = Asking {
            count,
            deadline: deadline.min(now + ASK_TIMEOUT),
            terms,
            known,
            left: PartitionOrder::new(),
            awaited: [false; QUOTA_PARTITIONS],
            next_at: now,
            waits: Waits::new(),
            is_in_parts: parts > 1,
            part: if parts > 1 { (missing / parts as f64).ceil() } else { missing },
            parts,
            granted: 0,
            has_granted: [false; QUOTA_PARTITIONS],
        };
        asking.divide(now, missing, parts, holdings);
        asking
    }

    /// Divides `missing` into `fewest` parts, or into more if these are too large for too many buckets.
    /// Returns whether enough partitions may be asked.
    fn divide(&mut self, now: Time, missing: f64, fewest: usize, holdings: &Holdings) -> bool {
        for parts in fewest..=QUOTA_PARTITIONS {
            let is_in_parts = self.is_in_parts || parts > 1;
            let part = if is_in_parts { (missing / parts as f64).ceil() } else { missing };
            let (left, waits) = self.usable(now, parts, part, holdings);
            if left.len() >= parts {
                (self.left, self.waits) = (left, waits);
                (self.is_in_parts, self.part) = (is_in_parts, part);
                (self.parts, self.granted) = (parts, 0);
                return true;
            }
            let is_too_large = is_too_large(now, part, holdings);
            if !waits.is_empty() {
                (self.parts, self.waits) = (parts, waits);
            }
            if !is_too_large {
                return false;
            }
        }
        false
    }

    /// Partitions that may be asked for a part, the first one last, and the waits of the others.
    fn usable(
        &self,
        now: Time,
        parts: usize,
        part: f64,
        holdings: &Holdings,
    ) -> (PartitionOrder, Waits) {
        let (mut left, mut waits) = (PartitionOrder::new(), Waits::new());
        let needs_silent = parts > self.known.answering.len();
        let silent = self.known.silent.iter().filter(|_| needs_silent);
        for partition in self.known.answering.iter().chain(silent) {
            if self.has_granted[*partition] {
                continue;
            }
            match holdings.refused_for(now, *partition, part, &self.terms) {
                Some(wait) => waits.push(wait),
                None => left.push(*partition),
            }
        }
        left.reverse();
        (left, waits)
    }

    /// Whether several partitions are asked for a part each.
    pub fn is_in_parts(&self) -> bool {
        self.is_in_parts
    }

    /// Records that the owner of `partition` refused for `wait`.
    pub fn refused(&mut self, partition: usize, wait: Duration) {
        self.waits.push(wait);
        self.answered(partition);
    }

    /// Records that the owner of `partition` granted a part.
    pub fn part_granted(&mut self, partition: usize) {
        self.granted += 1;
        self.has_granted[partition] = true;
        self.answered(partition);
    }

    /// Records a reply of `partition`, which may be that it is owned by another host.
    pub fn answered(&mut self, partition: usize) {
        self.awaited[partition] = false;
        if !self.awaited.contains(&true) {
            self.next_at = Time::ZERO;
        }
    }

    /// The next step while this host holds `held`, which is less than the request's count, with what was
    /// granted for it.
    pub fn next(&mut self, now: Time, held: f64, extra: f64, holdings: &Holdings) -> AskStep {
        let awaited = self.awaited.iter().filter(|awaited| **awaited).count();
        let mut expected = self.granted + awaited;
        if now < self.deadline && self.lacks_grants(now, expected, holdings) {
            if awaited > 0 {
                return AskStep::Wait(self.deadline);
            }
            let fewest = (self.parts + 1).saturating_sub(self.granted).max(1);
            if !self.divide(now, self.count - held, fewest, holdings) {
                return self.refusal();
            }
            expected = 0;
        }
        if now < self.deadline && expected + self.left.len() >= self.parts {
            if now < self.next_at && expected >= self.parts {
                return AskStep::Wait(self.next_at.min(self.deadline));
            }
            if let Some(partition) = self.left.pop() {
                self.awaited[partition] = true;
                self.next_at = now + NEXT_OWNER_TIME;
                let (need, extra) = match self.is_in_parts() {
                    true => (self.part, 0.0),
                    false => (self.count - held, extra),
                };
                return AskStep::Ask { partition, need, extra };
            }
            if awaited > 0 {
                return AskStep::Wait(self.deadline);
            }
        }
        self.refusal()
    }

    fn refusal(&mut self) -> AskStep {
        match self.wait() {
            Some(wait) => AskStep::Refuse(wait),
            None => AskStep::Unknown,
        }
    }

    /// Whether the rest must be divided anew: parts are too large for too many buckets, or all were granted
    /// and what this host held has been spent meanwhile.
    fn lacks_grants(&self, now: Time, expected: usize, holdings: &Holdings) -> bool {
        let lacks_partitions = expected + self.left.len() < self.parts;
        lacks_partitions && is_too_large(now, self.part, holdings)
            || self.granted >= self.parts && self.left.is_empty()
    }

    /// Time until enough partitions may grant.
    fn wait(&mut self) -> Option<Duration> {
        self.waits.sort_unstable();
        let others = QUOTA_PARTITIONS - self.waits.len().min(QUOTA_PARTITIONS);
        let needed = self.parts.saturating_sub(others).max(1);
        self.waits.get(needed - 1).copied()
    }
}

/// Whether some bucket that is not settled cannot grant a part, whatever its balance.
fn is_too_large(now: Time, part: f64, holdings: &Holdings) -> bool {
    (0..QUOTA_PARTITIONS).any(|partition| holdings.is_too_large(now, partition, part))
}

/// Number of partitions that together can grant a request of `count`.
fn part_count(count: f64, terms: &QuotaTerms) -> usize {
    let largest = (terms.burst.max(0.0) + terms.max_debt) * PART_SIZE_SHARE;
    let suffice = |parts: &usize| count <= largest * *parts as f64;
    (1..QUOTA_PARTITIONS).find(suffice).unwrap_or(QUOTA_PARTITIONS)
}
