//! Streams that no host knows, where a further version has joined the one that served alone, the base.
//!
//! A process announces each further version before it begins streams there
//! ([`announced`](crate::announced)). So a stream that nobody knows is of the base if each process that has
//! announced another version says that it did not begin the stream. Processes that are gone say nothing.

use std::net::SocketAddr;

use chervilgate_clock::Time;
use tokio::time::{Instant, timeout_at};

use crate::{
    caller_request::CallerRequest,
    fleet::{BuildId, SeenBuilds},
    hash::stable_hash,
    origins::{MAX_ASKED, Origin, OriginQuestion, StreamKey},
    state::{Shared, State},
    takeover::{ANSWER_TIME, RECORD_TIME},
};

/// Finds out whether any process may have begun the stream at another version than the base: has the
/// announcements of all hosts read, and asks the processes that have made one.
pub(super) async fn ask_users(shared: &Shared, call: &CallerRequest, key: StreamKey, since: Time) {
    let mut end = Instant::now() + RECORD_TIME;
    let mut has_asked = false;
    loop {
        let settled = shared.origin_settled.notified();
        tokio::pin!(settled);
        settled.as_mut().enable();
        {
            let state = &mut *shared.state();
            let Some(base) = named_base(shared, state, call) else { return };
            let seen = state.seen_builds_since(shared.now(), &call.service, since);
            if seen != SeenBuilds::Several
                || state.store_down
                || state.origins.find(key) != Origin::Unclear
            {
                return;
            }
            if !state.announcements.is_read_since(since) {
                state.announcements.want();
                shared.announcements_due.notify_one();
            } else if !has_asked {
                let silent = silent_users(shared, state, call, key, base);
                let peers = silent.filter_map(|name| state.membership.gossip_addr(name));
                let peers: Vec<SocketAddr> = peers.take(MAX_ASKED).collect();
                if peers.is_empty() {
                    return;
                }
                let service = stable_hash(&&*call.service);
                state.origins.ask_more(OriginQuestion { key, service }, peers);
                shared.origins_due.notify_one();
                has_asked = true;
                end = Instant::now() + ANSWER_TIME;
            } else if silent_users(shared, state, call, key, base).next().is_none() {
                return;
            }
        }
        if timeout_at(end, settled).await.is_err() {
            return;
        }
    }
}

/// Hosts with a process that may have begun the stream of `call` at another version than `base` and has not said
/// that it did not.
fn silent_users<'a>(
    shared: &'a Shared,
    state: &'a State,
    call: &'a CallerRequest,
    key: StreamKey,
    base: BuildId,
) -> impl Iterator<Item = &'a str> {
    let users = state.announcements.users(&call.service, base);
    let silent = users.filter(move |(_, process)| {
        *process != shared.gossip_id() && !state.origins.is_denied_by(key, *process)
    });
    silent.map(|(name, _)| name)
}

/// The base version of the stream of `call`, if a host would know the stream by the name that its caller gives.
fn named_base(shared: &Shared, state: &State, call: &CallerRequest) -> Option<BuildId> {
    call.ask.origin.as_deref().filter(|origin| !origin.is_empty())?;
    state.fleet.base_build(shared.now(), &call.service)
}

/// The version that began a stream which no host knows, since no host that is gone can have begun one at another;
/// none if that is not known. What was announced must be read after the caller's try: a stream begins
/// after the announcement of its version.
pub(super) fn base_of_unknown(
    shared: &Shared,
    state: &State,
    call: &CallerRequest,
    key: StreamKey,
    since: Time,
) -> Option<BuildId> {
    let base = named_base(shared, state, call)?;
    if !state.announcements.is_read_since(since) || !state.stream_record.is_read_since(since) {
        return None;
    }
    silent_users(shared, state, call, key, base).next().is_none().then_some(base)
}
