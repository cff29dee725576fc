//! Proof that a former owner can no longer send orders.
//!
//! A receiver that does not check fencing tokens cannot reject an order that a
//! former owner recorded and may have sent, or may be about to send. Nothing
//! else may be sent to it until the former owner is proved unable to send: by
//! its own release, by its live session that no longer lists the shard, by a
//! newer incarnation at its address, by a refused connection there, by an
//! operator's override, or, if the settings allow it, by the removal of its host
//! from the platform's list. Elapsed time alone is never proof.
//!
//! The last bytes of a dead process may still be in the network. A proof
//! is therefore accepted only after the longest time for which bytes of a closed
//! connection may still arrive ([`Timings::delivery_time`]). A release and a
//! session that no longer lists the shard are accepted at once, since they are
//! written only when no order is in flight.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use chervilgate_clock::Time;

use crate::{
    codec::decode,
    guards::Guards,
    ident::{Incarnation, Node},
    intent::OpenIntent,
    order::{ProbeReply, ShardId},
    outbox::Outbox,
    session::{SessionRecord, SessionState, session_key},
    step::{Protocol, Step},
    store::{CallId, Key, Object, StoreCall, StoreReply},
    terms::Timings,
};

/// Key prefix of operators' overrides in the store.
pub const OVERRIDE_PREFIX: &str = "overrides/";

const READ_RELEASE: Step = Step::new(Protocol::Takeover, "read-release");
const READ_OVERRIDE: Step = Step::new(Protocol::Takeover, "read-override");
const PROBE: Step = Step::new(Protocol::Takeover, "probe");

/// The store key of the object with which an operator declares an incarnation dead.
pub fn override_key(incarnation: Incarnation) -> Key {
    format!("{OVERRIDE_PREFIX}{incarnation}")
}

/// Why a former owner is known to be unable to send.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Proof {
    /// It wrote its release, or its session was deleted after a release.
    Released,
    /// It is live, and its session no longer lists the shard.
    Yielded,
    /// A newer incarnation answers at its address.
    Replaced,
    /// Its address refuses connections.
    Refused,
    /// An operator declared it dead.
    Overridden,
    /// Its host has been removed from the platform's list of hosts.
    Delisted,
}

/// A former owner that may still send orders.
#[derive(Debug, Clone)]
struct FormerOwner {
    node: Node,
    next_search_at: Time,
    session_call: Option<CallId>,
    override_call: Option<CallId>,
    probe_call: Option<CallId>,
    /// The proof with the time when it was found.
    proof: Option<(Proof, Time)>,
    /// The proof is accepted, so the search has ended.
    accepted: bool,
    /// Its session record as last read.
    session: Option<SessionRecord>,
}

/// Collects proof that former owners can no longer send.
#[derive(Debug, Clone)]
pub(crate) struct Proofs {
    terms: Timings,
    guards: Guards,
    former_owners: BTreeMap<Incarnation, FormerOwner>,
    trust_list: bool,
    /// Every host that has ever been on the platform's list.
    listed: BTreeSet<SocketAddr>,
}

impl Proofs {
    /// `trust_list` means that the platform never removes a running host from its list.
    pub(crate) fn new(terms: Timings, guards: Guards, trust_list: bool) -> Proofs {
        Proofs {
            terms,
            guards,
            former_owners: BTreeMap::new(),
            trust_list,
            listed: BTreeSet::new(),
        }
    }

    /// The proof that the sender of an open intent can no longer send, once it is accepted.
    ///
    /// Starts to search for one if there is none yet.
    pub(crate) fn find(&mut self, now: Time, shard: &ShardId, open: &OpenIntent) -> Option<Proof> {
        let node = &open.sender;
        if !self.guards.stop_proof {
            return Some(Proof::Refused);
        }
        let delivery_time = self.terms.delivery_time;
        let former_owner =
            self.former_owners.entry(node.incarnation).or_insert_with(|| FormerOwner {
                node: node.clone(),
                next_search_at: now,
                session_call: None,
                override_call: None,
                probe_call: None,
                proof: None,
                accepted: false,
                session: None,
            });
        if former_owner.session.as_ref().is_some_and(|session| stopped_acting(session, shard, open))
        {
            return Some(Proof::Yielded);
        }
        let (proof, since) = former_owner.proof?;
        let is_accepted =
            proof == Proof::Released || !self.guards.transit_wait || now - since >= delivery_time;
        is_accepted.then_some(proof)
    }

    /// Drops all former owners but these.
    pub(crate) fn retain(&mut self, wanted: &BTreeSet<Incarnation>) {
        self.former_owners.retain(|incarnation, _| wanted.contains(incarnation));
    }

    /// Handles a new list of hosts from the platform.
    pub(crate) fn update_hosts(&mut self, now: Time, hosts: &[SocketAddr]) {
        if self.trust_list {
            for former_owner in self.former_owners.values_mut() {
                let addr = former_owner.node.addr;
                if self.listed.contains(&addr) && !hosts.contains(&addr) {
                    former_owner.prove(now, Proof::Delisted);
                }
            }
        }
        self.listed.extend(hosts);
    }

    /// When [`Proofs::wake`] is due next.
    pub(crate) fn wake_at(&self) -> Time {
        let at = |former_owner: &FormerOwner| match former_owner.proof {
            Some(_) if former_owner.accepted => Time::NEVER,
            Some((Proof::Released, since)) => since,
            Some((_, since)) => former_owner.next_search_at.min(since + self.terms.delivery_time),
            None => former_owner.next_search_at,
        };
        self.former_owners.values().map(at).fold(Time::NEVER, Time::min)
    }

    pub(crate) fn wake(&mut self, now: Time, out: &mut Outbox) {
        for former_owner in self.former_owners.values_mut() {
            former_owner.accepted |= former_owner.proof.is_some_and(|(proof, since)| {
                proof == Proof::Released || now - since >= self.terms.delivery_time
            });
            if former_owner.accepted || now < former_owner.next_search_at {
                continue;
            }
            former_owner.next_search_at = now + self.terms.proof_interval;
            former_owner.search(out);
        }
    }

    /// Handles a store reply; false if the call is not one of this type's.
    pub(crate) fn reply(&mut self, now: Time, id: CallId, reply: &StoreReply) -> bool {
        for former_owner in self.former_owners.values_mut() {
            if former_owner.session_call == Some(id) {
                former_owner.session_call = None;
                former_owner.handle_session_reply(now, reply);
                return true;
            }
            if former_owner.override_call == Some(id) {
                former_owner.override_call = None;
                if matches!(reply, StoreReply::Found(Some(_))) {
                    former_owner.prove(now, Proof::Overridden);
                }
                return true;
            }
        }
        false
    }

    /// Handles the result of a probe.
    pub(crate) fn probed(&mut self, now: Time, id: CallId, reply: ProbeReply) {
        let found = self
            .former_owners
            .values_mut()
            .find(|former_owner| former_owner.probe_call == Some(id));
        let Some(former_owner) = found else {
            return;
        };
        former_owner.probe_call = None;
        match reply {
            ProbeReply::Refused => former_owner.prove(now, Proof::Refused),
            ProbeReply::Answers(incarnation) if incarnation != former_owner.node.incarnation => {
                former_owner.prove(now, Proof::Replaced);
            }
            ProbeReply::Answers(_) | ProbeReply::Silent => {}
        }
    }
}

impl FormerOwner {
    fn search(&mut self, out: &mut Outbox) {
        let incarnation = self.node.incarnation;
        if self.session_call.is_none() {
            let key = session_key(incarnation);
            self.session_call = Some(out.call(READ_RELEASE, StoreCall::Get { key }));
        }
        if self.override_call.is_none() {
            let key = override_key(incarnation);
            self.override_call = Some(out.call(READ_OVERRIDE, StoreCall::Get { key }));
        }
        if self.probe_call.is_none() {
            self.probe_call = Some(out.probe(PROBE, self.node.addr));
        }
    }

    fn handle_session_reply(&mut self, now: Time, reply: &StoreReply) {
        match reply {
            StoreReply::Found(Some(object)) => self.read_session(now, object),
            StoreReply::Found(None) => self.prove(now, Proof::Released),
            _ => {}
        }
    }

    fn read_session(&mut self, now: Time, object: &Object) {
        let Ok(session) = decode::<SessionRecord>(&object.value) else {
            return;
        };
        if session.state == SessionState::Released {
            self.prove(now, Proof::Released);
        }
        self.session = Some(session);
    }

    fn prove(&mut self, now: Time, proof: Proof) {
        let replaces = proof == Proof::Released && self.proof.is_some_and(|(old, _)| old != proof);
        if self.proof.is_none() || replaces {
            log::info!(
                target: "takeover",
                "former owner can no longer send; incarnation={} proof={proof:?}",
                self.node.incarnation
            );
            self.proof = Some((proof, now));
        }
    }
}

/// Whether a live sender's session, written after the intent, no longer lists the shard.
///
/// The sender may act for the shard again later, but then under a new epoch,
/// and it sends only intents that it recorded under its current epoch.
fn stopped_acting(session: &SessionRecord, shard: &ShardId, open: &OpenIntent) -> bool {
    session.state == SessionState::Live
        && session.attempt > open.attempt
        && !session.acting.contains(shard)
}
