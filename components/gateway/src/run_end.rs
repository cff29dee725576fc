//! Records what the ends of runs prove, and watches the targets on which that depends.
//!
//! [`RunEnd::proof`] decides. Whether a target ends soon after a run is asked of its port, a few times until that no
//! longer counts, for all such runs at the target together; any other sign that it has ended counts as well.

use std::{sync::Arc, time::Duration};

use chervilgate_clock::Time;
use chervilgate_policy::{RunEnd, RunProof};
use tokio::{runtime::Handle, time::sleep};

use crate::{
    caller_request::CallerRequest,
    crash::{has_ended, start_of},
    fleet::Placement,
    poison::{FailedRun, PoisonGuard, SentRequest},
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

/// Records what the end of a run proves that was sent to the target of `placement`; `answering` is the time since
/// its first event.
pub(crate) fn record_run_end(
    shared: &Arc<Shared>,
    request: &SentRequest,
    placement: &Placement,
    end: RunEnd,
    answering: Option<Duration>,
) {
    match end.proof(answering) {
        RunProof::Failed => record_failed_run(shared, request, placement, end),
        RunProof::FailedIfEnded(time) => {
            let now = shared.now();
            {
                let state = &mut *shared.state();
                if state.fleet.is_leaving(placement) {
                    return;
                }
                state.poison.record_doubtful_run(now, start_of(placement), request.clone());
            }
            watch(shared, placement, now, now + time);
        }
        RunProof::SoundUnlessEnded(_) | RunProof::Sound | RunProof::Nothing => {}
    }
}

/// Records that a run failed at the target of `placement`. Whether the target has ended is not asked: it may be back
/// already. A target that leaves ends by that.
fn record_failed_run(shared: &Shared, request: &SentRequest, placement: &Placement, end: RunEnd) {
    if shared.state().fleet.is_leaving(placement) {
        return;
    }
    if end == RunEnd::Unanswered {
        count_failed_run(shared, request, placement, PoisonGuard::record_run);
    } else {
        count_failed_run(shared, request, placement, PoisonGuard::record_begun_run);
    }
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
        count_failed_run(shared, &request, placement, PoisonGuard::record_begun_run);
    }
}

fn count_failed_run(
    shared: &Shared,
    request: &SentRequest,
    placement: &Placement,
    record: impl FnOnce(&mut PoisonGuard, Time, FailedRun),
) {
    let now = shared.now();
    let SentRequest { id, fingerprint } = request;
    let run = FailedRun { request: fingerprint.digest, run: rand::random() };
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
    runtime.spawn(async move {
        let mut interval = FIRST_WATCH_INTERVAL;
        loop {
            let is_last = {
                let state = &mut *shared.state();
                let is_last = state.watched.get(&start).is_none_or(|until| shared.now() >= *until);
                is_last || state.fleet.is_replaced(&placement)
            };
            if has_ended(&shared, &placement, sent).await || is_last {
                break;
            }
            sleep(interval).await;
            interval = (2 * interval).min(MAX_WATCH_INTERVAL);
        }
        shared.state().watched.remove(&start);
    });
}
