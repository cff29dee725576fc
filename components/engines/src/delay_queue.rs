//! Simulated delivery of load reports that arrive late or are dropped.

use std::{collections::VecDeque, time::Duration};

use chervilgate_clock::Time;

/// First-in, first-out queue whose values can be read only after a delay.
#[derive(Debug, Clone)]
pub struct DelayQueue<T> {
    delay: Duration,
    stopped: bool,
    pending: VecDeque<(Time, T)>,
}

impl<T> DelayQueue<T> {
    /// Creates an empty queue whose values arrive `delay` after they were added.
    pub fn new(delay: Duration) -> DelayQueue<T> {
        DelayQueue { delay, stopped: false, pending: VecDeque::new() }
    }

    /// Sets the delay of values added from now on; they never overtake earlier ones.
    pub fn set_delay(&mut self, delay: Duration) {
        self.delay = delay;
    }

    /// Stops or resumes the queue; values added while it is stopped are dropped.
    pub fn set_stopped(&mut self, stopped: bool) {
        self.stopped = stopped;
    }

    /// Adds a value at `now`.
    pub fn push(&mut self, now: Time, value: T) {
        if self.stopped {
            return;
        }
        let previous = self.pending.back().map_or(Time::ZERO, |(at, _)| *at);
        self.pending.push_back((previous.max(now + self.delay), value));
    }

    /// Removes and returns the next value that has arrived by `now`.
    pub fn pop(&mut self, now: Time) -> Option<T> {
        let (at, _) = self.pending.front()?;
        if *at > now {
            return None;
        }
        self.pending.pop_front().map(|(_, value)| value)
    }

    /// Time at which the next value arrives; `None` if the queue is empty.
    pub fn next_arrival(&self) -> Option<Time> {
        self.pending.front().map(|(at, _)| *at)
    }
}
