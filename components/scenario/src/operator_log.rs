//! What operators are told, by the nodes that they talk to.

use std::{cell::RefCell, rc::Rc};

use chervilgate_clock::Time;
use chervilgate_coord::view::Seq;

/// A node's word to an operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OperatorEvent {
    /// The configuration is accepted.
    Accepted {
        /// Its name.
        config: String,
        /// The root that brought it.
        seq: Seq,
    },
    /// Another configuration came first.
    Conflict {
        /// Its name.
        config: String,
        /// Objects that differ.
        objects: Vec<String>,
    },
    /// The withdrawal is accepted.
    Withdrawn {
        /// The key.
        key: String,
    },
    /// A node has this root in force.
    Adopted {
        /// The root.
        seq: Seq,
    },
    /// A sealed window's requests, counted once.
    Billed {
        /// The window.
        window: u64,
        /// Requests in it.
        requests: u64,
    },
}

/// Everything that operators were told, in order.
#[derive(Debug, Clone, Default)]
pub struct OperatorLog(Rc<RefCell<Vec<(Time, OperatorEvent)>>>);

impl OperatorLog {
    pub(crate) fn record(&self, now: Time, event: OperatorEvent) {
        self.0.borrow_mut().push((now, event));
    }

    /// A copy of all entries.
    pub fn entries(&self) -> Vec<(Time, OperatorEvent)> {
        self.0.borrow().clone()
    }
}
