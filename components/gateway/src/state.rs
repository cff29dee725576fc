//! State shared by the modules of a host.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError},
    time::Duration,
};

use chervilgate_clients::{ClosedPeers, HttpPool, ObjectStore};
use chervilgate_clock::{BootClock, Clock, Time};
use chervilgate_policy::{CrashId, QUOTA_PARTITIONS, Ticket};
use tokio::{
    net::UdpSocket,
    sync::{Notify, watch},
};

use crate::{
    admission::{Admission, Queues},
    announced::Announcements,
    build_record::BuildRecord,
    counted::{CountedStore, raise_era},
    crash::CrashProbe,
    crash_record::CrashRecord,
    demand::{DemandReport, ReportedDemand},
    fleet::{Fleet, SeenBuilds, SettledBuilds},
    freshness::{Freshness, Reads},
    membership::{HostEntry, Membership},
    memory::{ByteBudget, MemoryLimits},
    metrics::{LostLines, Metrics},
    numbering::Numberings,
    origins::Origins,
    poison::PoisonGuard,
    protocol::{Decoder, Protocol},
    quota::QuotaState,
    repeats::Repeats,
    run_end::LastAnswers,
    settings::HostSettings,
    stopping::Stop,
    stream::StreamBuffers,
    stream_record::StreamRecord,
    target_feed::TargetFeed,
    usage::{PeerSheets, UsageMeter, WallClock},
    view::ConfigView,
    waiting::TurnSender,
};

/// Time after the lease holder's last message for which it is assumed to hold the
/// lease.
const HOLDER_TIMEOUT: Duration = Duration::from_secs(3);

/// Delay of a timer from which a host is behind.
const LONG_DELAY: Duration = Duration::from_millis(200);

/// Clients, settings and state shared by the modules of a host.
pub(crate) struct Shared {
    pub(crate) settings: HostSettings,
    pub(crate) protocol: Arc<dyn Protocol>,
    pub(crate) decoder: Arc<dyn Decoder>,
    pub(crate) store: Arc<dyn ObjectStore>,
    pub(crate) target_pool: HttpPool,
    /// Targets that have closed connections of this host.
    pub(crate) closed_targets: Arc<ClosedPeers>,
    pub(crate) metrics: Arc<Metrics>,
    /// Returns the numbers of log lines dropped so far.
    pub(crate) lines_lost: fn() -> LostLines,
    pub(crate) boot: u64,
    /// Notified when the store responds again after an outage.
    pub(crate) store_recovered: Notify,
    /// Latest era of the store that this host has seen or heard of.
    pub(crate) store_era: watch::Sender<u64>,
    /// Notified when this host learns of a later change in the store than before.
    pub(crate) change_known: Notify,
    /// Notified when this host has read changes of the targets.
    pub(crate) changes_read: Notify,
    /// Notified when this host begins to follow the pollers' changes of the targets.
    pub(crate) feed_followed: Notify,
    /// Notifies watches that another host knows of a change which they have not brought.
    pub(crate) change_missed: Notify,
    /// Notified when the record of software versions may lack one.
    pub(crate) builds_due: Notify,
    /// Notified when the record of crashes may lack one.
    pub(crate) crashes_due: Notify,
    /// Notified when a version is to be announced, or announcements are to be read.
    pub(crate) announcements_due: Notify,
    /// Notified when the record of streams is to be written or read.
    pub(crate) streams_due: Notify,
    /// Notified when other hosts are to be told or asked which version began a stream.
    pub(crate) origins_due: Notify,
    /// Notifies requests that wait to know which version began their stream.
    pub(crate) origin_settled: Notify,
    /// Notified when a request needs to know that the list of targets is current.
    pub(crate) list_doubted: Notify,
    /// Notified when changes of the targets exist that a request needs to know.
    pub(crate) changes_wanted: Notify,
    /// Requests an immediate broadcast of this host's work in flight.
    pub(crate) broadcast: Notify,
    /// Notified when a request begins to wait for capacity, or one of this host has freed some while
    /// others wait.
    pub(crate) has_waiting: Notify,
    /// Turns true when this host stops so soon that open requests are answered at once.
    pub(crate) answer_now: watch::Sender<bool>,
    /// Bytes of request bodies that this host may hold.
    pub(crate) body_budget: Arc<ByteBudget>,
    /// Bytes of collected answers that it may hold.
    pub(crate) answer_budget: Arc<ByteBudget>,
    /// Events that callers have not read.
    pub(crate) stream_buffers: Arc<StreamBuffers>,
    /// Socket on which owners of quotas are asked; none before the host listens.
    pub(crate) quota_socket: OnceLock<Arc<UdpSocket>>,
    /// Notified when a partition of the quotas may be without an owner.
    pub(crate) quota_due: [Notify; QUOTA_PARTITIONS],
    /// Notified when a configuration has been adopted.
    pub(crate) quota_config: Notify,
    wall_clock: Mutex<WallClock>,
    state: Mutex<State>,
}

/// Mutable state of a host.
pub(crate) struct State {
    pub(crate) view: ConfigView,
    pub(crate) fleet: Fleet,
    /// How complete is what was read from the store.
    pub(crate) reads: Reads,
    /// What other hosts pass on of the targets' changes.
    pub(crate) feed: TargetFeed,
    /// Whether the configuration watch gets no reply from the store.
    pub(crate) store_down: bool,
    /// Whether the targets' entries have been listed at least once.
    pub(crate) targets_listed: bool,
    pub(crate) membership: Membership,
    pub(crate) meter: UsageMeter,
    /// Usage counts that other hosts sent to this one.
    pub(crate) peer_sheets: PeerSheets,
    /// Work that hosts reported to this one while it holds the duty lease.
    pub(crate) reported_demand: ReportedDemand,
    /// Whether this host holds the duty lease.
    pub(crate) holds_lease: bool,
    /// Address and time of the last message from the lease holder.
    pub(crate) holder: Option<(SocketAddr, Time)>,
    pub(crate) poison: PoisonGuard,
    /// Starts of targets whose end was looked for.
    pub(crate) crash_probes: HashMap<(Arc<str>, u64), CrashProbe>,
    /// Starts of targets that are asked whether they have ended, and until when.
    pub(crate) watched: HashMap<CrashId, Time>,
    pub(crate) last_answers: LastAnswers,
    /// Whether this host is stopping.
    pub(crate) leaving: bool,
    /// When this host stops; none if it was not told to.
    pub(crate) stop: Option<Stop>,
    /// Which software versions began streams.
    pub(crate) origins: Origins,
    /// How their streams count.
    pub(crate) numberings: Numberings,
    /// What of the record of software versions this host has seen.
    pub(crate) build_record: BuildRecord,
    /// What of the record of crashes this host has seen.
    pub(crate) crash_record: CrashRecord,
    /// Which versions this host and others have announced to begin streams at.
    pub(crate) announcements: Announcements,
    /// What of the record of streams this host has written and read.
    pub(crate) stream_record: StreamRecord,
    /// What this host may send beyond the first of each request.
    pub(crate) repeats: Repeats,
    /// What this host holds and owns of organisations' quotas.
    pub(crate) quota: QuotaState,
    /// Which requests wait for capacity.
    pub(crate) admission: Box<dyn Admission>,
    /// How waiting requests are told that their turn has come.
    pub(crate) turns: HashMap<Ticket, TurnSender>,
}

/// Age of the list of targets, relative to the time in which a change of it must be known, from which
/// a host may have missed a version.
const OLD_LIST_SHARE: f64 = 1.5;

impl State {
    /// Shares the budget for repeats with the hosts that may be serving, once they are known.
    pub(crate) fn share_repeats(&mut self, now: Time, own: &str) {
        if self.membership.is_listed() {
            self.repeats.set_hosts(now, own, self.membership.staying_names());
        }
    }

    /// The work of this host's callers, for the lease holder; empty if no targets are ordered.
    pub(crate) fn demand_reports(&self, now: Time, host: u32) -> Vec<DemandReport> {
        let Some(config) = self.view.config() else { return Vec::new() };
        let services = config.services.iter();
        let services = services
            .filter(|(_, service)| service.scaling.is_some() && service.engine.is_some())
            .map(|(name, _)| &**name);
        DemandReport::all(now, host, services, &self.fleet.work_totals(now))
    }

    /// Which versions may have begun a stream of `service`, by a list of targets that is not old.
    pub(crate) fn seen_builds(&self, now: Time, service: &str, drain_time: Duration) -> SeenBuilds {
        if !self.is_target_list_current(now, drain_time) {
            return SeenBuilds::Unsure;
        }
        self.fleet.seen_builds(now, service)
    }

    /// The same, by a list that was read since `since`: a version that this host does not know has begun
    /// no stream before.
    pub(crate) fn seen_builds_since(&self, now: Time, service: &str, since: Time) -> SeenBuilds {
        match self.fleet.seen_builds(now, service) {
            SeenBuilds::Several => SeenBuilds::Several,
            _ if !self.reads.targets.is_read_since(since) => SeenBuilds::Unsure,
            seen => seen,
        }
    }

    /// Whether the list of targets is not old.
    pub(crate) fn is_target_list_current(&self, now: Time, drain_time: Duration) -> bool {
        let age = self.reads.targets.age(now);
        age.is_some_and(|age| age < drain_time.mul_f64(OLD_LIST_SHARE))
            && !self.reads.targets.is_behind()
    }
}

impl Shared {
    /// Starts with empty state.
    pub(crate) fn new(
        settings: HostSettings,
        protocol: Arc<dyn Protocol>,
        decoder: Arc<dyn Decoder>,
        store: Arc<dyn ObjectStore>,
        lines_lost: fn() -> LostLines,
        time_of_day: Duration,
    ) -> Shared {
        let metrics = Arc::new(Metrics::new());
        let store_era = watch::Sender::new(0);
        let counted = CountedStore { store, metrics: metrics.clone(), era: store_era.clone() };
        let store = Arc::new(counted);
        let boot = rand::random();
        let bounds = &settings.bounds;
        let state = State {
            view: ConfigView::new(bounds.revocation_time, bounds.refuse_stale),
            fleet: Fleet::new(&settings.zone, bounds.drain_time),
            reads: Reads {
                config: Freshness::new(bounds.apply_time),
                targets: Freshness::new(bounds.drain_time),
            },
            feed: TargetFeed::new(bounds.drain_time),
            store_down: false,
            targets_listed: false,
            membership: Membership::new(&settings.name),
            meter: UsageMeter::new(boot),
            peer_sheets: PeerSheets::default(),
            reported_demand: ReportedDemand::default(),
            holds_lease: false,
            holder: None,
            poison: PoisonGuard::default(),
            crash_probes: HashMap::new(),
            watched: HashMap::new(),
            last_answers: LastAnswers::default(),
            leaving: false,
            stop: None,
            origins: Origins::default(),
            numberings: Numberings::default(),
            build_record: BuildRecord::default(),
            crash_record: CrashRecord::default(),
            stream_record: StreamRecord::default(),
            announcements: Announcements::default(),
            repeats: Repeats::new(bounds),
            quota: QuotaState::new(&settings, boot),
            admission: Box::<Queues>::default(),
            turns: HashMap::new(),
        };
        let memory = MemoryLimits::new(settings.memory);
        let (target_pool, closed_targets) = HttpPool::comparing_ids().telling_of_closed();
        Shared {
            body_budget: ByteBudget::new(memory.bodies),
            answer_budget: ByteBudget::new(memory.answers),
            // Small buffers may hold a quarter more.
            stream_buffers: StreamBuffers::new(memory.streams / 5 * 4),
            wall_clock: Mutex::new(WallClock::new(BootClock.now(), time_of_day)),
            boot,
            state: Mutex::new(state),
            target_pool,
            closed_targets,
            metrics,
            lines_lost,
            store_recovered: Notify::new(),
            store_era,
            change_known: Notify::new(),
            changes_read: Notify::new(),
            feed_followed: Notify::new(),
            change_missed: Notify::new(),
            builds_due: Notify::new(),
            crashes_due: Notify::new(),
            origins_due: Notify::new(),
            streams_due: Notify::new(),
            announcements_due: Notify::new(),
            origin_settled: Notify::new(),
            list_doubted: Notify::new(),
            changes_wanted: Notify::new(),
            broadcast: Notify::new(),
            has_waiting: Notify::new(),
            answer_now: watch::Sender::new(false),
            quota_socket: OnceLock::new(),
            quota_due: Default::default(),
            quota_config: Notify::new(),
            settings,
            protocol,
            decoder,
            store,
        }
    }

    /// The present monotonic time.
    pub(crate) fn now(&self) -> Time {
        BootClock.now()
    }

    /// Records that another host has seen this era of the store.
    pub(crate) fn hear_store_era(&self, era: u64) {
        raise_era(&self.store_era, era);
    }

    /// Waits until open requests must be answered because this host stops.
    pub(crate) async fn wait_to_answer(&self) {
        // Waiting only fails if the sender is dropped, and this holds it.
        self.answer_now.subscribe().wait_for(|now| *now).await.ok();
    }

    /// Locks the wall clock.
    pub(crate) fn wall_clock(&self) -> MutexGuard<'_, WallClock> {
        self.wall_clock.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the mutable state.
    pub(crate) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Identifies this process in gossip.
    pub(crate) fn gossip_id(&self) -> u32 {
        self.boot as u32
    }

    /// Names the versions of streams that were begun in doubt, and has other hosts told.
    pub(crate) fn settle_builds(&self, state: &mut State, settled: &[SettledBuilds]) {
        for builds in settled {
            state.origins.settle(builds);
            self.origins_due.notify_one();
        }
    }

    /// Whether callers may be sent to this host.
    pub(crate) fn is_ready(&self, now: Time) -> bool {
        let state = self.state();
        state.targets_listed
            && state.membership.is_listed()
            && !state.leaving
            && state.view.is_fresh(now)
    }

    /// This host's entry for the store.
    pub(crate) fn host_entry(&self) -> HostEntry {
        HostEntry {
            addr: self.settings.caller_addr,
            gossip: self.settings.gossip_addr,
            id: self.gossip_id(),
            zone: self.settings.zone.clone(),
            leaving: self.state().leaving,
        }
    }

    /// Gossip address of the lease holder, if a message from it arrived recently.
    pub(crate) fn holder_addr(&self, now: Time) -> Option<SocketAddr> {
        let holder = self.state().holder;
        holder.filter(|(_, at)| now.since(*at) < HOLDER_TIMEOUT).map(|(addr, _)| addr)
    }

    /// Has waiting requests looked at, as a request of this host needs its target of `service` less than
    /// before.
    pub(crate) fn free_capacity(&self, service: &str) {
        let admission = &mut self.state().admission;
        if !admission.is_empty() {
            admission.record_freed(service);
            self.has_waiting.notify_one();
        }
    }

    /// Counts a request of `org` that a target started at `at`.
    pub(crate) fn count_usage(&self, org: Option<&str>, at: Time) {
        let Some(org) = org else { return };
        let window = self.wall_clock().window(at, self.settings.bounds.window);
        self.state().meter.count(window, org);
    }

    /// Records by how much a timer of this host went off too late. What arrives at it waits as long.
    pub(crate) fn record_delay(&self, delay: Duration) {
        let ms = delay.as_millis() as u64;
        self.metrics.set_delay(ms);
        if delay >= LONG_DELAY {
            log::warn!(target: "host", ms; "host is behind");
        }
    }

    /// Counts a caller's request for `service`, which adds to the budget for repeats.
    pub(crate) fn count_request(&self, service: &Arc<str>) {
        let now = self.now();
        self.metrics.count_service_request(service);
        self.state().repeats.count_request(now, service);
    }

    /// Counts a repeat that is about to be sent; returns false if it may not be. `cause` is what became
    /// of the arrival before it.
    pub(crate) fn try_repeat(&self, now: Time, service: &Arc<str>, cause: &'static str) -> bool {
        let may_repeat = self.state().repeats.try_repeat(now, service);
        self.metrics.count_repeat(service, cause, may_repeat);
        if !may_repeat {
            self.metrics.count_retry("over-budget");
        }
        may_repeat
    }
}
