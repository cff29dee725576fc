//! The configuration that this host acts on, and how sure it is of it.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use chervilgate_clock::Time;
use chervilgate_coord::Version;
use chervilgate_model::{Config, Target};
use chervilgate_policy::TargetId;
use tokio::sync::watch;

/// Keyed work is refused once the view has gone unconfirmed for this long.
pub(crate) const FRESH_SPAN: Duration = Duration::from_secs(4);

/// Numbers for names, the same for as long as the process lives.
#[derive(Debug, Default)]
pub struct Numbering {
    numbers: Mutex<BTreeMap<String, u32>>,
}

impl Numbering {
    /// The number of `name`.
    pub fn number(&self, name: &str) -> u32 {
        let mut numbers = self.numbers.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(number) = numbers.get(name) {
            return *number;
        }
        let number = u32::try_from(numbers.len()).unwrap_or(u32::MAX);
        numbers.insert(name.to_owned(), number);
        number
    }
}

/// One configuration with what is derived from it.
#[derive(Debug, Default)]
pub struct View {
    /// Where it stands in the order of publications.
    pub version: Version,
    /// The configuration.
    pub config: Config,
    targets: BTreeMap<TargetId, Target>,
}

impl View {
    /// The view of `config` as published at `version`.
    pub fn new(version: Version, config: Config, numbering: &Numbering) -> View {
        let number = |target: &Target| TargetId(numbering.number(target.name.as_str()));
        let targets =
            config.targets.values().map(|target| (number(target), target.clone())).collect();
        View { version, config, targets }
    }

    /// The target of this number.
    pub fn target(&self, id: TargetId) -> Option<&Target> {
        self.targets.get(&id)
    }

    /// The targets of `service` by number.
    pub fn targets_of(&self, service: &str) -> impl Iterator<Item = (TargetId, &Target)> {
        let targets = self.targets.iter().map(|(id, target)| (*id, target));
        targets.filter(move |(_, target)| target.service == *service)
    }

    /// Where the target listens.
    pub fn address(&self, id: TargetId) -> Option<SocketAddr> {
        self.target(id).map(|target| target.address)
    }
}

/// The present view and the time it was last confirmed at.
#[derive(Debug, Clone)]
pub struct ViewState {
    /// The view.
    pub view: Arc<View>,
    /// When it was last known to be the newest; none before the first time.
    pub confirmed: Option<Time>,
}

impl ViewState {
    /// Whether keyed work may be dispatched on it at `now`.
    pub fn is_fresh(&self, now: Time) -> bool {
        self.confirmed.is_some_and(|confirmed| now.since(confirmed) < FRESH_SPAN)
    }
}

/// Hands the view from its keeper to whoever serves.
#[derive(Debug, Clone)]
pub struct ViewCell {
    state: Arc<watch::Sender<ViewState>>,
}

impl Default for ViewCell {
    fn default() -> ViewCell {
        ViewCell::new()
    }
}

impl ViewCell {
    /// A cell without a confirmed view.
    pub fn new() -> ViewCell {
        let empty = ViewState { view: Arc::new(View::default()), confirmed: None };
        ViewCell { state: Arc::new(watch::Sender::new(empty)) }
    }

    /// The present view.
    pub fn get(&self) -> ViewState {
        self.state.borrow().clone()
    }

    /// Follows changes.
    pub fn subscribe(&self) -> watch::Receiver<ViewState> {
        self.state.subscribe()
    }

    /// Takes over a view unless a later one is already in force.
    pub fn adopt(&self, view: View) -> bool {
        self.state.send_if_modified(|state| {
            let newer = view.version > state.view.version;
            if newer {
                state.view = Arc::new(view);
            }
            newer
        })
    }

    /// Notes that the view was the newest at `at`.
    pub fn confirm(&self, at: Time) {
        self.state.send_if_modified(|state| {
            state.confirmed = state.confirmed.max(Some(at));
            false
        });
    }
}
