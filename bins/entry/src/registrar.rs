//! The actor that makes this host known and learns of the others.

use std::{sync::Arc, time::Duration};

use chervilgate_coord::{Expect, Object, StoreCall, StoreReply};
use ractor::{Actor, ActorProcessingErr, ActorRef};
use tokio::time::sleep;

use crate::{
    host::{Host, Phase},
    member::{MEMBER_PREFIX, Member},
};

/// Pause between two rounds.
const ROUND_PAUSE: Duration = Duration::from_millis(1_000);

/// Registers one host.
pub(crate) struct Registrar;

/// What the registrar is told.
pub(crate) enum RegistrarMessage {
    /// Write the own record if it differs, and read the others.
    Round,
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
        myself.cast(RegistrarMessage::Round)?;
        Ok(host)
    }

    async fn handle(
        &self,
        myself: ActorRef<RegistrarMessage>,
        _message: RegistrarMessage,
        host: &mut Arc<Host>,
    ) -> Result<(), ActorProcessingErr> {
        run_round(host).await;
        sleep(ROUND_PAUSE).await;
        myself.cast(RegistrarMessage::Round)?;
        Ok(())
    }
}

async fn run_round(host: &Arc<Host>) {
    let list = StoreCall::List { prefix: MEMBER_PREFIX.to_owned() };
    let StoreReply::Listed { objects, .. } = host.borders.store.call(&list).await else {
        log::warn!(target: "member", "the platform did not answer; keeping the members");
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
        incarnation: host.incarnation.clone(),
        leaving: *host.phase().borrow() > Phase::Serving,
    }
}

async fn write_record(host: &Host, own: &Member, objects: &[Object]) {
    let key = format!("{MEMBER_PREFIX}{}", own.host);
    let known = objects.iter().find(|object| object.key == key);
    let expect = known.map_or(Expect::Absent, |object| Expect::At(object.version));
    let value = serde_json::to_vec(own).unwrap_or_default();
    let reply = host.borders.store.call(&StoreCall::Put { key, expect, value }).await;
    if !matches!(reply, StoreReply::Written(_)) {
        log::info!(target: "member", "own record not written yet");
    }
}

fn read_member(object: &Object) -> Option<Member> {
    serde_json::from_slice(&object.value).ok()
}
