//! Graceful shutdown of a node: it finishes its requests and hands over the
//! results of scoped requests to another node.

use std::time::Duration;

use chervilgate_clock::Time;
use chervilgate_coord::{Incarnation, Node, claim::ScopeDirectory};
use chervilgate_testbed::{Fact, Output};

use crate::node::{EntryNode, message::NodeMessage, send};

/// How long callers may still use the node's address from a locate answer.
const ADDRESS_LIFETIME: Duration = Duration::from_secs(5);

/// Interval between handover attempts.
const HANDOVER_INTERVAL: Duration = Duration::from_secs(1);

/// How long to wait for the successor before releasing the shards without it.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(10);

#[derive(Debug, Clone, PartialEq, Eq, Default)]
enum Stage {
    #[default]
    Running,
    FinishingCalls {
        since: Time,
    },
    HandingOver {
        since: Time,
        successor: Node,
        retry_at: Time,
    },
    Releasing,
}

/// Progress of a node's graceful shutdown.
#[derive(Debug, Clone, Default)]
pub(super) struct Shutdown {
    stage: Stage,
}

impl Shutdown {
    /// Whether new requests are refused.
    pub(super) fn refuses_calls(&self, now: Time) -> bool {
        match self.stage {
            Stage::Running => false,
            Stage::FinishingCalls { since } => now - since >= ADDRESS_LIFETIME,
            Stage::HandingOver { .. } | Stage::Releasing => true,
        }
    }

    /// Whether all requests have finished and the shards are being released.
    pub(super) fn is_releasing(&self) -> bool {
        self.stage == Stage::Releasing
    }

    pub(super) fn wake_at(&self) -> Time {
        match self.stage {
            Stage::Running | Stage::Releasing => Time::NEVER,
            Stage::FinishingCalls { since } => since + ADDRESS_LIFETIME,
            Stage::HandingOver { retry_at, .. } => retry_at,
        }
    }
}

impl EntryNode {
    pub(super) fn begin_shutdown(&mut self, now: Time) {
        if self.shutdown.stage == Stage::Running {
            self.memory.close();
            self.shutdown.stage = Stage::FinishingCalls { since: now };
        }
    }

    pub(super) fn advance_shutdown(&mut self, now: Time, out: &mut Vec<Output>) {
        match self.shutdown.stage.clone() {
            Stage::Running => {}
            Stage::FinishingCalls { since } => {
                let idle = self.jobs.count() == 0 && self.forwards.is_empty();
                if now - since >= ADDRESS_LIFETIME && idle {
                    self.begin_handover(now, out);
                }
            }
            Stage::HandingOver { since, successor, retry_at } => {
                if now - since >= HANDOVER_TIMEOUT {
                    self.release(now, out);
                } else if now >= retry_at {
                    self.hand_over(since, &successor, now, out);
                }
            }
            Stage::Releasing if self.owner.session_ended => {
                let name = self.me.addr.to_string();
                let running = self.jobs.count();
                out.push(Output::Record(Fact::Stopped { name, running }));
                out.push(Output::Exit);
            }
            Stage::Releasing => {}
        }
    }

    /// Handles a successor's confirmation: informs the other nodes and releases the shards.
    pub(super) fn successor_confirmed(
        &mut self,
        now: Time,
        successor: Incarnation,
        out: &mut Vec<Output>,
    ) {
        let Stage::HandingOver { successor: chosen, .. } = &self.shutdown.stage else {
            return;
        };
        if chosen.incarnation != successor {
            return;
        }
        let others: Vec<Node> =
            self.members.iter().filter(|node| **node != self.me).cloned().collect();
        for transfer in self.memory.export_keys() {
            let message = NodeMessage::Heir { of: transfer.keeper, heir: successor };
            for node in &others {
                send(out, node.addr, &message, "tell heir");
            }
        }
        self.release(now, out);
    }

    fn begin_handover(&mut self, now: Time, out: &mut Vec<Output>) {
        self.memory.seal();
        self.usage.meter.prepare_stop(now);
        match ScopeDirectory::choose_successor(&self.me, &self.members) {
            Some(successor) => self.hand_over(now, &successor, now, out),
            None => self.release(now, out),
        }
    }

    fn hand_over(&mut self, since: Time, successor: &Node, now: Time, out: &mut Vec<Output>) {
        let message = NodeMessage::Legacies(self.memory.export_keys());
        send(out, successor.addr, &message, "hand over");
        let retry_at = now + HANDOVER_INTERVAL;
        self.shutdown.stage = Stage::HandingOver { since, successor: successor.clone(), retry_at };
    }

    fn release(&mut self, now: Time, out: &mut Vec<Output>) {
        self.shutdown.stage = Stage::Releasing;
        self.owner.stop(now, out);
    }
}
