//! Changes of the targets' entries, passed on between hosts.
//!
//! Each call to the store is billed, and a watch is answered at each batch of changes. So only the
//! pollers read every batch. They send it to the others by datagram, as the changes between two
//! versions. A host that knows all changes up to the first of these applies them and is at the second,
//! without a call. What a message says stays true however late it arrives, so lost, repeated and
//! reordered ones do no harm: changes that are known are left out, and those beyond a gap wait.
//!
//! A host that follows the pollers has no watch open. It must notice when it is told nothing, so it asks
//! a poller for what it lacks ten times within the time in which a draining target may get work. As with
//! the configuration, clocks are never compared: an answer counts from the time of the question, less
//! the age that the poller states. Without answers the host reads the store itself.

mod budget;
mod log;

use std::time::Duration;

use chervilgate_clock::Time;
use chervilgate_coord::{Change, Version};
use serde::{Deserialize, Serialize};

use self::{
    budget::AnswerBudget,
    log::{ChangeLog, is_ordered},
};
use crate::{freshness::Freshness, view::ConfirmationRequest};

/// Interval between questions to pollers, as a share of the time within which a change must be known.
/// Two of them may be lost before the host reads the store itself.
const ASK_SHARE: f64 = 0.1;

/// Time without an answer of a poller, or with a change known to be missing, after which a host reads
/// the store itself, as such a share.
const UNHEARD_SHARE: f64 = 0.3;

/// Age of what the pollers' answers prove from which a host reads the store itself, as such a share.
/// The rest is for the call: 0.9 left 100 ms of 2 s for one over a new connection. Pollers keep theirs
/// near [`POLLER_AGE_SHARE`], and a question takes up to [`ASK_SHARE`] more.
const UNCONFIRMED_SHARE: f64 = 0.7;

/// Age of what a poller has read at the end of its next watch, as such a share.
const POLLER_AGE_SHARE: f64 = 0.5;

/// Pause of a poller after changes, as such a share, unless what it has read grows too old.
const POLLER_DELAY_SHARE: f64 = 0.15;

/// Shortest wait of a poller's watch.
const MIN_POLLER_WAIT: Duration = Duration::from_millis(100);

/// Time after a reply of the store from which a host opens its own watch again.
const READ_INTERVAL: Duration = Duration::from_secs(20);

/// Number of pollers below which each host reads the store itself.
const MIN_POLLERS: usize = 2;

/// Maximum number of messages in an answer; a host that lacks more reads the store.
const MAX_ANSWER_MESSAGES: usize = 12;

/// Maximum number of messages for which a host waits for those before them.
const MAX_EARLY: usize = 32;

/// Consecutive changes of the targets' entries.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PassedChanges {
    /// Version after which no change is left out.
    pub before: Version,
    /// Version up to which no change is left out.
    pub after: Version,
    /// All changes in between, by version.
    pub changes: Vec<Change>,
    /// The question that this answers, in the last message of an answer.
    pub answer: Option<FeedAnswer>,
}

impl PassedChanges {
    fn empty(at: Version) -> PassedChanges {
        PassedChanges { before: at, after: at, changes: Vec::new(), answer: None }
    }

    fn push(&mut self, change: &Change) {
        self.after = change.version();
        self.changes.push(change.clone());
    }
}

/// Asks a poller for all changes after a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct FeedRequest {
    /// Who asks, and when.
    pub request: ConfirmationRequest,
    /// Version up to which the sender knows all changes.
    pub after: Version,
}

/// States that an answer to a [`FeedRequest`] is at its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct FeedAnswer {
    /// The request.
    pub request: ConfirmationRequest,
    /// Whether the poller still has all changes that were asked for.
    pub is_complete: bool,
    /// Time since the store last confirmed what the poller knows, in microseconds.
    pub age: u64,
}

/// Why a host reads the targets' changes from the store itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ReadReason {
    /// It has no list yet, or must list again.
    Start,
    /// It is a poller.
    Poller,
    /// Fewer than two pollers are alive.
    FewPollers,
    /// The store does not answer, or has come back from an older copy.
    StoreDoubted,
    /// The poller that was asked no longer has what is missing.
    NotKept,
    /// A change is missing that no poller has sent for too long.
    Gap,
    /// No poller has answered for too long.
    Unheard,
    /// What pollers know was not confirmed by the store for too long.
    Unconfirmed,
    /// Its own watch is due again.
    Interval,
    /// A request needs to know the latest changes.
    Wanted,
    /// Its watch before ended without changes, or was given up.
    Renewed,
}

impl ReadReason {
    /// The name in metrics and log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            ReadReason::Start => "start",
            ReadReason::Poller => "poller",
            ReadReason::FewPollers => "few-pollers",
            ReadReason::StoreDoubted => "store-doubted",
            ReadReason::NotKept => "not-kept",
            ReadReason::Gap => "gap",
            ReadReason::Unheard => "unheard",
            ReadReason::Unconfirmed => "unconfirmed",
            ReadReason::Interval => "interval",
            ReadReason::Wanted => "wanted",
            ReadReason::Renewed => "renewed",
        }
    }

    /// Whether this host's connections to the store may have fallen silent with those of the pollers,
    /// which shows on no watch of its own while it follows them.
    pub fn doubts_connections(self) -> bool {
        matches!(
            self,
            ReadReason::Gap | ReadReason::NotKept | ReadReason::Unheard | ReadReason::Unconfirmed
        )
    }

    /// The reason to read at once if a request `is_wanting` the latest changes. Without a change that is
    /// missing the request has been served by now.
    pub fn of_request(is_wanting: bool, freshness: &Freshness) -> Option<ReadReason> {
        (is_wanting && freshness.is_behind()).then_some(ReadReason::Wanted)
    }
}

/// What a host knows of the pollers and the store when it decides whether to read.
#[derive(Debug, Clone, Copy)]
pub struct FeedConditions {
    /// Whether it is a poller itself.
    pub is_poller: bool,
    /// Number of other pollers that are alive.
    pub pollers: usize,
    /// Whether the store does not answer.
    pub is_store_down: bool,
    /// Latest era of the store that is known.
    pub era: u64,
}

/// What a message brought.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Applied {
    /// The changes to apply, in order.
    pub changes: Vec<Change>,
    /// Whether this host learned of a later change than before.
    pub is_later: bool,
    /// Whether changes before the message are missing.
    pub has_gap: bool,
}

/// What one host has of the changes of the targets' entries, from the store and from other hosts.
#[derive(Debug)]
pub struct TargetFeed {
    /// Time within which a change must be known.
    limit: Duration,
    log: ChangeLog,
    /// Messages that wait for those before them.
    early: Vec<PassedChanges>,
    /// End of the latest answer of which messages are missing, and its version.
    unfinished: Option<(FeedAnswer, Version)>,
    /// Messages that this host may still send in answers.
    answer_budget: AnswerBudget,
    /// Version up to which this host has passed changes on.
    passed: Version,
    /// When the store's last reply was read.
    read_at: Option<Time>,
    /// When the last question was sent of those that pollers have answered.
    answered_at: Option<Time>,
    asked_at: Option<Time>,
    /// Version of the latest change when the last question was sent.
    asked_for: Version,
    /// Whether a poller has said that it no longer has what is missing.
    is_not_kept: bool,
    /// Whether this host has no watch open and follows the pollers.
    is_following: bool,
}

impl TargetFeed {
    /// Starts without a list; a change must be known within `limit`.
    pub fn new(limit: Duration) -> TargetFeed {
        TargetFeed {
            limit,
            log: ChangeLog::default(),
            early: Vec::new(),
            unfinished: None,
            answer_budget: AnswerBudget::default(),
            passed: Version::default(),
            read_at: None,
            answered_at: None,
            asked_at: None,
            asked_for: Version::default(),
            is_not_kept: false,
            is_following: false,
        }
    }

    /// Version up to which all changes are known; none before a list.
    pub fn position(&self) -> Option<Version> {
        self.log.known()
    }

    /// Forgets the list, as this host lists again: what other hosts pass on meanwhile is left out.
    pub fn start_list(&mut self) {
        let TargetFeed { limit, passed, answer_budget, .. } = *self;
        *self = TargetFeed { passed, answer_budget, ..TargetFeed::new(limit) };
    }

    /// Records a list of version `version`.
    pub fn record_list(&mut self, now: Time, version: Version) {
        self.start_list();
        self.log.restart(version);
        self.passed = version;
        self.read_at = Some(now);
    }

    /// Records the store's reply to a watch, with all changes up to `version` after one that this host
    /// knew. Returns those that are new to it.
    pub fn record_read(&mut self, now: Time, changes: &[Change], version: Version) -> Vec<Change> {
        self.read_at = Some(now);
        self.is_not_kept = false;
        let known = self.log.known().unwrap_or_default();
        let new = changes.iter().filter(|change| change.version() > known);
        let new: Vec<Change> = new.cloned().collect();
        self.log.extend(&new, version);
        self.drop_known_early();
        new
    }

    /// Applies what another host passed on to this process, which has the gossip id `host` and knows of the
    /// store's era `era`.
    pub fn apply(
        &mut self,
        now: Time,
        host: u32,
        era: u64,
        passed: PassedChanges,
        freshness: &mut Freshness,
    ) -> Applied {
        let mut applied = Applied::default();
        let Some(position) = self.log.known() else { return applied };
        let PassedChanges { before, after, answer, .. } = passed;
        // A message of an earlier era tells of changes that the store has lost. One of a later era
        // follows on nothing that this host knows; it lists again.
        let is_of_era = after.era == era && position.era == era;
        if !is_of_era || !is_ordered(&passed.changes, before, after) {
            return applied;
        }
        if after > position {
            let newest = passed.changes.last().map(Change::version);
            applied.is_later = newest.is_some_and(|newest| freshness.hear(now, newest));
            let has_changes = !passed.changes.is_empty();
            applied.has_gap = before > position && has_changes;
            if before <= position {
                self.extend(passed, &mut applied.changes);
            } else if has_changes {
                self.keep_early(passed);
            }
            self.apply_early(&mut applied.changes);
            if let Some(known) = self.log.known() {
                self.passed = self.passed.max(known);
                let newest = applied.changes.last().map(Change::version);
                freshness.record_passed(known, newest);
            }
        }
        if let Some(answer) = answer.filter(|answer| answer.request.host == host) {
            self.apply_answer(now, answer, after, freshness);
        }
        // The messages of an answer may arrive after its end.
        if let Some((answer, after)) = self.unfinished
            && self.log.known() >= Some(after)
        {
            self.unfinished = None;
            self.apply_answer(now, answer, after, freshness);
        }
        applied
    }

    fn apply_answer(
        &mut self,
        now: Time,
        answer: FeedAnswer,
        after: Version,
        freshness: &mut Freshness,
    ) {
        let asked = Time::from_micros(answer.request.sent);
        let has_all = self.log.known() >= Some(after);
        if asked > now {
            return;
        }
        if has_all {
            self.answered_at = self.answered_at.max(Some(asked));
            self.is_not_kept = false;
            let at = asked.saturating_sub(Duration::from_micros(answer.age));
            freshness.confirm_by_peer(at, after);
        } else if answer.is_complete {
            self.unfinished = Some((answer, after));
        } else {
            self.is_not_kept = true;
        }
    }

    fn keep_early(&mut self, passed: PassedChanges) {
        let is_known = self
            .early
            .iter()
            .any(|early| early.before == passed.before && early.after == passed.after);
        if !is_known && self.early.len() < MAX_EARLY {
            self.early.push(passed);
        }
    }

    /// Applies a message that begins at or before what is known.
    fn extend(&mut self, passed: PassedChanges, applied: &mut Vec<Change>) {
        let PassedChanges { mut changes, after, .. } = passed;
        let known = self.log.known();
        changes.retain(|change| Some(change.version()) > known);
        self.log.extend(&changes, after);
        applied.extend(changes);
    }

    /// Applies the messages that follow on what is known.
    fn apply_early(&mut self, applied: &mut Vec<Change>) {
        while let Some(known) = self.log.known()
            && let Some(at) =
                self.early.iter().position(|early| early.before <= known && early.after > known)
        {
            let passed = self.early.swap_remove(at);
            self.extend(passed, applied);
        }
        self.drop_known_early();
    }

    fn drop_known_early(&mut self) {
        let known = self.log.known();
        self.early.retain(|early| Some(early.after) > known);
    }

    /// Why this host must read the store now; none while it may follow the pollers.
    pub fn read_reason(
        &self,
        now: Time,
        freshness: &Freshness,
        conditions: &FeedConditions,
    ) -> Option<ReadReason> {
        let (Some(position), Some(read_at)) = (self.position(), self.read_at) else {
            return Some(ReadReason::Start);
        };
        let unheard = self.limit.mul_f64(UNHEARD_SHARE);
        let is_unheard = |since: Option<Time>| now.since(since.unwrap_or(read_at)) >= unheard;
        let heard_at = self.answered_at.max(Some(read_at));
        let confirmed_at = freshness.confirmed_at().unwrap_or(Time::ZERO);
        let is_unconfirmed = now.since(confirmed_at) >= self.limit.mul_f64(UNCONFIRMED_SHARE);
        let reasons = [
            (conditions.is_poller, ReadReason::Poller),
            (conditions.pollers < MIN_POLLERS, ReadReason::FewPollers),
            (conditions.is_store_down || position.era != conditions.era, ReadReason::StoreDoubted),
            // Without a change that is known to be missing, another poller may have all of them.
            (self.is_not_kept && freshness.is_behind(), ReadReason::NotKept),
            (freshness.is_behind() && is_unheard(freshness.behind_since()), ReadReason::Gap),
            (is_unheard(heard_at), ReadReason::Unheard),
            // The store's own reply shows what is known for as long as a pause after it takes.
            (is_unheard(Some(read_at)) && is_unconfirmed, ReadReason::Unconfirmed),
            (now.since(read_at) >= READ_INTERVAL, ReadReason::Interval),
        ];
        reasons.into_iter().find(|(applies, _)| *applies).map(|(_, reason)| reason)
    }

    /// Records whether this host follows the pollers, without a watch of its own.
    pub fn set_following(&mut self, is_following: bool) {
        self.is_following = is_following;
        self.asked_at = self.asked_at.filter(|_| is_following);
    }

    /// Time until the next question is due, unless a change is missed before.
    pub fn ask_pause(&self, now: Time) -> Duration {
        let interval = self.limit.mul_f64(ASK_SHARE);
        self.asked_at.map_or(interval, |at| interval.saturating_sub(now.since(at)))
    }

    /// The question that is due now, for the process with the gossip id `host`: one at each interval, and a
    /// further one immediately when a change is found to be missing.
    pub fn next_request(
        &mut self,
        now: Time,
        host: u32,
        freshness: &Freshness,
    ) -> Option<FeedRequest> {
        let after = self.position().filter(|_| self.is_following)?;
        let is_due = self.asked_at.is_none() || self.ask_pause(now).is_zero();
        let latest = freshness.latest();
        if !is_due && (latest <= after || latest <= self.asked_for) {
            return None;
        }
        self.asked_at = Some(now);
        self.asked_for = latest;
        Some(FeedRequest { request: ConfirmationRequest { host, sent: now.as_micros() }, after })
    }

    /// Answers another host's question; empty if this host knows nothing of the present `era`. Of changes
    /// beyond what may be sent in this time it says that it does not have them.
    pub fn answer(
        &mut self,
        now: Time,
        era: u64,
        question: &FeedRequest,
        freshness: &Freshness,
    ) -> Vec<PassedChanges> {
        let Some(position) = self.position().filter(|position| position.era == era) else {
            return Vec::new();
        };
        let age = freshness.age(now).and_then(|age| u64::try_from(age.as_micros()).ok());
        let Some(age) = age else { return Vec::new() };
        let missing = if question.after >= position {
            Some(vec![PassedChanges::empty(position)])
        } else {
            let missing = self.log.since(question.after, MAX_ANSWER_MESSAGES);
            missing.filter(|missing| {
                let messages = missing.iter().filter(|passed| !passed.changes.is_empty()).count();
                self.answer_budget.take(now, messages)
            })
        };
        let is_complete = missing.is_some();
        let mut passed = missing.unwrap_or_else(|| vec![PassedChanges::empty(position)]);
        if let Some(last) = passed.last_mut() {
            last.answer = Some(FeedAnswer { request: question.request, is_complete, age });
        }
        passed
    }

    /// The changes since the last call, in at most `max` messages; empty if there are none, if they do
    /// not fit, or if what is known is not of the present `era`.
    pub fn take_news(&mut self, era: u64, max: usize) -> Vec<PassedChanges> {
        let Some(position) = self.position().filter(|position| position.era == era) else {
            return Vec::new();
        };
        let since = std::mem::replace(&mut self.passed, position);
        let mut passed = self.log.since(since, max).unwrap_or_default();
        passed.retain(|passed| !passed.changes.is_empty());
        passed
    }

    /// Pause of a poller after changes, so that further changes arrive in one reply. It is shorter if the
    /// reply came late in its watch, as what is known counts from when the watch was sent.
    pub fn poller_pause(&self, now: Time, freshness: &Freshness) -> Duration {
        let age = freshness.age(now).unwrap_or_default();
        let left = self.limit.mul_f64(POLLER_AGE_SHARE).saturating_sub(age + MIN_POLLER_WAIT);
        left.min(self.limit.mul_f64(POLLER_DELAY_SHARE))
    }

    /// Longest wait of a poller's next watch, so that what it knows is confirmed often enough for the
    /// hosts that follow it.
    pub fn poller_wait(&self, now: Time, freshness: &Freshness) -> Duration {
        let age = freshness.age(now).unwrap_or_default();
        self.limit.mul_f64(POLLER_AGE_SHARE).saturating_sub(age).max(MIN_POLLER_WAIT)
    }
}
