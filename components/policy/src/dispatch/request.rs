//! A waiting request, and its place in the order.

use std::time::Duration;

use chervilgate_clock::Time;

use crate::OrgId;

/// Time for which a request that can be on time gives way to later ones, in multiples of the work that
/// it takes more than they. Ordered by their last start on time instead, all requests of an overload wait until
/// they are almost late, and single long prompts make many of them so.
const WORK_WEIGHT: u32 = 8;

/// A request that waits for capacity.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WaitingRequest {
    /// Organisation that it runs for.
    pub org: OrgId,
    /// Scheduling priority; 0 is the highest.
    pub priority: u8,
    /// When it arrived.
    pub arrived_at: Time,
    /// Until when its first event is on time.
    pub on_time_by: Time,
    /// Until when its caller waits.
    pub deadline: Time,
    /// Predicted time from its start at an idle target to its first event.
    pub work: Duration,
    /// Cost for the shares of organisations, in tokens.
    pub cost: u64,
    /// Size of its body.
    pub bytes: usize,
}

impl WaitingRequest {
    /// Until when it may start and be on time.
    pub fn last_on_time_start(&self) -> Time {
        self.on_time_by.saturating_sub(self.work)
    }

    /// Until when it may start and have its first event before its caller leaves.
    pub fn last_start(&self) -> Time {
        self.deadline.saturating_sub(self.work)
    }

    pub(super) fn lane_key(&self, standing: Standing) -> LaneKey {
        (standing, self.priority)
    }

    /// Order among the requests of its organisation in its lane.
    pub(super) fn rank(&self, standing: Standing) -> Time {
        match standing {
            Standing::OnTime => self.arrived_at + self.work * WORK_WEIGHT,
            Standing::Late => self.last_start(),
        }
    }
}

/// Whether a request can still be on time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Standing {
    OnTime,
    Late,
}

/// Identifies a lane, in the order in which they start.
pub(super) type LaneKey = (Standing, u8);
