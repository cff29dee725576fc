//! The last check before a call is sent, where faults are injected.

use chervilgate_coord::{CallId, Step};

use crate::{
    bed::{
        StoreMode, Testbed,
        calls::Delivery,
        hosts::{Held, HostState},
    },
    fault::Fault,
    history::Fact,
    network::HostId,
    process::{Answer, Input, Output},
    queue::Event,
};

/// What happens to the answer of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AnswerFault {
    Lost,
    Duplicated,
    Late,
}

impl Testbed {
    /// Checks a call's deadline, records its step and sends it, unless a fault is due.
    pub(super) fn send_call(&mut self, host: HostId, generation: u64, output: Output) {
        let Some(step) = step_of(&output) else {
            return;
        };
        if let Output::Call { id, deadline, .. } = &output
            && *deadline <= self.now
        {
            let input = Input::Answer { id: *id, reply: Answer::NotSent };
            self.push(self.now, Event::Deliver { host, generation, input });
            return;
        }
        self.record(host, Fact::Called(step));
        match self.take_fault(host, step) {
            Some(fault) => self.inject(host, generation, output, fault),
            None => self.transmit(host, generation, output, Delivery::Once),
        }
    }

    fn take_fault(&mut self, host: HostId, step: Step) -> Option<Fault> {
        let overall = next_index(self.step_counts.entry((step, None)).or_default());
        let on_host = next_index(self.step_counts.entry((step, Some(host))).or_default());
        let position = self.injections.iter().position(|injection| {
            let nth = if injection.host.is_some() { on_host } else { overall };
            injection.step == step
                && injection.nth == nth
                && injection.host.is_none_or(|id| id == host)
        })?;
        let injection = self.injections.remove(position);
        self.record(host, Fact::Faulted(injection.to_string()));
        Some(injection.fault)
    }

    fn inject(&mut self, host: HostId, generation: u64, output: Output, fault: Fault) {
        let durations = self.fault_durations;
        match fault {
            Fault::KilledBefore => self.kill(host, Some(durations.restart)),
            Fault::KilledAfter => {
                self.transmit(host, generation, output, Delivery::Once);
                self.kill(host, Some(durations.restart));
            }
            Fault::Vanished => {
                self.transmit(host, generation, output, Delivery::Once);
                self.lose_host(host);
            }
            Fault::PausedBefore => {
                self.pause(host, durations.pause);
                self.hosts[host.0].held.push(Held::Checked(output));
            }
            Fault::PausedAfter => {
                self.transmit(host, generation, output, Delivery::Once);
                self.pause(host, durations.pause);
            }
            Fault::Partitioned => {
                self.partition(host, durations.partition);
                self.transmit(host, generation, output, Delivery::Once);
            }
            Fault::CallLost => self.transmit(host, generation, output, Delivery::Never),
            Fault::AnswerLost => self.fault_answer(host, generation, output, AnswerFault::Lost),
            Fault::AnswerDoubled => {
                self.fault_answer(host, generation, output, AnswerFault::Duplicated)
            }
            Fault::AnswerLate => self.fault_answer(host, generation, output, AnswerFault::Late),
            Fault::CallDoubled if matches!(output, Output::Call { .. }) => {
                self.fault_answer(host, generation, output, AnswerFault::Duplicated);
            }
            Fault::CallLate => self.transmit(host, generation, output, Delivery::Late),
            Fault::CallDoubled => {
                self.transmit(host, generation, output, Delivery::Twice);
            }
            Fault::StoreSlow => self.disturb_and_send(host, generation, output, StoreMode::Slow),
            Fault::StoreDown => self.disturb_and_send(host, generation, output, StoreMode::Down),
        }
    }

    fn fault_answer(&mut self, host: HostId, generation: u64, output: Output, fault: AnswerFault) {
        if let Some(id) = id_of(&output) {
            self.answer_faults.insert((host, generation, id), fault);
        }
        self.transmit(host, generation, output, Delivery::Once);
    }

    fn disturb_and_send(&mut self, host: HostId, generation: u64, output: Output, mode: StoreMode) {
        self.set_store_for(mode, self.fault_durations.outage);
        if self.hosts[host.0].state == HostState::Up {
            self.transmit(host, generation, output, Delivery::Once);
        }
    }
}

fn next_index(count: &mut usize) -> usize {
    let nth = *count;
    *count += 1;
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
