//! Which software version began a stream that a caller takes up, maybe at another host.
//!
//! While several versions serve, or may have served, the host that begins a stream tells a few others as
//! it passes on the first event: those first in an order by hash over the stream's key, so that the host
//! that the caller comes to can ask them even if that host is gone. The host at which the stream goes on
//! tells others in turn, and so does one that stops. A host that has seen one version only for as long as
//! streams live vouches for it, and then nothing is told. Where all that were told are gone, the record in the
//! store ([`stream_record`](crate::stream_record)) names the version.

use std::{
    collections::{HashMap, VecDeque, hash_map::Entry},
    net::SocketAddr,
    time::Duration,
};

use chervilgate_clock::Time;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::{
    fleet::{BuildId, STREAM_LIFE, SeenBuilds, SettledBuilds},
    hash::stable_hash,
};

/// Number of hosts that are told of a stream.
pub(crate) const HOLDERS: usize = 4;

/// Number of these that keep the record of streams in the store.
pub(crate) const RECORDERS: usize = 2;

/// Number of hosts that are asked for one: more, as hosts may disagree about who is there.
pub(crate) const ASKED: usize = 8;

/// Maximum number of hosts that are asked whether they have begun a stream at a version that joined others.
pub(crate) const MAX_ASKED: usize = 64;

/// Time after which a question is dropped that nobody has closed.
const QUESTION_LIFE: Duration = Duration::from_secs(5);

/// Maximum number of streams that are remembered; the oldest are dropped first.
const MAX_STREAMS: usize = 50_000;

/// Identifies a stream by the attempt that began it, its service and organisation: an organisation
/// learns nothing of the streams of others.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct StreamKey(u64);

impl StreamKey {
    /// Key of the stream that `attempt` began.
    pub fn new(attempt: &str, service: &str, org: Option<&str>) -> StreamKey {
        StreamKey(stable_hash(&(attempt, service, org)))
    }

    /// The key with this hash.
    pub(crate) fn from_hash(hash: u64) -> StreamKey {
        StreamKey(hash)
    }

    /// Hash by which hosts are ordered.
    pub(crate) fn hash(self) -> u64 {
        self.0
    }
}

/// That a version began a stream, as hosts tell each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct OriginNotice {
    /// The stream.
    pub key: StreamKey,
    /// The version that began it.
    pub build: BuildId,
}

/// A host's question which version began a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct OriginQuestion {
    /// The stream.
    pub key: StreamKey,
    /// Hash of its service's name.
    pub service: u64,
}

/// What a host knows of a stream that another one asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum OriginAnswer {
    /// This version began it.
    Begun(BuildId),
    /// No other version can have begun it.
    Only(BuildId),
    /// Several may have.
    Several,
}

/// What is known of the version that began a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// This one did.
    Known(BuildId),
    /// Others have to be asked.
    Unclear,
    /// Nobody can tell.
    Unknown,
}

/// The streams that are known to this host, and the answers of others.
#[derive(Debug, Default)]
pub struct Origins {
    begun: HashMap<StreamKey, Begun>,
    /// Keys by the time of their entry, oldest first.
    order: VecDeque<(Time, StreamKey)>,
    /// Streams of the record in the store, as it was last read.
    recorded: HashMap<StreamKey, BuildId>,
    /// Streams that this host serves and that are not told.
    untold: Vec<OriginNotice>,
    /// Streams that this host has told or was told of, for the record.
    unrecorded: Vec<OriginNotice>,
    /// Open questions.
    answers: HashMap<StreamKey, Answers>,
    /// Questions that are to be sent, with the hosts to ask.
    questions: Vec<(OriginQuestion, Vec<SocketAddr>)>,
}

#[derive(Debug, Clone, Copy)]
struct Begun {
    build: BuildId,
    /// Whether it was served by this host.
    is_own: bool,
}

/// Answers to a question that is open.
#[derive(Debug, Default)]
struct Answers {
    asked_at: Time,
    count: usize,
    /// Processes that have said that they did not begin the stream.
    denied_by: SmallVec<[u32; 8]>,
    only: Option<BuildId>,
    several: bool,
}

impl Origins {
    /// Records that a version began a stream at this host; `is_told` if others are told of it.
    pub fn begin(&mut self, now: Time, notice: OriginNotice, is_told: bool) {
        self.insert(now, notice, true);
        if is_told {
            self.untold.push(notice);
        }
    }

    /// Records that a stream which began at another host goes on at this one, which tells others of it
    /// in turn: the other host and those that it told may be gone by the next break.
    pub fn take_up(&mut self, now: Time, notice: OriginNotice, is_told: bool) {
        if self.begun.get(&notice.key).is_some_and(|begun| begun.is_own) {
            return;
        }
        self.begin(now, notice, is_told);
    }

    /// Records which version began a stream.
    pub fn learn(&mut self, now: Time, notice: OriginNotice) {
        self.insert(now, notice, false);
    }

    /// Records streams that another host tells of.
    pub fn hear(&mut self, now: Time, notices: Vec<OriginNotice>) {
        notices.iter().for_each(|notice| self.learn(now, *notice));
        self.unrecorded.extend(notices);
    }

    /// Names the version of streams that were begun while it was not known, and has them told again.
    pub fn settle(&mut self, settled: &SettledBuilds) {
        for (key, begun) in &mut self.begun {
            if settled.taken_for.contains(&begun.build) {
                begun.build = settled.build;
                if begun.is_own {
                    self.untold.push(OriginNotice { key: *key, build: begun.build });
                }
            }
        }
    }

    /// Streams that are to be added to the record, if this host keeps it.
    pub fn take_unrecorded(&mut self) -> Vec<OriginNotice> {
        std::mem::take(&mut self.unrecorded)
    }

    /// Replaces the streams of the record by those that were read.
    pub fn adopt_recorded(&mut self, streams: &[OriginNotice]) {
        self.recorded = streams.iter().map(|notice| (notice.key, notice.build)).collect();
    }

    /// The version that began a stream, as far as this host knows.
    fn known_build(&self, key: StreamKey) -> Option<BuildId> {
        self.begun.get(&key).map(|begun| begun.build).or_else(|| self.recorded.get(&key).copied())
    }

    fn insert(&mut self, now: Time, OriginNotice { key, build }: OriginNotice, is_own: bool) {
        self.forget_old(now);
        match self.begun.entry(key) {
            Entry::Occupied(mut known) => {
                let is_own = is_own || known.get().is_own;
                known.insert(Begun { build, is_own });
            }
            Entry::Vacant(unknown) => {
                unknown.insert(Begun { build, is_own });
                self.order.push_back((now, key));
            }
        }
    }

    /// Drops streams that are over, and the oldest beyond the maximum.
    fn forget_old(&mut self, now: Time) {
        while let Some((at, oldest)) = self.order.front().copied() {
            if now.since(at) < STREAM_LIFE && self.order.len() < MAX_STREAMS {
                return;
            }
            self.order.pop_front();
            self.begun.remove(&oldest);
        }
    }

    /// Streams that others are to be told of, which are to be recorded too.
    pub fn take_untold(&mut self) -> Vec<OriginNotice> {
        self.unrecorded.extend_from_slice(&self.untold);
        std::mem::take(&mut self.untold)
    }

    /// Has all streams told that this host serves, as a further version does.
    pub fn tell_all(&mut self) {
        self.untold.extend(self.notices(|begun| begun.is_own));
    }

    /// Has all streams told that this host knows, as it stops and can soon be asked no more.
    pub fn hand_over(&mut self, now: Time) {
        self.forget_old(now);
        self.untold.extend(self.notices(|_| true));
    }

    fn notices(&self, is_meant: impl Fn(&Begun) -> bool) -> Vec<OriginNotice> {
        let meant = self.begun.iter().filter(|(_, begun)| is_meant(begun));
        meant.map(|(key, begun)| OriginNotice { key: *key, build: begun.build }).collect()
    }

    /// What this host was told or has done itself of a stream that a caller takes up.
    pub fn find(&self, key: StreamKey) -> Origin {
        self.known_build(key).map_or(Origin::Unclear, Origin::Known)
    }

    /// Opens a question to the hosts at `peers`.
    pub fn ask(&mut self, now: Time, question: OriginQuestion, peers: Vec<SocketAddr>) {
        // Of callers that left before the answers came.
        self.answers.retain(|_, answers| now.since(answers.asked_at) < QUESTION_LIFE);
        let answers = Answers { asked_at: now, ..Answers::default() };
        self.answers.insert(question.key, answers);
        self.questions.push((question, peers));
    }

    /// Questions that are to be sent.
    pub fn take_questions(&mut self) -> Vec<(OriginQuestion, Vec<SocketAddr>)> {
        std::mem::take(&mut self.questions)
    }

    /// Records an answer to an open question.
    pub fn record_answer(&mut self, now: Time, key: StreamKey, answer: OriginAnswer) {
        let Some(answers) = self.answers.get_mut(&key) else { return };
        answers.count += 1;
        match answer {
            OriginAnswer::Begun(build) => self.learn(now, OriginNotice { key, build }),
            OriginAnswer::Only(build) => {
                answers.several |= answers.only.is_some_and(|only| only != build);
                answers.only = Some(build);
            }
            OriginAnswer::Several => answers.several = true,
        }
    }

    /// Number of answers to an open question.
    pub fn answer_count(&self, key: StreamKey) -> usize {
        self.answers.get(&key).map_or(0, |answers| answers.count)
    }

    /// Records that a process did not begin the stream of an open question.
    pub fn record_denial(&mut self, key: StreamKey, process: u32) {
        if let Some(answers) = self.answers.get_mut(&key) {
            answers.denied_by.push(process);
        }
    }

    /// Whether a process has said so.
    pub fn is_denied_by(&self, key: StreamKey, process: u32) -> bool {
        self.answers.get(&key).is_some_and(|answers| answers.denied_by.contains(&process))
    }

    /// Sends an open question to further hosts.
    pub fn ask_more(&mut self, question: OriginQuestion, peers: Vec<SocketAddr>) {
        if self.answers.contains_key(&question.key) && !peers.is_empty() {
            self.questions.push((question, peers));
        }
    }

    /// Whether the answers to a question suffice, of `asked` hosts.
    pub fn is_answered(&self, key: StreamKey, asked: usize) -> bool {
        self.known_build(key).is_some()
            || self.answers.get(&key).is_none_or(|answers| answers.count >= asked)
    }

    /// Closes a question, and tells what the answers show together with `seen`, by a list of targets
    /// that was read since the caller's try. Another host's word that there was one version only does
    /// not suffice, as its list may be older than the stream.
    pub fn conclude(&mut self, key: StreamKey, seen: SeenBuilds) -> Origin {
        let answers = self.answers.remove(&key);
        if let Some(build) = self.known_build(key) {
            return Origin::Known(build);
        }
        let SeenBuilds::Only(seen) = seen else { return Origin::Unknown };
        let is_disputed = answers.is_some_and(|answers| {
            answers.several || answers.only.is_some_and(|only| only != seen)
        });
        if is_disputed { Origin::Unknown } else { Origin::Known(seen) }
    }

    /// Answers another host's question, if this one can.
    pub fn answer(&self, key: StreamKey, seen: SeenBuilds) -> Option<OriginAnswer> {
        if let Some(build) = self.known_build(key) {
            return Some(OriginAnswer::Begun(build));
        }
        match seen {
            SeenBuilds::Only(build) => Some(OriginAnswer::Only(build)),
            SeenBuilds::Several => Some(OriginAnswer::Several),
            SeenBuilds::OnlyNow(_) | SeenBuilds::Unsure => None,
        }
    }
}
