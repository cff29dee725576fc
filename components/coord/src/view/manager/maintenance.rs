//! Periodic tasks: fetching missing blobs, sending the root to voters, updating the voters.

use chervilgate_clock::Time;

use crate::{
    order::ProbeReply,
    step::{Protocol, Step},
    store::CallId,
    view::{
        freshness::ViewStatus,
        heartbeat::PeerMessage,
        manager::{
            INTERNAL_EDIT, MAINTENANCE_INTERVAL, VOTER_CHANGE_DELAY, ViewAction, ViewActions,
            ViewManager, send,
        },
        overlay::select_voters,
        root::Edit,
    },
};

impl ViewManager {
    pub(super) fn retry_fetch(&mut self, now: Time, out: &mut ViewActions) {
        let missing = self.local.missing();
        let due = self.fetch_started.is_none_or(|at| now - at >= MAINTENANCE_INTERVAL);
        if missing.is_empty() || !due {
            return;
        }
        self.sources.clear();
        self.fetch_started = Some(now);
        for to in self.gossip.active_peers(now) {
            send(out, to, "want blobs", PeerMessage::Want(missing.clone()));
        }
        self.fetch(now, missing, out);
    }

    /// Sends the root to voters that are not known to hold the edits written here.
    ///
    /// Also probes these voters: one that has stopped need not hold them.
    pub(super) fn send_root_to_voters(&mut self, out: &mut ViewActions) {
        let Some(root) = self.local.root().cloned() else {
            return;
        };
        let finishes_change = self.overlay.manages_voters && !root.voters.prior.is_empty();
        let voter_change = finishes_change.then_some(root.voters.since);
        let due = self.unaccepted.iter().map(|(_, seq)| *seq).chain(voter_change).max();
        let Some(seq) = due.filter(|seq| *seq <= root.seq) else {
            return;
        };
        self.probes.clear();
        for voter in self.acceptance.lagging(&root.voters, seq) {
            send(out, voter.addr, "push root", PeerMessage::Root(Box::new(root.clone())));
            let id = self.ids.next_id();
            self.probes.insert(id, voter.incarnation);
            let step = Step::new(Protocol::View, "probe voter");
            out.push(ViewAction::Probe { id, step, addr: voter.addr });
        }
    }

    /// Records a voter that has stopped: it cannot confirm an older view any more.
    pub(super) fn probed(&mut self, id: CallId, reply: &ProbeReply) {
        let Some(voter) = self.probes.remove(&id) else {
            return;
        };
        let has_stopped = match reply {
            ProbeReply::Answers(other) => *other != voter,
            ProbeReply::Refused => true,
            ProbeReply::Silent => false,
        };
        if has_stopped {
            self.acceptance.note_stopped(voter);
        }
    }

    /// Submits known withdrawals that are in no root yet, since the node that received them may
    /// have stopped.
    pub(super) fn submit_withdrawn(&mut self) {
        if self.editor.is_busy() || self.local.pending_withdrawals().is_empty() {
            return;
        }
        let keys = self.local.pending_withdrawals().clone();
        self.editor.submit(INTERNAL_EDIT, Edit::Withdraw(keys));
    }

    pub(super) fn update_voters(&mut self, now: Time) {
        let root = self.local.root().cloned().unwrap_or_default();
        if self.editor.is_busy() || !matches!(self.check(now), ViewStatus::Platform(_)) {
            return;
        }
        if !root.voters.prior.is_empty() {
            if self.acceptance.accepts(&root.voters, root.voters.since) {
                self.editor.submit(INTERNAL_EDIT, Edit::FinishVoterChange(root.voters.since));
            }
            return;
        }
        let voters = select_voters(&root.voters, &self.members);
        if voters.is_empty() || voters == root.voters.current {
            self.proposed_voters = None;
            return;
        }
        match &self.proposed_voters {
            Some((wanted, since)) if *wanted == voters => {
                if now - *since >= VOTER_CHANGE_DELAY {
                    self.editor.submit(INTERNAL_EDIT, Edit::SetVoters(voters));
                }
            }
            _ => self.proposed_voters = Some((voters, now)),
        }
    }
}
