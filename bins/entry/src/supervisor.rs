//! The actor at the root: starts the others again when they fail.

use std::{sync::Arc, time::Duration};

use ractor::{Actor, ActorCell, ActorProcessingErr, ActorRef, SupervisionEvent};

use crate::{host::Host, keeper::Keeper, poller::Poller, registrar::Registrar};

/// Pause before a failed actor is started again.
const RESTART_PAUSE: Duration = Duration::from_millis(200);

/// Supervises the actors of one host.
pub(crate) struct Supervisor;

/// The actors under supervision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Part {
    /// Keeps the view.
    Keeper,
    /// Registers the host.
    Registrar,
    /// Reads engines' load.
    Poller,
}

/// What the supervisor is told.
pub(crate) enum SupervisorMessage {
    /// Start a part.
    Start(Part),
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
        for part in [Part::Keeper, Part::Registrar, Part::Poller] {
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
        let SupervisorMessage::Start(part) = message;
        let cell = start_part(part, state.host.clone(), myself.get_cell()).await?;
        state.parts.push((cell, part));
        Ok(())
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
        let index = state.parts.iter().position(|(known, _)| known.get_id() == cell.get_id());
        let Some(index) = index else {
            return Ok(());
        };
        let (_, part) = state.parts.swap_remove(index);
        log::error!(target: "supervisor", part:? = part, error:%; "actor failed; starting it again");
        tokio::time::sleep(RESTART_PAUSE).await;
        myself.cast(SupervisorMessage::Start(part))?;
        Ok(())
    }
}

async fn start_part(
    part: Part,
    host: Arc<Host>,
    parent: ActorCell,
) -> Result<ActorCell, ActorProcessingErr> {
    let cell = match part {
        Part::Keeper => Actor::spawn_linked(None, Keeper, host, parent).await?.0.get_cell(),
        Part::Registrar => Actor::spawn_linked(None, Registrar, host, parent).await?.0.get_cell(),
        Part::Poller => Actor::spawn_linked(None, Poller, host, parent).await?.0.get_cell(),
    };
    Ok(cell)
}
