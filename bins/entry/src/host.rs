//! What the parts of one entry share.

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use chervilgate_clients::{Engine, HttpSender, ObjectStore};
use chervilgate_clock::Clock;
use chervilgate_policy::{RouteSettings, Zone};
use tokio::sync::watch;

use crate::{
    lane::{Lane, LaneCounts},
    member::Members,
    meter::Meter,
    settings::Settings,
    view::{Numbering, View, ViewCell},
};

/// How far a planned stop has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Serving.
    Serving,
    /// No longer located, but still accepting: callers keep addresses a while.
    Leaving,
    /// Accepting nothing new; finishing what runs.
    Finishing,
}

/// The borders that an entry needs.
#[derive(Clone)]
pub struct Borders {
    /// The platform's objects.
    pub store: Arc<dyn ObjectStore>,
    /// Requests to targets.
    pub sender: Arc<dyn HttpSender>,
    /// Load reports of engines.
    pub engines: Arc<dyn Engine>,
    /// The present time.
    pub clock: Arc<dyn Clock>,
}

/// One entry's state.
pub struct Host {
    /// Its settings.
    pub settings: Settings,
    /// Its borders.
    pub borders: Borders,
    /// The configuration in force.
    pub views: ViewCell,
    /// The other entries, as far as known.
    pub members: Members,
    /// Usage since the last flush.
    pub meter: Meter,
    /// Names this process among all that ever ran on this host.
    pub incarnation: String,
    numbering: Numbering,
    lanes: Mutex<BTreeMap<String, Arc<Lane>>>,
    phase: watch::Sender<Phase>,
    requests: AtomicU64,
}

impl Host {
    /// An entry that has not read any configuration yet.
    pub fn new(settings: Settings, borders: Borders) -> Arc<Host> {
        let incarnation = format!("{}-{:016x}", settings.host, rand::random::<u64>());
        Arc::new(Host {
            settings,
            borders,
            views: ViewCell::new(),
            members: Members::default(),
            meter: Meter::default(),
            incarnation,
            numbering: Numbering::default(),
            lanes: Mutex::default(),
            phase: watch::Sender::new(Phase::Serving),
            requests: AtomicU64::new(0),
        })
    }

    /// Numbers for the names of a configuration.
    pub fn numbering(&self) -> &Numbering {
        &self.numbering
    }

    /// A request id that no other request has.
    pub fn request_id(&self) -> String {
        let count = self.requests.fetch_add(1, Ordering::Relaxed);
        format!("{:016x}{:08x}", rand::random::<u64>(), count)
    }

    /// The lane of a service, if it has targets.
    pub fn lane(&self, service: &str) -> Option<Arc<Lane>> {
        self.lock_lanes().get(service).cloned()
    }

    /// Each service's requests.
    pub fn lane_counts(&self) -> BTreeMap<String, LaneCounts> {
        let lanes = self.lock_lanes();
        lanes.iter().map(|(name, lane)| (name.clone(), lane.counts())).collect()
    }

    /// Opens and refills lanes after the view has changed.
    pub fn apply_view(&self, view: &View) {
        for service in view.config.services.keys() {
            let lane = self.open_lane(service.as_str());
            crate::fleet::fill_lane(&lane, view, service.as_str(), &self.numbering);
        }
        self.lock_lanes().retain(|name, _| view.config.services.contains_key(name.as_str()));
    }

    /// Follows the phase of a planned stop.
    pub fn phase(&self) -> watch::Receiver<Phase> {
        self.phase.subscribe()
    }

    /// Moves a planned stop on; it never goes back.
    pub fn enter(&self, phase: Phase) {
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
        self.lanes.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
