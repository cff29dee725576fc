//! What a process knows of the other processes' sessions.
//!
//! All sessions are listed now and then, more rarely the more there are. A
//! session whose shards this process may have to take is also read by itself,
//! about once a second. A session counts as lapsed once its version has stood
//! still for term and guard *while this process could read it*: after an
//! outage of the store the wait begins anew, so that holders can renew first.

use std::collections::{BTreeMap, BTreeSet};

use chervilgate_clock::Time;

use crate::{
    codec::{decode, encode},
    ident::{Incarnation, Node},
    membership::Sighting,
    outbox::Outbox,
    rank::NameDigest,
    session::{SESSION_PREFIX, SessionRecord, SessionState, session_key},
    step::{Protocol, Step},
    store::{CallId, Expect, Object, StoreCall, StoreReply, Version},
    terms::Terms,
};

const LIST: Step = Step::new(Protocol::Session, "list");
const FOLLOW: Step = Step::new(Protocol::Session, "follow");
const SEAL: Step = Step::new(Protocol::Takeover, "seal");

/// Where another process's session stands, as far as is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Standing {
    /// Not read yet.
    Unknown,
    /// Renewed lately.
    Live,
    /// Unmoved for term and guard.
    Lapsed,
    /// Over, by seal or release, or cleared away after that.
    Over,
}

/// A process whose session is live, as far as is known.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Member<'a> {
    pub(crate) node: &'a Node,
    pub(crate) digest: NameDigest,
    /// Whether it may own shards.
    pub(crate) candidate: bool,
    /// When it was first seen.
    pub(crate) since: Time,
}

#[derive(Debug, Clone)]
struct Seen {
    node: Node,
    digest: NameDigest,
    candidate: bool,
    version: Version,
    state: SessionState,
    /// When this version was first seen, or seen again after a gap.
    since: Time,
    /// When this version was first seen.
    moved: Time,
    read: Time,
    first: Time,
}

#[derive(Debug, Clone, Copy, Default)]
struct Follow {
    next: Time,
    call: Option<CallId>,
    seal: Option<CallId>,
    gone: bool,
}

/// Follows the other processes' sessions.
#[derive(Debug, Clone)]
pub(crate) struct Observer {
    terms: Terms,
    seen: BTreeMap<Incarnation, Seen>,
    follows: BTreeMap<Incarnation, Follow>,
    list_call: Option<CallId>,
    list_next: Time,
    listed: bool,
}

impl Observer {
    /// An observer that has read nothing.
    pub(crate) fn new(terms: Terms) -> Observer {
        Observer {
            terms,
            seen: BTreeMap::new(),
            follows: BTreeMap::new(),
            list_call: None,
            list_next: Time::ZERO,
            listed: false,
        }
    }

    /// Whether the sessions have been listed at least once.
    pub(crate) fn ready(&self) -> bool {
        self.listed
    }

    /// Processes whose sessions have moved lately.
    pub(crate) fn live(&self, now: Time) -> impl Iterator<Item = Member<'_>> {
        let limit = self.terms.patience() + self.list_period();
        self.seen
            .values()
            .filter(move |seen| seen.state == SessionState::Live && now - seen.moved < limit)
            .map(|seen| Member {
                node: &seen.node,
                digest: seen.digest,
                candidate: seen.candidate,
                since: seen.first,
            })
    }

    /// Those of the live processes that may own shards.
    pub(crate) fn candidates(&self, now: Time) -> impl Iterator<Item = Member<'_>> {
        self.live(now).filter(|member| member.candidate)
    }

    /// Every session as it was last read.
    pub(crate) fn sightings(&self) -> impl Iterator<Item = Sighting> {
        self.seen.values().map(|seen| Sighting {
            node: seen.node.clone(),
            state: seen.state,
            version: seen.version,
            moved: seen.moved,
            read: seen.read,
        })
    }

    /// Where a followed process's session stands.
    pub(crate) fn standing(&self, now: Time, incarnation: Incarnation) -> Standing {
        if self.follows.get(&incarnation).is_some_and(|follow| follow.gone) {
            return Standing::Over;
        }
        let Some(seen) = self.seen.get(&incarnation) else {
            return Standing::Unknown;
        };
        if seen.state != SessionState::Live {
            return Standing::Over;
        }
        let followed = self.follows.contains_key(&incarnation);
        let current = now - seen.read <= self.gap();
        if followed && current && now - seen.since >= self.terms.patience() {
            return Standing::Lapsed;
        }
        Standing::Live
    }

    /// Reads just these sessions by themselves from now on.
    pub(crate) fn follow(&mut self, now: Time, wanted: &BTreeSet<Incarnation>) {
        self.follows.retain(|incarnation, _| wanted.contains(incarnation));
        for incarnation in wanted {
            if self.follows.contains_key(incarnation) {
                continue;
            }
            if let Some(seen) = self.seen.get_mut(incarnation) {
                seen.since = now;
            }
            self.follows.insert(*incarnation, Follow { next: now, ..Follow::default() });
        }
    }

    /// Seals a lapsed session, unless a renewal comes first.
    pub(crate) fn seal(&mut self, incarnation: Incarnation, out: &mut Outbox) {
        let (Some(seen), Some(follow)) =
            (self.seen.get(&incarnation), self.follows.get_mut(&incarnation))
        else {
            return;
        };
        if follow.seal.is_some() {
            return;
        }
        let record = SessionRecord {
            node: seen.node.clone(),
            attempt: 0,
            state: SessionState::Sealed,
            candidate: seen.candidate,
            acting: Vec::new(),
        };
        let key = session_key(incarnation);
        let expect = Expect::At(seen.version);
        follow.seal = Some(out.call(SEAL, StoreCall::Put { key, expect, value: encode(&record) }));
    }

    /// When to wake up next.
    pub(crate) fn wake_at(&self) -> Time {
        let list = if self.list_call.is_some() { Time::NEVER } else { self.list_next };
        self.follows
            .values()
            .filter(|follow| follow.call.is_none() && !follow.gone)
            .map(|follow| follow.next)
            .fold(list, Time::min)
    }

    pub(crate) fn wake(&mut self, now: Time, out: &mut Outbox) {
        if self.list_call.is_none() && now >= self.list_next {
            let prefix = SESSION_PREFIX.to_owned();
            self.list_call = Some(out.call(LIST, StoreCall::List { prefix }));
        }
        let over = |incarnation| {
            self.seen.get(incarnation).is_some_and(|seen| seen.state != SessionState::Live)
        };
        for (incarnation, follow) in &mut self.follows {
            if follow.call.is_some() || follow.gone || now < follow.next {
                continue;
            }
            if over(incarnation) {
                follow.next = Time::NEVER;
                continue;
            }
            let key = session_key(*incarnation);
            follow.call = Some(out.call(FOLLOW, StoreCall::Get { key }));
        }
    }

    /// Takes a reply; false if it belongs to another machine.
    pub(crate) fn reply(&mut self, now: Time, id: CallId, reply: &StoreReply) -> bool {
        if self.list_call == Some(id) {
            self.list_call = None;
            self.list_next = now + self.list_period();
            self.take_list(now, reply);
            return true;
        }
        let found = self
            .follows
            .iter_mut()
            .find(|(_, follow)| follow.call == Some(id) || follow.seal == Some(id));
        let Some((incarnation, follow)) = found else {
            return false;
        };
        let incarnation = *incarnation;
        if follow.seal == Some(id) {
            follow.seal = None;
            follow.next = now;
        } else {
            follow.call = None;
            follow.next = now + self.terms.poll;
        }
        match reply {
            StoreReply::Found(None) | StoreReply::Conflict(None) => follow.gone = true,
            StoreReply::Found(Some(object)) | StoreReply::Conflict(Some(object)) => {
                self.see(now, object);
            }
            StoreReply::Written(version) => self.note_sealed(now, incarnation, *version),
            _ => {}
        }
        true
    }

    fn take_list(&mut self, now: Time, reply: &StoreReply) {
        let StoreReply::Listed { objects, version } = reply else {
            return;
        };
        self.listed = true;
        for object in objects {
            self.see(now, object);
        }
        let present: BTreeSet<&str> = objects.iter().map(|object| object.key.as_str()).collect();
        self.seen.retain(|incarnation, seen| {
            seen.version > *version || present.contains(session_key(*incarnation).as_str())
        });
    }

    fn see(&mut self, now: Time, object: &Object) {
        let Ok(record) = decode::<SessionRecord>(&object.value) else {
            log::warn!(target: "session", "a session does not decode; key={}", object.key);
            return;
        };
        let gap = self.gap();
        let fresh = || Seen {
            node: record.node.clone(),
            digest: NameDigest::of_node(&record.node),
            candidate: record.candidate,
            version: object.version,
            state: record.state,
            since: now,
            moved: now,
            read: now,
            first: now,
        };
        let seen = self.seen.entry(record.node.incarnation).or_insert_with(fresh);
        if object.version < seen.version {
            return;
        }
        if object.version > seen.version {
            seen.version = object.version;
            seen.state = record.state;
            seen.since = now;
            seen.moved = now;
        }
        if now - seen.read > gap {
            seen.since = now;
        }
        seen.read = now;
    }

    fn note_sealed(&mut self, now: Time, incarnation: Incarnation, version: Version) {
        let Some(seen) = self.seen.get_mut(&incarnation) else {
            return;
        };
        seen.version = version;
        seen.state = SessionState::Sealed;
        seen.read = now;
    }

    /// Longer spans without a read of a followed session restart the wait.
    fn gap(&self) -> std::time::Duration {
        self.terms.term / 2
    }

    fn list_period(&self) -> std::time::Duration {
        let count = u32::try_from(self.seen.len()).unwrap_or(u32::MAX);
        self.terms.list.max(self.terms.list_share * count)
    }
}
