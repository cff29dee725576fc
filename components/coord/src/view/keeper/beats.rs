//! A keeper's beats: what it says of its view, and what it makes of others'.

use std::{net::SocketAddr, time::Duration};

use chervilgate_clock::Time;

use crate::view::{
    beat::{Beat, PeerMessage, VoterAge, fold_keys, millis_up},
    keeper::{Keeper, KeeperActions, VOTERS_SPAN, send},
    spread::SpreadAction,
};

impl Keeper {
    pub(super) fn hear_beat(
        &mut self,
        now: Time,
        from: SocketAddr,
        beat: &Beat,
        out: &mut KeeperActions,
    ) {
        let at = self.spread.hear(now, from, beat);
        self.acceptance.note_held(beat.from, beat.seq);
        let held = self.holder.seq();
        if beat.seq < held
            && let Some(root) = self.holder.root().cloned()
        {
            self.spread.note_sent(from, root.seq);
            send(out, from, "spread root", PeerMessage::Root(Box::new(root)));
        }
        if beat.pending != fold_keys(self.holder.pending()) && !self.holder.pending().is_empty() {
            let keys = self.holder.pending().clone();
            send(out, from, "spread withdrawn", PeerMessage::Withdrawn(keys));
        }
        if beat.follows {
            let answer = self.spread.answer(now, from);
            self.send_beats(now, [answer], out);
        }
        let Some(at) = at.filter(|_| beat.seq <= held) else {
            return;
        };
        self.freshness.confirm_voter(beat.from, at);
        if beat.seq == held {
            self.take_ages(at, beat);
        }
        if let Some(age) = beat.platform {
            let at = at.before(Duration::from_millis(u64::from(age)));
            self.confirm(now, beat.seq, at, out);
        }
        if !beat.voters.is_empty() {
            let beats = self.spread.pass_on(now);
            self.send_beats(now, beats, out);
        }
    }

    pub(super) fn take_ages(&mut self, at: Time, beat: &Beat) {
        let Some(root) = self.holder.root() else {
            return;
        };
        for age in &beat.voters {
            let Some(voter) = root.voters.current.get(usize::from(age.index)) else {
                continue;
            };
            let at = at.before(Duration::from_millis(u64::from(age.millis)));
            self.freshness.confirm_voter(voter.incarnation, at);
        }
    }

    pub(super) fn send_beats(
        &mut self,
        now: Time,
        beats: impl IntoIterator<Item = SpreadAction>,
        out: &mut KeeperActions,
    ) {
        for beat in beats {
            let message = PeerMessage::Beat(self.beat(now, &beat));
            send(out, beat.to, "beat", message);
        }
    }

    pub(super) fn beat(&self, now: Time, to: &SpreadAction) -> Beat {
        let age = self.freshness.platform().map(|at| now - at);
        let voters = match age {
            Some(age) if age <= VOTERS_SPAN => Vec::new(),
            _ => self.voter_ages(now),
        };
        Beat {
            from: self.me.incarnation,
            follows: to.follows,
            stamp: now.as_micros(),
            echo: to.echo,
            seq: self.holder.seq(),
            platform: age.and_then(|age| u32::try_from(millis_up(age)).ok()),
            voters,
            pending: fold_keys(self.holder.pending()),
        }
    }

    pub(super) fn voter_ages(&self, now: Time) -> Vec<VoterAge> {
        let Some(root) = self.holder.root() else {
            return Vec::new();
        };
        let ages = root.voters.current.iter().enumerate().filter_map(|(index, voter)| {
            let at = self.freshness.voter(now, voter.incarnation)?;
            let millis = u16::try_from(millis_up(now - at)).ok()?;
            Some(VoterAge { index: u8::try_from(index).ok()?, millis })
        });
        ages.collect()
    }
}
