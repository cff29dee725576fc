//! Usage accounting of a node: counts requests, mirrors the counts to another
//! node, and seals and reports windows.

use std::time::Duration;

use chervilgate_clock::Time;
use chervilgate_coord::{
    CallId, CallIds, Guards, Incarnation, StoreReply, encode,
    window::{
        Mirror, MirrorAction, SealerAction, Usage as RequestUsage, UsageMeter, UsageMeterAction,
        UsageSheet, WindowId, WindowSealer,
    },
};
use chervilgate_testbed::Output;

use crate::{
    node::{
        EntryNode,
        message::{NodeMessage, usage_shard},
    },
    operator_log::OperatorEvent,
};

/// A node's state for usage windows.
pub(super) struct Usage {
    span: Duration,
    guards: Guards,
    seed: u64,
    pub(super) meter: UsageMeter,
    pub(super) mirror: Mirror,
    sealer: Option<WindowSealer>,
    meter_actions: Vec<UsageMeterAction>,
    sealer_actions: Vec<SealerAction>,
}

impl Usage {
    pub(super) fn new(me: Incarnation, span: Duration, guards: Guards, seed: u64) -> Usage {
        Usage {
            span,
            guards,
            seed,
            meter: UsageMeter::new(me, usage_shard(), 1, Time::ZERO, seed),
            mirror: Mirror::default(),
            sealer: None,
            meter_actions: Vec::new(),
            sealer_actions: Vec::new(),
        }
    }

    pub(super) fn count_request(&mut self, key: &str) {
        self.meter.add(key, RequestUsage { requests: 1, prompt: 100, generated: 10 });
    }

    pub(super) fn note_sheet(&mut self, entry: Incarnation, window: WindowId, sheet: UsageSheet) {
        self.mirror.update(entry, window, sheet);
    }

    pub(super) fn take_over(&mut self, now: Time, entry: Incarnation) {
        self.mirror.store_sheets_of(now, entry, self.seed ^ entry.0);
    }

    pub(super) fn wake_at(&self) -> Time {
        let sealer = self.sealer.as_ref().map_or(Time::NEVER, WindowSealer::wake_at);
        self.meter.wake_at().min(self.mirror.wake_at()).min(sealer)
    }

    pub(super) fn handle_reply(
        &mut self,
        now: Time,
        ids: &mut CallIds,
        id: CallId,
        reply: &StoreReply,
        out: &mut Vec<Output>,
    ) {
        if let Some(actions) = self.meter.reply(now, ids, id, reply) {
            self.meter_actions.extend(actions);
        } else if let Some(actions) = self.mirror.reply(now, ids, id, reply) {
            push_mirror_calls(actions, out);
        } else if let Some(sealer) = &mut self.sealer
            && let Some(actions) = sealer.reply(now, ids, id, reply)
        {
            self.sealer_actions.extend(actions);
        }
    }
}

fn push_mirror_calls(actions: impl IntoIterator<Item = MirrorAction>, out: &mut Vec<Output>) {
    for MirrorAction::Call { id, step, call } in actions {
        out.push(Output::Store { id, step, call });
    }
}

impl EntryNode {
    pub(super) fn advance_usage(&mut self, now: Time, out: &mut Vec<Output>) {
        self.update_sealer(now);
        let usage = &mut self.usage;
        usage.meter_actions.extend(usage.meter.advance(now, &mut self.ids));
        push_mirror_calls(usage.mirror.advance(now, &mut self.ids), out);
        if let Some(sealer) = &mut usage.sealer {
            usage.sealer_actions.extend(sealer.advance(now, &mut self.ids));
        }
        for action in std::mem::take(&mut self.usage.meter_actions) {
            self.apply_meter_action(action, out);
        }
        for action in std::mem::take(&mut self.usage.sealer_actions) {
            self.apply_sealer_action(now, action, out);
        }
    }

    /// Runs a sealer exactly while this node owns the usage shard.
    fn update_sealer(&mut self, now: Time) {
        match self.owner.last_reported(now) {
            None => self.usage.sealer = None,
            Some(reported) if self.usage.sealer.is_none() => {
                let (span, seed) = (self.usage.span, self.usage.seed);
                let sealer = WindowSealer::new(usage_shard(), reported, span, seed);
                self.usage.sealer = Some(sealer.with_guards(self.usage.guards));
            }
            Some(_) => {}
        }
    }

    fn apply_meter_action(&mut self, action: UsageMeterAction, out: &mut Vec<Output>) {
        match action {
            UsageMeterAction::Call { id, step, call } => out.push(Output::Store { id, step, call }),
            UsageMeterAction::Mirror { window, step, sheet } => {
                let others = self.members.iter().filter(|node| **node != self.me);
                let same_zone = |node: &&chervilgate_coord::Node| node.zone == self.me.zone;
                let ring_distance = |node: &&chervilgate_coord::Node| {
                    node.incarnation.0.wrapping_sub(self.me.incarnation.0)
                };
                let Some(mirror) = others.min_by_key(|node| (same_zone(node), ring_distance(node)))
                else {
                    return;
                };
                let entry = self.me.incarnation;
                let body = encode(&NodeMessage::Sheet { entry, window, sheet });
                out.push(Output::Peer { step, to: mirror.addr, body });
            }
        }
    }

    fn apply_sealer_action(&mut self, now: Time, action: SealerAction, out: &mut Vec<Output>) {
        match action {
            SealerAction::Call { id, step, call } => out.push(Output::Store { id, step, call }),
            SealerAction::Report { window, seal } => {
                let (window, requests) = (window.number, seal.total.requests());
                self.settings.operator_log.record(now, OperatorEvent::Billed { window, requests });
                self.owner.queue_report(window, &encode(&seal.total));
            }
        }
    }
}
