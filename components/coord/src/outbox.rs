//! What machines want done, and the numbers of their calls.

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

/// Something that a machine wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Call the store.
    Store {
        /// Matches the reply.
        id: CallId,
        /// The step it is.
        step: Step,
        /// The call.
        call: StoreCall,
    },
    /// Send an order, unless `deadline` has passed right before.
    ///
    /// Whoever sends checks the clock last of all, and reports
    /// [`OrderReply::NotSent`] if the deadline has passed.
    Send {
        /// Matches the reply.
        id: CallId,
        /// The step it is.
        step: Step,
        /// The order.
        order: Order,
        /// Not to be sent at this time or later.
        deadline: Time,
    },
    /// Connect to a process's address and ask who it is.
    Probe {
        /// Matches the finding.
        id: CallId,
        /// The step it is.
        step: Step,
        /// The address.
        addr: SocketAddr,
    },
    /// Something that the embedding program may want to know.
    Notice(Notice),
}

/// Something that has come about.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Notice {
    /// The shard is owned from now on.
    Gained {
        /// The shard.
        shard: ShardId,
        /// Its epoch.
        epoch: Epoch,
    },
    /// The shard is not owned any more, or not for the time being.
    Lost {
        /// The shard.
        shard: ShardId,
    },
    /// Authority lasts until this time.
    Extended {
        /// The end, unless extended again.
        until: Time,
    },
    /// An order has been carried out or rejected, and its intent is closed.
    Completed {
        /// The order.
        order: OrderId,
        /// What became of it.
        reply: OrderReply,
    },
    /// A receiver gets no orders until a former sender is proved out.
    Frozen {
        /// The receiver.
        receiver: ReceiverId,
        /// The former sender.
        sender: Incarnation,
    },
    /// A former sender is proved out and the receiver may get orders again.
    Thawed {
        /// The receiver.
        receiver: ReceiverId,
        /// The proof.
        proof: Proof,
    },
    /// This incarnation is over and nothing of it is under way.
    Ended,
}

/// A few actions.
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

    pub(crate) fn note(&mut self, notice: Notice) {
        self.actions.push(Action::Notice(notice));
    }

    pub(crate) fn take(&mut self) -> Actions {
        std::mem::take(&mut self.actions)
    }
}
