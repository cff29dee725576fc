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
    member::Members,
    scheduler::{RequestCounts, Scheduler},
    settings::Settings,
    supervisor::SupervisorMessage,
    usage::UsageMessage,
    view::{Interner, View, ViewCell},
};

/// Pause between two looks at the requests on their way.
const DISPATCH_POLL_INTERVAL: Duration = Duration::from_millis(20);

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
pub(crate) struct Dependencies {
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
pub(crate) struct ActorRefs {
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
    pub deps: Dependencies,
    /// The configuration in force.
    pub views: ViewCell,
    /// The other entries, as far as known.
    pub members: Members,
    /// The other processes.
    pub peers: Peers,
    /// What operators watch.
    pub metrics: Metrics,
    actors: Mutex<ActorRefs>,
    node: Mutex<Node>,
    dispatches: Mutex<Handovers>,
    idempotency_id: Incarnation,
    idempotency: Mutex<Memory>,
    dispatch_enabled: AtomicBool,
    interner: Interner,
    schedulers: Mutex<BTreeMap<String, Arc<Scheduler>>>,
    phase: watch::Sender<Phase>,
    requests: AtomicU64,
}

impl Host {
    /// An entry that has not read any configuration yet.
    pub(crate) fn new(
        settings: Settings,
        deps: Dependencies,
        peers: Peers,
        metrics: Metrics,
    ) -> Arc<Host> {
        let node = Node {
            incarnation: Incarnation(rand::random()),
            addr: settings.peer,
            zone: chervilgate_coord::Zone(settings.zone.clone()),
        };
        let idempotency_id = Incarnation(rand::random());
        let idempotency = Memory::new(idempotency_id, deps.clock.now());
        Arc::new(Host {
            settings,
            deps,
            views: ViewCell::new(),
            members: Members::default(),
            peers,
            metrics,
            actors: Mutex::default(),
            node: Mutex::new(node),
            dispatches: Mutex::default(),
            idempotency_id,
            idempotency: Mutex::new(idempotency),
            dispatch_enabled: AtomicBool::new(false),
            interner: Interner::default(),
            schedulers: Mutex::default(),
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
    pub(crate) fn actors(&self) -> ActorRefs {
        lock(&self.actors).clone()
    }

    /// Changes the actors that others speak to.
    pub(crate) fn set_actors(&self, change: impl FnOnce(&mut ActorRefs)) {
        change(&mut lock(&self.actors));
    }

    /// Names this process in the scopes of idempotency keys.
    pub(crate) fn idempotency_id(&self) -> Incarnation {
        self.idempotency_id
    }

    /// The idempotency keys that this process remembers.
    pub(crate) fn idempotency(&self) -> MutexGuard<'_, Memory> {
        lock(&self.idempotency)
    }

    /// Requests on their way to targets.
    pub(crate) fn dispatches(&self) -> MutexGuard<'_, Handovers> {
        lock(&self.dispatches)
    }

    /// Whether requests may be handed over at all.
    pub(crate) fn can_dispatch(&self) -> bool {
        self.dispatch_enabled.load(Ordering::SeqCst)
    }

    /// Hands requests over from now on.
    pub(crate) fn enable_dispatch(&self) {
        self.dispatch_enabled.store(true, Ordering::SeqCst);
    }

    /// Hands nothing more over.
    pub(crate) fn disable_dispatch(&self) {
        self.dispatch_enabled.store(false, Ordering::SeqCst);
    }

    /// Waits until no request is on its way to a target.
    pub(crate) async fn wait_dispatched(&self) {
        while !self.dispatches().is_empty() {
            tokio::time::sleep(DISPATCH_POLL_INTERVAL).await;
        }
    }

    /// The answer to whether this host holds a drain, if it can be given now.
    pub(crate) fn answer_drain(&self, ask: &Draining) -> Option<DrainMessage> {
        let view = self.views.get().view;
        let by = self.node().incarnation;
        self.dispatches().answer(by, view.seq, &view.draining, ask)
    }

    /// Counts usage of an organisation.
    pub(crate) fn count_usage(&self, organisation: &str, usage: Usage) {
        let Some(actor) = self.actors().usage else {
            return;
        };
        let organisation = organisation.to_owned();
        let _ = actor.cast(UsageMessage::Add { organisation, usage });
    }

    /// Numbers for the names of a configuration.
    pub(crate) fn interner(&self) -> &Interner {
        &self.interner
    }

    /// A request id that no other request has.
    pub(crate) fn new_request_id(&self) -> String {
        let count = self.requests.fetch_add(1, Ordering::Relaxed);
        format!("{:016x}{:08x}", rand::random::<u64>(), count)
    }

    /// The lane of a service, if it has targets.
    pub(crate) fn scheduler(&self, service: &str) -> Option<Arc<Scheduler>> {
        self.lock_schedulers().get(service).cloned()
    }

    /// Each service's requests.
    pub(crate) fn request_counts(&self) -> BTreeMap<String, RequestCounts> {
        let schedulers = self.lock_schedulers();
        schedulers.iter().map(|(name, scheduler)| (name.clone(), scheduler.counts())).collect()
    }

    /// Opens and refills lanes after the view has changed.
    pub(crate) fn apply_view(&self, view: &View) {
        for service in view.config.services.keys() {
            let scheduler = self.ensure_scheduler(service.as_str());
            crate::targets::update_targets(&scheduler, view, service.as_str(), &self.interner);
        }
        self.lock_schedulers().retain(|name, _| view.config.services.contains_key(name.as_str()));
    }

    /// Follows the phase of a planned stop.
    pub(crate) fn phase(&self) -> watch::Receiver<Phase> {
        self.phase.subscribe()
    }

    /// Moves a planned stop on; it never goes back.
    pub(crate) fn advance_phase(&self, phase: Phase) {
        self.phase.send_if_modified(|present| {
            let later = phase > *present;
            *present = phase.max(*present);
            later
        });
    }

    fn ensure_scheduler(&self, service: &str) -> Arc<Scheduler> {
        let mut schedulers = self.lock_schedulers();
        if let Some(scheduler) = schedulers.get(service) {
            return scheduler.clone();
        }
        let zone = Zone(u8::try_from(self.interner.intern(&self.settings.zone)).unwrap_or(u8::MAX));
        let routing =
            RouteSettings { zone, far: Duration::from_micros(1_500), ..RouteSettings::default() };
        let scheduler = Scheduler::start(self.deps.clock.clone(), routing, rand::random());
        schedulers.insert(service.to_owned(), scheduler.clone());
        scheduler
    }

    fn lock_schedulers(&self) -> MutexGuard<'_, BTreeMap<String, Arc<Scheduler>>> {
        lock(&self.schedulers)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
