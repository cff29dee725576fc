//! State shared by all parts of one entry.

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
    claim::IdempotencyKeys,
    drain::{DrainMessage, InTransitRequests},
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

/// Pause between two checks for requests being dispatched.
const DISPATCH_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Phases of a graceful shutdown, in order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// Normal operation.
    Serving,
    /// Left out of locate responses, but accepting connections: callers cache addresses.
    Leaving,
    /// Accepting no new connections; finishing running requests.
    Finishing,
}

/// Clients of the systems outside the process; tests can replace each.
#[derive(Clone)]
pub(crate) struct Dependencies {
    /// The platform's object store.
    pub store: Arc<dyn ObjectStore>,
    /// The platform's list of hosts.
    pub hosts: Arc<dyn HostList>,
    /// Checks whether other processes are reachable.
    pub prober: Arc<dyn Prober>,
    /// Sends requests to targets.
    pub sender: Arc<dyn HttpSender>,
    /// Reads engines' load reports.
    pub engines: Arc<dyn Engine>,
    /// Source of the current time.
    pub clock: Arc<dyn Clock>,
}

/// References to the running actors; `None` while an actor is not running.
#[derive(Clone, Default)]
pub(crate) struct ActorRefs {
    /// Maintains the session.
    pub authority: Option<ActorRef<AuthorityMessage>>,
    /// Maintains the view.
    pub view: Option<ActorRef<ViewMessage>>,
    /// Starts and restarts the other actors.
    pub supervisor: Option<ActorRef<SupervisorMessage>>,
    /// Claims requests that must run at most once.
    pub claims: Option<ActorRef<ClaimMessage>>,
    /// Counts organisations' usage.
    pub usage: Option<ActorRef<UsageMessage>>,
}

/// The state of one entry.
pub(crate) struct Host {
    pub settings: Settings,
    pub deps: Dependencies,
    /// The view in force.
    pub views: ViewCell,
    /// All known entries, this one included.
    pub members: Members,
    /// Messaging to the other processes.
    pub peers: Peers,
    /// Metrics sent to the operators.
    pub metrics: Metrics,
    actors: Mutex<ActorRefs>,
    node: Mutex<Node>,
    dispatches: Mutex<InTransitRequests>,
    idempotency_id: Incarnation,
    idempotency: Mutex<IdempotencyKeys>,
    dispatch_enabled: AtomicBool,
    interner: Interner,
    schedulers: Mutex<BTreeMap<String, Arc<Scheduler>>>,
    phase: watch::Sender<Phase>,
    requests: AtomicU64,
}

impl Host {
    /// Creates the state of an entry that has no view yet.
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
        let idempotency = IdempotencyKeys::new(idempotency_id, deps.clock.now());
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

    /// This process's incarnation, peer address and zone.
    pub(crate) fn node(&self) -> Node {
        lock(&self.node).clone()
    }

    /// Switches to a new incarnation; commitments made to other processes under the previous
    /// one no longer apply.
    pub(crate) fn renew_incarnation(&self) {
        lock(&self.node).incarnation = Incarnation(rand::random());
    }

    /// References to the running actors.
    pub(crate) fn actors(&self) -> ActorRefs {
        lock(&self.actors).clone()
    }

    /// Updates the references to the running actors.
    pub(crate) fn set_actors(&self, change: impl FnOnce(&mut ActorRefs)) {
        change(&mut lock(&self.actors));
    }

    /// Identifies this process's idempotency table in scopes.
    pub(crate) fn idempotency_id(&self) -> Incarnation {
        self.idempotency_id
    }

    /// Locks the table of idempotency keys that this process remembers.
    pub(crate) fn idempotency(&self) -> MutexGuard<'_, IdempotencyKeys> {
        lock(&self.idempotency)
    }

    /// Locks the counts of requests being dispatched, by target.
    pub(crate) fn dispatches(&self) -> MutexGuard<'_, InTransitRequests> {
        lock(&self.dispatches)
    }

    /// Whether requests may be dispatched; false while session and view restart.
    pub(crate) fn can_dispatch(&self) -> bool {
        self.dispatch_enabled.load(Ordering::SeqCst)
    }

    /// Allows dispatching from now on.
    pub(crate) fn enable_dispatch(&self) {
        self.dispatch_enabled.store(true, Ordering::SeqCst);
    }

    /// Stops dispatching; requests already being dispatched go on.
    pub(crate) fn disable_dispatch(&self) {
        self.dispatch_enabled.store(false, Ordering::SeqCst);
    }

    /// Waits until no request is being dispatched.
    pub(crate) async fn wait_dispatched(&self) {
        while !self.dispatches().is_empty() {
            tokio::time::sleep(DISPATCH_POLL_INTERVAL).await;
        }
    }

    /// The answer to a drain question: `None` while requests are being dispatched to the
    /// target, or if the view in force does not list the drain.
    pub(crate) fn answer_drain(&self, ask: &Draining) -> Option<DrainMessage> {
        let view = self.views.get().view;
        let by = self.node().incarnation;
        self.dispatches().answer(by, view.seq, &view.draining, ask)
    }

    /// Adds to an organisation's usage.
    pub(crate) fn count_usage(&self, organisation: &str, usage: Usage) {
        let Some(actor) = self.actors().usage else {
            return;
        };
        let organisation = organisation.to_owned();
        let _ = actor.cast(UsageMessage::Add { organisation, usage });
    }

    /// Maps names of the configuration to the policy's numeric ids.
    pub(crate) fn interner(&self) -> &Interner {
        &self.interner
    }

    /// A unique request id.
    pub(crate) fn new_request_id(&self) -> String {
        let count = self.requests.fetch_add(1, Ordering::Relaxed);
        format!("{:016x}{:08x}", rand::random::<u64>(), count)
    }

    /// The scheduler of a service, or `None` if the view in force does not list the service.
    pub(crate) fn scheduler(&self, service: &str) -> Option<Arc<Scheduler>> {
        self.lock_schedulers().get(service).cloned()
    }

    /// Number of waiting and running requests by service.
    pub(crate) fn request_counts(&self) -> BTreeMap<String, RequestCounts> {
        let schedulers = self.lock_schedulers();
        schedulers.iter().map(|(name, scheduler)| (name.clone(), scheduler.counts())).collect()
    }

    /// Creates, updates and removes schedulers to match a new view.
    pub(crate) fn apply_view(&self, view: &View) {
        for service in view.config.services.keys() {
            let scheduler = self.ensure_scheduler(service.as_str());
            crate::targets::update_targets(&scheduler, view, service.as_str(), &self.interner);
        }
        self.lock_schedulers().retain(|name, _| view.config.services.contains_key(name.as_str()));
    }

    /// Subscribes to the shutdown phase.
    pub(crate) fn phase(&self) -> watch::Receiver<Phase> {
        self.phase.subscribe()
    }

    /// Advances the shutdown phase; an earlier phase is ignored.
    pub(crate) fn advance_phase(&self, phase: Phase) {
        self.phase.send_if_modified(|current| {
            let later = phase > *current;
            *current = phase.max(*current);
            later
        });
    }

    fn ensure_scheduler(&self, service: &str) -> Arc<Scheduler> {
        let mut schedulers = self.lock_schedulers();
        if let Some(scheduler) = schedulers.get(service) {
            return scheduler.clone();
        }
        let zone = Zone(u8::try_from(self.interner.intern(&self.settings.zone)).unwrap_or(u8::MAX));
        let routing = RouteSettings {
            zone,
            cross_zone_delay: Duration::from_micros(1_500),
            ..RouteSettings::default()
        };
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
