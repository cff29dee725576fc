//! The last check of a call, and the fault that strikes there.

use chervilgate_coord::{CallId, Step};

use crate::{
    bed::{
        Bed, StoreMode,
        calls::Passage,
        hosts::{Held, HostState},
    },
    fault::Fault,
    history::Fact,
    network::HostId,
    process::{Answer, Input, Output},
    queue::Event,
};

/// What is to happen to a call's answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Mark {
    Lost,
    Doubled,
    Late,
}

impl Bed {
    pub(super) fn check(&mut self, host: HostId, life: u64, output: Output) {
        let Some(step) = step_of(&output) else {
            return;
        };
        if let Output::Call { id, deadline, .. } = &output
            && *deadline <= self.now
        {
            let input = Input::Answer { id: *id, reply: Answer::NotSent };
            self.push(self.now, Event::Deliver { host, life, input });
            return;
        }
        self.record(host, Fact::Called(step));
        match self.strikes_now(host, step) {
            Some(fault) => self.strike_call(host, life, output, fault),
            None => self.leave(host, life, output, Passage::Once),
        }
    }

    fn strikes_now(&mut self, host: HostId, step: Step) -> Option<Fault> {
        let anywhere = count(self.seen.entry((step, None)).or_default());
        let here = count(self.seen.entry((step, Some(host))).or_default());
        let position = self.strikes.iter().position(|strike| {
            let nth = if strike.host.is_some() { here } else { anywhere };
            strike.step == step && strike.nth == nth && strike.host.is_none_or(|id| id == host)
        })?;
        let strike = self.strikes.remove(position);
        self.record(host, Fact::Faulted(strike.to_string()));
        Some(strike.fault)
    }

    fn strike_call(&mut self, host: HostId, life: u64, output: Output, fault: Fault) {
        let spans = self.spans;
        match fault {
            Fault::KilledBefore => self.kill(host, Some(spans.restart)),
            Fault::KilledAfter => {
                self.leave(host, life, output, Passage::Once);
                self.kill(host, Some(spans.restart));
            }
            Fault::Vanished => {
                self.leave(host, life, output, Passage::Once);
                self.vanish(host);
            }
            Fault::PausedBefore => {
                self.pause(host, spans.pause);
                self.hosts[host.0].held.push(Held::Checked(output));
            }
            Fault::PausedAfter => {
                self.leave(host, life, output, Passage::Once);
                self.pause(host, spans.pause);
            }
            Fault::Partitioned => {
                self.partition(host, spans.partition);
                self.leave(host, life, output, Passage::Once);
            }
            Fault::CallLost => self.leave(host, life, output, Passage::Never),
            Fault::AnswerLost => self.mark(host, life, output, Mark::Lost),
            Fault::AnswerDoubled => self.mark(host, life, output, Mark::Doubled),
            Fault::AnswerLate => self.mark(host, life, output, Mark::Late),
            Fault::CallDoubled if matches!(output, Output::Call { .. }) => {
                self.mark(host, life, output, Mark::Doubled);
            }
            Fault::CallLate => self.leave(host, life, output, Passage::Late),
            Fault::CallDoubled => {
                self.leave(host, life, output, Passage::Twice);
            }
            Fault::StoreSlow => self.disturb_store(host, life, output, StoreMode::Slow),
            Fault::StoreDown => self.disturb_store(host, life, output, StoreMode::Down),
        }
    }

    fn mark(&mut self, host: HostId, life: u64, output: Output, mark: Mark) {
        if let Some(id) = id_of(&output) {
            self.marks.insert((host, life, id), mark);
        }
        self.leave(host, life, output, Passage::Once);
    }

    fn disturb_store(&mut self, host: HostId, life: u64, output: Output, mode: StoreMode) {
        self.disturb_store_for(mode, self.spans.outage);
        if self.hosts[host.0].state == HostState::Up {
            self.leave(host, life, output, Passage::Once);
        }
    }
}

fn count(seen: &mut usize) -> usize {
    let nth = *seen;
    *seen += 1;
    nth
}

fn step_of(output: &Output) -> Option<Step> {
    match output {
        Output::Store { step, .. }
        | Output::Call { step, .. }
        | Output::Probe { step, .. }
        | Output::Peer { step, .. } => Some(*step),
        Output::Record(_) | Output::Exit => None,
    }
}

fn id_of(output: &Output) -> Option<CallId> {
    match output {
        Output::Store { id, .. } | Output::Call { id, .. } | Output::Probe { id, .. } => Some(*id),
        Output::Peer { .. } | Output::Record(_) | Output::Exit => None,
    }
}
