//! Records runs that failed, and finds out whether a target whose connection broke has ended.
//!
//! A connection may break off, or bring bytes that are no answer, while its target goes on. A port
//! that refuses connections shows that the process behind it has ended. An answer with neither a length
//! nor chunks ends in the same way when it is whole and when its target ends, and only the port tells.

use std::{io::ErrorKind, net::SocketAddr, sync::Arc, time::Duration};

use chervilgate_clock::Time;
use chervilgate_policy::{CrashId, TargetId};
use tokio::{io::AsyncReadExt, net::TcpStream, sync::OnceCell, time::timeout};

use crate::{
    attempt::CallerRequest,
    fleet::Placement,
    hash::stable_hash,
    poison::{FailedRun, PoisonGuard},
    state::Shared,
};

/// Time in which a connection is refused; a target that is cut off does not answer.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// Time within which an ending process has closed all its sockets.
const CLOSE_TIME: Duration = Duration::from_millis(10);

/// Maximum number of targets whose end is remembered.
const MAX_PROBES: usize = 1_024;

/// Whether one start of a target has ended; all requests that broke off there wait for one
/// connection attempt.
pub(crate) type CrashProbe = Arc<OnceCell<bool>>;

/// Records that a run of `call` failed at the target of `placement` before it was answered. Whether the
/// target has ended is not asked: it may be back already. A target that leaves ends by that.
pub(crate) fn record_failed_run(shared: &Shared, call: &CallerRequest, placement: &Placement) {
    record_run(shared, call, placement, PoisonGuard::record_run);
}

/// The same for a run that failed just as its answer began.
pub(crate) fn record_begun_run(shared: &Shared, call: &CallerRequest, placement: &Placement) {
    record_run(shared, call, placement, PoisonGuard::record_begun_run);
}

fn record_run(
    shared: &Shared,
    call: &CallerRequest,
    placement: &Placement,
    record: impl FnOnce(&mut PoisonGuard, Time, FailedRun),
) {
    let now = shared.now();
    let run = FailedRun { request: call.fingerprint.digest, run: rand::random() };
    let runs = {
        let state = &mut *shared.state();
        if state.fleet.is_leaving(placement) {
            return;
        }
        record(&mut state.poison, now, run);
        state.poison.run_count(now, call.fingerprint)
    };
    let (id, target) = (&call.ask.id, &placement.id);
    log::warn!(target: "gateway", id, target, runs; "run failed");
}

/// Records that `call` broke off at the target of `placement` before it was answered, or just as
/// its answer began. If the target has ended, this accuses the parts of the prompt.
pub(crate) async fn record_break(
    shared: &Arc<Shared>,
    call: &CallerRequest,
    placement: &Placement,
) {
    if call.parts.is_empty() {
        return look_for_end(shared, placement);
    }
    if shared.state().fleet.is_leaving(placement) {
        return;
    }
    if !has_ended(shared, placement).await {
        return;
    }
    let Placement { id: target, incarnation, .. } = placement;
    let (id, parts) = (&call.ask.id, call.shared_parts());
    log::warn!(target: "gateway", id, target, incarnation, parts; "target ended under the request");
    let crash = CrashId { target: TargetId(stable_hash(target) as u32), incarnation: *incarnation };
    let now = shared.now();
    shared.state().poison.record_crash(now, crash, &call.parts);
    shared.broadcast.notify_one();
}

/// Finds out in the background whether the target of `placement`, a connection to which has failed, has
/// ended.
pub(crate) fn look_for_end(shared: &Arc<Shared>, placement: &Placement) {
    let (shared, placement) = (shared.clone(), placement.clone());
    tokio::spawn(async move {
        has_ended(&shared, &placement).await;
    });
}

/// Records that what was sent to the target of `placement` at `sent` is answered now.
pub(crate) fn record_life(shared: &Shared, placement: &Placement, sent: Time) {
    let mut state = shared.state();
    if state.fleet.record_life(placement, sent) {
        state.crash_probes.remove(&(placement.id.clone(), placement.incarnation));
    }
}

/// How an answer ended, as far as its connection tells.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Ending {
    /// Its bytes, or a target that goes on, show that it is whole.
    Whole,
    /// Its bytes do not show it, and its target was about to end.
    Unclear,
    /// Its bytes do not show it, and its target has ended.
    Cut,
}

/// How an answer ended that came to its end without an error; `is_framed` if that shows in its bytes.
pub(crate) async fn judge_ending(
    shared: &Shared,
    call: &CallerRequest,
    placement: &Placement,
    is_framed: bool,
) -> Ending {
    if is_framed {
        return Ending::Whole;
    }
    // It ends its answers before it ends.
    if shared.state().fleet.is_leaving(placement) {
        return Ending::Unclear;
    }
    if !has_ended(shared, placement).await {
        return Ending::Whole;
    }
    let (id, target) = (&call.ask.id, &placement.id);
    log::warn!(target: "gateway", id, target; "answer without a length ended with its target");
    Ending::Cut
}

/// Whether the target of `placement` has ended, which is recorded.
async fn has_ended(shared: &Shared, placement: &Placement) -> bool {
    let key = (placement.id.clone(), placement.incarnation);
    let probe = {
        let mut state = shared.state();
        if state.crash_probes.len() >= MAX_PROBES {
            state.crash_probes.clear();
        }
        state.crash_probes.entry(key.clone()).or_default().clone()
    };
    let ended = *probe.get_or_init(|| is_refused(placement.addr)).await;
    let now = shared.now();
    let mut state = shared.state();
    if ended {
        if state.fleet.record_end(now, placement) {
            shared.origins_due.notify_one();
        }
    } else {
        // It may end later.
        state.crash_probes.remove(&key);
    }
    ended
}

/// Whether the port at `addr` refuses connections, or comes to within [`CLOSE_TIME`]: a process that ends
/// may close the connection of an answer before its port.
async fn is_refused(addr: SocketAddr) -> bool {
    let mut buf = [0];
    match connect(addr).await {
        Ok(mut stream) => {
            let closed = timeout(CLOSE_TIME, stream.read(&mut buf)).await.is_ok();
            // A target with too many connections closes further ones, too.
            closed && connect(addr).await.is_err_and(|kind| kind == ErrorKind::ConnectionRefused)
        }
        Err(kind) => kind == ErrorKind::ConnectionRefused,
    }
}

async fn connect(addr: SocketAddr) -> Result<TcpStream, ErrorKind> {
    match timeout(PROBE_TIMEOUT, TcpStream::connect(addr)).await {
        Ok(connected) => connected.map_err(|error| error.kind()),
        Err(_) => Err(ErrorKind::TimedOut),
    }
}
