//! How many targets of which kind a service orders in each zone.
//!
//! A reclaimable target costs a fraction of a steady one, but a whole zone of them
//! may go at two seconds' notice, with all that its caches held. So each zone keeps
//! some steady targets and is filled up to its limit with reclaimable ones; what
//! remains carries the load of a reclaimed zone. Steady targets beyond those kept are
//! returned once reclaimable ones serve in their place, and ordered again where none
//! are to be had and too few serve elsewhere.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use chervilgate_clients::TargetOrder;
use chervilgate_clock::Time;

use crate::{config::Scaling, fleet::TargetEntry};

/// Time after which an order that has not had its effect is placed again.
const REPEAT: Duration = Duration::from_secs(3);

/// Share of a zone's limit that is steady while no reclaimable target is to be had.
const DRY_SHARE: f64 = 0.5;

/// Share of a zone's limit that is steady: with it, what two reclaimed zones leave is
/// what the users' sheets start with.
const STEADY_SHARE: f64 = 0.3;

/// Highest price of a reclaimable target, against a steady one, at which it is
/// preferred.
const CHEAP_ENOUGH: f64 = 0.7;

/// What one zone has of a service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Stock {
    steady: u32,
    cheap: u32,
}

/// What an order is for.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Subject {
    service: String,
    zone: String,
    cheap: bool,
}

#[derive(Debug, Clone, Copy)]
struct Placed {
    count: u32,
    at: Time,
    refused: bool,
}

/// Orders of one process that holds the duty.
#[derive(Debug, Default)]
pub struct Supply {
    placed: HashMap<Subject, Placed>,
}

impl Supply {
    /// Nothing ordered yet.
    pub fn new() -> Supply {
        Supply::default()
    }

    /// The orders to place now for one service.
    pub fn plan<'a>(
        &mut self,
        now: Time,
        service: &str,
        scaling: &Scaling,
        entries: impl Iterator<Item = &'a TargetEntry>,
    ) -> Vec<TargetOrder> {
        if scaling.cheap_price.is_none_or(|price| price > CHEAP_ENOUGH) {
            return Vec::new();
        }
        let mut orders = Vec::new();
        for (zone, have) in stock(service, scaling, entries) {
            let cheap = Subject { service: service.to_owned(), zone: zone.to_owned(), cheap: true };
            let steady = Subject { cheap: false, ..cheap.clone() };
            if have == Stock::default() && !self.placed.contains_key(&cheap) {
                // The service does not run in this zone.
                continue;
            }
            let kept = self.steady(scaling, &have, &cheap);
            let wanted = scaling.max.saturating_sub(have.steady.max(kept));
            orders.extend(self.want(now, cheap, wanted, have.cheap));
            if kept != have.steady || self.placed.contains_key(&steady) {
                orders.extend(self.want(now, steady, kept, have.steady));
            }
        }
        orders
    }

    /// Notes that an order was refused or accepted.
    pub fn note(&mut self, order: &TargetOrder, accepted: bool) {
        let TargetOrder { service, zone, cheap, .. } = order;
        let subject = Subject { service: service.clone(), zone: zone.clone(), cheap: *cheap };
        if let Some(placed) = self.placed.get_mut(&subject) {
            placed.refused = !accepted;
        }
    }

    /// Steady targets that a zone is to have.
    fn steady(&self, scaling: &Scaling, have: &Stock, cheap: &Subject) -> u32 {
        let share = |share: f64| (f64::from(scaling.max) * share).ceil() as u32;
        let kept = share(STEADY_SHARE).max(scaling.min).max(1);
        let refused = self.placed.get(cheap).is_some_and(|placed| placed.refused);
        if have.cheap == 0 && refused {
            return kept.max(share(DRY_SHARE));
        }
        if have.cheap >= have.steady.min(scaling.max.saturating_sub(kept)) {
            return kept;
        }
        have.steady
    }

    /// The order to place for `subject`, if one is due.
    fn want(&mut self, now: Time, subject: Subject, wanted: u32, have: u32) -> Option<TargetOrder> {
        let due = self.placed.get(&subject).is_none_or(|placed| {
            placed.count != wanted || (have != wanted && now.since(placed.at) >= REPEAT)
        });
        if !due {
            return None;
        }
        let order = TargetOrder {
            id: String::new(),
            epoch: 0,
            zone: subject.zone.clone(),
            service: subject.service.clone(),
            count: wanted,
            cheap: subject.cheap,
        };
        self.placed.insert(subject, Placed { count: wanted, at: now, refused: false });
        Some(order)
    }
}

/// What each zone has of `service`, in order of the zones' names.
fn stock<'a, 'b>(
    service: &str,
    scaling: &'b Scaling,
    entries: impl Iterator<Item = &'a TargetEntry>,
) -> BTreeMap<&'b str, Stock> {
    let zones = scaling.zone_prices.keys().map(|zone| (zone.as_str(), Stock::default()));
    let mut stock: BTreeMap<&str, Stock> = zones.collect();
    for entry in entries.filter(|entry| &*entry.service == service && !entry.draining) {
        let Some(stock) = stock.get_mut(&*entry.zone) else { continue };
        if entry.cheap {
            stock.cheap += 1;
        } else {
            stock.steady += 1;
        }
    }
    stock
}

/// A service with how it is ordered.
pub(crate) type Scaled = (Arc<str>, Scaling);
