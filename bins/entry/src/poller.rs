//! The actor that polls engines for their load.

use std::{sync::Arc, time::Duration};

use chervilgate_clients::LoadReport;
use chervilgate_model::TargetKind;
use chervilgate_policy as policy;
use futures_util::{StreamExt, stream};
use ractor::{Actor, ActorProcessingErr, ActorRef};
use tokio::time::sleep;

use crate::{host::Host, view::View};

/// Pause between two polls of all engines.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of concurrent reads.
const MAX_CONCURRENT_READS: usize = 16;

/// Polls the engines in the view and reports their load to the schedulers.
pub(crate) struct Poller;

/// Messages to the poller.
pub(crate) enum PollerMessage {
    /// Read each engine's load, then schedule the next poll.
    Poll,
}

impl Actor for Poller {
    type Msg = PollerMessage;
    type State = Arc<Host>;
    type Arguments = Arc<Host>;

    async fn pre_start(
        &self,
        myself: ActorRef<PollerMessage>,
        host: Arc<Host>,
    ) -> Result<Arc<Host>, ActorProcessingErr> {
        myself.cast(PollerMessage::Poll)?;
        Ok(host)
    }

    async fn handle(
        &self,
        myself: ActorRef<PollerMessage>,
        _message: PollerMessage,
        host: &mut Arc<Host>,
    ) -> Result<(), ActorProcessingErr> {
        poll_engines(host).await;
        sleep(POLL_INTERVAL).await;
        myself.cast(PollerMessage::Poll)?;
        Ok(())
    }
}

async fn poll_engines(host: &Arc<Host>) {
    let view = host.views.get().view;
    let engines: Vec<_> = listed_engines(&view).collect();
    let reads = engines.into_iter().map(|(service, id, addr)| async move {
        match host.deps.engines.load(addr).await {
            Ok(report) => {
                if let Some(scheduler) = host.scheduler(&service) {
                    scheduler.report(id, to_policy(&report));
                }
            }
            Err(error) => log::debug!(target: "load", error:%; "no load report"),
        }
    });
    stream::iter(reads).buffer_unordered(MAX_CONCURRENT_READS).collect::<Vec<()>>().await;
}

fn listed_engines(
    view: &View,
) -> impl Iterator<Item = (String, policy::TargetId, std::net::SocketAddr)> {
    let targets = view.config.services.keys().flat_map(|service| view.targets_of(service.as_str()));
    let engines = targets.filter(|(_, target)| target.kind == TargetKind::Engine);
    engines.map(|(id, target)| (target.service.to_string(), id, target.address))
}

fn to_policy(report: &LoadReport) -> policy::LoadReport {
    policy::LoadReport {
        age: Duration::ZERO,
        running: report.running,
        waiting: report.waiting,
        prompt_queue: report.prompt_tokens,
        kv_used: report.kv_tokens,
    }
}
