//! Finds out which software version began a stream that a caller takes up.

mod base;

use std::{sync::Arc, time::Duration};

use chervilgate_clock::Time;
use tokio::time::{Instant, timeout_at};

use crate::{
    caller_request::CallerRequest,
    failure::Failure,
    fleet::{BuildId, SeenBuilds},
    hash::stable_hash,
    origins::{ASKED, Origin, OriginNotice, OriginQuestion, RECORDERS, StreamKey},
    progress::Stage,
    state::{Shared, State},
    takeover::base::{ask_users, base_of_unknown},
};

/// Time for which the answers of other hosts are awaited.
const ANSWER_TIME: Duration = Duration::from_millis(150);

/// Time for which the store is awaited to show that the list of targets is current.
const LIST_TIME: Duration = Duration::from_millis(500);

/// Time for which the record of streams is awaited.
const RECORD_TIME: Duration = Duration::from_millis(500);

/// Key of the stream that `call` begins or takes up. A caller that takes one up and does not name the
/// attempt that began it is helped if there is one version only.
fn stream_key(call: &CallerRequest) -> StreamKey {
    let origin = call.ask.origin.as_deref().filter(|_| call.takes_up());
    StreamKey::new(origin.unwrap_or(&call.ask.id), &call.service, call.org.as_deref())
}

/// The version that began the stream which `call` takes up.
///
/// # Errors
/// If nobody can tell: the stream must not go on at a version that may be another one.
pub(crate) async fn find_origin(
    shared: &Arc<Shared>,
    call: &CallerRequest,
) -> Result<BuildId, Failure> {
    call.progress.set(Stage::Origin);
    let key = stream_key(call);
    let since = shared.now();
    let (origin, asked) = look_up(shared, call, key);
    if origin == Origin::Unclear {
        settle(shared, call, key, asked, since).await;
        read_record(shared, call, key, since).await;
        ask_users(shared, call, key, since).await;
    }
    let mut is_base = false;
    let (origin, answers, seen) = {
        let mut state = shared.state();
        let seen = state.seen_builds_since(shared.now(), &call.service, since);
        let answers = state.origins.answer_count(key);
        match origin {
            Origin::Unclear => {
                let base = base_of_unknown(shared, &state, call, key, since);
                let concluded = state.origins.conclude(key, seen);
                is_base = concluded == Origin::Unknown && base.is_some();
                (base.filter(|_| is_base).map_or(concluded, Origin::Known), answers, seen)
            }
            origin => (origin, answers, seen),
        }
    };
    let is_known = matches!(origin, Origin::Known(_));
    log::info!(
        target: "gateway", id = call.ask.id, origin = call.ask.origin.as_deref(), is_known, asked, answers,
        is_base, seen = seen.as_str();
        "stream taken up"
    );
    match origin {
        Origin::Known(build) => Ok(build),
        Origin::Unclear | Origin::Unknown => Err(Failure::UnknownBuild),
    }
}

/// What this host knows; if that does not suffice, a question goes to other hosts, of which the number
/// is returned.
fn look_up(shared: &Shared, call: &CallerRequest, key: StreamKey) -> (Origin, usize) {
    let now = shared.now();
    let state = &mut *shared.state();
    let origin = state.origins.find(key);
    if origin != Origin::Unclear {
        return (origin, 0);
    }
    let peers = state.membership.holders(now, key.hash(), RECORDERS, ASKED);
    let asked = peers.len();
    let service = stable_hash(&&*call.service);
    state.origins.ask(now, OriginQuestion { key, service }, peers);
    shared.origins_due.notify_one();
    (origin, asked)
}

/// Waits until a host has named the version, or until the list of targets, read since `since`, and what
/// is known of the past show that there was only one. A list that was read before may lack a version
/// that has begun the stream.
async fn settle(shared: &Shared, call: &CallerRequest, key: StreamKey, asked: usize, since: Time) {
    let start = Instant::now();
    loop {
        let settled = shared.origin_settled.notified();
        tokio::pin!(settled);
        settled.as_mut().enable();
        let limit = {
            let state = shared.state();
            if state.origins.find(key) != Origin::Unclear {
                return;
            }
            let is_current = state.reads.targets.is_read_since(since);
            match state.seen_builds_since(shared.now(), &call.service, since) {
                SeenBuilds::Only(_) => return,
                SeenBuilds::Several if state.origins.is_answered(key, asked) => return,
                SeenBuilds::Several => ANSWER_TIME,
                // No target is listed.
                SeenBuilds::Unsure if is_current => return,
                // What served before is not read yet.
                SeenBuilds::OnlyNow(_) => LIST_TIME,
                SeenBuilds::Unsure if state.store_down => ANSWER_TIME,
                SeenBuilds::Unsure => {
                    shared.list_doubted.notify_one();
                    LIST_TIME
                }
            }
        };
        let end = start + limit;
        if timeout_at(end, settled).await.is_err() {
            return;
        }
    }
}

/// Has the record of streams read, and waits for that, if several versions may have begun the stream and no
/// host has named the one.
async fn read_record(shared: &Shared, call: &CallerRequest, key: StreamKey, since: Time) {
    let end = Instant::now() + RECORD_TIME;
    loop {
        let settled = shared.origin_settled.notified();
        tokio::pin!(settled);
        settled.as_mut().enable();
        {
            let state = &mut *shared.state();
            let seen = state.seen_builds_since(shared.now(), &call.service, since);
            if seen != SeenBuilds::Several
                || state.store_down
                || state.origins.find(key) != Origin::Unclear
                || state.stream_record.is_read_since(since)
            {
                return;
            }
            state.stream_record.want();
        }
        shared.streams_due.notify_one();
        if timeout_at(end, settled).await.is_err() {
            return;
        }
    }
}

fn seen_builds(shared: &Shared, state: &State, call: &CallerRequest) -> SeenBuilds {
    state.seen_builds(shared.now(), &call.service, shared.settings.bounds.drain_time)
}

/// Records that the stream of `call` goes through this host and that the version `build` began it,
/// before the first event of `call` is passed on.
pub(crate) fn record_origin(shared: &Shared, call: &CallerRequest, build: BuildId) {
    let now = shared.now();
    let notice = OriginNotice { key: stream_key(call), build };
    let state = &mut *shared.state();
    let seen = seen_builds(shared, state, call);
    let is_told = seen != SeenBuilds::Only(build);
    if call.takes_up() {
        state.origins.take_up(now, notice, is_told);
    } else {
        state.origins.begin(now, notice, is_told);
    }
    if is_told {
        shared.origins_due.notify_one();
    }
}
