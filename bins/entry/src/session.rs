//! Connects the authority and view actors of `chervilgate_driver` to this host.

use std::sync::Arc;

use async_trait::async_trait;
use chervilgate_clock::Time;
use chervilgate_coord::{
    AuthorityConfig, CallIds, Guards, Notice, Order, OrderReply, Timings,
    drain::DrainMessage,
    view::{Root, Snapshot},
};
use chervilgate_driver::{AuthorityArgs, OrderSender, ViewArgs, ViewMessage, ViewUpdate};
use chervilgate_publication::{PublishedState, from_snapshot};
use chervilgate_wire::{Incoming, Message, PeerRequest, Reply};
use tokio::sync::mpsc;

use crate::{host::Host, usage::UsageMessage, view::View};

/// Rejects every order: an entry holds a session but sends no orders.
struct NoOrders;

#[async_trait]
impl OrderSender for NoOrders {
    async fn send(&self, _order: &Order, _deadline: Time) -> OrderReply {
        OrderReply::NotSent
    }
}

/// Arguments of the authority actor.
pub(crate) fn authority_args(host: &Arc<Host>) -> AuthorityArgs {
    let (notices, received) = mpsc::unbounded_channel();
    tokio::spawn(log_notices(received));
    AuthorityArgs {
        config: AuthorityConfig {
            node: host.node(),
            shards: Vec::new(),
            terms: Timings::default(),
            guards: Guards::default(),
            trust_list: false,
            seed: rand::random(),
            calls: CallIds::from(0),
        },
        store: host.deps.store.clone(),
        hosts: host.deps.hosts.clone(),
        orders: Arc::new(NoOrders),
        prober: host.deps.prober.clone(),
        clock: host.deps.clock.clone(),
        notices,
    }
}

/// Arguments of the view's actor.
pub(crate) fn view_args(host: &Arc<Host>) -> ViewArgs {
    let (updates, received) = mpsc::unbounded_channel();
    tokio::spawn(apply_view_updates(host.clone(), received));
    ViewArgs {
        node: host.node(),
        seeds: host.settings.seeds.clone(),
        store: host.deps.store.clone(),
        peers: host.peers.clone(),
        prober: host.deps.prober.clone(),
        clock: host.deps.clock.clone(),
        seed: rand::random(),
        updates,
    }
}

/// Forwards messages from peers to the actors and answers peers' requests.
pub(crate) async fn handle_peer_messages(host: Arc<Host>, mut incoming: mpsc::Receiver<Incoming>) {
    while let Some(incoming) = incoming.recv().await {
        match incoming {
            Incoming::Message { from, message: Message::View(message) } => {
                if let Some(view) = host.actors().view {
                    let _ = view.cast(ViewMessage::peer(from, message));
                }
            }
            Incoming::Message { from, message: Message::Drain(DrainMessage::Ask(ask)) } => {
                if let Some(answer) = host.answer_drain(&ask) {
                    host.peers.send(from, &Message::Drain(answer));
                }
            }
            Incoming::Message { message: Message::Drain(DrainMessage::Holds { .. }), .. } => {}
            Incoming::Message { message: Message::Mirror { entry, window, sheet }, .. } => {
                if let Some(usage) = host.actors().usage {
                    let _ = usage.cast(UsageMessage::Mirror(entry, window, *sheet));
                }
            }
            Incoming::Request { request: PeerRequest::Incarnation, reply, .. } => {
                let _ = reply.send(Reply::Incarnation(host.node().incarnation.0));
            }
        }
    }
}

async fn log_notices(mut notices: mpsc::UnboundedReceiver<Notice>) {
    while let Some(notice) = notices.recv().await {
        log::trace!(target: "session", notice:?; "session changed state");
    }
}

async fn apply_view_updates(host: Arc<Host>, mut updates: mpsc::UnboundedReceiver<ViewUpdate>) {
    while let Some(update) = updates.recv().await {
        // Applied first, so that withdrawals take effect even if the snapshot cannot be decoded.
        if let Some(keys) = update.withdrawn {
            host.views.add_withdrawn(keys);
        }
        if let Some((root, snapshot)) = update.adopted
            && !adopt(&host, root, &snapshot)
        {
            continue;
        }
        host.views.set_freshness(update.fresh_until, update.by_platform, update.relay);
    }
}

/// Applies a view that the actor adopted; false if its snapshot cannot be decoded.
fn adopt(host: &Arc<Host>, root: Root, snapshot: &Snapshot) -> bool {
    let config = match from_snapshot(snapshot) {
        Ok(config) => config,
        Err(error) => {
            log::error!(target: "view", seq = root.seq.0, error:%;
                "cannot decode the published configuration");
            host.views.set_freshness(Time::ZERO, false, false);
            return false;
        }
    };
    let draining = root.draining.clone();
    let seq = root.seq;
    let published = PublishedState { root, config };
    let view = View::new(seq, published.effective_config(), draining, host.interner());
    host.apply_view(&view);
    host.views.adopt(view);
    true
}
