//! Records what the ends of runs prove, and watches the targets on which that depends.
//!
//! [`RunEnd::proof`] decides. Whether a target ends soon after a run is asked of its port, a few times until that no
//! longer counts, for all such runs at the target together; any other sign that it has ended counts as well.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use chervilgate_clock::Time;
use chervilgate_policy::{ANSWER_DOUBT_TIME, RunEnd, RunProof};
use tokio::{runtime::Handle, time::sleep};

use crate::{
    caller_request::CallerRequest,
    crash::{has_ended, start_of},
    fleet::Placement,
    poison::{FailedRun, PoisonGuard, SentRequest, SharedParts},
    state::Shared,
};

/// Intervals at which a watched target is asked whether it has ended.
const FIRST_WATCH_INTERVAL: Duration = Duration::from_millis(50);
const MAX_WATCH_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum number of targets watched at once. The ends of others count if they are noticed otherwise.
const MAX_WATCHED: usize = 64;

impl SentRequest {
    /// The request of `call`.
    pub(crate) fn of(call: &CallerRequest) -> SentRequest {
        SentRequest { id: call.ask.id.clone(), fingerprint: call.fingerprint }
    }
}

/// A run that has ended.
pub(crate) struct EndedRun<'a> {
    pub(crate) request: &'a SentRequest,
    /// Parts of its prompt that an answer shows to be sound.
    pub(crate) parts: &'a SharedParts,
    pub(crate) placement: &'a Placement,
    /// Time since the first event of its answer.
    pub(crate) answering: Option<Duration>,
}

/// Records what the end of a run proves.
pub(crate) fn record_run_end(shared: &Arc<Shared>, run: &EndedRun<'_>, end: RunEnd) {
    match end.proof(run.answering) {
        RunProof::Failed => record_failed_run(shared, run, end),
        RunProof::FailedIfEnded(time) => record_doubtful_run(shared, run, time),
        RunProof::SoundUnlessEnded(_) => hold_answer(shared, run),
        RunProof::Sound => record_answer(shared, run),
        RunProof::Nothing => {}
    }
}

/// Records a run that failed. Whether its target has ended is not asked: it may be back already. A target that leaves
/// ends by that.
fn record_failed_run(shared: &Shared, run: &EndedRun<'_>, end: RunEnd) {
    if shared.state().fleet.is_leaving(run.placement) {
        return;
    }
    let SentRequest { fingerprint, .. } = run.request;
    let failed = FailedRun {
        request: fingerprint.digest,
        run: rand::random_range(FailedRun::TRIAL + 1..=u32::MAX),
    };
    let record = match end {
        RunEnd::Unanswered => PoisonGuard::record_run,
        _ => PoisonGuard::record_begun_run,
    };
    count_failed_run(shared, run.request, run.placement, failed, record);
}

/// Records a run that failed if its target ends within `time`.
fn record_doubtful_run(shared: &Arc<Shared>, run: &EndedRun<'_>, time: Duration) {
    let now = shared.now();
    {
        let state = &mut *shared.state();
        if state.fleet.is_leaving(run.placement) {
            return;
        }
        state.poison.record_doubtful_run(now, start_of(run.placement), run.request.clone());
    }
    watch(shared, run.placement, now, now + time);
}

/// Records the answer to a request that is sound unless its target ends soon. The target is not asked: that would cost
/// a connection for each answer. If it ends, it closes the connection of the answer ([`watch_closed`]).
fn hold_answer(shared: &Shared, run: &EndedRun<'_>) {
    let (now, start) = (shared.now(), start_of(run.placement));
    let runs = {
        let state = &mut *shared.state();
        state.last_answers.record(now, run.placement);
        state.poison.hold_answer(now, start, run.request.clone(), run.parts)
    };
    log_acquitted(run, runs);
}

fn record_answer(shared: &Shared, run: &EndedRun<'_>) {
    let now = shared.now();
    let runs = shared.state().poison.record_answer(now, run.request.fingerprint, run.parts);
    log_acquitted(run, runs);
}

fn log_acquitted(run: &EndedRun<'_>, runs: usize) {
    if runs == 0 {
        return;
    }
    let SentRequest { id, fingerprint } = run.request;
    let (target, request) = (&run.placement.id, format!("{:016x}", fingerprint.digest));
    log::info!(target: "gateway", id, target, request, runs; "request acquitted");
}

/// Counts the runs as failed that are judged by the end of the target of `placement`, which has ended.
pub(crate) fn record_ended_start(shared: &Shared, placement: &Placement) {
    let failed = {
        let state = &mut *shared.state();
        if state.fleet.has_announced_departure(placement) {
            return;
        }
        state.poison.take_failed_runs(shared.now(), start_of(placement))
    };
    for request in failed {
        let run = PoisonGuard::run_on_ended(request.fingerprint, start_of(placement));
        count_failed_run(shared, &request, placement, run, PoisonGuard::record_begun_run);
    }
}

fn count_failed_run(
    shared: &Shared,
    request: &SentRequest,
    placement: &Placement,
    run: FailedRun,
    record: impl FnOnce(&mut PoisonGuard, Time, FailedRun),
) {
    let now = shared.now();
    let SentRequest { id, fingerprint } = request;
    let runs = {
        let state = &mut *shared.state();
        record(&mut state.poison, now, run);
        if state.poison.verdict(now, *fingerprint, &[]).is_some() {
            shared.broadcast.notify_one();
        }
        state.poison.run_count(now, *fingerprint)
    };
    let (target, request) = (&placement.id, format!("{:016x}", fingerprint.digest));
    log::warn!(target: "gateway", id, target, request, runs; "run failed");
}

/// Looks in the background until `until` whether the target of `placement` has ended since `sent`.
fn watch(shared: &Arc<Shared>, placement: &Placement, sent: Time, until: Time) {
    let start = start_of(placement);
    {
        let watched = &mut shared.state().watched;
        if let Some(known) = watched.get_mut(&start) {
            *known = until.max(*known);
            return;
        }
        if watched.len() >= MAX_WATCHED {
            return;
        }
        watched.insert(start, until);
    }
    // A request may be dropped as the host ends.
    let Ok(runtime) = Handle::try_current() else { return };
    let (shared, placement) = (shared.clone(), placement.clone());
    runtime.spawn(async move { look_until_over(&shared, &placement, sent).await });
}

/// Looks whether the target of `placement` has ended since `sent`, until it has or is not watched any more.
async fn look_until_over(shared: &Shared, placement: &Placement, sent: Time) {
    let start = start_of(placement);
    let mut interval = FIRST_WATCH_INTERVAL;
    loop {
        let (left, is_replaced) = {
            let state = &mut *shared.state();
            let until = state.watched.get(&start);
            let left = until.map_or(Duration::ZERO, |until| until.since(shared.now()));
            let is_replaced = state.fleet.is_replaced(placement);
            if left.is_zero() || is_replaced {
                state.watched.remove(&start);
            }
            (left, is_replaced)
        };
        if is_replaced {
            return record_ended_start(shared, placement);
        }
        if has_ended(shared, placement, sent).await {
            shared.state().watched.remove(&start);
            return;
        }
        if left.is_zero() {
            return;
        }
        sleep(interval.min(left)).await;
        interval = (2 * interval).min(MAX_WATCH_INTERVAL);
    }
}

/// The last target that answered at each address, and when.
#[derive(Debug, Default)]
pub(crate) struct LastAnswers {
    by_addr: HashMap<SocketAddr, (Time, Placement)>,
}

/// Maximum number of addresses with answers that are remembered.
const MAX_ADDRS: usize = 4_096;

impl LastAnswers {
    fn record(&mut self, now: Time, placement: &Placement) {
        if let Some((at, known)) = self.by_addr.get_mut(&placement.addr)
            && (&known.id, known.incarnation) == (&placement.id, placement.incarnation)
        {
            *at = now;
            return;
        }
        if self.by_addr.len() >= MAX_ADDRS {
            self.by_addr.clear();
        }
        self.by_addr.insert(placement.addr, (now, placement.clone()));
    }

    /// The target that answered at `addr` so shortly ago that its end counts against what it answered.
    fn recent(&self, now: Time, addr: SocketAddr) -> Option<(Time, Placement)> {
        let answer = self.by_addr.get(&addr);
        answer.filter(|(at, _)| now.since(*at) < ANSWER_DOUBT_TIME).cloned()
    }
}

/// Looks whether targets have ended that have just answered and close connections.
pub(crate) async fn watch_closed(shared: Arc<Shared>) {
    loop {
        for addr in shared.closed_targets.next().await {
            let now = shared.now();
            let recent = shared.state().last_answers.recent(now, addr);
            if let Some((at, placement)) = recent {
                watch(&shared, &placement, now, at + ANSWER_DOUBT_TIME);
            }
        }
    }
}
