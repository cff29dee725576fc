//! What the parts of one entry share.

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use chervilgate_clients::{Engine, HostList, HttpSender, ObjectStore};
use chervilgate_clock::Clock;
use chervilgate_coord::{
    Incarnation, Node,
    claim::Memory,
    drain::{DrainMessage, Handovers},
    view::Draining,
    window::Usage,
};
use chervilgate_driver::{AuthorityMessage, Prober, ViewMessage};
use chervilgate_policy::{RouteSettings, Zone};
use chervilgate_telemetry::Metrics;
use chervilgate_wire::Peers;
use ractor::ActorRef;
use tokio::sync::watch;

use crate::{
    claims::ClaimMessage,
    lane::{Lane, LaneCounts},
    member::Members,
    settings::Settings,
    supervisor::SupervisorMessage,
    usage::UsageMessage,
    view::{Numbering, View, ViewCell},
};

/// Pause between two looks at the requests on their way.
const HANDOVER_PAUSE: Duration = Duration::from_millis(20);

/// How far a planned stop has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// Serving.
    Serving,
    /// No longer located, but still accepting: callers keep addresses a while.
    Leaving,
    /// Accepting nothing new; finishing what runs.
    Finishing,
}

/// The borders that an entry needs.
#[derive(Clone)]
pub(crate) struct Borders {
    /// The platform's objects.
    pub store: Arc<dyn ObjectStore>,
    /// The platform's list of hosts.
    pub hosts: Arc<dyn HostList>,
    /// Probes addresses of other processes.
    pub prober: Arc<dyn Prober>,
    /// Requests to targets.
    pub sender: Arc<dyn HttpSender>,
    /// Load reports of engines.
    pub engines: Arc<dyn Engine>,
    /// The present time.
    pub clock: Arc<dyn Clock>,
}

/// The actors that others speak to, once they run.
#[derive(Clone, Default)]
pub(crate) struct Links {
    /// Runs the session.
    pub authority: Option<ActorRef<AuthorityMessage>>,
    /// Runs the view.
    pub view: Option<ActorRef<ViewMessage>>,
    /// Starts the others.
    pub supervisor: Option<ActorRef<SupervisorMessage>>,
    /// Claims requests.
    pub claims: Option<ActorRef<ClaimMessage>>,
    /// Counts usage.
    pub usage: Option<ActorRef<UsageMessage>>,
}

/// One entry's state.
pub(crate) struct Host {
    /// Its settings.
    pub settings: Settings,
    /// Its borders.
    pub borders: Borders,
    /// The configuration in force.
    pub views: ViewCell,
    /// The other entries, as far as known.
    pub members: Members,
    /// The other processes.
    pub peers: Peers,
    /// What operators watch.
    pub metrics: Metrics,
    links: Mutex<Links>,
    node: Mutex<Node>,
    handovers: Mutex<Handovers>,
    memory_id: Incarnation,
    memory: Mutex<Memory>,
    gate: AtomicBool,
    numbering: Numbering,
    lanes: Mutex<BTreeMap<String, Arc<Lane>>>,
    phase: watch::Sender<Phase>,
    requests: AtomicU64,
}

impl Host {
    /// An entry that has not read any configuration yet.
    pub(crate) fn new(
        settings: Settings,
        borders: Borders,
        peers: Peers,
        metrics: Metrics,
    ) -> Arc<Host> {
        let node = Node {
            incarnation: Incarnation(rand::random()),
            addr: settings.peer,
            zone: chervilgate_coord::Zone(settings.zone.clone()),
        };
        let memory_id = Incarnation(rand::random());
        let memory = Memory::new(memory_id, borders.clock.now());
        Arc::new(Host {
            settings,
            borders,
            views: ViewCell::new(),
            members: Members::default(),
            peers,
            metrics,
            links: Mutex::default(),
            node: Mutex::new(node),
            handovers: Mutex::default(),
            memory_id,
            memory: Mutex::new(memory),
            gate: AtomicBool::new(false),
            numbering: Numbering::default(),
            lanes: Mutex::default(),
            phase: watch::Sender::new(Phase::Serving),
            requests: AtomicU64::new(0),
        })
    }

    /// This process as others know it.
    pub(crate) fn node(&self) -> Node {
        lock(&self.node).clone()
    }

    /// Becomes another incarnation: what the former one vouched for is forgotten.
    pub(crate) fn renew_incarnation(&self) {
        lock(&self.node).incarnation = Incarnation(rand::random());
    }

    /// The actors that others speak to.
    pub(crate) fn links(&self) -> Links {
        lock(&self.links).clone()
    }

    /// Changes the actors that others speak to.
    pub(crate) fn set_links(&self, change: impl FnOnce(&mut Links)) {
        change(&mut lock(&self.links));
    }

    /// Names this process in the scopes of idempotency keys.
    pub(crate) fn memory_id(&self) -> Incarnation {
        self.memory_id
    }

    /// The idempotency keys that this process remembers.
    pub(crate) fn memory(&self) -> MutexGuard<'_, Memory> {
        lock(&self.memory)
    }

    /// Requests on their way to targets.
    pub(crate) fn handovers(&self) -> MutexGuard<'_, Handovers> {
        lock(&self.handovers)
    }

    /// Whether requests may be handed over at all.
    pub(crate) fn gate_is_open(&self) -> bool {
        self.gate.load(Ordering::SeqCst)
    }

    /// Hands requests over from now on.
    pub(crate) fn open_gate(&self) {
        self.gate.store(true, Ordering::SeqCst);
    }

    /// Hands nothing more over.
    pub(crate) fn close_gate(&self) {
        self.gate.store(false, Ordering::SeqCst);
    }

    /// Waits until no request is on its way to a target.
    pub(crate) async fn wait_handed_over(&self) {
        while !self.handovers().is_empty() {
            tokio::time::sleep(HANDOVER_PAUSE).await;
        }
    }

    /// The answer to whether this host holds a drain, if it can be given now.
    pub(crate) fn answer_drain(&self, ask: &Draining) -> Option<DrainMessage> {
        let view = self.views.get().view;
        let by = self.node().incarnation;
        self.handovers().answer(by, view.seq, &view.draining, ask)
    }

    /// Counts usage of an organisation.
    pub(crate) fn count(&self, organisation: &str, usage: Usage) {
        let Some(keeper) = self.links().usage else {
            return;
        };
        let organisation = organisation.to_owned();
        let _ = keeper.cast(UsageMessage::Add { organisation, usage });
    }

    /// Numbers for the names of a configuration.
    pub(crate) fn numbering(&self) -> &Numbering {
        &self.numbering
    }

    /// A request id that no other request has.
    pub(crate) fn request_id(&self) -> String {
        let count = self.requests.fetch_add(1, Ordering::Relaxed);
        format!("{:016x}{:08x}", rand::random::<u64>(), count)
    }

    /// The lane of a service, if it has targets.
    pub(crate) fn lane(&self, service: &str) -> Option<Arc<Lane>> {
        self.lock_lanes().get(service).cloned()
    }

    /// Each service's requests.
    pub(crate) fn lane_counts(&self) -> BTreeMap<String, LaneCounts> {
        let lanes = self.lock_lanes();
        lanes.iter().map(|(name, lane)| (name.clone(), lane.counts())).collect()
    }

    /// Opens and refills lanes after the view has changed.
    pub(crate) fn apply_view(&self, view: &View) {
        for service in view.config.services.keys() {
            let lane = self.open_lane(service.as_str());
            crate::fleet::fill_lane(&lane, view, service.as_str(), &self.numbering);
        }
        self.lock_lanes().retain(|name, _| view.config.services.contains_key(name.as_str()));
    }

    /// Follows the phase of a planned stop.
    pub(crate) fn phase(&self) -> watch::Receiver<Phase> {
        self.phase.subscribe()
    }

    /// Moves a planned stop on; it never goes back.
    pub(crate) fn enter(&self, phase: Phase) {
        self.phase.send_if_modified(|present| {
            let later = phase > *present;
            *present = phase.max(*present);
            later
        });
    }

    fn open_lane(&self, service: &str) -> Arc<Lane> {
        let mut lanes = self.lock_lanes();
        if let Some(lane) = lanes.get(service) {
            return lane.clone();
        }
        let zone =
            Zone(u8::try_from(self.numbering.number(&self.settings.zone)).unwrap_or(u8::MAX));
        let routing =
            RouteSettings { zone, far: Duration::from_micros(1_500), ..RouteSettings::default() };
        let lane = Lane::start(self.borders.clock.clone(), routing, rand::random());
        lanes.insert(service.to_owned(), lane.clone());
        lane
    }

    fn lock_lanes(&self) -> MutexGuard<'_, BTreeMap<String, Arc<Lane>>> {
        lock(&self.lanes)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
