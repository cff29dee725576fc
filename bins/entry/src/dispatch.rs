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
pub(crate) enum Authorization {
    /// The route is open to all.
    Open,
    /// The key of this name.
    Key(Name),
}

/// Why a request is not handed over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum DispatchDenied {
    /// The view is no longer confirmed.
    Stale,
    /// The key has been withdrawn or has gone.
    Withdrawn,
    /// The target has gone or gets no new work.
    TargetGone,
}

impl DispatchDenied {
    /// What the caller is told when nothing ran; none if another target may do.
    pub(crate) fn to_failure(self) -> Option<Failure> {
        match self {
            DispatchDenied::Stale => {
                let message = "this host can no longer confirm which keys are valid";
                Some(Failure::unavailable("view_not_fresh", message))
            }
            DispatchDenied::Withdrawn => Some(Failure::unauthorized("the key has been withdrawn")),
            DispatchDenied::TargetGone => None,
        }
    }
}

/// A request on its way to a target, until this is dropped.
pub(crate) struct Dispatch {
    host: Arc<Host>,
    target: String,
    addr: SocketAddr,
}

impl Dispatch {
    /// Checks and counts a request that is about to be sent.
    ///
    /// # Errors
    /// If the newest view does not allow it.
    pub(crate) fn begin(
        host: &Arc<Host>,
        authorization: &Authorization,
        target: TargetId,
    ) -> Result<Dispatch, DispatchDenied> {
        let listed =
            host.views.get().view.target(target).cloned().ok_or(DispatchDenied::TargetGone)?;
        let name = listed.name.to_string();
        host.dispatches().begin(&name);
        let dispatch = Dispatch { host: host.clone(), target: name, addr: listed.address };
        dispatch.check(authorization)?;
        Ok(dispatch)
    }

    /// Where the request goes.
    pub(crate) fn addr(&self) -> SocketAddr {
        self.addr
    }

    fn check(&self, authorization: &Authorization) -> Result<(), DispatchDenied> {
        if !self.host.can_dispatch() {
            return Err(DispatchDenied::Stale);
        }
        let state = self.host.views.get();
        if state.view.config.is_draining(&self.target) {
            return Err(DispatchDenied::TargetGone);
        }
        let Authorization::Key(name) = authorization else {
            return Ok(());
        };
        if !state.is_fresh(self.host.deps.clock.now()) {
            return Err(DispatchDenied::Stale);
        }
        let record = state.view.config.keys.get(name).ok_or(DispatchDenied::Withdrawn)?;
        if state.is_withdrawn(record) { Err(DispatchDenied::Withdrawn) } else { Ok(()) }
    }
}

impl Drop for Dispatch {
    fn drop(&mut self) {
        self.host.dispatches().end(&self.target);
    }
}
