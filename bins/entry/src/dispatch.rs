//! The final check before a request is sent to a target.
//!
//! A request may have waited in the queue, so it is checked again against the
//! view in force when it is dispatched. It is counted before that check, so
//! that this host never confirms a drain while it is dispatching a request to
//! the draining target.

use std::{net::SocketAddr, sync::Arc};

use chervilgate_model::Name;
use chervilgate_policy::TargetId;

use crate::{host::Host, outcome::Failure};

/// What allows a request to run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Authorization {
    /// The route needs no key.
    Open,
    /// The API key of this name.
    Key(Name),
}

/// Why a request is not dispatched.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum DispatchDenied {
    /// The view is no longer fresh, or session and view are restarting.
    Stale,
    /// The key has been withdrawn or removed.
    Withdrawn,
    /// The target has been removed or is draining.
    TargetUnavailable,
}

impl DispatchDenied {
    /// The error response if nothing ran; `None` if another target can be tried.
    pub(crate) fn to_failure(self) -> Option<Failure> {
        match self {
            DispatchDenied::Stale => {
                let message = "this host can no longer confirm which keys are valid";
                Some(Failure::unavailable("view_not_fresh", message))
            }
            DispatchDenied::Withdrawn => Some(Failure::unauthorized("the key has been withdrawn")),
            DispatchDenied::TargetUnavailable => None,
        }
    }
}

/// A request being dispatched; counted for its target until dropped.
pub(crate) struct Dispatch {
    host: Arc<Host>,
    target: String,
    addr: SocketAddr,
}

impl Dispatch {
    /// Counts a request and checks it against the view in force.
    ///
    /// # Errors
    /// If the request may not be sent to `target` now.
    pub(crate) fn begin(
        host: &Arc<Host>,
        authorization: &Authorization,
        target: TargetId,
    ) -> Result<Dispatch, DispatchDenied> {
        let listed = host
            .views
            .get()
            .view
            .target(target)
            .cloned()
            .ok_or(DispatchDenied::TargetUnavailable)?;
        let name = listed.name.to_string();
        host.dispatches().begin(&name);
        let dispatch = Dispatch { host: host.clone(), target: name, addr: listed.address };
        dispatch.check(authorization)?;
        Ok(dispatch)
    }

    /// The target's address.
    pub(crate) fn addr(&self) -> SocketAddr {
        self.addr
    }

    fn check(&self, authorization: &Authorization) -> Result<(), DispatchDenied> {
        if !self.host.can_dispatch() {
            return Err(DispatchDenied::Stale);
        }
        let state = self.host.views.get();
        if state.view.config.is_draining(&self.target) {
            return Err(DispatchDenied::TargetUnavailable);
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
