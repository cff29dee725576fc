//! The configuration that this host acts on, and how sure it is of it.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex, PoisonError},
};

use chervilgate_clock::Time;
use chervilgate_coord::view::{Draining, KeyHash, Seq};
use chervilgate_model::{Config, KeyRecord, Target};
use chervilgate_policy::TargetId;
use tokio::sync::watch;

/// Numbers for names, the same for as long as the process lives.
#[derive(Debug, Default)]
pub(crate) struct Interner {
    ids: Mutex<BTreeMap<String, u32>>,
}

impl Interner {
    /// The number of `name`.
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

/// One configuration with what is derived from it.
#[derive(Debug, Default)]
pub(crate) struct View {
    /// Where it stands in the order of publications.
    pub seq: Seq,
    /// The configuration.
    pub config: Config,
    /// Drains as the root lists them.
    pub(crate) draining: Vec<Draining>,
    targets: BTreeMap<TargetId, Target>,
}

impl View {
    /// The view of `config` at `seq`.
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

    /// The target of this number.
    pub(crate) fn target(&self, id: TargetId) -> Option<&Target> {
        self.targets.get(&id)
    }

    /// The targets of `service` by number.
    pub(crate) fn targets_of(&self, service: &str) -> impl Iterator<Item = (TargetId, &Target)> {
        let targets = self.targets.iter().map(|(id, target)| (*id, target));
        targets.filter(move |(_, target)| target.service == *service)
    }
}

/// The present view and how long it may be relied on.
#[derive(Debug, Clone)]
pub(crate) struct ViewState {
    /// The view.
    pub(crate) view: Arc<View>,
    /// Keys withdrawn as far as is known here.
    pub(crate) withdrawn: Arc<BTreeSet<KeyHash>>,
    /// Keyed work may be dispatched until then.
    pub(crate) fresh_until: Time,
    /// Whether the platform itself confirms the view.
    pub(crate) by_platform: bool,
    /// Whether this host watches the platform for others.
    pub(crate) relay: bool,
}

impl ViewState {
    /// Whether keyed work may be dispatched on it at `now`.
    pub(crate) fn is_fresh(&self, now: Time) -> bool {
        now < self.fresh_until
    }

    /// Whether the key of this record is withdrawn.
    pub(crate) fn is_withdrawn(&self, record: &KeyRecord) -> bool {
        record.withdrawn || self.withdrawn.contains(&KeyHash(*record.hash.as_bytes()))
    }
}

/// Hands the view from its keeper to whoever serves.
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
    /// A cell without a confirmed view.
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

    /// The present view.
    pub(crate) fn get(&self) -> ViewState {
        self.state.borrow().clone()
    }

    /// Takes over a view, never an earlier one than that in force.
    pub(crate) fn adopt(&self, view: View) {
        self.state.send_modify(|state| {
            if view.seq >= state.view.seq {
                state.view = Arc::new(view);
            }
        });
    }

    /// Takes over withdrawals; they only ever grow.
    pub(crate) fn add_withdrawn(&self, keys: BTreeSet<KeyHash>) {
        self.state.send_modify(|state| {
            let all = state.withdrawn.union(&keys).copied().collect();
            state.withdrawn = Arc::new(all);
        });
    }

    /// Takes over how long the view may be relied on.
    pub(crate) fn set_freshness(&self, until: Time, by_platform: bool, relay: bool) {
        self.state.send_modify(|state| {
            state.fresh_until = until;
            state.by_platform = by_platform;
            state.relay = relay;
        });
    }
}
