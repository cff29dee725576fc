//! The actor that claims requests in the platform's store before they are dispatched.

use std::{collections::BTreeMap, sync::Arc};

use chervilgate_coord::{
    CallId, CallIds, StoreReply,
    claim::{ClaimAction, ClaimActions, ClaimTable, Ticket},
};
use chervilgate_driver::WakeTimer;
use ractor::{Actor, ActorProcessingErr, ActorRef, RpcReplyPort};

use crate::host::Host;

/// First id of this component's store calls. Each component of a process has its own range
/// of 2^32 ids, so that a reply is matched to one component only.
const FIRST_CALL_ID: u64 = 5 << 32;

/// The outcome of a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ClaimOutcome {
    /// This host may run the request.
    Claimed,
    /// The request was claimed before and must not run here.
    Duplicate,
    /// No claim could be made, so the request must not run here.
    Failed,
}

/// Messages to the claim actor.
pub(crate) enum ClaimMessage {
    /// Claim a request.
    Claim {
        /// The organisation that sent it.
        organisation: String,
        /// Its idempotency key.
        key: String,
        /// Receives the outcome.
        answer: RpcReplyPort<ClaimOutcome>,
    },
    /// A reply of the platform's store.
    Reply(CallId, StoreReply),
    /// The claim table's next timer is due.
    Wake,
}

/// Claims this host's requests that have an idempotency key but no scope.
pub(crate) struct ClaimActor;

/// The claim actor's state.
pub(crate) struct ClaimState {
    host: Arc<Host>,
    table: ClaimTable,
    reply_ports: BTreeMap<Ticket, RpcReplyPort<ClaimOutcome>>,
    next_ticket: u64,
    alarm: WakeTimer,
}

impl Actor for ClaimActor {
    type Msg = ClaimMessage;
    type State = ClaimState;
    type Arguments = Arc<Host>;

    async fn pre_start(
        &self,
        _myself: ActorRef<ClaimMessage>,
        host: Arc<Host>,
    ) -> Result<ClaimState, ActorProcessingErr> {
        // A restarted actor has lost its claims, so it must claim under a new id.
        let me = chervilgate_coord::Incarnation(rand::random());
        let table = ClaimTable::new(me, CallIds::from(FIRST_CALL_ID), rand::random());
        Ok(ClaimState {
            host,
            table,
            reply_ports: BTreeMap::new(),
            next_ticket: 0,
            alarm: WakeTimer::default(),
        })
    }

    async fn handle(
        &self,
        myself: ActorRef<ClaimMessage>,
        message: ClaimMessage,
        state: &mut ClaimState,
    ) -> Result<(), ActorProcessingErr> {
        let now = state.host.deps.clock.now();
        let actions = match message {
            ClaimMessage::Claim { organisation, key, answer } => {
                let ticket = Ticket(state.next_ticket);
                state.next_ticket += 1;
                state.reply_ports.insert(ticket, answer);
                let deadline = now + state.host.settings.service_deadline;
                state.table.claim(now, ticket, &organisation, &key, deadline)
            }
            ClaimMessage::Reply(id, reply) => {
                state.table.reply(now, id, &reply).unwrap_or_default()
            }
            ClaimMessage::Wake => state.table.advance(now),
        };
        state.apply(&myself, actions);
        state.alarm.set(now, state.table.wake_at(), &myself, ClaimMessage::Wake);
        Ok(())
    }
}

impl ClaimState {
    fn apply(&mut self, myself: &ActorRef<ClaimMessage>, actions: ClaimActions) {
        for action in actions {
            match action {
                ClaimAction::Call { id, call, .. } => {
                    let (store, myself) = (self.host.deps.store.clone(), myself.clone());
                    tokio::spawn(async move {
                        let reply = store.call(&call).await;
                        let _ = myself.cast(ClaimMessage::Reply(id, reply));
                    });
                }
                ClaimAction::Run(ticket) => self.send_outcome(ticket, ClaimOutcome::Claimed),
                ClaimAction::Taken(ticket) => self.send_outcome(ticket, ClaimOutcome::Duplicate),
                ClaimAction::Refused(ticket) => self.send_outcome(ticket, ClaimOutcome::Failed),
            }
        }
    }

    fn send_outcome(&mut self, ticket: Ticket, outcome: ClaimOutcome) {
        if let Some(reply_port) = self.reply_ports.remove(&ticket) {
            let _ = reply_port.send(outcome);
        }
    }
}
