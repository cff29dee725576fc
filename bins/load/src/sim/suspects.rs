//! Detection and quarantine of requests that crash engines.

use std::time::Duration;

use chervilgate_policy::{
    CrashId, CrashNotice, Fingerprint, OrgId, PoisonStatus, RefusalReason, Route, TargetId,
};

use crate::{
    sim::{Attempt, SimEvent, Simulation},
    stats::RequestOutcome,
};

/// Delay of a message from one entry to all others.
const GOSSIP_DELAY: Duration = Duration::from_millis(10);

impl Simulation<'_> {
    /// Whether the entry regards a request as clear, suspect or quarantined.
    pub(super) fn poison_status(&self, request: usize) -> PoisonStatus {
        let arrival = &self.arrivals[request];
        let poison = self.entries[arrival.entry].poison.as_ref();
        poison
            .map_or(PoisonStatus::Clear, |poison| poison.check(self.now, self.fingerprint(request)))
    }

    pub(super) fn fingerprint(&self, request: usize) -> Fingerprint {
        let arrival = &self.arrivals[request];
        Fingerprint { org: OrgId(arrival.org), digest: arrival.fingerprint }
    }

    /// Refuses a request that is quarantined; returns whether it was.
    pub(super) fn refuse_quarantined(&mut self, request: usize) -> bool {
        if !matches!(self.poison_status(request), PoisonStatus::Quarantined(_)) {
            return false;
        }
        if !self.arrivals[request].poison {
            self.stats.record_refusal(RefusalReason::Quarantined);
        }
        self.close(request, RequestOutcome::Refused);
        true
    }

    /// Records that an engine crashed while it ran an attempt of `entry`, and tells the other
    /// entries which requests ran there.
    pub(super) fn record_crash(&mut self, entry: usize, engine: usize) {
        let incarnation = self.engines[engine].incarnation;
        let entry_state = &mut self.entries[entry];
        if !entry_state.crashes.insert((engine, incarnation)) {
            return;
        }
        let Some(poison) = &mut entry_state.poison else { return };
        let target = TargetId(engine as u32);
        let running = entry_state.dispatch.running(target);
        let notice = poison.record_crash(self.now, CrashId { target, incarnation }, &running);
        self.notify_others(entry, |other| SimEvent::CrashNotice(Box::new(notice.clone()), other));
    }

    pub(super) fn receive_crash_notice(&mut self, notice: &CrashNotice, entry: usize) {
        if let Some(poison) = &mut self.entries[entry].poison {
            poison.merge_notice(self.now, self.now, notice);
        }
    }

    /// Tells the other entries that a suspect runs on the targets of `route`.
    pub(super) fn announce_suspect(&mut self, attempt: Attempt, route: &Route) {
        if self.poison_status(attempt.request) != PoisonStatus::Suspect {
            return;
        }
        let entry = self.arrivals[attempt.request].entry;
        for target in [route.prefill, route.decode] {
            self.notify_others(entry, |other| SimEvent::Hold(target, other));
        }
    }

    /// Clears a request of suspicion after a complete answer.
    pub(super) fn clear_suspect(&mut self, request: usize) {
        let (now, fingerprint) = (self.now, self.fingerprint(request));
        let entry = self.arrivals[request].entry;
        if let Some(poison) = &mut self.entries[entry].poison {
            poison.clear_suspect(now, fingerprint);
        }
    }

    fn notify_others(&mut self, entry: usize, event: impl Fn(usize) -> SimEvent) {
        for other in (0..self.entries.len()).filter(|other| *other != entry) {
            self.queue.push(self.now + GOSSIP_DELAY, event(other));
        }
    }
}
