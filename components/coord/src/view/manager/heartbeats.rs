//! Builds and handles heartbeats.

use std::{net::SocketAddr, time::Duration};

use chervilgate_clock::Time;

use crate::view::{
    gossip::GossipAction,
    heartbeat::{Heartbeat, PeerMessage, VoterAge, ceil_millis, checksum_keys},
    manager::{VOTER_AGES_DELAY, ViewActions, ViewManager, send},
};

impl ViewManager {
    pub(super) fn receive_heartbeat(
        &mut self,
        now: Time,
        from: SocketAddr,
        heartbeat: &Heartbeat,
        out: &mut ViewActions,
    ) {
        let at = self.gossip.receive(now, from, heartbeat);
        self.acceptance.note_held(heartbeat.from, heartbeat.seq);
        let held = self.local.seq();
        if heartbeat.seq < held
            && let Some(root) = self.local.root().cloned()
        {
            self.gossip.record_root_sent(from, root.seq);
            send(out, from, "spread root", PeerMessage::Root(Box::new(root)));
        }
        if heartbeat.pending != checksum_keys(self.local.pending_withdrawals())
            && !self.local.pending_withdrawals().is_empty()
        {
            let keys = self.local.pending_withdrawals().clone();
            send(out, from, "spread withdrawn", PeerMessage::Withdrawn(keys));
        }
        if heartbeat.follows {
            let response = self.gossip.heartbeat_to(now, from);
            self.send_heartbeats(now, [response], out);
        }
        let Some(at) = at.filter(|_| heartbeat.seq <= held) else {
            return;
        };
        self.freshness.confirm_voter(heartbeat.from, at);
        if heartbeat.seq == held {
            self.record_voter_ages(at, heartbeat);
        }
        if let Some(age) = heartbeat.platform {
            let at = at.saturating_sub(Duration::from_millis(u64::from(age)));
            self.confirm(now, heartbeat.seq, at, out);
        }
        if !heartbeat.voters.is_empty() {
            let heartbeats = self.gossip.relay_confirmation(now);
            self.send_heartbeats(now, heartbeats, out);
        }
    }

    pub(super) fn record_voter_ages(&mut self, at: Time, heartbeat: &Heartbeat) {
        let Some(root) = self.local.root() else {
            return;
        };
        for age in &heartbeat.voters {
            let Some(voter) = root.voters.current.get(usize::from(age.index)) else {
                continue;
            };
            let at = at.saturating_sub(Duration::from_millis(u64::from(age.millis)));
            self.freshness.confirm_voter(voter.incarnation, at);
        }
    }

    pub(super) fn send_heartbeats(
        &mut self,
        now: Time,
        heartbeats: impl IntoIterator<Item = GossipAction>,
        out: &mut ViewActions,
    ) {
        for heartbeat in heartbeats {
            let message = PeerMessage::Beat(self.build_heartbeat(now, &heartbeat));
            send(out, heartbeat.to, "beat", message);
        }
    }

    pub(super) fn build_heartbeat(&self, now: Time, to: &GossipAction) -> Heartbeat {
        let age = self.freshness.platform_confirmed_at().map(|at| now - at);
        let voters = match age {
            Some(age) if age <= VOTER_AGES_DELAY => Vec::new(),
            _ => self.voter_ages(now),
        };
        Heartbeat {
            from: self.me.incarnation,
            follows: to.follows,
            stamp: now.as_micros(),
            echo: to.echo,
            seq: self.local.seq(),
            platform: age.and_then(|age| u32::try_from(ceil_millis(age)).ok()),
            voters,
            pending: checksum_keys(self.local.pending_withdrawals()),
        }
    }

    pub(super) fn voter_ages(&self, now: Time) -> Vec<VoterAge> {
        let Some(root) = self.local.root() else {
            return Vec::new();
        };
        let ages = root.voters.current.iter().enumerate().filter_map(|(index, voter)| {
            let at = self.freshness.voter_confirmed_at(now, voter.incarnation)?;
            let millis = u16::try_from(ceil_millis(now - at)).ok()?;
            Some(VoterAge { index: u8::try_from(index).ok()?, millis })
        });
        ages.collect()
    }
}
