//! What a keeper does again and again: fetching, pushing, keeping the voters.

use chervilgate_clock::Time;

use crate::{
    order::ProbeReply,
    step::{Protocol, Step},
    store::CallId,
    view::{
        beat::PeerMessage,
        freshness::Verdict,
        keeper::{ELECT_SPAN, Keeper, KeeperAction, KeeperActions, OWN_EDIT, RETRY_SPAN, send},
        overlay::elect_voters,
        root::Edit,
    },
};

impl Keeper {
    pub(super) fn retry_fetch(&mut self, now: Time, out: &mut KeeperActions) {
        let missing = self.holder.missing();
        let due = self.fetched_at.is_none_or(|at| now - at >= RETRY_SPAN);
        if missing.is_empty() || !due {
            return;
        }
        self.sources.clear();
        self.fetched_at = Some(now);
        for to in self.spread.neighbours(now) {
            send(out, to, "want blobs", PeerMessage::Want(missing.clone()));
        }
        self.fetch(now, missing, out);
    }

    /// Brings written edits to the voters that are not known to hold them.
    pub(super) fn push_to_voters(&mut self, out: &mut KeeperActions) {
        let Some(root) = self.holder.root().cloned() else {
            return;
        };
        let settles = self.overlay.first && !root.voters.prior.is_empty();
        let settling = settles.then_some(root.voters.since);
        let due = self.written.iter().map(|(_, seq)| *seq).chain(settling).max();
        let Some(seq) = due.filter(|seq| *seq <= root.seq) else {
            return;
        };
        self.probes.clear();
        for voter in self.acceptance.lagging(&root.voters, seq) {
            send(out, voter.addr, "push root", PeerMessage::Root(Box::new(root.clone())));
            let id = self.ids.next_id();
            self.probes.insert(id, voter.incarnation);
            let step = Step::new(Protocol::View, "probe voter");
            out.push(KeeperAction::Probe { id, step, addr: voter.addr });
        }
    }

    /// A voter that is proved out vouches for no older view any more.
    pub(super) fn probed(&mut self, id: CallId, reply: &ProbeReply) {
        let Some(voter) = self.probes.remove(&id) else {
            return;
        };
        let out = match reply {
            ProbeReply::Answers(other) => *other != voter,
            ProbeReply::Refused => true,
            ProbeReply::Silent => false,
        };
        if out {
            self.acceptance.note_out(voter);
        }
    }

    /// Takes over withdrawals whose first holder may be gone.
    pub(super) fn write_pending(&mut self) {
        if self.writer.is_busy() || self.holder.pending().is_empty() {
            return;
        }
        let keys = self.holder.pending().clone();
        self.writer.submit(OWN_EDIT, Edit::Withdraw(keys));
    }

    pub(super) fn keep_voters(&mut self, now: Time) {
        let root = self.holder.root().cloned().unwrap_or_default();
        if self.writer.is_busy() || !matches!(self.check(now), Verdict::Platform(_)) {
            return;
        }
        if !root.voters.prior.is_empty() {
            if self.acceptance.accepts(&root.voters, root.voters.since) {
                self.writer.submit(OWN_EDIT, Edit::Settle(root.voters.since));
            }
            return;
        }
        let voters = elect_voters(&root.voters, &self.members);
        if voters.is_empty() || voters == root.voters.current {
            self.wish = None;
            return;
        }
        match &self.wish {
            Some((wish, since)) if *wish == voters => {
                if now - *since >= ELECT_SPAN {
                    self.writer.submit(OWN_EDIT, Edit::Elect(voters));
                }
            }
            _ => self.wish = Some((voters, now)),
        }
    }
}
