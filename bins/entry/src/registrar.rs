//! The actor that registers this host and refreshes the list of entries.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use chervilgate_coord::{Expect, Incarnation, Node, Object, StoreCall, StoreReply};
use chervilgate_driver::{AuthorityMessage, ViewMessage};
use ractor::{Actor, ActorProcessingErr, ActorRef};
use tokio::time::sleep;

use crate::{
    host::{Host, Phase},
    member::{MEMBER_PREFIX, Member},
    supervisor::SupervisorMessage,
    usage::UsageMessage,
};

/// Pause between two refreshes, without the part that grows with the members.
const REFRESH_INTERVAL: Duration = Duration::from_millis(1_000);
/// Added to the pause for each member, to limit the bytes read per second.
const INTERVAL_PER_MEMBER: Duration = Duration::from_millis(60);

/// Timeout of status calls to the authority actor, in milliseconds.
const STATUS_TIMEOUT_MS: u64 = 1_000;

/// Keeps this host's member record and the list of members up to date.
pub(crate) struct Registrar;

/// Messages to the registrar.
pub(crate) enum RegistrarMessage {
    /// Read all records and write this host's own if it differs.
    Refresh,
}

impl Actor for Registrar {
    type Msg = RegistrarMessage;
    type State = Arc<Host>;
    type Arguments = Arc<Host>;

    async fn pre_start(
        &self,
        myself: ActorRef<RegistrarMessage>,
        host: Arc<Host>,
    ) -> Result<Arc<Host>, ActorProcessingErr> {
        myself.cast(RegistrarMessage::Refresh)?;
        Ok(host)
    }

    async fn handle(
        &self,
        myself: ActorRef<RegistrarMessage>,
        _message: RegistrarMessage,
        host: &mut Arc<Host>,
    ) -> Result<(), ActorProcessingErr> {
        refresh_members(host).await;
        send_live_entries(host).await;
        sleep(refresh_interval(host.members.all().len())).await;
        myself.cast(RegistrarMessage::Refresh)?;
        Ok(())
    }
}

/// Pause between two refreshes with `members` members.
pub(crate) fn refresh_interval(members: usize) -> Duration {
    REFRESH_INTERVAL + INTERVAL_PER_MEMBER * u32::try_from(members).unwrap_or(u32::MAX)
}

/// Sends the entries with a live session to the view and usage actors.
///
/// If other processes have ended the session, requests its restart instead.
async fn send_live_entries(host: &Arc<Host>) {
    let actors = host.actors();
    let (Some(authority), Some(view)) = (actors.authority, actors.view) else {
        return;
    };
    let Ok(status) = ractor::call_t!(authority, AuthorityMessage::Status, STATUS_TIMEOUT_MS) else {
        return;
    };
    if status.sealed {
        if let Some(supervisor) = actors.supervisor {
            let _ = supervisor.cast(SupervisorMessage::RestartSession);
        }
        return;
    }
    let entries: BTreeSet<Incarnation> =
        host.members.all().iter().map(|member| member.incarnation).collect();
    let me = host.node();
    let mut live: Vec<Node> = status.members;
    live.retain(|node| entries.contains(&node.incarnation) && *node != me);
    live.push(me);
    if let Some(usage) = actors.usage {
        let _ = usage.cast(UsageMessage::Members(live.clone()));
    }
    let _ = view.cast(ViewMessage::members(live));
}

async fn refresh_members(host: &Arc<Host>) {
    let list = StoreCall::List { prefix: MEMBER_PREFIX.to_owned() };
    let StoreReply::Listed { objects, .. } = host.deps.store.call(&list).await else {
        log::warn!(target: "member", "the platform did not answer; keeping the previous members");
        return;
    };
    let own = own_record(host);
    let members: Vec<Member> = objects.iter().filter_map(read_member).collect();
    if !members.contains(&own) {
        write_record(host, &own, &objects).await;
    }
    host.members.set(members);
}

fn own_record(host: &Host) -> Member {
    Member {
        host: host.settings.host.clone(),
        zone: host.settings.zone.clone(),
        address: host.settings.listen,
        incarnation: host.node().incarnation,
        memory: host.idempotency_id(),
        leaving: *host.phase().borrow() > Phase::Serving,
    }
}

async fn write_record(host: &Host, own: &Member, objects: &[Object]) {
    let key = format!("{MEMBER_PREFIX}{}", own.host);
    let known = objects.iter().find(|object| object.key == key);
    let expect = known.map_or(Expect::Absent, |object| Expect::At(object.version));
    let value = serde_json::to_vec(own).unwrap_or_default();
    let reply = host.deps.store.call(&StoreCall::Put { key, expect, value }).await;
    if !matches!(reply, StoreReply::Written(_)) {
        log::info!(target: "member", "own member record not written; retrying at the next refresh");
    }
}

fn read_member(object: &Object) -> Option<Member> {
    serde_json::from_slice(&object.value).ok()
}
