//! The actor that keeps the view of the configuration.
//!
//! It reads the published configuration, adopts later versions only, and
//! confirms the view each time the platform shows that nothing newer stands.

use std::{sync::Arc, time::Duration};

use chervilgate_coord::{Object, StoreCall, StoreReply};
use chervilgate_model::Config;
use ractor::{Actor, ActorProcessingErr, ActorRef};
use tokio::time::sleep;

use crate::{host::Host, view::View};

/// Where the published configuration stands.
pub const CONFIG_KEY: &str = "config/current";
/// Pause between two reads.
const READ_PAUSE: Duration = Duration::from_millis(500);

/// Keeps the view of one host.
pub(crate) struct Keeper;

/// What the keeper is told.
pub(crate) enum KeeperMessage {
    /// Read the configuration again.
    Read,
}

impl Actor for Keeper {
    type Msg = KeeperMessage;
    type State = Arc<Host>;
    type Arguments = Arc<Host>;

    async fn pre_start(
        &self,
        myself: ActorRef<KeeperMessage>,
        host: Arc<Host>,
    ) -> Result<Arc<Host>, ActorProcessingErr> {
        myself.cast(KeeperMessage::Read)?;
        Ok(host)
    }

    async fn handle(
        &self,
        myself: ActorRef<KeeperMessage>,
        _message: KeeperMessage,
        host: &mut Arc<Host>,
    ) -> Result<(), ActorProcessingErr> {
        read_config(host).await;
        sleep(READ_PAUSE).await;
        myself.cast(KeeperMessage::Read)?;
        Ok(())
    }
}

async fn read_config(host: &Arc<Host>) {
    // What the answer shows was true at some moment after the call was sent.
    let sent = host.borders.clock.now();
    let call = StoreCall::Get { key: CONFIG_KEY.to_owned() };
    match host.borders.store.call(&call).await {
        StoreReply::Found(Some(object)) => {
            if adopt(host, &object) {
                host.views.confirm(sent);
            }
        }
        StoreReply::Found(None) => log::warn!(target: "view", "no configuration is published"),
        _ => log::warn!(target: "view", "the platform did not answer; keeping the view"),
    }
}

/// Takes over what was read; false if it cannot be.
fn adopt(host: &Arc<Host>, object: &Object) -> bool {
    if object.version <= host.views.get().view.version {
        return true;
    }
    let config = match Config::from_bytes(&object.value) {
        Ok(config) => config,
        Err(error) => {
            log::error!(target: "view", version = object.version.0, error:%;
                "the published configuration cannot be read");
            return false;
        }
    };
    let view = View::new(object.version, config, host.numbering());
    host.apply_view(&view);
    host.views.adopt(view);
    log::info!(target: "view", version = object.version.0; "adopted a configuration");
    true
}
