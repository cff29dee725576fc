//! When requests wait for engines, and when targets may be given back or exchanged, by what the
//! holder observes.

/// Share of the prompts of the last seconds that may wait: bursts at single targets make a few of
/// them wait however many targets there are.
const MAX_WAITING_SHARE: f64 = 0.05;

/// Share of the prompts that may have waited for targets to be given back.
const MAX_RETURN_WAITING_SHARE: f64 = 0.01;

/// What the lease holder observes of a service and of its sources.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Observations {
    /// Share of the prompts of the last seconds that waited.
    pub recent_waiting: f64,
    /// Share of the prompts that waited, over a time after which targets may be given back.
    pub past_waiting: f64,
    /// Whether enough hosts report.
    pub is_demand_known: bool,
    /// Whether the speed of the engines of a stage was learned.
    pub is_speed_known: bool,
    /// Whether the store accepts writes and replies.
    pub is_store_up: bool,
    /// Whether no change of the list of targets can have been missed.
    pub is_list_current: bool,
    /// Whether a target fails, is silent, rests, has a limit or may be gone.
    pub has_impaired_targets: bool,
}

impl Observations {
    /// Whether requests wait for engines now.
    pub fn is_waiting(&self) -> bool {
        self.recent_waiting > MAX_WAITING_SHARE
    }

    /// Whether targets may be given back.
    pub fn may_return(&self) -> bool {
        self.past_waiting <= MAX_RETURN_WAITING_SHARE && self.doubt().is_none()
    }

    /// Why on-demand targets may not be exchanged for reclaimable ones; none if they may.
    ///
    /// Their number stays nearly the same, so prompts that waited a while ago, for example at cold
    /// caches, are no reason.
    pub fn exchange_doubt(&self) -> Option<&'static str> {
        self.doubt().or(self.is_waiting().then_some("waiting"))
    }

    /// What is in doubt of the targets and of what is known of them.
    fn doubt(&self) -> Option<&'static str> {
        let doubts = [
            (!self.is_demand_known, "demand"),
            (!self.is_speed_known, "speed"),
            (!self.is_store_up, "store"),
            (!self.is_list_current, "list"),
            (self.has_impaired_targets, "impaired"),
        ];
        doubts.into_iter().find_map(|(holds, doubt)| holds.then_some(doubt))
    }
}
