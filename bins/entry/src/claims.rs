//! The actor that claims requests in the platform before their dispatch.

use std::{collections::BTreeMap, sync::Arc};

use chervilgate_coord::{
    CallId, CallIds, StoreReply,
    claim::{ClaimTable, TableAction, TableActions, Ticket},
};
use chervilgate_driver::Alarm;
use ractor::{Actor, ActorProcessingErr, ActorRef, RpcReplyPort};

use crate::host::Host;

/// Calls of this actor are numbered apart from those of the others.
const FIRST_CALL: u64 = 5 << 32;

/// What became of a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ClaimAnswer {
    /// The request is this host's to run.
    Run,
    /// It was claimed before.
    Taken,
    /// No claim could be made; nothing was dispatched here.
    Refused,
}

/// What the keeper of claims is told.
pub(crate) enum ClaimMessage {
    /// A request is to be claimed.
    Claim {
        /// Whose it is.
        organisation: String,
        /// Its idempotency key.
        key: String,
        /// Takes the outcome.
        answer: RpcReplyPort<ClaimAnswer>,
    },
    /// A reply of the platform's store.
    Reply(CallId, StoreReply),
    /// The table's time has come.
    Wake,
}

/// Claims one host's requests.
pub(crate) struct ClaimKeeper;

/// The keeper's state.
pub(crate) struct ClaimState {
    host: Arc<Host>,
    table: ClaimTable,
    answers: BTreeMap<Ticket, RpcReplyPort<ClaimAnswer>>,
    next: u64,
    alarm: Alarm,
}

impl Actor for ClaimKeeper {
    type Msg = ClaimMessage;
    type State = ClaimState;
    type Arguments = Arc<Host>;

    async fn pre_start(
        &self,
        _myself: ActorRef<ClaimMessage>,
        host: Arc<Host>,
    ) -> Result<ClaimState, ActorProcessingErr> {
        // A restarted keeper has forgotten its claims, so it is another claimer.
        let me = chervilgate_coord::Incarnation(rand::random());
        let table = ClaimTable::new(me, CallIds::from(FIRST_CALL), rand::random());
        Ok(ClaimState { host, table, answers: BTreeMap::new(), next: 0, alarm: Alarm::default() })
    }

    async fn handle(
        &self,
        myself: ActorRef<ClaimMessage>,
        message: ClaimMessage,
        state: &mut ClaimState,
    ) -> Result<(), ActorProcessingErr> {
        let now = state.host.borders.clock.now();
        let actions = match message {
            ClaimMessage::Claim { organisation, key, answer } => {
                let ticket = Ticket(state.next);
                state.next += 1;
                state.answers.insert(ticket, answer);
                let deadline = now + state.host.settings.service_deadline;
                state.table.claim(now, ticket, &organisation, &key, deadline)
            }
            ClaimMessage::Reply(id, reply) => {
                state.table.reply(now, id, &reply).unwrap_or_default()
            }
            ClaimMessage::Wake => state.table.advance(now),
        };
        state.act(&myself, actions);
        state.alarm.set(now, state.table.wake_at(), &myself, ClaimMessage::Wake);
        Ok(())
    }
}

impl ClaimState {
    fn act(&mut self, myself: &ActorRef<ClaimMessage>, actions: TableActions) {
        for action in actions {
            match action {
                TableAction::Call { id, call, .. } => {
                    let (store, myself) = (self.host.borders.store.clone(), myself.clone());
                    tokio::spawn(async move {
                        let reply = store.call(&call).await;
                        let _ = myself.cast(ClaimMessage::Reply(id, reply));
                    });
                }
                TableAction::Run(ticket) => self.tell(ticket, ClaimAnswer::Run),
                TableAction::Taken(ticket) => self.tell(ticket, ClaimAnswer::Taken),
                TableAction::Refused(ticket) => self.tell(ticket, ClaimAnswer::Refused),
            }
        }
    }

    fn tell(&mut self, ticket: Ticket, outcome: ClaimAnswer) {
        if let Some(answer) = self.answers.remove(&ticket) {
            let _ = answer.send(outcome);
        }
    }
}
