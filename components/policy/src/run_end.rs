//! What the end of a run proves of its request.
//!
//! A request may crash each target that begins to run it, whatever its host sees of the run by then: it may break off,
//! be answered with an error or as if it were sound, reach its deadline, or lose its caller or its host's patience
//! first. So most ends prove something only together with what becomes of the target: [`RunEnd::proof`] says what, and
//! [`OpenRuns`] keeps the runs until that is known.

use std::{collections::VecDeque, time::Duration};

use chervilgate_clock::Time;

use crate::poison::CrashId;

#[cfg(test)]
mod tests;

/// Time from the first event of an answer in which the end of a target may be due to the request. What fails later
/// mostly ran beside another request that ended the target.
pub const BEGIN_TIME: Duration = Duration::from_millis(500);

/// Time from the end of a run that was not answered well in which the end of the target counts against its request.
pub const DOUBT_TIME: Duration = Duration::from_secs(2);

/// The same for a run that was answered well. Far more requests are, so fewer of them may be accused for their company.
pub const ANSWER_DOUBT_TIME: Duration = Duration::from_millis(100);

/// Time in which a host notices that a target has ended.
const NOTICE_TIME: Duration = Duration::from_millis(250);

/// Maximum number of runs that are kept until more is known of their targets; the oldest are let go first.
const MAX_OPEN_RUNS: usize = 4_096;

/// How a run ended, as the host sees it that sent the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RunEnd {
    /// The connection broke off, or brought something else than an answer to the request.
    Unanswered,
    /// The answer broke off.
    Broken,
    /// The answer is a server error, or none that may be passed on.
    ErrorAnswer,
    /// The host took no more of the answer, for lack of memory or for its length.
    GivenUp,
    /// Its time was over.
    TimedOut,
    /// Its caller left.
    CallerLeft,
    /// The answer is whole, and no server error.
    Answered,
}

/// What the end of a run proves of its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunProof {
    /// The run failed.
    Failed,
    /// The run failed if its target ends within this time.
    FailedIfEnded(Duration),
    /// The request is sound unless its target ends within this time; then the run failed.
    SoundUnlessEnded(Duration),
    /// The request is sound.
    Sound,
    /// Nothing.
    Nothing,
}

impl RunEnd {
    /// What this end of a run proves, whose target sent the first event of its answer `answering` ago; none if it
    /// sent none, or if the answer has no events.
    pub fn proof(self, answering: Option<Duration>) -> RunProof {
        let has_just_begun = answering.is_none_or(|span| span < BEGIN_TIME);
        match self {
            RunEnd::Answered if has_just_begun => RunProof::SoundUnlessEnded(ANSWER_DOUBT_TIME),
            RunEnd::Answered => RunProof::Sound,
            _ if !has_just_begun => RunProof::Nothing,
            RunEnd::Unanswered | RunEnd::Broken => RunProof::Failed,
            RunEnd::ErrorAnswer | RunEnd::GivenUp | RunEnd::TimedOut | RunEnd::CallerLeft => {
                RunProof::FailedIfEnded(DOUBT_TIME)
            }
        }
    }
}

/// A run that is judged by what becomes of its target.
#[derive(Debug)]
struct OpenRun<R> {
    start: CrashId,
    run: R,
    until: Time,
}

/// Runs that are judged by what becomes of their targets, for the same time each.
#[derive(Debug)]
pub struct OpenRuns<R> {
    time: Duration,
    /// In the order in which they ended.
    runs: VecDeque<OpenRun<R>>,
}

impl<R> OpenRuns<R> {
    /// Keeps runs that are judged by the end of their targets within `time`.
    pub fn new(time: Duration) -> OpenRuns<R> {
        OpenRuns { time: time + NOTICE_TIME, runs: VecDeque::new() }
    }

    /// Keeps a run that ended at `now` on this start of a target.
    pub fn add(&mut self, now: Time, start: CrashId, run: R) {
        self.runs.push_back(OpenRun { start, run, until: now + self.time });
    }

    /// Takes out the runs on a start of a target that has ended.
    pub fn take_ended(&mut self, now: Time, start: CrashId) -> Vec<R> {
        let (ended, others) =
            self.runs.drain(..).partition(|open| open.start == start && now < open.until);
        self.runs = others;
        let ended: VecDeque<OpenRun<R>> = ended;
        ended.into_iter().map(|open| open.run).collect()
    }

    /// Takes out the runs whose targets have outlived them by long enough, and the oldest of too many.
    pub fn take_outlived(&mut self, now: Time) -> Vec<R> {
        let surplus = self.runs.len().saturating_sub(MAX_OPEN_RUNS);
        let outlived = self.runs.partition_point(|open| open.until <= now);
        self.runs.drain(..surplus.max(outlived)).map(|open| open.run).collect()
    }

    /// The runs that are kept.
    pub fn runs(&self) -> impl Iterator<Item = &R> {
        self.runs.iter().map(|open| &open.run)
    }
}
