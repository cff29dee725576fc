//! The token bucket of one organisation in one partition.
//!
//! Without precautions small requests would take each amount before it suffices for a large one. A
//! request is therefore granted as soon as the balance is not negative, if it does not make it more
//! negative than the terms allow. One that needs more, or comes while a new bucket may not become
//! negative, reserves half of the rate for requests of its size when it is refused, until one is granted
//! or none has asked for some time.

use std::time::Duration;

use chervilgate_clock::Time;

use crate::quota::QuotaTerms;

/// Time after the last refusal of a large request for which an amount is reserved for it; callers
/// return within it.
const RESERVE_TIME: Duration = Duration::from_secs(2);

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
    /// Time from which the balance may become negative.
    debt_from: Time,
    reserve: Option<Reserve>,
    /// When the last host that was refused is to return.
    last_turn: Time,
}

impl QuotaBucket {
    /// Starts empty: a previous owner may have granted everything until now.
    pub fn new(now: Time, terms: QuotaTerms) -> QuotaBucket {
        let debt_from = now + terms.settling;
        QuotaBucket { terms, balance: 0.0, updated: now, debt_from, reserve: None, last_turn: now }
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
            self.balance = self.balance.min(terms.burst);
        }
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
        let earned = self.terms.rate * RESERVE_SHARE * now.since(reserve.since).as_secs_f64();
        earned.min(self.needed_balance(now, reserve.size)).min(self.terms.burst)
    }

    /// Balance from which a request of `need` is granted.
    fn needed_balance(&self, now: Time, need: f64) -> f64 {
        let debt = if now < self.debt_from { 0.0 } else { self.terms.max_debt };
        (need - debt).max(0.0)
    }

    /// Amount by which the balance is too small for `need`; not above zero if it suffices. What is
    /// reserved for others must remain.
    fn missing(&self, now: Time, need: f64, reserved: f64) -> f64 {
        if reserved > 0.0 {
            return reserved + need - self.balance;
        }
        self.needed_balance(now, need) - self.balance
    }

    fn refuse(&mut self, now: Time, need: f64, missing: f64, has_reserve: bool) -> Duration {
        let until = now + RESERVE_TIME;
        // Nothing is reserved for a request that this bucket can never grant.
        let can_fit = self.needed_balance(now, need) <= self.terms.burst;
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
