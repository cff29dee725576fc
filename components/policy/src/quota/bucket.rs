//! The token bucket of one organisation in one partition.
//!
//! Without precautions small requests would take each amount before it suffices for a large one. A
//! request is therefore granted from a balance in proportion to its size, and may make the balance negative
//! within the terms. If none of its size is granted for some time after a refusal, half of the rate is reserved
//! for that size, until one is granted or none has asked for some time.

use std::time::Duration;

use chervilgate_clock::Time;

use crate::quota::QuotaTerms;

/// Time after the last refusal of a large request for which an amount is reserved for it; callers
/// return within it.
const RESERVE_TIME: Duration = Duration::from_secs(2);

/// Shortest delay from the first refusal of a large request until an amount is reserved for it, in seconds,
/// if no other of its size is granted meanwhile. Small requests are then granted only from what is left:
/// without a delay, up to a third fewer were served than by one bucket for all hosts.
const RESERVE_DELAY_SECS: f64 = 2.0;

/// The same delay as a multiple of the time in which the rate earns the request's size.
const RESERVE_DELAY_SHARE: f64 = 2.0;

/// Share of the rate that is reserved for refused large requests.
const RESERVE_SHARE: f64 = 0.5;

/// Requests of at least this share of the reserved size may use the reserve.
const RESERVE_SIZE_SHARE: f64 = 0.5;

/// Longest time over which refused hosts are spread out, also relative to the time in which the
/// bucket fills: nobody asks during it, so a longer one would let the bucket overflow.
const MAX_TURN_TIME: Duration = Duration::from_millis(500);
const MAX_TURN_SHARE: f64 = 0.4;

/// Share of what is left after the requested amount that is granted in advance.
const ADVANCE_SHARE: f64 = 0.5;

/// An owner's reply to a host that asked.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum QuotaReply {
    /// The amount may be spent.
    Granted(f64),
    /// Nothing is granted; the bucket has enough after this time.
    Refused(Duration),
}

/// What is known of the bucket before a new one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BucketStart {
    /// Nothing was granted in the last window: begins full and settled.
    First,
    /// The previous owner was settled: it may owe the debt of a settled bucket, and no other owner's grants
    /// are in the same window.
    AfterSettled,
    /// The previous owner may itself have had a predecessor in the last window.
    AfterUnsettled,
}

#[derive(Debug, Clone, Copy)]
struct Reserve {
    size: f64,
    since: Time,
    until: Time,
}

/// What an owner may grant of one organisation's quota.
#[derive(Debug, Clone)]
pub struct QuotaBucket {
    terms: QuotaTerms,
    balance: f64,
    updated: Time,
    /// When the terms last changed.
    terms_since: Time,
    /// Amount by which the balance may be negative until the bucket is settled.
    early_debt: f64,
    settled_at: Time,
    reserve: Option<Reserve>,
    /// When the last host that was refused is to return.
    last_turn: Time,
}

impl QuotaBucket {
    /// Starts with what a previous owner cannot have granted.
    pub fn new(now: Time, terms: QuotaTerms, start: BucketStart) -> QuotaBucket {
        let settled_at = now + terms.settling;
        let (balance, early_debt, settled_at) = match start {
            BucketStart::First => (terms.burst, 0.0, now),
            BucketStart::AfterSettled => (0.0, terms.successor_debt, settled_at),
            BucketStart::AfterUnsettled => (0.0, 0.0, settled_at),
        };
        QuotaBucket {
            terms,
            balance,
            updated: now,
            terms_since: Time::ZERO,
            early_debt,
            settled_at,
            reserve: None,
            last_turn: now,
        }
    }

    /// Changes rate and burst; a lower burst cuts the balance.
    pub fn set_terms(&mut self, now: Time, terms: QuotaTerms) {
        if terms != self.terms {
            self.advance(now);
            // A debt taken at a higher rate would keep a lower one shut for far longer.
            if self.balance < 0.0 && terms.rate < self.terms.rate {
                self.balance *= terms.rate / self.terms.rate;
            }
            self.terms = terms;
            self.terms_since = now;
            self.balance = self.balance.min(terms.burst);
        }
    }

    /// Time after which its grants no longer count in any window.
    pub fn settling(&self) -> Duration {
        self.terms.settling
    }

    /// Grants `need`, and of `extra` what can be spared, or nothing.
    pub fn ask(&mut self, now: Time, need: f64, extra: f64) -> QuotaReply {
        self.advance(now);
        let reserved = self.reserved(now, need);
        let missing = self.missing(now, need, reserved);
        if missing > 0.0 {
            return QuotaReply::Refused(self.refuse(now, need, missing, reserved > 0.0));
        }
        if self.reserve.is_some_and(|reserve| need >= reserve.size * RESERVE_SIZE_SHARE) {
            self.reserve = None;
        }
        let left = self.balance - need - reserved;
        let extra = extra.min(left * ADVANCE_SHARE).max(0.0);
        self.balance -= need + extra;
        QuotaReply::Granted(need + extra)
    }

    /// Whether it grants no request of `need`, whatever its balance, until it is settled.
    pub fn is_too_large(&self, now: Time, need: f64) -> bool {
        now < self.settled_at && !self.can_fit(now, need)
    }

    /// Whether it can grant `need` from a full balance.
    fn can_fit(&self, now: Time, need: f64) -> bool {
        self.terms.needed_balance(need, self.debt(now)) <= self.terms.burst
    }

    /// Takes back an amount that it granted at `granted_at` and that was not spent. The balance is then
    /// never above that of a bucket which did not grant it: what the rate has earned since would not have
    /// fitted into a full one, and what was granted on other terms is lost.
    pub fn give_back(&mut self, now: Time, amount: f64, granted_at: Time) {
        if granted_at <= self.terms_since {
            return;
        }
        self.advance(now);
        let earned = self.terms.rate * now.since(granted_at).as_secs_f64();
        self.balance = (self.balance + (amount - earned).max(0.0)).min(self.terms.burst);
    }

    fn advance(&mut self, now: Time) {
        let earned = self.terms.rate * now.since(self.updated).as_secs_f64();
        self.balance = (self.balance + earned).min(self.terms.burst);
        self.updated = self.updated.max(now);
    }

    /// Amount that is reserved for larger requests than one of `need`.
    fn reserved(&self, now: Time, need: f64) -> f64 {
        let Some(reserve) = self.reserve.filter(|reserve| now < reserve.until) else { return 0.0 };
        if need >= reserve.size * RESERVE_SIZE_SHARE {
            return 0.0;
        }
        let delay = RESERVE_DELAY_SECS.max(RESERVE_DELAY_SHARE * reserve.size / self.terms.rate);
        let time = (now.since(reserve.since).as_secs_f64() - delay).max(0.0);
        let earned = self.terms.rate * RESERVE_SHARE * time;
        let needed = self.terms.needed_balance(reserve.size, self.debt(now));
        earned.min(needed).min(self.terms.burst)
    }

    /// Amount by which the balance may be negative.
    fn debt(&self, now: Time) -> f64 {
        if now < self.settled_at { self.early_debt } else { self.terms.max_debt }
    }

    /// Amount by which the balance is too small for `need`; not above zero if it suffices. What is
    /// reserved for others must remain.
    fn missing(&self, now: Time, need: f64, reserved: f64) -> f64 {
        if reserved > 0.0 {
            return reserved + need - self.balance;
        }
        self.terms.needed_balance(need, self.debt(now)) - self.balance
    }

    fn refuse(&mut self, now: Time, need: f64, missing: f64, has_reserve: bool) -> Duration {
        let until = now + RESERVE_TIME;
        // Nothing is reserved for a request that this bucket cannot grant.
        let can_fit = self.can_fit(now, need);
        match &mut self.reserve {
            _ if !can_fit => {}
            Some(reserve) if now < reserve.until => {
                if need >= reserve.size * RESERVE_SIZE_SHARE {
                    reserve.size = reserve.size.max(need);
                    reserve.until = until;
                }
            }
            reserve => *reserve = Some(Reserve { size: need, since: now, until }),
        }
        let rate = self.terms.rate * if has_reserve { 1.0 - RESERVE_SHARE } else { 1.0 };
        if !can_fit && now < self.settled_at {
            let missing = self.terms.needed_balance(need, self.terms.max_debt) - self.balance;
            return self.settled_at.since(now).max(seconds(missing / rate));
        }
        let fill = seconds(missing / rate);
        if can_fit {
            let turn = self.last_turn.max(now) + seconds(need / self.terms.rate);
            let max_turn = seconds(self.terms.burst / self.terms.rate).mul_f64(MAX_TURN_SHARE);
            self.last_turn = turn.min(now + MAX_TURN_TIME.min(max_turn));
        }
        fill.max(self.last_turn.since(now)).max(Duration::from_millis(1))
    }
}

/// Longest time that is told.
const MAX_WAIT_SECS: f64 = 60.0;

fn seconds(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds.min(MAX_WAIT_SECS)).unwrap_or(Duration::ZERO)
}
