//! Switches that turn off single protections, so that tests can check that violations are found.

/// Protections of the protocols; all on by default.
///
/// A test switches one off to show that the checker detects the violations that it prevents.
/// Daemons use the default.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Guards {
    /// Orders carry a fencing token that increases with the epoch.
    pub fencing_token: bool,
    /// An order is stored before it is sent.
    pub intent: bool,
    /// A new owner sends orders to a receiver that does not check fencing tokens only after
    /// proof that the former owner has stopped.
    pub stop_proof: bool,
    /// An expired session is sealed in the store before its shards are taken over.
    pub session_seal: bool,
    /// After an unanswered order, waits until nothing sent on its connection can still arrive.
    pub transit_wait: bool,
    /// Requests with an API key are refused while the view is not confirmed.
    pub freshness: bool,
    /// A change counts as accepted only once a majority of the voters holds it.
    pub acceptance: bool,
    /// The seal of a usage window is never replaced.
    pub window_seal: bool,
    /// A request that may run at most once is claimed before it is dispatched.
    pub claim: bool,
}

impl Default for Guards {
    fn default() -> Guards {
        Guards {
            fencing_token: true,
            intent: true,
            stop_proof: true,
            session_seal: true,
            transit_wait: true,
            freshness: true,
            acceptance: true,
            window_seal: true,
            claim: true,
        }
    }
}
