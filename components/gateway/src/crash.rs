//! Finds out whether a target whose connection broke has ended.
//!
//! A connection may break off, or bring bytes that are no answer, while its target goes on. A port
//! that refuses connections shows that the process behind it has ended. An answer with neither a length
//! nor chunks ends in the same way when it is whole and when its target ends, and only the port tells.

use std::{io::ErrorKind, net::SocketAddr, sync::Arc, time::Duration};

use chervilgate_clock::Time;
use chervilgate_policy::{CrashId, TargetId};
use tokio::{io::AsyncReadExt, net::TcpStream, sync::OnceCell, time::timeout};

use crate::{
    caller_request::CallerRequest, fleet::Placement, hash::stable_hash,
    run_end::record_ended_start, state::Shared,
};

/// Time in which a connection is refused; a target that is cut off does not answer.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// Time within which an ending process has closed all its sockets.
const CLOSE_TIME: Duration = Duration::from_millis(10);

/// Maximum number of targets whose end is remembered.
const MAX_PROBES: usize = 1_024;

/// When one start of a target was found to have ended, if it has; all requests that broke off there wait
/// for one connection attempt.
pub(crate) type CrashProbe = Arc<OnceCell<Option<Time>>>;

/// The start of the target of `placement`, as crashes name it.
pub(crate) fn start_of(placement: &Placement) -> CrashId {
    let target = TargetId(stable_hash(&placement.id) as u32);
    CrashId { target, incarnation: placement.incarnation }
}

/// Records that `call`, sent at `sent`, broke off at the target of `placement` before it was answered, or
/// just as its answer began. If the target has ended, this accuses the parts of the prompt.
pub(crate) async fn record_break(
    shared: &Arc<Shared>,
    call: &CallerRequest,
    placement: &Placement,
    sent: Time,
) {
    if call.parts.is_empty() {
        return look_for_end(shared, placement, sent);
    }
    if shared.state().fleet.is_leaving(placement) {
        return;
    }
    if !has_ended(shared, placement, sent).await {
        return;
    }
    let Placement { id: target, incarnation, .. } = placement;
    let (id, parts) = (&call.ask.id, call.shared_parts());
    log::warn!(target: "gateway", id, target, incarnation, parts; "target ended under the request");
    let now = shared.now();
    shared.state().poison.record_crash(now, start_of(placement), &call.parts);
    shared.broadcast.notify_one();
    shared.crashes_due.notify_one();
}

/// Finds out in the background whether the target of `placement` has ended, over a connection to which
/// something sent at `sent` has failed.
pub(crate) fn look_for_end(shared: &Arc<Shared>, placement: &Placement, sent: Time) {
    let (shared, placement) = (shared.clone(), placement.clone());
    tokio::spawn(async move {
        has_ended(&shared, &placement, sent).await;
    });
}

/// Whether an answer was cut that came to its end without an error; `is_framed` if the end shows in its
/// bytes. Otherwise a target that has ended shows that it was, also one that was about to leave.
pub(crate) async fn is_cut(
    shared: &Shared,
    call: &CallerRequest,
    placement: &Placement,
    sent: Time,
    is_framed: bool,
) -> bool {
    if is_framed || !has_ended(shared, placement, sent).await {
        return false;
    }
    let (id, target) = (&call.ask.id, &placement.id);
    log::warn!(target: "gateway", id, target; "answer without a length ended with its target");
    true
}

/// Whether the target of `placement` has ended since `sent`, which is recorded. An end that was found
/// before says nothing of what was sent later.
pub(crate) async fn has_ended(shared: &Shared, placement: &Placement, sent: Time) -> bool {
    let key = (placement.id.clone(), placement.incarnation);
    let probe = {
        let mut state = shared.state();
        if state.crash_probes.len() >= MAX_PROBES {
            state.crash_probes.clear();
        }
        let probe = state.crash_probes.entry(key.clone()).or_default();
        if probe.get().copied().flatten().is_some_and(|ended| ended <= sent) {
            *probe = CrashProbe::default();
        }
        probe.clone()
    };
    let find = || async { is_refused(placement.addr).await.then(|| shared.now()) };
    let ended = probe.get_or_init(find).await.is_some();
    if ended {
        record_ended_start(shared, placement);
    }
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
