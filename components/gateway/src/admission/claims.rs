//! Which waiting requests may use capacity that other hosts see too.
//!
//! Hosts that see the same capacity at once would fill it together. So a request draws whether it uses
//! it once, for all checks of the queue until a report of other hosts shows more capacity, or until they
//! have had time to report what they have used. Drawn at each check, a claim would be certain soon.

use std::time::Duration;

use chervilgate_clock::Time;
use smallvec::SmallVec;

/// Time after which capacity that is still free is drawn for again. Hosts are told of a long prompt within
/// 20 ms and the way of a datagram. With 100 ms, some of the most urgent requests, whose latency target is
/// 250 ms, were late in the load test of deployment B.
const REDRAW_INTERVAL: Duration = Duration::from_millis(50);

/// What a request has drawn.
#[derive(Debug, Clone, Copy)]
pub(super) struct Draw {
    /// Number of the showing that it was drawn for.
    showing: u64,
    /// From 0 to 1.
    value: f64,
}

/// Free targets that are shown to the requests of one priority.
#[derive(Debug, Clone)]
struct Showing {
    priority: u8,
    free: usize,
    /// Probability with which a request uses them.
    chance: f64,
    number: u64,
    began_at: Time,
}

/// The free targets of one service that reports have shown.
#[derive(Debug, Clone, Default)]
pub(super) struct Claims {
    showings: SmallVec<[Showing; 4]>,
    last_number: u64,
}

impl Claims {
    /// Records how many targets are free for the requests of `priority`, and the probability with which
    /// each of these uses them. Draws are renewed if more are free than at the check before, or after
    /// [`REDRAW_INTERVAL`].
    pub(super) fn show(&mut self, now: Time, priority: u8, free: usize, chance: f64) {
        let next = Showing { priority, free, chance, number: self.last_number + 1, began_at: now };
        match self.showings.iter_mut().find(|showing| showing.priority == priority) {
            Some(known) if free <= known.free && now.since(known.began_at) < REDRAW_INTERVAL => {
                *known = Showing { number: known.number, began_at: known.began_at, ..next };
                return;
            }
            Some(known) => *known = next,
            None => self.showings.push(next),
        }
        self.last_number += 1;
    }

    /// Number of targets that are free for the requests of `priority`.
    pub(super) fn free(&self, priority: u8) -> usize {
        self.showing(priority).map_or(0, |showing| showing.free)
    }

    /// Whether a request of `priority` uses the free targets. `drawn` is what it has drawn before.
    pub(super) fn is_claimed(
        &self,
        priority: u8,
        drawn: &mut Option<Draw>,
        draw: &mut dyn FnMut() -> f64,
    ) -> bool {
        let Some(Showing { number, chance, .. }) = self.showing(priority) else { return false };
        let value = match drawn {
            Some(known) if known.showing == *number => known.value,
            _ => draw(),
        };
        *drawn = Some(Draw { showing: *number, value });
        value < *chance
    }

    fn showing(&self, priority: u8) -> Option<&Showing> {
        self.showings.iter().find(|showing| showing.priority == priority)
    }
}
