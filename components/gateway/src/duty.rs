//! Usage sheets, and the duties that one host at a time performs.

use std::{collections::HashMap, sync::Arc, time::Duration};

use chervilgate_clients::{TargetOrder, TargetOrders, WindowReport, WindowReports};
use chervilgate_clock::Time;
use chervilgate_coord::{Expect, Object, StoreCall, StoreReply, Version};
use tokio::time::sleep;

use crate::{
    lease::{Lease, LeaseDoc, is_deputy},
    state::Shared,
    supply::{Scaled, Supply},
    usage::{Sheet, is_complete, sum},
    watch::own,
};

/// Start of the keys of hosts' usage sheets.
const SHEETS: &str = "usage/";

/// The lease object.
const LEASE: &str = "duty/lease";

/// Time between two writes of a host's sheet, for each host, while no holder hears its
/// counts: what a killed host loses of them has to stay within the tolerance of a report,
/// and its part of the counts is smaller the more hosts there are.
const SHEET_PACE: Duration = Duration::from_millis(100);

/// Bounds of the time between two writes of a host's sheet.
const SHEET_PACES: (Duration, Duration) =
    (Duration::from_millis(900), Duration::from_millis(2_500));

/// Time between two steps of the holder.
const HOLDER_PACE: Duration = Duration::from_millis(500);

/// Time between two looks of a deputy.
const DEPUTY_PACE: Duration = Duration::from_secs(1);

/// Time between two looks of the other hosts, which learn from them who the holder is.
const OTHERS_PACE: Duration = Duration::from_secs(8);

/// Time from a window's end until it may be sealed.
const SEAL_DELAY: Duration = Duration::from_millis(1_200);

/// Time before a report is due at which a window is sealed although sheets are not
/// complete.
const SEAL_MARGIN: Duration = Duration::from_millis(1_800);

/// Time allowed for a report.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest random delay of a challenger.
const CHALLENGE_SPREAD: Duration = Duration::from_millis(800);

/// Writes an object whose version was last known as `version`, and takes over the
/// version that it has then. Returns whether `value` is known to be written.
///
/// A lost answer is followed by a read, so that the next write names the version that
/// the object has.
pub(crate) async fn put(
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

/// Writes this host's usage sheet whenever it has changed.
pub(crate) async fn keep_sheet(shared: Arc<Shared>) {
    let key = format!("{SHEETS}{}", shared.settings.name);
    let mut version = loop {
        match shared.store.call(&StoreCall::Get { key: key.clone() }).await {
            StoreReply::Found(object) => {
                break object.map(|object| take_over(&shared, &object));
            }
            _ => sleep(SHEET_PACES.0).await,
        }
    };
    loop {
        let hosts = shared.state().members.count() as u32;
        let pace = match shared.holder(shared.now()) {
            Some(_) => shared.settings.bounds.window,
            None => (SHEET_PACE * hosts).clamp(SHEET_PACES.0, SHEET_PACES.1),
        };
        sleep(pace).await;
        let window = shared.time().window(shared.now(), shared.settings.bounds.window);
        let value = shared.state().meter.changed(window).map(serde_json::to_vec);
        let Some(Ok(value)) = value else { continue };
        let expect = version.map_or(Expect::Absent, Expect::At);
        let call = StoreCall::Put { key: key.clone(), expect, value };
        match shared.store.call(&call).await {
            StoreReply::Written(written) => version = Some(written),
            StoreReply::Conflict(object) => {
                version = object.map(|object| take_over(&shared, &object));
                shared.state().meter.keep_changed();
            }
            reply => {
                log::info!(target: "usage", reply:?; "sheet not written");
                shared.state().meter.keep_changed();
            }
        }
    }
}

/// Adds what an earlier process of this host counted; returns the sheet's version.
fn take_over(shared: &Shared, object: &Object) -> Version {
    if let Some((_, sheet)) = own::<Sheet>(std::slice::from_ref(object)).first() {
        shared.state().meter.take_over(sheet);
    }
    object.version
}

/// The duties of one host at a time.
pub(crate) struct Duties {
    pub(crate) shared: Arc<Shared>,
    pub(crate) reports: Arc<dyn WindowReports>,
    pub(crate) orders: Arc<dyn TargetOrders>,
    lease: Lease,
    supply: Supply,
    /// Whether the store did not take the last write of the lease.
    failed: bool,
}

impl Duties {
    /// Not in charge.
    pub(crate) fn new(
        shared: Arc<Shared>,
        reports: Arc<dyn WindowReports>,
        orders: Arc<dyn TargetOrders>,
    ) -> Duties {
        let lease = Lease::new(&shared.settings.name, shared.boot, shared.settings.bounds.lease);
        Duties { shared, reports, orders, lease, supply: Supply::new(), failed: false }
    }

    /// Stands for the lease, and performs the duties while it is held.
    pub(crate) async fn run(mut self) {
        loop {
            let delay = CHALLENGE_SPREAD.mul_f64(rand::random());
            self.step(delay).await;
            self.shared.state().in_charge = self.lease.is_holder();
            sleep(self.pace()).await;
        }
    }

    fn pace(&self) -> Duration {
        if self.lease.is_holder() {
            return if self.failed { DEPUTY_PACE } else { HOLDER_PACE };
        }
        let now = self.shared.now();
        let state = self.shared.state();
        let holder = &self.lease.doc().holder;
        if is_deputy(holder, &self.shared.settings.name, state.members.names(now)) {
            DEPUTY_PACE
        } else {
            OTHERS_PACE
        }
    }

    async fn step(&mut self, delay: Duration) {
        if !self.lease.is_holder() && !self.look().await {
            // Nothing can be taken while the store does not answer.
            return;
        }
        let now = self.shared.now();
        if self.shared.state().leaving {
            return self.release().await;
        }
        if self.lease.may_act(now) {
            self.report(now).await;
            self.order_targets().await;
        } else if !self.lease.is_holder() {
            self.supply = Supply::new();
        }
        if let Some(doc) = self.lease.due(self.shared.now(), delay) {
            self.write(doc).await;
        }
    }

    /// Reads the lease; a lagging read only makes a challenger wait longer.
    ///
    /// Returns whether the store answered.
    async fn look(&mut self) -> bool {
        let StoreReply::Found(object) = self.shared.store.get_lagging(LEASE).await else {
            return false;
        };
        if let Some(object) = object {
            self.observe(&object);
        }
        true
    }

    fn observe(&mut self, object: &Object) {
        if let Some((_, doc)) = own::<LeaseDoc>(std::slice::from_ref(object)).pop() {
            self.lease.observe(self.shared.now(), object.version, doc);
        }
    }

    async fn write(&mut self, doc: LeaseDoc) -> bool {
        let Ok(value) = serde_json::to_vec(&doc) else { return false };
        let expect = self.lease.version().map_or(Expect::Absent, Expect::At);
        let sent = self.shared.now();
        let call = StoreCall::Put { key: LEASE.to_owned(), expect, value };
        let reply = self.shared.store.call(&call).await;
        self.failed = matches!(reply, StoreReply::Refused | StoreReply::Unknown);
        match reply {
            StoreReply::Written(version) => {
                let taken = !self.lease.is_holder();
                let epoch = doc.epoch;
                self.lease.written(self.shared.now(), sent, version, doc);
                if taken {
                    log::info!(target: "duty", epoch; "lease taken");
                }
                true
            }
            StoreReply::Conflict(Some(object)) => {
                self.observe(&object);
                false
            }
            StoreReply::Refused => {
                log::info!(target: "duty", "lease not written: the store refused");
                false
            }
            reply => {
                log::info!(target: "duty", reply:?; "lease not written");
                let get = StoreCall::Get { key: LEASE.to_owned() };
                if let StoreReply::Found(Some(object)) = self.shared.store.call(&get).await {
                    self.observe(&object);
                }
                false
            }
        }
    }

    async fn release(&mut self) {
        if !self.lease.is_holder() {
            return;
        }
        let doc = LeaseDoc { released: true, ..self.lease.doc().clone() };
        if self.write(doc).await {
            log::info!(target: "duty", "lease released");
        }
    }

    /// Seals the windows that have ended, and reports those that are sealed.
    async fn report(&mut self, now: Time) {
        let length = self.shared.settings.bounds.window;
        let current = self.shared.time().window(now, length);
        let into = (self.shared.time().at(now).as_micros() % length.as_micros().max(1)) as u64;
        // The last window that ended at least the delay ago.
        let late = Duration::from_micros(into) < SEAL_DELAY;
        let newest = current.saturating_sub(1 + u64::from(late));
        let known = self.lease.doc().sealed.last().map(|sealed| sealed.window);
        if known.is_none_or(|known| known < newest) {
            self.seal(now, known, newest).await;
        }
        let waiting: Vec<_> =
            self.lease.doc().sealed.iter().filter(|sealed| !sealed.reported).cloned().collect();
        for sealed in waiting {
            if !self.lease.may_act(self.shared.now()) {
                return;
            }
            let window = sealed.window;
            let report =
                WindowReport { window, epoch: self.lease.doc().epoch, counts: sealed.counts };
            let sent = tokio::time::timeout(REPORT_TIMEOUT, self.reports.report(&report)).await;
            match sent {
                Ok(Ok(())) => self.note_reported(window).await,
                Ok(Err(error)) => {
                    log::warn!(target: "usage", window, error:%; "window not reported");
                    return;
                }
                Err(_) => {
                    log::warn!(target: "usage", window; "no answer to a report in time");
                    return;
                }
            }
        }
    }

    /// Orders targets for the services that are ordered.
    async fn order_targets(&mut self) {
        let now = self.shared.now();
        let orders = {
            let state = self.shared.state();
            let Some(config) = state.view.config().cloned() else { return };
            let scaled = config
                .services
                .iter()
                .filter_map(|(name, service)| Some((name.clone(), service.scaling.clone()?)));
            let scaled: Vec<Scaled> = scaled.collect();
            let mut orders = Vec::new();
            for (service, scaling) in &scaled {
                let entries = state.fleet.entries();
                orders.extend(self.supply.plan(now, service, scaling, entries));
            }
            orders
        };
        for order in orders {
            if !self.lease.may_act(self.shared.now()) {
                return;
            }
            self.place_order(order).await;
        }
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
        self.supply.note(&order, result.is_ok());
    }

    async fn note_reported(&mut self, window: u64) {
        log::info!(target: "usage", window; "window reported");
        self.shared.metrics.count_window();
        let mut doc = self.lease.doc().clone();
        doc.beat += 1;
        for sealed in doc.sealed.iter_mut().filter(|sealed| sealed.window == window) {
            sealed.reported = true;
        }
        // A repeat of the same figures is harmless, so a failed write is too.
        self.write(doc).await;
    }

    /// Makes the counts of the windows after `known` up to `newest` final, as far as
    /// they are complete or their reports are nearly due.
    async fn seal(&mut self, now: Time, known: Option<u64>, newest: u64) {
        let list = StoreCall::List { prefix: SHEETS.to_owned() };
        let StoreReply::Listed { objects, .. } = self.shared.store.call(&list).await else {
            return;
        };
        let named = own::<Sheet>(&objects).into_iter().map(|(object, sheet)| {
            let name = object.key.strip_prefix(SHEETS).unwrap_or(&object.key);
            (name.to_owned(), sheet)
        });
        let mut sheets: HashMap<String, Sheet> = named.collect();
        {
            let current = self.shared.time().window(now, self.shared.settings.bounds.window);
            let state = self.shared.state();
            state.told_sheets.add_to(&mut sheets);
            state.meter.add_to(&self.shared.settings.name, current, &mut sheets);
        }
        let oldest =
            sheets.values().filter_map(|sheet| sheet.windows.front()).map(|(w, _)| *w).min();
        let first = known.map_or(oldest.unwrap_or(newest), |known| known + 1);
        let mut doc = self.lease.doc().clone();
        doc.beat += 1;
        let before = doc.sealed.len();
        for window in first.max(newest.saturating_sub(SEALED_BACK))..=newest {
            let complete = {
                let state = self.shared.state();
                let hosts = state.members.names(now).chain([self.shared.settings.name.as_str()]);
                is_complete(&sheets, window, hosts)
            };
            if !complete && !self.is_nearly_due(now, window) {
                break;
            }
            if !complete {
                log::warn!(target: "usage", window; "sealed without all sheets");
            }
            doc.seal(window, sum(&sheets, window));
        }
        if doc.sealed.len() != before || doc.sealed.last() != self.lease.doc().sealed.last() {
            self.write(doc).await;
        }
    }

    fn is_nearly_due(&self, now: Time, window: u64) -> bool {
        let bounds = &self.shared.settings.bounds;
        let end = bounds.window * u32::try_from(window + 1).unwrap_or(u32::MAX);
        let due = end + bounds.report_due.saturating_sub(SEAL_MARGIN);
        self.shared.time().at(now) >= due
    }
}

/// Windows before the newest that are still sealed by a new holder.
const SEALED_BACK: u64 = 3;
