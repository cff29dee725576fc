//! Proof that a former owner is out.
//!
//! An order that a former owner wrote down and may have sent, or may be about
//! to send, cannot be shut out at a receiver that does not check fencing
//! tokens. Nothing else may be sent there until the former owner is proved
//! unable to send: by its own release, or its own word in its session that it
//! does not act for the shard any more, a newer incarnation at its address, a
//! refused connection there, an operator's override, or, where the settings
//! say so, its host's disappearance from the platform's list. That time has
//! passed is never proof.
//!
//! A dead process's last bytes may still be on their way. So, but for a
//! release, which is written only when nothing is under way, the proof counts
//! after the span that a closed connection's bytes can take.

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
    terms::Terms,
};

/// Where operators' overrides are kept.
pub const OVERRIDE_PREFIX: &str = "overrides/";

const READ_RELEASE: Step = Step::new(Protocol::Takeover, "read-release");
const READ_OVERRIDE: Step = Step::new(Protocol::Takeover, "read-override");
const PROBE: Step = Step::new(Protocol::Takeover, "probe");

/// The name of the object by which an operator declares an incarnation dead.
pub fn override_key(incarnation: Incarnation) -> Key {
    format!("{OVERRIDE_PREFIX}{incarnation}")
}

/// How a former owner was proved unable to send.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Proof {
    /// It wrote its release, or its session was cleared away after one.
    Released,
    /// It lives on, and wrote that it does not act for the shard any more.
    Yielded,
    /// A newer incarnation answers at its address.
    Replaced,
    /// Its address refuses connections.
    Refused,
    /// An operator declared it dead.
    Overridden,
    /// Its host was on the platform's list and is not any more.
    Delisted,
}

#[derive(Debug, Clone)]
struct Suspect {
    node: Node,
    next: Time,
    release: Option<CallId>,
    ordered: Option<CallId>,
    probe: Option<CallId>,
    proof: Option<(Proof, Time)>,
    /// The proof counts: there is no need to search on.
    told: bool,
    /// Its session as last read.
    session: Option<SessionRecord>,
}

/// Searches proof about former owners.
#[derive(Debug, Clone)]
pub(crate) struct Proofs {
    terms: Terms,
    guards: Guards,
    suspects: BTreeMap<Incarnation, Suspect>,
    trust_list: bool,
    listed: BTreeSet<SocketAddr>,
}

impl Proofs {
    /// No suspects yet; `trust_list` if the platform delists no running host.
    pub(crate) fn new(terms: Terms, guards: Guards, trust_list: bool) -> Proofs {
        Proofs { terms, guards, suspects: BTreeMap::new(), trust_list, listed: BTreeSet::new() }
    }

    /// The proof that the sender of an open intent is out, once it counts.
    ///
    /// Searches for one from now on if there is none.
    pub(crate) fn find(&mut self, now: Time, shard: &ShardId, open: &OpenIntent) -> Option<Proof> {
        let node = &open.sender;
        if !self.guards.proof {
            return Some(Proof::Refused);
        }
        let flight = self.terms.flight;
        let suspect = self.suspects.entry(node.incarnation).or_insert_with(|| Suspect {
            node: node.clone(),
            next: now,
            release: None,
            ordered: None,
            probe: None,
            proof: None,
            told: false,
            session: None,
        });
        if suspect.session.as_ref().is_some_and(|session| yields(session, shard, open)) {
            return Some(Proof::Yielded);
        }
        let (proof, since) = suspect.proof?;
        let counts = proof == Proof::Released || !self.guards.flight || now - since >= flight;
        counts.then_some(proof)
    }

    /// Keeps only these suspects.
    pub(crate) fn retain(&mut self, wanted: &BTreeSet<Incarnation>) {
        self.suspects.retain(|incarnation, _| wanted.contains(incarnation));
    }

    /// Takes the platform's list of hosts.
    pub(crate) fn take_hosts(&mut self, now: Time, hosts: &[SocketAddr]) {
        if self.trust_list {
            for suspect in self.suspects.values_mut() {
                let addr = suspect.node.addr;
                if self.listed.contains(&addr) && !hosts.contains(&addr) {
                    suspect.prove(now, Proof::Delisted);
                }
            }
        }
        self.listed.extend(hosts);
    }

    /// When to wake up next.
    pub(crate) fn wake_at(&self) -> Time {
        let at = |suspect: &Suspect| match suspect.proof {
            Some(_) if suspect.told => Time::NEVER,
            Some((Proof::Released, since)) => since,
            Some((_, since)) => suspect.next.min(since + self.terms.flight),
            None => suspect.next,
        };
        self.suspects.values().map(at).fold(Time::NEVER, Time::min)
    }

    pub(crate) fn wake(&mut self, now: Time, out: &mut Outbox) {
        for suspect in self.suspects.values_mut() {
            suspect.told |= suspect.proof.is_some_and(|(proof, since)| {
                proof == Proof::Released || now - since >= self.terms.flight
            });
            if suspect.told || now < suspect.next {
                continue;
            }
            suspect.next = now + self.terms.probe;
            suspect.search(out);
        }
    }

    /// Takes a reply of the store; false if it belongs to another machine.
    pub(crate) fn reply(&mut self, now: Time, id: CallId, reply: &StoreReply) -> bool {
        for suspect in self.suspects.values_mut() {
            if suspect.release == Some(id) {
                suspect.release = None;
                suspect.read_release(now, reply);
                return true;
            }
            if suspect.ordered == Some(id) {
                suspect.ordered = None;
                if matches!(reply, StoreReply::Found(Some(_))) {
                    suspect.prove(now, Proof::Overridden);
                }
                return true;
            }
        }
        false
    }

    /// Takes a probe's finding.
    pub(crate) fn probed(&mut self, now: Time, id: CallId, reply: ProbeReply) {
        let found = self.suspects.values_mut().find(|suspect| suspect.probe == Some(id));
        let Some(suspect) = found else {
            return;
        };
        suspect.probe = None;
        match reply {
            ProbeReply::Refused => suspect.prove(now, Proof::Refused),
            ProbeReply::Answers(incarnation) if incarnation != suspect.node.incarnation => {
                suspect.prove(now, Proof::Replaced);
            }
            ProbeReply::Answers(_) | ProbeReply::Silent => {}
        }
    }
}

impl Suspect {
    fn search(&mut self, out: &mut Outbox) {
        let incarnation = self.node.incarnation;
        if self.release.is_none() {
            let key = session_key(incarnation);
            self.release = Some(out.call(READ_RELEASE, StoreCall::Get { key }));
        }
        if self.ordered.is_none() {
            let key = override_key(incarnation);
            self.ordered = Some(out.call(READ_OVERRIDE, StoreCall::Get { key }));
        }
        if self.probe.is_none() {
            self.probe = Some(out.probe(PROBE, self.node.addr));
        }
    }

    fn read_release(&mut self, now: Time, reply: &StoreReply) {
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
        let better = proof == Proof::Released && self.proof.is_some_and(|(old, _)| old != proof);
        if self.proof.is_none() || better {
            log::info!(
                target: "takeover",
                "former owner is out; incarnation={} proof={proof:?}",
                self.node.incarnation
            );
            self.proof = Some((proof, now));
        }
    }
}

/// Whether a live sender wrote, after an intent, that it acts no more for it.
///
/// It may act for the shard again later, but then under a new epoch, and it
/// sends only what it has written down under its own epoch.
fn yields(session: &SessionRecord, shard: &ShardId, open: &OpenIntent) -> bool {
    session.state == SessionState::Live
        && session.attempt > open.attempt
        && !session.acting.contains(shard)
}
