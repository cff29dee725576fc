//! The view: the published configuration in force, and how long it stays fresh.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex, PoisonError},
};

use chervilgate_clock::Time;
use chervilgate_coord::view::{Draining, KeyHash, Seq};
use chervilgate_model::{Config, KeyRecord, Target};
use chervilgate_policy::TargetId;
use tokio::sync::watch;

/// Assigns numeric ids to names; an id stays the same for the life of the process.
#[derive(Debug, Default)]
pub(crate) struct Interner {
    ids: Mutex<BTreeMap<String, u32>>,
}

impl Interner {
    /// The id of `name`, assigned on first use.
    pub(crate) fn intern(&self, name: &str) -> u32 {
        let mut ids = self.ids.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(id) = ids.get(name) {
            return *id;
        }
        let id = u32::try_from(ids.len()).unwrap_or(u32::MAX);
        ids.insert(name.to_owned(), id);
        id
    }
}

/// A published configuration, indexed for serving.
#[derive(Debug, Default)]
pub(crate) struct View {
    /// Sequence number of the publication.
    pub seq: Seq,
    pub config: Config,
    /// Drains listed in the published root.
    pub(crate) draining: Vec<Draining>,
    targets: BTreeMap<TargetId, Target>,
}

impl View {
    /// Indexes `config`, with ids from `interner`.
    pub(crate) fn new(
        seq: Seq,
        config: Config,
        draining: Vec<Draining>,
        interner: &Interner,
    ) -> View {
        let id_of = |target: &Target| TargetId(interner.intern(target.name.as_str()));
        let targets =
            config.targets.values().map(|target| (id_of(target), target.clone())).collect();
        View { seq, config, draining, targets }
    }

    /// The target with this id.
    pub(crate) fn target(&self, id: TargetId) -> Option<&Target> {
        self.targets.get(&id)
    }

    /// The targets of `service` with their ids.
    pub(crate) fn targets_of(&self, service: &str) -> impl Iterator<Item = (TargetId, &Target)> {
        let targets = self.targets.iter().map(|(id, target)| (*id, target));
        targets.filter(move |(_, target)| target.service == *service)
    }
}

/// The view in force and its freshness.
#[derive(Debug, Clone)]
pub(crate) struct ViewState {
    pub(crate) view: Arc<View>,
    /// All keys known to be withdrawn, also by publications newer than `view`.
    pub(crate) withdrawn: Arc<BTreeSet<KeyHash>>,
    /// Requests with an API key may be dispatched until then.
    pub(crate) fresh_until: Time,
    /// Whether the platform confirmed the view, rather than peers.
    pub(crate) by_platform: bool,
    /// Whether this host watches the platform on behalf of peers.
    pub(crate) relay: bool,
}

impl ViewState {
    /// Whether requests with an API key may be dispatched at `now`.
    pub(crate) fn is_fresh(&self, now: Time) -> bool {
        now < self.fresh_until
    }

    /// Whether the record's key is withdrawn, by the view or since.
    pub(crate) fn is_withdrawn(&self, record: &KeyRecord) -> bool {
        record.withdrawn || self.withdrawn.contains(&KeyHash(*record.hash.as_bytes()))
    }
}

/// Shares the view state between the actor that updates it and request handlers.
#[derive(Debug, Clone)]
pub(crate) struct ViewCell {
    state: Arc<watch::Sender<ViewState>>,
}

impl Default for ViewCell {
    fn default() -> ViewCell {
        ViewCell::new()
    }
}

impl ViewCell {
    /// Creates a cell with an empty view that is not fresh.
    pub(crate) fn new() -> ViewCell {
        let empty = ViewState {
            view: Arc::new(View::default()),
            withdrawn: Arc::default(),
            fresh_until: Time::ZERO,
            by_platform: false,
            relay: false,
        };
        ViewCell { state: Arc::new(watch::Sender::new(empty)) }
    }

    /// The current state.
    pub(crate) fn get(&self) -> ViewState {
        self.state.borrow().clone()
    }

    /// Puts a view in force, unless a later one is already.
    pub(crate) fn adopt(&self, view: View) {
        self.state.send_modify(|state| {
            if view.seq >= state.view.seq {
                state.view = Arc::new(view);
            }
        });
    }

    /// Adds withdrawn keys; none is ever removed.
    pub(crate) fn add_withdrawn(&self, keys: BTreeSet<KeyHash>) {
        self.state.send_modify(|state| {
            let all = state.withdrawn.union(&keys).copied().collect();
            state.withdrawn = Arc::new(all);
        });
    }

    /// Sets until when the view is fresh and who confirmed it.
    pub(crate) fn set_freshness(&self, until: Time, by_platform: bool, relay: bool) {
        self.state.send_modify(|state| {
            state.fresh_until = until;
            state.by_platform = by_platform;
            state.relay = relay;
        });
    }
}
