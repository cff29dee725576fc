//! Whether anything may be sent to a target now, by what it and the store have said of it.
//!
//! One rule for all that is sent to targets, asked once when a target is chosen and once more just
//! before the send, as all may have changed in between.

use std::time::Duration;

use chervilgate_clock::Time;

use crate::{
    fleet::{BuildId, Fleet, Placement, TargetRole, departures::Departure, target::TargetState},
    hash::stable_hash,
    protocol::LimitStatement,
};

/// Why nothing may be sent to a target now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Hold {
    /// It has left, said that it leaves, or was seen to have ended.
    Left,
    /// It has asked this host for rest.
    Resting,
    /// Its limit lets this host send it nothing.
    Limited,
}

impl Hold {
    /// The name in metrics.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Hold::Left => "left",
            Hold::Resting => "resting",
            Hold::Limited => "limited",
        }
    }
}

impl Fleet {
    /// Takes the leave to send something to the target of `placement`, which counts against its
    /// limit.
    ///
    /// # Errors
    /// If nothing may be sent to it now.
    pub fn clear_to_send(&mut self, now: Time, placement: &Placement) -> Result<(), Hold> {
        let Placement { id, incarnation, .. } = placement;
        let Some(state) = self.targets.get(id) else { return Err(Hold::Left) };
        if state.is_ended(now) || self.is_leaving(placement) {
            return Err(Hold::Left);
        }
        if self.rests.wait(now, id, *incarnation).is_some() {
            return Err(Hold::Resting);
        }
        if !self.limits.try_take(now, id, *incarnation) {
            return Err(Hold::Limited);
        }
        Ok(())
    }

    /// Why a target that serves is not chosen now, and for how long that lasts; none if it may be.
    pub(super) fn hold(&self, now: Time, state: &TargetState) -> Option<(Hold, Duration)> {
        let (id, incarnation) = (&state.entry.id, state.entry.incarnation);
        if let Some(wait) = self.rests.wait(now, id, incarnation) {
            return Some((Hold::Resting, wait));
        }
        Some((Hold::Limited, self.limits.wait(now, id, incarnation)?))
    }

    /// Time until a target that generates or answers for `service`, of this software version if any
    /// is given, may be sent something, and what holds it back; none if one may be now, or none
    /// serves.
    pub fn wait_for_target(
        &self,
        now: Time,
        service: &str,
        build: Option<BuildId>,
    ) -> Option<(Hold, Duration)> {
        let serving = self.targets.values().filter(|state| {
            state.serves(now, service)
                && state.entry.role != TargetRole::Prefill
                && build.is_none_or(|build| state.build(now).id == build)
        });
        let holds: Option<Vec<(Hold, Duration)>> =
            serving.map(|state| self.hold(now, state)).collect();
        holds?.into_iter().min_by_key(|(_, wait)| *wait)
    }

    /// Records that a target asks this host for `span` of rest.
    pub fn record_rest(&mut self, now: Time, placement: &Placement, span: Duration) {
        self.rests.record(now, &placement.id, placement.incarnation, span);
    }

    /// Records that a target said in an answer that it leaves. Returns whether that is new.
    pub fn announce_departure(&mut self, now: Time, placement: &Placement) -> bool {
        let Placement { id, incarnation, .. } = placement;
        if self.is_leaving(placement) {
            return false;
        }
        self.departures.record(now, id, *incarnation, Departure::Announced);
        if let Some(state) = self.targets.get_mut(id)
            && state.entry.incarnation == *incarnation
        {
            state.entry.draining = true;
        }
        true
    }

    /// Whether the target has said that it leaves, or was replaced by a later start.
    pub fn is_leaving(&self, placement: &Placement) -> bool {
        self.departures.is_final(&placement.id, placement.incarnation)
    }

    /// Whether the target has said that it leaves.
    pub fn has_announced_departure(&self, placement: &Placement) -> bool {
        self.departures.is_announced(&placement.id, placement.incarnation)
    }

    /// Whether a later start of the target is known.
    pub fn is_replaced(&self, placement: &Placement) -> bool {
        let state = self.targets.get(&placement.id);
        state.is_some_and(|state| state.entry.incarnation > placement.incarnation)
    }

    /// Sets the hosts that share the limits of targets; to be called about once a second. `own` is
    /// this host's name, none if it is stopping, and `others` are those of the others that are alive.
    pub fn set_hosts<'a>(
        &mut self,
        now: Time,
        own: Option<&str>,
        others: impl Iterator<Item = &'a str>,
    ) {
        let others = others.map(|name| stable_hash(&name)).collect();
        self.limits.set_hosts(now, own.map(|own| stable_hash(&own)), others);
        let targets = &self.targets;
        self.limits.retain(now, |id, incarnation| {
            targets.get(id).is_some_and(|state| state.entry.incarnation == incarnation)
        });
    }

    /// Records what a target stated of its limit in the answer to a request that was sent at
    /// `sent`. Returns whether other hosts should hear of it at once.
    pub fn record_limit(
        &mut self,
        now: Time,
        placement: &Placement,
        sent: Time,
        statement: LimitStatement,
    ) -> bool {
        let Placement { id, incarnation, .. } = placement;
        self.limits.record_statement(now, id, *incarnation, sent, statement)
    }
}
