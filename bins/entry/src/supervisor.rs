//! The actor at the root: starts the others again when they fail.
//!
//! Authority and view stand and fall together: their machines keep promises
//! that the process gave as one incarnation, and a restarted machine has
//! forgotten them. So both begin again as a new incarnation, and not before
//! every request that the former one handed over has met its target: the new
//! incarnation proves to others that the former one has nothing under way.

use std::{sync::Arc, time::Duration};

use chervilgate_driver::{AuthorityActor, AuthorityMessage, ViewActor, ViewMessage};
use ractor::{Actor, ActorCell, ActorProcessingErr, ActorRef, SupervisionEvent};

use crate::{
    claims::ClaimKeeper,
    host::Host,
    poller::Poller,
    registrar::Registrar,
    session::{authority_args, view_args},
    usage::UsageKeeper,
};

/// Pause before a failed actor is started again.
const RESTART_PAUSE: Duration = Duration::from_millis(200);

/// Supervises the actors of one host.
pub(crate) struct Supervisor;

/// The actors under supervision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Part {
    /// Runs session and view.
    Coordination,
    /// Registers the host.
    Registrar,
    /// Reads engines' load.
    Poller,
    /// Counts usage.
    Usage,
    /// Claims requests.
    Claims,
}

/// What the supervisor is told.
pub(crate) enum SupervisorMessage {
    /// Start a part.
    Start(Part),
    /// Begin again as a new incarnation: the session has been ended by others.
    Renew,
}

/// The supervisor's state.
pub(crate) struct Running {
    host: Arc<Host>,
    parts: Vec<(ActorCell, Part)>,
}

impl Actor for Supervisor {
    type Msg = SupervisorMessage;
    type State = Running;
    type Arguments = Arc<Host>;

    async fn pre_start(
        &self,
        myself: ActorRef<SupervisorMessage>,
        host: Arc<Host>,
    ) -> Result<Running, ActorProcessingErr> {
        for part in [Part::Coordination, Part::Registrar, Part::Poller, Part::Usage, Part::Claims] {
            myself.cast(SupervisorMessage::Start(part))?;
        }
        Ok(Running { host, parts: Vec::new() })
    }

    async fn handle(
        &self,
        myself: ActorRef<SupervisorMessage>,
        message: SupervisorMessage,
        state: &mut Running,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            SupervisorMessage::Start(part) => state.start(part, myself.get_cell()).await,
            SupervisorMessage::Renew => {
                log::warn!(target: "supervisor", "the session was ended by others; beginning again");
                state.end_coordination();
                state.start(Part::Coordination, myself.get_cell()).await
            }
        }
    }

    async fn handle_supervisor_evt(
        &self,
        myself: ActorRef<SupervisorMessage>,
        event: SupervisionEvent,
        state: &mut Running,
    ) -> Result<(), ActorProcessingErr> {
        let SupervisionEvent::ActorFailed(cell, error) = event else {
            return Ok(());
        };
        let Some(part) = state.take(&cell) else {
            return Ok(());
        };
        log::error!(target: "supervisor", part:? = part, error:%; "actor failed; starting it again");
        tokio::time::sleep(RESTART_PAUSE).await;
        myself.cast(SupervisorMessage::Start(part))?;
        Ok(())
    }
}

impl Running {
    async fn start(&mut self, part: Part, parent: ActorCell) -> Result<(), ActorProcessingErr> {
        let host = self.host.clone();
        match part {
            Part::Coordination => self.start_coordination(parent).await?,
            Part::Registrar => {
                let (actor, _) = Actor::spawn_linked(None, Registrar, host, parent).await?;
                self.parts.push((actor.get_cell(), part));
            }
            Part::Claims => {
                let (actor, _) = Actor::spawn_linked(None, ClaimKeeper, host, parent).await?;
                self.parts.push((actor.get_cell(), part));
                self.host.set_links(|links| links.claims = Some(actor));
            }
            Part::Usage => {
                let (actor, _) = Actor::spawn_linked(None, UsageKeeper, host, parent).await?;
                self.parts.push((actor.get_cell(), part));
                self.host.set_links(|links| links.usage = Some(actor));
            }
            Part::Poller => {
                let (actor, _) = Actor::spawn_linked(None, Poller, host, parent).await?;
                self.parts.push((actor.get_cell(), part));
            }
        }
        Ok(())
    }

    async fn start_coordination(&mut self, parent: ActorCell) -> Result<(), ActorProcessingErr> {
        self.host.wait_handed_over().await;
        self.host.renew_incarnation();
        let args = authority_args(&self.host);
        let (authority, _): (ActorRef<AuthorityMessage>, _) =
            Actor::spawn_linked(None, AuthorityActor, args, parent.clone()).await?;
        let args = view_args(&self.host);
        let (view, _): (ActorRef<ViewMessage>, _) =
            Actor::spawn_linked(None, ViewActor, args, parent).await?;
        self.parts.push((authority.get_cell(), Part::Coordination));
        self.parts.push((view.get_cell(), Part::Coordination));
        // Entries give no orders, but the requests that they hand over count.
        authority.cast(AuthorityMessage::SetBusy(true))?;
        self.host.set_links(|links| {
            links.authority = Some(authority);
            links.view = Some(view);
        });
        self.host.open_gate();
        Ok(())
    }

    /// The part that a failed actor belonged to; its other actors are ended.
    fn take(&mut self, failed: &ActorCell) -> Option<Part> {
        let index = self.parts.iter().position(|(cell, _)| cell.get_id() == failed.get_id())?;
        let (_, part) = self.parts.swap_remove(index);
        if part == Part::Coordination {
            self.end_coordination();
        }
        Some(part)
    }

    fn end_coordination(&mut self) {
        self.host.close_gate();
        self.parts.retain(|(cell, part)| {
            if *part == Part::Coordination {
                cell.kill();
            }
            *part != Part::Coordination
        });
        self.host.set_links(|links| {
            links.authority = None;
            links.view = None;
        });
    }
}
