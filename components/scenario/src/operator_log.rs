//! Results that nodes report to operators.

use std::{cell::RefCell, rc::Rc};

use chervilgate_clock::Time;
use chervilgate_coord::view::Seq;

/// A result that a node reports to an operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OperatorEvent {
    /// A published configuration was accepted.
    Accepted {
        /// Name of the configuration in the script.
        config: String,
        /// Sequence number of the view root that contains it.
        seq: Seq,
    },
    /// A publication was rejected because its base is outdated.
    Conflict {
        /// Name of the rejected configuration.
        config: String,
        /// Objects that differ between its base and the configuration in force.
        objects: Vec<String>,
    },
    /// A key's withdrawal was accepted.
    Withdrawn {
        /// Name of the key.
        key: String,
    },
    /// A node adopted a view root.
    Adopted {
        /// Sequence number of the root.
        seq: Seq,
    },
    /// The requests of a sealed usage window, as reported for billing.
    Billed {
        /// Number of the window.
        window: u64,
        /// Requests counted in the window, each once.
        requests: u64,
    },
}

/// Operator events in the order of their occurrence; clones share one log.
#[derive(Debug, Clone, Default)]
pub struct OperatorLog(Rc<RefCell<Vec<(Time, OperatorEvent)>>>);

impl OperatorLog {
    pub(crate) fn record(&self, now: Time, event: OperatorEvent) {
        self.0.borrow_mut().push((now, event));
    }

    /// Copies all events and their times.
    pub fn entries(&self) -> Vec<(Time, OperatorEvent)> {
        self.0.borrow().clone()
    }
}
