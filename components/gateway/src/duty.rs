//! Writes usage sheets and performs the duties of the lease holder: sealing and
//! reporting usage windows, and ordering targets.

use std::{collections::HashMap, sync::Arc, time::Duration};

use chervilgate_clients::{TargetOrder, TargetOrders, WindowReport, WindowReports};
use chervilgate_clock::Time;
use chervilgate_coord::{Expect, Object, StoreCall, StoreReply, Version};
use chervilgate_policy::demand::{DemandHistory, EngineSpecs, PlannedDemand};
use tokio::time::sleep;

use crate::{
    config::Config,
    lease::{Lease, LeaseDoc, is_standby},
    planner::{Observations, OrderPlanner, ScaledService, ServiceDemand},
    state::{Shared, State},
    usage::{UsageSheet, is_window_complete, sum_counts},
    watch::decode_objects,
};

/// Key prefix of the hosts' usage sheets.
const SHEETS: &str = "usage/";

/// Key of the lease object.
const LEASE_KEY: &str = "duty/lease";

/// Interval between writes of a usage sheet, per host, while no lease holder receives
/// this host's counts. A killed host loses the counts since its last write; the more
/// hosts there are, the smaller their share of a report, so the interval may grow and
/// the loss stays within the report's tolerance.
const SHEET_INTERVAL_PER_HOST: Duration = Duration::from_millis(100);

/// Minimum and maximum interval between writes of a usage sheet.
const SHEET_INTERVAL_BOUNDS: (Duration, Duration) =
    (Duration::from_millis(900), Duration::from_millis(2_500));

/// Interval between steps of the lease holder.
const HOLDER_INTERVAL: Duration = Duration::from_millis(500);

/// Interval at which a standby reads the lease.
const STANDBY_INTERVAL: Duration = Duration::from_secs(1);

/// Interval at which other hosts read the lease, to learn who the holder is.
const OBSERVER_INTERVAL: Duration = Duration::from_secs(8);

/// Delay from the end of a window until it may be sealed.
const SEAL_DELAY: Duration = Duration::from_millis(1_200);

/// Time before a report is due at which its window is sealed even if usage sheets are
/// incomplete.
const SEAL_MARGIN: Duration = Duration::from_millis(1_800);

/// Timeout for sending a usage report.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// Latency target of a service to which no route leads.
const DEFAULT_LATENCY_TARGET: Duration = Duration::from_millis(250);

/// Time for which the demand seen counts while too few hosts report.
const MAX_DEMAND_AGE: Duration = Duration::from_secs(10);

/// Time over which requests that wait show that there are too few targets.
const RECENT_WAITING: Duration = Duration::from_secs(4);

/// Time over which hardly a prompt must have waited for targets to be given back.
const RETURN_WAITING: Duration = Duration::from_secs(20);

/// Maximum random delay before taking over an expired lease.
const MAX_ACQUIRE_JITTER: Duration = Duration::from_millis(800);

/// Writes an object if its version is still `version`, and updates `version`. Returns
/// whether `value` is known to be written.
///
/// If the reply is lost, the object is read, so that the next write uses its present
/// version.
pub(crate) async fn put_object(
    shared: &Shared,
    key: &str,
    version: &mut Option<Version>,
    value: Vec<u8>,
) -> bool {
    let expect = version.map_or(Expect::Absent, Expect::At);
    let call = StoreCall::Put { key: key.to_owned(), expect, value };
    let known = match shared.store.call(&call).await {
        StoreReply::Written(written) => {
            *version = Some(written);
            return true;
        }
        StoreReply::Refused => return false,
        StoreReply::Conflict(object) => object,
        _ => match shared.store.call(&StoreCall::Get { key: key.to_owned() }).await {
            StoreReply::Found(object) => object,
            _ => return false,
        },
    };
    *version = known.map(|object| object.version);
    false
}

/// Writes this host's usage sheet to the store whenever it has changed.
pub(crate) async fn maintain_usage_sheet(shared: Arc<Shared>) {
    let key = format!("{SHEETS}{}", shared.settings.name);
    let mut version = loop {
        match shared.store.call(&StoreCall::Get { key: key.clone() }).await {
            StoreReply::Found(object) => {
                break object.map(|object| merge_predecessor(&shared, &object));
            }
            _ => sleep(SHEET_INTERVAL_BOUNDS.0).await,
        }
    };
    loop {
        let hosts = shared.state().membership.count() as u32;
        let interval = match shared.holder_addr(shared.now()) {
            Some(_) => shared.settings.bounds.window,
            None => (SHEET_INTERVAL_PER_HOST * hosts)
                .clamp(SHEET_INTERVAL_BOUNDS.0, SHEET_INTERVAL_BOUNDS.1),
        };
        sleep(interval).await;
        let window = shared.wall_clock().window(shared.now(), shared.settings.bounds.window);
        let value = shared.state().meter.take_changed(window).map(serde_json::to_vec);
        let Some(Ok(value)) = value else { continue };
        let expect = version.map_or(Expect::Absent, Expect::At);
        let call = StoreCall::Put { key: key.clone(), expect, value };
        match shared.store.call(&call).await {
            StoreReply::Written(written) => version = Some(written),
            StoreReply::Conflict(object) => {
                version = object.map(|object| merge_predecessor(&shared, &object));
                shared.state().meter.mark_changed();
            }
            reply => {
                log::info!(target: "usage", reply:?; "usage sheet not written");
                shared.state().meter.mark_changed();
            }
        }
    }
}

/// Adds the counts of an earlier process of this host; returns the version of the
/// sheet.
fn merge_predecessor(shared: &Shared, object: &Object) -> Version {
    if let Some((_, sheet)) = decode_objects::<UsageSheet>(std::slice::from_ref(object)).first() {
        shared.state().meter.merge_predecessor(sheet);
    }
    object.version
}

/// Competes for the lease and performs the duties while holding it.
pub(crate) struct Duties {
    pub(crate) shared: Arc<Shared>,
    pub(crate) reports: Arc<dyn WindowReports>,
    pub(crate) orders: Arc<dyn TargetOrders>,
    lease: Lease,
    planner: OrderPlanner,
    /// Demand by service while the lease is held.
    demand: HashMap<Arc<str>, DemandHistory>,
    /// Whether the store failed the last write of the lease.
    write_failed: bool,
}

impl Duties {
    /// Starts without the lease.
    pub(crate) fn new(
        shared: Arc<Shared>,
        reports: Arc<dyn WindowReports>,
        orders: Arc<dyn TargetOrders>,
    ) -> Duties {
        let lease = Lease::new(&shared.settings.name, shared.boot, shared.settings.bounds.lease);
        Duties {
            shared,
            reports,
            orders,
            lease,
            planner: OrderPlanner::new(),
            demand: HashMap::new(),
            write_failed: false,
        }
    }

    /// Competes for the lease, and performs the duties while it is held.
    pub(crate) async fn run(mut self) {
        loop {
            let delay = MAX_ACQUIRE_JITTER.mul_f64(rand::random());
            self.step(delay).await;
            self.shared.state().holds_lease = self.lease.is_holder();
            sleep(self.step_interval()).await;
        }
    }

    fn step_interval(&self) -> Duration {
        if self.lease.is_holder() {
            return if self.write_failed { STANDBY_INTERVAL } else { HOLDER_INTERVAL };
        }
        let now = self.shared.now();
        let state = self.shared.state();
        let holder = &self.lease.doc().holder;
        if is_standby(holder, &self.shared.settings.name, state.membership.live_names(now)) {
            STANDBY_INTERVAL
        } else {
            OBSERVER_INTERVAL
        }
    }

    async fn step(&mut self, delay: Duration) {
        if !self.lease.is_holder() && !self.read_lease().await {
            // The lease cannot be acquired while the store does not respond.
            return;
        }
        let now = self.shared.now();
        if self.shared.state().leaving {
            return self.release_lease().await;
        }
        if self.lease.may_act(now) {
            self.seal_and_report(now).await;
            self.order_targets().await;
        } else if !self.lease.is_holder() {
            self.planner = OrderPlanner::new();
            self.demand.clear();
            self.shared.metrics.clear_demand();
        }
        let now = self.shared.now();
        if let Some(mut doc) = self.lease.next_write(now, delay) {
            if let Some(until) = self.lease.windows_unknown_until(now) {
                let window =
                    self.shared.wall_clock().window(until, self.shared.settings.bounds.window);
                doc.skip_windows(window.saturating_sub(1));
                log::warn!(
                    target: "usage", window;
                    "windows before this one left out: the store does not tell whether they were reported"
                );
            }
            self.write_lease(doc).await;
        }
    }

    /// Reads the lease and returns whether the store responded.
    ///
    /// A stale read is enough: it only makes a challenger wait longer.
    async fn read_lease(&mut self) -> bool {
        let StoreReply::Found(object) = self.shared.store.get_stale(LEASE_KEY).await else {
            return false;
        };
        self.observe(object.as_ref());
        true
    }

    fn observe(&mut self, object: Option<&Object>) {
        let Some(object) = object else {
            let era = self.shared.store.era();
            return self.lease.observe_absent(self.shared.now(), era);
        };
        let (now, version) = (self.shared.now(), object.version);
        match decode_objects::<LeaseDoc>(std::slice::from_ref(object)).pop() {
            Some((_, mut doc)) => {
                let length = self.shared.settings.bounds.window;
                doc.drop_future_windows(self.shared.wall_clock().window(now, length));
                self.lease.observe(now, version, doc);
            }
            None => {
                let since_1970 = self.shared.wall_clock().at(now);
                self.lease.observe_unreadable(now, version, since_1970);
            }
        }
    }

    async fn write_lease(&mut self, doc: LeaseDoc) -> bool {
        let Ok(value) = serde_json::to_vec(&doc) else { return false };
        let expect = self.lease.version().map_or(Expect::Absent, Expect::At);
        let sent = self.shared.now();
        let call = StoreCall::Put { key: LEASE_KEY.to_owned(), expect, value };
        let reply = self.shared.store.call(&call).await;
        self.write_failed = matches!(reply, StoreReply::Refused | StoreReply::Unknown);
        match reply {
            StoreReply::Written(version) => {
                let acquired = !self.lease.is_holder();
                let epoch = doc.epoch;
                self.lease.record_write(self.shared.now(), sent, version, doc);
                if acquired {
                    log::info!(target: "duty", epoch; "lease taken");
                }
                true
            }
            StoreReply::Conflict(object) => {
                self.observe(object.as_ref());
                false
            }
            StoreReply::Refused => {
                log::info!(target: "duty", "lease not written: the store refused the write");
                false
            }
            reply => {
                log::info!(target: "duty", reply:?; "lease not written");
                let get = StoreCall::Get { key: LEASE_KEY.to_owned() };
                if let StoreReply::Found(object) = self.shared.store.call(&get).await {
                    self.observe(object.as_ref());
                }
                false
            }
        }
    }

    async fn release_lease(&mut self) {
        if !self.lease.is_holder() {
            return;
        }
        let doc = LeaseDoc { released: true, ..self.lease.doc().clone() };
        if self.write_lease(doc).await {
            log::info!(target: "duty", "lease released");
        }
    }

    /// Seals the windows that have ended, and reports the sealed ones.
    async fn seal_and_report(&mut self, now: Time) {
        let length = self.shared.settings.bounds.window;
        let current = self.shared.wall_clock().window(now, length);
        let elapsed =
            (self.shared.wall_clock().at(now).as_micros() % length.as_micros().max(1)) as u64;
        // The last window that ended at least `SEAL_DELAY` ago.
        let too_recent = Duration::from_micros(elapsed) < SEAL_DELAY;
        let newest = current.saturating_sub(1 + u64::from(too_recent));
        let known = self.lease.doc().sealed.last().map(|sealed| sealed.window);
        if known.is_none_or(|known| known < newest) {
            self.seal_windows(now, known, newest).await;
        }
        let unreported: Vec<_> =
            self.lease.doc().sealed.iter().filter(|sealed| !sealed.reported).cloned().collect();
        for sealed in unreported {
            if !self.lease.may_act(self.shared.now()) {
                return;
            }
            let window = sealed.window;
            let report =
                WindowReport { window, epoch: self.lease.doc().epoch, counts: sealed.counts };
            let sent = tokio::time::timeout(REPORT_TIMEOUT, self.reports.report(&report)).await;
            match sent {
                Ok(Ok(())) => self.mark_reported(window).await,
                Ok(Err(error)) => {
                    log::warn!(target: "usage", window, error:%; "window not reported");
                    return;
                }
                Err(_) => {
                    log::warn!(target: "usage", window; "usage report timed out");
                    return;
                }
            }
        }
    }

    /// Orders targets for the services that have scaling limits.
    async fn order_targets(&mut self) {
        let now = self.shared.now();
        let orders = {
            let shared = self.shared.clone();
            let mut state = shared.state();
            let Some(config) = state.view.config().cloned() else { return };
            for report in state.demand_reports(now, shared.gossip_id()) {
                state.reported_demand.record(now, &report);
            }
            let scaled = config
                .services
                .iter()
                .filter_map(|(name, service)| Some((name.clone(), service.scaling.clone()?)));
            let scaled: Vec<ScaledService> = scaled.collect();
            self.forget_services_but(&scaled);
            let names = scaled.iter().map(|(name, _)| &**name);
            state.reported_demand.retain_services(names);
            let mut orders = Vec::new();
            for (service, scaling) in &scaled {
                let demand = self.service_demand(now, &mut state, &config, service);
                let entries = state.fleet.entries();
                orders.extend(match &demand {
                    Some(demand) => {
                        self.planner.plan_for_demand(now, service, scaling, entries, demand)
                    }
                    None => self.planner.plan(now, service, scaling, entries),
                });
            }
            self.shared.metrics.set_targets_wanted(self.planner.goals());
            orders
        };
        for order in orders {
            if !self.lease.may_act(self.shared.now()) {
                return;
            }
            self.place_order(order).await;
        }
    }

    /// Drops what is known of services that are no longer scaled, and their metrics.
    fn forget_services_but(&mut self, scaled: &[ScaledService]) {
        let is_scaled = |name: &str| scaled.iter().any(|(scaled, _)| &**scaled == name);
        self.planner.retain_services(is_scaled);
        let metrics = &self.shared.metrics;
        self.demand.retain(|name, _| {
            let is_kept = is_scaled(name);
            if !is_kept {
                metrics.remove_demand(name);
            }
            is_kept
        });
    }

    /// What is known of the demand for a service; none if it has no engines, which are all that
    /// demand is measured of.
    fn service_demand(
        &mut self,
        now: Time,
        state: &mut State,
        config: &Config,
        service: &Arc<str>,
    ) -> Option<ServiceDemand> {
        let profile = config.services.get(service)?.engine.as_ref()?;
        let counts = state.fleet.stage_counts(service);
        if counts.prefill == 0 || counts.decode == 0 {
            return None;
        }
        let speeds = state.fleet.engine_speeds(now, service);
        // Engines of both stages are alike, so one that is not known is taken to be at least as slow
        // as the other.
        let factor = |own: Option<f64>, other: Option<f64>| {
            own.unwrap_or_else(|| other.unwrap_or(1.0).max(1.0))
        };
        let engine = EngineSpecs {
            prefill_factor: factor(speeds.prefill, speeds.decode),
            decode_factor: factor(speeds.decode, speeds.prefill),
            prefill_share: f64::from(counts.prefill) / f64::from(counts.prefill + counts.decode),
            slots: profile.slots,
            kv_tokens: profile.kv_tokens,
            latency_target: config.latency_target(service).unwrap_or(DEFAULT_LATENCY_TARGET),
        };
        let history = self.demand.entry(service.clone()).or_default();
        let alive = state.membership.live_names(now).count() + 1;
        let rate = state.reported_demand.rate(now, service, alive);
        if let Some(rate) = rate {
            history.observe(now, rate);
        }
        let recent = history.recent(RECENT_WAITING);
        let drain_time = self.shared.settings.bounds.drain_time;
        let observed = Observations {
            recent_waiting: recent.waiting_share(),
            past_waiting: history.recent(RETURN_WAITING).waiting_share(),
            is_demand_known: rate.is_some(),
            is_speed_known: speeds.prefill.or(speeds.decode).is_some(),
            is_store_up: !self.write_failed && !state.store_down,
            is_list_current: state.is_target_list_current(now, drain_time),
            has_impaired_targets: state.fleet.has_impaired_targets(now, service),
        };
        let (prefill, decode) = engine.busy_stages(&recent);
        self.shared.metrics.set_demand(service, prefill, decode);
        let is_known = history.age(now).is_some_and(|age| age < MAX_DEMAND_AGE);
        let demand = is_known.then(|| PlannedDemand {
            mean: history.mean(),
            largest: history.largest(),
            span: history.span(),
        });
        let (is_waiting, may_return) = (observed.is_waiting(), observed.may_return());
        let exchange_doubt = observed.exchange_doubt();
        Some(ServiceDemand { demand, engine, is_waiting, may_return, exchange_doubt })
    }

    async fn place_order(&mut self, mut order: TargetOrder) {
        order.epoch = self.lease.doc().epoch;
        let result = self.orders.order(&order).await;
        self.shared.metrics.count_order(result.is_ok());
        let TargetOrder { service, zone, count, cheap, .. } = &order;
        match &result {
            Ok(_) => log::info!(target: "duty", service, zone, count, cheap; "targets ordered"),
            Err(error) => {
                log::warn!(target: "duty", service, zone, count, cheap, error:%; "order failed");
            }
        }
        self.planner.record_result(&order, result.is_ok());
    }

    async fn mark_reported(&mut self, window: u64) {
        log::info!(target: "usage", window; "window reported");
        self.shared.metrics.count_window();
        let mut doc = self.lease.doc().clone();
        doc.count_write();
        for sealed in doc.sealed.iter_mut().filter(|sealed| sealed.window == window) {
            sealed.reported = true;
        }
        // Reporting the same counts again is harmless, so a failed write is too.
        self.write_lease(doc).await;
    }

    /// Seals the windows after `known` up to `newest` that are complete or whose
    /// reports are nearly due.
    async fn seal_windows(&mut self, now: Time, known: Option<u64>, newest: u64) {
        let list = StoreCall::List { prefix: SHEETS.to_owned() };
        let StoreReply::Listed { objects, .. } = self.shared.store.call(&list).await else {
            return;
        };
        let named = decode_objects::<UsageSheet>(&objects).into_iter().map(|(object, sheet)| {
            let name = object.key.strip_prefix(SHEETS).unwrap_or(&object.key);
            (name.to_owned(), sheet)
        });
        let mut sheets: HashMap<String, UsageSheet> = named.collect();
        {
            let current = self.shared.wall_clock().window(now, self.shared.settings.bounds.window);
            let state = self.shared.state();
            state.peer_sheets.merge_into(&mut sheets);
            state.meter.merge_into(&self.shared.settings.name, current, &mut sheets);
        }
        let oldest =
            sheets.values().filter_map(|sheet| sheet.windows.front()).map(|(w, _)| *w).min();
        let first = known.map_or(oldest.unwrap_or(newest), |known| known + 1);
        let mut doc = self.lease.doc().clone();
        doc.count_write();
        let before = doc.sealed.len();
        for window in first.max(newest.saturating_sub(MAX_SEAL_BACKLOG))..=newest {
            let complete = {
                let state = self.shared.state();
                let hosts =
                    state.membership.live_names(now).chain([self.shared.settings.name.as_str()]);
                is_window_complete(&sheets, window, hosts)
            };
            if !complete && !self.is_report_due_soon(now, window) {
                break;
            }
            if !complete {
                log::warn!(target: "usage", window; "window sealed with incomplete usage sheets");
            }
            doc.seal(window, sum_counts(&sheets, window));
        }
        if doc.sealed.len() != before || doc.sealed.last() != self.lease.doc().sealed.last() {
            self.write_lease(doc).await;
        }
    }

    fn is_report_due_soon(&self, now: Time, window: u64) -> bool {
        let bounds = &self.shared.settings.bounds;
        let end = bounds.window * u32::try_from(window + 1).unwrap_or(u32::MAX);
        let due = end + bounds.report_due.saturating_sub(SEAL_MARGIN);
        self.shared.wall_clock().at(now) >= due
    }
}

/// Windows before the newest that a new lease holder still seals.
const MAX_SEAL_BACKLOG: u64 = 3;
