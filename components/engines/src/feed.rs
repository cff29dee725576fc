//! Reports that arrive late, or stop.

use std::{collections::VecDeque, time::Duration};

use chervilgate_clock::Time;

/// Values that become visible after a lag.
#[derive(Debug, Clone)]
pub struct Feed<T> {
    lag: Duration,
    stopped: bool,
    pending: VecDeque<(Time, T)>,
}

impl<T> Feed<T> {
    /// A feed whose values arrive `lag` after they were taken.
    pub fn new(lag: Duration) -> Feed<T> {
        Feed { lag, stopped: false, pending: VecDeque::new() }
    }

    /// Sets the lag of values taken from now on.
    pub fn set_lag(&mut self, lag: Duration) {
        self.lag = lag;
    }

    /// Stops or restarts the feed; values taken while stopped are lost.
    pub fn set_stopped(&mut self, stopped: bool) {
        self.stopped = stopped;
    }

    /// Adds a value taken at `now`.
    pub fn push(&mut self, now: Time, value: T) {
        if self.stopped {
            return;
        }
        let earliest = self.pending.back().map_or(Time::ZERO, |(at, _)| *at);
        self.pending.push_back((earliest.max(now + self.lag), value));
    }

    /// Takes the next value that has arrived by `now`.
    pub fn pop(&mut self, now: Time) -> Option<T> {
        let (at, _) = self.pending.front()?;
        if *at > now {
            return None;
        }
        self.pending.pop_front().map(|(_, value)| value)
    }

    /// When the next value arrives.
    pub fn next(&self) -> Option<Time> {
        self.pending.front().map(|(at, _)| *at)
    }
}
