//! Whether a request may be sent to a target, by the latency targets of its service's routes.

use std::time::Duration;

use smallvec::SmallVec;

/// Share of the shortest latency target of more urgent kinds that a request of the least urgent kind
/// may make them wait. It rises to 1 with the urgency: with the same share for all, small requests of the
/// least urgent kind filled each target before larger ones of the kind above had room there.
const LEAST_TOLERANCE: f64 = 0.5;

/// Share of the service's shortest latency target up to which a target that makes requests wait has
/// capacity for late requests.
const LATE_WAIT_SHARE: f64 = 0.25;

/// The same share for requests whose fair turn it is. With all of the target, large late requests made
/// the most urgent ones late on targets that were full already.
const FAIR_WAIT_SHARE: f64 = 0.5;

/// Whose turn it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Turn {
    /// That of the first request in order.
    Ordinary,
    /// That of the request closest to its latest start: it may use targets that more urgent kinds use
    /// too.
    Fair,
}

/// What is predicted of a request at a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Forecast {
    /// Time left until the request is late.
    pub time_left: Duration,
    /// Time until the target starts it.
    pub wait: Duration,
    /// Time that it takes the target until its first event.
    pub work: Duration,
    /// Time until its first event, with all stages.
    pub first_event: Duration,
}

/// Whether a target has capacity for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fit {
    /// It has.
    Fits,
    /// It has if others keep requests of more urgent kinds waiting for no longer than this.
    IfOthersKeep(Duration),
    /// It has not.
    Full,
}

/// The shortest latency target of each priority among the routes of a service, most urgent first.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct LatencyTargets(SmallVec<[(u8, Duration); 4]>);

impl LatencyTargets {
    /// Adds the latency target of a route.
    pub fn add(&mut self, priority: u8, target: Duration) {
        match self.0.binary_search_by_key(&priority, |(known, _)| *known) {
            Ok(at) => self.0[at].1 = self.0[at].1.min(target),
            Err(at) => self.0.insert(at, (priority, target)),
        }
    }

    /// Whether no route has any.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The shortest of all.
    pub fn shortest(&self) -> Duration {
        self.0.iter().map(|(_, target)| *target).min().unwrap_or(Duration::MAX)
    }

    /// The shortest of this priority and more urgent ones; that of all if none is known of these.
    pub fn shortest_up_to(&self, priority: u8) -> Duration {
        let known = self.0.iter().take_while(|(known, _)| *known <= priority);
        known.map(|(_, target)| *target).min().unwrap_or_else(|| self.shortest())
    }

    /// How long the requests of this priority may make those of more urgent kinds wait; none if no
    /// kind is more urgent.
    pub fn tolerance(&self, priority: u8) -> Option<Duration> {
        let more_urgent = self.0.iter().take_while(|(known, _)| *known < priority);
        let rank = more_urgent.clone().count();
        let last = self.0.len().max(2) - 1;
        let share = 1.0 - (1.0 - LEAST_TOLERANCE) * rank.min(last) as f64 / last as f64;
        more_urgent.map(|(_, target)| target.mul_f64(share)).min()
    }

    /// Wait up to which a target has capacity for late requests of this priority. It is no shorter than
    /// the wait that requests of less urgent kinds may cause, as these would be served more often
    /// otherwise.
    pub fn late_wait(&self, priority: u8) -> Duration {
        let least = self.shortest().mul_f64(LATE_WAIT_SHARE);
        let less_urgent = self.0.iter().find(|(known, _)| *known > priority);
        let caused = less_urgent.and_then(|(known, _)| self.tolerance(*known));
        caused.map_or(least, |caused| caused.max(least))
    }

    /// Whether a target has capacity for a request of this priority.
    pub fn fit(&self, priority: u8, turn: Turn, forecast: &Forecast) -> Fit {
        if turn == Turn::Fair {
            return if forecast.wait <= self.shortest().mul_f64(FAIR_WAIT_SHARE) {
                Fit::Fits
            } else {
                Fit::Full
            };
        }
        let on_time = forecast.first_event <= forecast.time_left;
        if !on_time && forecast.wait > self.late_wait(priority) {
            return Fit::Full;
        }
        match self.tolerance(priority) {
            Some(tolerance) if forecast.wait + forecast.work > tolerance => {
                Fit::IfOthersKeep(tolerance)
            }
            _ => Fit::Fits,
        }
    }
}
