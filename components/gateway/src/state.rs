//! What the parts of one host share.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use chervilgate_clients::{HttpPool, ObjectStore};
use chervilgate_clock::{BootClock, Clock, Time};
use chervilgate_policy::{RetryBudget, RetrySettings};
use tokio::sync::Notify;

use crate::{
    counted::CountedStore,
    fleet::Fleet,
    members::{HostEntry, Members},
    metrics::Metrics,
    protocol::{Decoder, Protocol},
    settings::HostSettings,
    suspects::{BrokenRun, Fingerprint, Suspects},
    usage::{Meter, ToldSheets, TrueTime},
    view::View,
};

/// Share of the retry budget of all hosts that is used; the rest is kept for hosts
/// that disagree about how many they are.
const BUDGET_SHARE: f64 = 0.7;

/// Time for which a holder of the lease that was heard is taken to hold it.
const HOLDER_SPAN: Duration = Duration::from_secs(3);

/// What the parts of one host share.
pub(crate) struct Shared {
    pub(crate) settings: HostSettings,
    pub(crate) protocol: Arc<dyn Protocol>,
    pub(crate) decoder: Arc<dyn Decoder>,
    pub(crate) store: Arc<dyn ObjectStore>,
    pub(crate) targets: HttpPool,
    pub(crate) metrics: Arc<Metrics>,
    /// Log lines left out so far.
    pub(crate) lines_lost: fn() -> u64,
    pub(crate) boot: u64,
    /// Tells that the store answers again after it did not.
    pub(crate) store_back: Notify,
    /// Asks that all hosts are told of this host's open work now.
    pub(crate) urgent: Notify,
    time: Mutex<TrueTime>,
    state: Mutex<State>,
}

/// What this host knows.
pub(crate) struct State {
    pub(crate) view: View,
    pub(crate) fleet: Fleet,
    /// Whether the watch of the configuration finds the store lost.
    pub(crate) store_lost: bool,
    /// Whether the targets' entries have been read once.
    pub(crate) listed: bool,
    pub(crate) members: Members,
    pub(crate) meter: Meter,
    /// Other hosts' counts as they told them.
    pub(crate) told_sheets: ToldSheets,
    /// Whether this host holds the lease of the duties.
    pub(crate) in_charge: bool,
    /// Where the holder of the lease was last heard from.
    pub(crate) holder: Option<(SocketAddr, Time)>,
    pub(crate) suspects: Suspects,
    /// Whether this host has been told to stop.
    pub(crate) leaving: bool,
    budgets: HashMap<Arc<str>, RetryBudget>,
}

impl Shared {
    /// Nothing known yet.
    pub(crate) fn new(
        settings: HostSettings,
        protocol: Arc<dyn Protocol>,
        decoder: Arc<dyn Decoder>,
        store: Arc<dyn ObjectStore>,
        lines_lost: fn() -> u64,
    ) -> Shared {
        let metrics = Arc::new(Metrics::new());
        let store = Arc::new(CountedStore { store, metrics: metrics.clone() });
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
        let boot = rand::random();
        let bounds = &settings.bounds;
        let state = State {
            view: View::new(bounds.revoke, bounds.refuse_stale),
            fleet: Fleet::new(&settings.zone, bounds.drain),
            store_lost: false,
            listed: false,
            members: Members::new(&settings.name),
            meter: Meter::new(boot),
            told_sheets: ToldSheets::default(),
            in_charge: false,
            holder: None,
            suspects: Suspects::default(),
            leaving: false,
            budgets: HashMap::new(),
        };
        Shared {
            time: Mutex::new(TrueTime::new(BootClock.now(), wall)),
            boot,
            state: Mutex::new(state),
            targets: HttpPool::new(),
            metrics,
            lines_lost,
            store_back: Notify::new(),
            urgent: Notify::new(),
            settings,
            protocol,
            decoder,
            store,
        }
    }

    /// The present time.
    pub(crate) fn now(&self) -> Time {
        BootClock.now()
    }

    /// True time as this host knows it.
    pub(crate) fn time(&self) -> MutexGuard<'_, TrueTime> {
        self.time.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What this host knows.
    pub(crate) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Stands for this process in what it tells other hosts.
    pub(crate) fn id(&self) -> u32 {
        self.boot as u32
    }

    /// Whether callers should come here.
    pub(crate) fn is_ready(&self, now: Time) -> bool {
        let state = self.state();
        state.listed && state.members.is_listed() && !state.leaving && state.view.is_fresh(now)
    }

    /// This host's entry among those that serve callers.
    pub(crate) fn entry(&self) -> HostEntry {
        HostEntry {
            addr: self.settings.callers,
            gossip: self.settings.gossip,
            id: self.id(),
            zone: self.settings.zone.clone(),
            leaving: self.state().leaving,
        }
    }

    /// Where the holder of the lease hears of other hosts' counts, if it was heard of late.
    pub(crate) fn holder(&self, now: Time) -> Option<SocketAddr> {
        let holder = self.state().holder;
        holder.filter(|(_, at)| now.since(*at) < HOLDER_SPAN).map(|(addr, _)| addr)
    }

    /// Counts a request of `org` that a target began at `at`.
    pub(crate) fn count(&self, org: Option<&str>, at: Time) {
        let Some(org) = org else { return };
        let window = self.time().window(at, self.settings.bounds.window);
        self.state().meter.count(window, org);
    }

    /// Notes that a run of `request` broke off.
    pub(crate) fn note_broken(&self, request: Fingerprint) {
        let run = BrokenRun { request, run: rand::random() };
        self.state().suspects.note(self.now(), run);
    }

    /// Counts a request for `service` towards its retry budget.
    pub(crate) fn earn(&self, service: &Arc<str>) {
        self.with_budget(service, RetryBudget::earn);
    }

    /// Takes a second attempt from the budget of `service`, if one is left.
    pub(crate) fn spend(&self, now: Time, service: &Arc<str>) -> bool {
        self.with_budget(service, |budget| budget.spend(now))
    }

    fn with_budget<T>(&self, service: &Arc<str>, act: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let mut state = self.state();
        if !state.budgets.contains_key(service) {
            let hosts = state.members.count() as f64;
            let bounds = &self.settings.bounds;
            let settings = RetrySettings {
                ratio: bounds.retry_ratio * BUDGET_SHARE,
                floor: 0.0,
                saved: bounds.retry_slack * BUDGET_SHARE / hosts,
                ..RetrySettings::default()
            };
            state.budgets.insert(service.clone(), RetryBudget::new(settings));
        }
        let budget = state.budgets.get_mut(service).expect("inserted above");
        act(budget)
    }
}
