//! The last check before a request is handed to a target.
//!
//! A request may have waited: what counts is the view at the moment of its
//! dispatch. It is counted as on its way before that check, so that this host
//! never says that it holds a drain with a request still in its hands.

use std::{net::SocketAddr, sync::Arc};

use chervilgate_model::Name;
use chervilgate_policy::TargetId;

use crate::{host::Host, outcome::Failure};

/// What allows a request to run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Right {
    /// The route is open to all.
    Open,
    /// The key of this name.
    Key(Name),
}

/// Why a request is not handed over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Barred {
    /// The view is no longer confirmed.
    Stale,
    /// The key has been withdrawn or has gone.
    Withdrawn,
    /// The target has gone or gets no new work.
    TargetGone,
}

impl Barred {
    /// What the caller is told when nothing ran; none if another target may do.
    pub(crate) fn to_failure(self) -> Option<Failure> {
        match self {
            Barred::Stale => {
                let message = "this host can no longer confirm which keys are valid";
                Some(Failure::unavailable("view_not_fresh", message))
            }
            Barred::Withdrawn => Some(Failure::unauthorized("the key has been withdrawn")),
            Barred::TargetGone => None,
        }
    }
}

/// A request on its way to a target, until this is dropped.
pub(crate) struct Handover {
    host: Arc<Host>,
    target: String,
    addr: SocketAddr,
}

impl Handover {
    /// Checks and counts a request that is about to be sent.
    ///
    /// # Errors
    /// If the newest view does not allow it.
    pub(crate) fn begin(
        host: &Arc<Host>,
        right: &Right,
        target: TargetId,
    ) -> Result<Handover, Barred> {
        let listed = host.views.get().view.target(target).cloned().ok_or(Barred::TargetGone)?;
        let name = listed.name.to_string();
        host.handovers().begin(&name);
        let handover = Handover { host: host.clone(), target: name, addr: listed.address };
        handover.check(right)?;
        Ok(handover)
    }

    /// Where the request goes.
    pub(crate) fn addr(&self) -> SocketAddr {
        self.addr
    }

    fn check(&self, right: &Right) -> Result<(), Barred> {
        if !self.host.gate_is_open() {
            return Err(Barred::Stale);
        }
        let state = self.host.views.get();
        if state.view.config.is_draining(&self.target) {
            return Err(Barred::TargetGone);
        }
        let Right::Key(name) = right else {
            return Ok(());
        };
        if !state.is_fresh(self.host.borders.clock.now()) {
            return Err(Barred::Stale);
        }
        let record = state.view.config.keys.get(name).ok_or(Barred::Withdrawn)?;
        if state.is_withdrawn(record) { Err(Barred::Withdrawn) } else { Ok(()) }
    }
}

impl Drop for Handover {
    fn drop(&mut self) {
        self.host.handovers().end(&self.target);
    }
}
