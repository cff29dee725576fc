//! Observes the sessions of the other processes.
//!
//! All sessions are listed periodically; the interval grows with their number.
//! A session whose shards this process may have to take over is also polled
//! individually, about once a second. A session has expired once its version has
//! not changed for [`Timings::seal_delay`] *while this process could read it*: after an
//! outage of the store the wait starts again, so that owners can renew first.

use std::collections::{BTreeMap, BTreeSet};

use chervilgate_clock::Time;

use crate::{
    codec::{decode, encode},
    ident::{Incarnation, Node},
    membership::SessionReading,
    outbox::Outbox,
    rank::NameDigest,
    session::{SESSION_PREFIX, SessionRecord, SessionState, session_key},
    step::{Protocol, Step},
    store::{CallId, Expect, Object, StoreCall, StoreReply, Version},
    terms::Timings,
};

const LIST: Step = Step::new(Protocol::Session, "list");
const POLL: Step = Step::new(Protocol::Session, "follow");
const SEAL: Step = Step::new(Protocol::Takeover, "seal");

/// The known status of another process's session.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SessionStatus {
    /// The session has not been read yet.
    Unknown,
    /// The session was renewed recently.
    Live,
    /// The session has not changed for [`Timings::seal_delay`].
    Expired,
    /// The session was sealed or released, or deleted after that.
    Ended,
}

/// A process whose session is live as far as this process knows.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Member<'a> {
    pub(crate) node: &'a Node,
    pub(crate) digest: NameDigest,
    /// Whether it may own shards.
    pub(crate) candidate: bool,
    /// When its session was first read.
    pub(crate) first_seen: Time,
}

#[derive(Debug, Clone)]
struct KnownSession {
    node: Node,
    digest: NameDigest,
    candidate: bool,
    version: Version,
    state: SessionState,
    /// When this version was first read, or read again after a gap.
    unchanged_since: Time,
    /// When this version was first read.
    changed_at: Time,
    read_at: Time,
    first_seen: Time,
}

#[derive(Debug, Clone, Copy, Default)]
struct PolledSession {
    next_read_at: Time,
    read_call: Option<CallId>,
    seal_call: Option<CallId>,
    deleted: bool,
}

/// Lists all sessions and polls some of them individually.
#[derive(Debug, Clone)]
pub(crate) struct Observer {
    terms: Timings,
    sessions: BTreeMap<Incarnation, KnownSession>,
    polled_sessions: BTreeMap<Incarnation, PolledSession>,
    list_call: Option<CallId>,
    next_list_at: Time,
    listed: bool,
}

impl Observer {
    /// Creates an observer that has read no session yet.
    pub(crate) fn new(terms: Timings) -> Observer {
        Observer {
            terms,
            sessions: BTreeMap::new(),
            polled_sessions: BTreeMap::new(),
            list_call: None,
            next_list_at: Time::ZERO,
            listed: false,
        }
    }

    /// Whether the sessions have been listed at least once.
    pub(crate) fn ready(&self) -> bool {
        self.listed
    }

    /// Processes whose sessions were renewed recently.
    pub(crate) fn live(&self, now: Time) -> impl Iterator<Item = Member<'_>> {
        let max_age = self.terms.seal_delay() + self.list_interval();
        self.sessions
            .values()
            .filter(move |session| {
                session.state == SessionState::Live && now - session.changed_at < max_age
            })
            .map(|session| Member {
                node: &session.node,
                digest: session.digest,
                candidate: session.candidate,
                first_seen: session.first_seen,
            })
    }

    /// Live processes that may own shards.
    pub(crate) fn candidates(&self, now: Time) -> impl Iterator<Item = Member<'_>> {
        self.live(now).filter(|member| member.candidate)
    }

    /// Every known session as last read.
    pub(crate) fn readings(&self) -> impl Iterator<Item = SessionReading> {
        self.sessions.values().map(|session| SessionReading {
            node: session.node.clone(),
            state: session.state,
            version: session.version,
            changed_at: session.changed_at,
            read_at: session.read_at,
        })
    }

    /// The status of a process's session; only a polled session can be [`SessionStatus::Expired`].
    pub(crate) fn status(&self, now: Time, incarnation: Incarnation) -> SessionStatus {
        if self.polled_sessions.get(&incarnation).is_some_and(|polled| polled.deleted) {
            return SessionStatus::Ended;
        }
        let Some(session) = self.sessions.get(&incarnation) else {
            return SessionStatus::Unknown;
        };
        if session.state != SessionState::Live {
            return SessionStatus::Ended;
        }
        let is_polled = self.polled_sessions.contains_key(&incarnation);
        let current = now - session.read_at <= self.max_read_gap();
        if is_polled && current && now - session.unchanged_since >= self.terms.seal_delay() {
            return SessionStatus::Expired;
        }
        SessionStatus::Live
    }

    /// Sets the sessions that are polled individually.
    pub(crate) fn set_polled(&mut self, now: Time, wanted: &BTreeSet<Incarnation>) {
        self.polled_sessions.retain(|incarnation, _| wanted.contains(incarnation));
        for incarnation in wanted {
            if self.polled_sessions.contains_key(incarnation) {
                continue;
            }
            if let Some(session) = self.sessions.get_mut(incarnation) {
                session.unchanged_since = now;
            }
            self.polled_sessions.insert(
                *incarnation,
                PolledSession { next_read_at: now, ..PolledSession::default() },
            );
        }
    }

    /// Seals an expired session; fails without effect if the session was renewed meanwhile.
    pub(crate) fn seal(&mut self, incarnation: Incarnation, out: &mut Outbox) {
        let (Some(session), Some(polled)) =
            (self.sessions.get(&incarnation), self.polled_sessions.get_mut(&incarnation))
        else {
            return;
        };
        if polled.seal_call.is_some() {
            return;
        }
        let record = SessionRecord {
            node: session.node.clone(),
            attempt: 0,
            state: SessionState::Sealed,
            candidate: session.candidate,
            acting: Vec::new(),
        };
        let key = session_key(incarnation);
        let expect = Expect::At(session.version);
        polled.seal_call =
            Some(out.call(SEAL, StoreCall::Put { key, expect, value: encode(&record) }));
    }

    /// When [`Observer::wake`] is due again.
    pub(crate) fn wake_at(&self) -> Time {
        let list = if self.list_call.is_some() { Time::NEVER } else { self.next_list_at };
        self.polled_sessions
            .values()
            .filter(|polled| polled.read_call.is_none() && !polled.deleted)
            .map(|polled| polled.next_read_at)
            .fold(list, Time::min)
    }

    pub(crate) fn wake(&mut self, now: Time, out: &mut Outbox) {
        if self.list_call.is_none() && now >= self.next_list_at {
            let prefix = SESSION_PREFIX.to_owned();
            self.list_call = Some(out.call(LIST, StoreCall::List { prefix }));
        }
        let has_ended = |incarnation| {
            self.sessions
                .get(incarnation)
                .is_some_and(|session| session.state != SessionState::Live)
        };
        for (incarnation, polled) in &mut self.polled_sessions {
            if polled.read_call.is_some() || polled.deleted || now < polled.next_read_at {
                continue;
            }
            if has_ended(incarnation) {
                polled.next_read_at = Time::NEVER;
                continue;
            }
            let key = session_key(*incarnation);
            polled.read_call = Some(out.call(POLL, StoreCall::Get { key }));
        }
    }

    /// Handles a reply; returns false if another state machine made the call.
    pub(crate) fn reply(&mut self, now: Time, id: CallId, reply: &StoreReply) -> bool {
        if self.list_call == Some(id) {
            self.list_call = None;
            self.next_list_at = now + self.list_interval();
            self.record_list(now, reply);
            return true;
        }
        let found = self
            .polled_sessions
            .iter_mut()
            .find(|(_, polled)| polled.read_call == Some(id) || polled.seal_call == Some(id));
        let Some((incarnation, polled)) = found else {
            return false;
        };
        let incarnation = *incarnation;
        if polled.seal_call == Some(id) {
            polled.seal_call = None;
            polled.next_read_at = now;
        } else {
            polled.read_call = None;
            polled.next_read_at = now + self.terms.poll_interval;
        }
        match reply {
            StoreReply::Found(None) | StoreReply::Conflict(None) => polled.deleted = true,
            StoreReply::Found(Some(object)) | StoreReply::Conflict(Some(object)) => {
                self.record_session(now, object);
            }
            StoreReply::Written(version) => self.record_sealed(now, incarnation, *version),
            _ => {}
        }
        true
    }

    fn record_list(&mut self, now: Time, reply: &StoreReply) {
        let StoreReply::Listed { objects, version } = reply else {
            return;
        };
        self.listed = true;
        for object in objects {
            self.record_session(now, object);
        }
        let present: BTreeSet<&str> = objects.iter().map(|object| object.key.as_str()).collect();
        self.sessions.retain(|incarnation, session| {
            session.version > *version || present.contains(session_key(*incarnation).as_str())
        });
    }

    fn record_session(&mut self, now: Time, object: &Object) {
        let Ok(record) = decode::<SessionRecord>(&object.value) else {
            log::warn!(target: "session", "cannot decode session record; key={}", object.key);
            return;
        };
        let max_gap = self.max_read_gap();
        let new_session = || KnownSession {
            node: record.node.clone(),
            digest: NameDigest::of_node(&record.node),
            candidate: record.candidate,
            version: object.version,
            state: record.state,
            unchanged_since: now,
            changed_at: now,
            read_at: now,
            first_seen: now,
        };
        let session = self.sessions.entry(record.node.incarnation).or_insert_with(new_session);
        if object.version < session.version {
            return;
        }
        if object.version > session.version {
            session.version = object.version;
            session.state = record.state;
            session.unchanged_since = now;
            session.changed_at = now;
        }
        if now - session.read_at > max_gap {
            session.unchanged_since = now;
        }
        session.read_at = now;
    }

    fn record_sealed(&mut self, now: Time, incarnation: Incarnation, version: Version) {
        let Some(session) = self.sessions.get_mut(&incarnation) else {
            return;
        };
        session.version = version;
        session.state = SessionState::Sealed;
        session.read_at = now;
    }

    /// The longest time without a read that does not restart a polled session's wait.
    fn max_read_gap(&self) -> std::time::Duration {
        self.terms.lease_duration / 2
    }

    fn list_interval(&self) -> std::time::Duration {
        let count = u32::try_from(self.sessions.len()).unwrap_or(u32::MAX);
        self.terms.list_interval.max(self.terms.list_per_session * count)
    }
}
