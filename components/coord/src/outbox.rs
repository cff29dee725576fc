//! Actions and notices that the state machines return, and call ids for the actions.

use std::net::SocketAddr;

use chervilgate_clock::Time;
use smallvec::SmallVec;

use crate::{
    ident::Incarnation,
    order::{Epoch, Order, OrderId, OrderReply, ReceiverId, ShardId},
    step::Step,
    store::{CallId, CallIds, StoreCall},
    takeover::Proof,
};

/// An action for the driver to carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Call the store.
    Store {
        /// Matches the reply.
        id: CallId,
        /// The protocol step of the call.
        step: Step,
        /// The call.
        call: StoreCall,
    },
    /// Send an order, unless `deadline` has passed.
    ///
    /// The sender checks the clock immediately before it sends, and reports
    /// [`OrderReply::NotSent`] if the deadline has passed.
    Send {
        /// Matches the reply.
        id: CallId,
        /// The protocol step of the order.
        step: Step,
        /// The order.
        order: Order,
        /// The order must not be sent at this time or later.
        deadline: Time,
    },
    /// Connect to a process's address and ask for its incarnation.
    Probe {
        /// Matches the result.
        id: CallId,
        /// The protocol step of the probe.
        step: Step,
        /// The address.
        addr: SocketAddr,
    },
    /// A change that the driver may act on or log.
    Notice(Notice),
}

/// A change of state, reported to the driver.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Notice {
    /// This process owns the shard from now on.
    Gained {
        /// The shard.
        shard: ShardId,
        /// Its epoch.
        epoch: Epoch,
    },
    /// This process does not own the shard now; it may be reported as gained again.
    Lost {
        /// The shard.
        shard: ShardId,
    },
    /// The session has been renewed.
    Renewed {
        /// When it expires unless renewed again.
        until: Time,
    },
    /// An order has been executed or rejected, and its intent is closed.
    Completed {
        /// The order.
        order: OrderId,
        /// The outcome.
        reply: OrderReply,
    },
    /// A receiver gets no orders until a former sender is proved unable to send.
    Frozen {
        /// The receiver.
        receiver: ReceiverId,
        /// The former sender.
        sender: Incarnation,
    },
    /// The former sender is proved unable to send, and the receiver may get orders again.
    Unfrozen {
        /// The receiver.
        receiver: ReceiverId,
        /// The proof.
        proof: Proof,
    },
    /// This incarnation has ended, and nothing that it sent is in flight.
    Ended,
}

/// Actions that result from one event.
pub type Actions = SmallVec<[Action; 4]>;

/// Collects actions while an event is handled.
#[derive(Debug, Clone)]
pub(crate) struct Outbox {
    ids: CallIds,
    actions: Actions,
}

impl Outbox {
    pub(crate) fn new(ids: CallIds) -> Outbox {
        Outbox { ids, actions: Actions::new() }
    }

    pub(crate) fn call(&mut self, step: Step, call: StoreCall) -> CallId {
        let id = self.ids.next_id();
        self.actions.push(Action::Store { id, step, call });
        id
    }

    pub(crate) fn send(&mut self, step: Step, order: Order, deadline: Time) -> CallId {
        let id = self.ids.next_id();
        self.actions.push(Action::Send { id, step, order, deadline });
        id
    }

    pub(crate) fn probe(&mut self, step: Step, addr: SocketAddr) -> CallId {
        let id = self.ids.next_id();
        self.actions.push(Action::Probe { id, step, addr });
        id
    }

    pub(crate) fn notify(&mut self, notice: Notice) {
        self.actions.push(Action::Notice(notice));
    }

    pub(crate) fn take(&mut self) -> Actions {
        std::mem::take(&mut self.actions)
    }
}
