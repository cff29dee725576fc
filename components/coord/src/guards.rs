//! Switches for the protections, for tests of the tests.

/// Protections of the protocols; all on by default.
///
/// Tests switch one off to prove that the checker notices its absence. A
/// daemon has no reason to construct anything but the default.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Guards {
    /// Orders carry a fencing token that grows with the epoch.
    pub epoch: bool,
    /// An order is written down before it is sent.
    pub intent: bool,
    /// A receiver that does not check fencing tokens waits for proof.
    pub proof: bool,
    /// A lapsed session is sealed in the store before its shards are taken.
    pub session_seal: bool,
    /// An unanswered order's connection is given time to end.
    pub flight: bool,
    /// Keyed work is refused while the view is not confirmed.
    pub freshness: bool,
    /// A change is accepted only once a majority of the voters holds it.
    pub acceptance: bool,
    /// A window's seal is never replaced.
    pub seal: bool,
    /// A request that may not be repeated is claimed before it is dispatched.
    pub claim: bool,
}

impl Default for Guards {
    fn default() -> Guards {
        Guards {
            epoch: true,
            intent: true,
            proof: true,
            session_seal: true,
            flight: true,
            freshness: true,
            acceptance: true,
            seal: true,
            claim: true,
        }
    }
}
