//! The root actor, which starts the others and restarts them when they fail.
//!
//! The authority and view actors are restarted together. Both hold commitments
//! that the process made under its incarnation, and a restarted actor
//! has lost them, so the restart takes a new incarnation. It waits until every
//! request dispatched under the previous incarnation has reached its target,
//! because the new incarnation proves to other processes that the previous one
//! has nothing in flight.

use std::{sync::Arc, time::Duration};

use chervilgate_driver::{AuthorityActor, AuthorityMessage, ViewActor, ViewMessage};
use ractor::{Actor, ActorCell, ActorProcessingErr, ActorRef, SupervisionEvent};

use crate::{
    claims::ClaimActor,
    host::Host,
    poller::Poller,
    registrar::Registrar,
    session::{authority_args, view_args},
    usage::UsageActor,
};

/// Pause before a failed actor is restarted.
const RESTART_PAUSE: Duration = Duration::from_millis(200);

/// Starts and restarts the actors of one host.
pub(crate) struct Supervisor;

/// The units of restart.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Component {
    /// The session and view actors, which restart together.
    Coordination,
    /// The [`Registrar`].
    Registrar,
    /// The [`Poller`].
    Poller,
    /// The [`UsageActor`].
    Usage,
    /// The [`ClaimActor`].
    Claims,
}

/// Messages to the supervisor.
pub(crate) enum SupervisorMessage {
    /// Start a component.
    Start(Component),
    /// Restart as a new incarnation, since other processes have ended the session.
    RestartSession,
}

/// The host and its running actors.
pub(crate) struct SupervisorState {
    host: Arc<Host>,
    components: Vec<(ActorCell, Component)>,
}

impl Actor for Supervisor {
    type Msg = SupervisorMessage;
    type State = SupervisorState;
    type Arguments = Arc<Host>;

    async fn pre_start(
        &self,
        myself: ActorRef<SupervisorMessage>,
        host: Arc<Host>,
    ) -> Result<SupervisorState, ActorProcessingErr> {
        for component in [
            Component::Coordination,
            Component::Registrar,
            Component::Poller,
            Component::Usage,
            Component::Claims,
        ] {
            myself.cast(SupervisorMessage::Start(component))?;
        }
        Ok(SupervisorState { host, components: Vec::new() })
    }

    async fn handle(
        &self,
        myself: ActorRef<SupervisorMessage>,
        message: SupervisorMessage,
        state: &mut SupervisorState,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            SupervisorMessage::Start(component) => state.start(component, myself.get_cell()).await,
            SupervisorMessage::RestartSession => {
                log::warn!(target: "supervisor", "session ended by other processes; restarting it");
                state.kill_coordination();
                state.start(Component::Coordination, myself.get_cell()).await
            }
        }
    }

    async fn handle_supervisor_evt(
        &self,
        myself: ActorRef<SupervisorMessage>,
        event: SupervisionEvent,
        state: &mut SupervisorState,
    ) -> Result<(), ActorProcessingErr> {
        let SupervisionEvent::ActorFailed(cell, error) = event else {
            return Ok(());
        };
        let Some(component) = state.take_component(&cell) else {
            return Ok(());
        };
        log::error!(target: "supervisor", part:? = component, error:%;
            "actor failed; restarting it");
        tokio::time::sleep(RESTART_PAUSE).await;
        myself.cast(SupervisorMessage::Start(component))?;
        Ok(())
    }
}

impl SupervisorState {
    async fn start(
        &mut self,
        component: Component,
        parent: ActorCell,
    ) -> Result<(), ActorProcessingErr> {
        let host = self.host.clone();
        match component {
            Component::Coordination => self.start_coordination(parent).await?,
            Component::Registrar => {
                let (actor, _) = Actor::spawn_linked(None, Registrar, host, parent).await?;
                self.components.push((actor.get_cell(), component));
            }
            Component::Claims => {
                let (actor, _) = Actor::spawn_linked(None, ClaimActor, host, parent).await?;
                self.components.push((actor.get_cell(), component));
                self.host.set_actors(|actors| actors.claims = Some(actor));
            }
            Component::Usage => {
                let (actor, _) = Actor::spawn_linked(None, UsageActor, host, parent).await?;
                self.components.push((actor.get_cell(), component));
                self.host.set_actors(|actors| actors.usage = Some(actor));
            }
            Component::Poller => {
                let (actor, _) = Actor::spawn_linked(None, Poller, host, parent).await?;
                self.components.push((actor.get_cell(), component));
            }
        }
        Ok(())
    }

    async fn start_coordination(&mut self, parent: ActorCell) -> Result<(), ActorProcessingErr> {
        self.host.wait_dispatched().await;
        self.host.renew_incarnation();
        let args = authority_args(&self.host);
        let (authority, _): (ActorRef<AuthorityMessage>, _) =
            Actor::spawn_linked(None, AuthorityActor, args, parent.clone()).await?;
        let args = view_args(&self.host);
        let (view, _): (ActorRef<ViewMessage>, _) =
            Actor::spawn_linked(None, ViewActor, args, parent).await?;
        self.components.push((authority.get_cell(), Component::Coordination));
        self.components.push((view.get_cell(), Component::Coordination));
        // Entries send no orders, but the requests that they dispatch count as work in progress.
        authority.cast(AuthorityMessage::SetBusy(true))?;
        self.host.set_actors(|actors| {
            actors.authority = Some(authority);
            actors.view = Some(view);
        });
        self.host.enable_dispatch();
        Ok(())
    }

    /// Removes a failed actor and returns its component; kills the component's other actors.
    fn take_component(&mut self, failed: &ActorCell) -> Option<Component> {
        let index =
            self.components.iter().position(|(cell, _)| cell.get_id() == failed.get_id())?;
        let (_, component) = self.components.swap_remove(index);
        if component == Component::Coordination {
            self.kill_coordination();
        }
        Some(component)
    }

    fn kill_coordination(&mut self) {
        self.host.disable_dispatch();
        self.components.retain(|(cell, component)| {
            if *component == Component::Coordination {
                cell.kill();
            }
            *component != Component::Coordination
        });
        self.host.set_actors(|actors| {
            actors.authority = None;
            actors.view = None;
        });
    }
}
