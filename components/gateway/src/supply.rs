//! How many targets of which kind a service orders in each zone.
//!
//! A reclaimable target costs a fraction of a steady one, but a whole zone of them
//! may go at two seconds' notice, with all that its caches held. So each zone keeps
//! some steady targets and is filled up to its limit with reclaimable ones; what
//! remains carries the load of a reclaimed zone. Steady targets beyond those kept are
//! returned once reclaimable ones serve in their place, and ordered again where none
//! are to be had and too few serve elsewhere.

use std::{collections::HashMap, sync::Arc, time::Duration};

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
    /// Reclaimable targets that are about to leave.
    leaving: u32,
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
    placed: HashMap<(String, String, bool), Placed>,
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
        let mut zones: Vec<&str> = scaling.zone_prices.keys().map(String::as_str).collect();
        zones.sort_unstable();
        let mut stock: HashMap<&str, Stock> =
            zones.iter().map(|&zone| (zone, Stock::default())).collect();
        let entries: Vec<&TargetEntry> =
            entries.filter(|entry| &*entry.service == service).collect();
        for entry in &entries {
            let Some(stock) = stock.get_mut(&*entry.zone) else { continue };
            match (entry.cheap, entry.draining) {
                (true, true) => stock.leaving += 1,
                (true, false) => stock.cheap += 1,
                (false, false) => stock.steady += 1,
                (false, true) => {}
            }
        }
        let cheap = scaling.cheap_price.is_some_and(|price| price <= CHEAP_ENOUGH);
        let used: Vec<&str> =
            zones.into_iter().filter(|zone| self.is_used(service, zone, &stock[zone])).collect();
        let mut orders = Vec::new();
        for zone in used.into_iter().filter(|_| cheap) {
            let have = stock[zone];
            let kept = ((f64::from(scaling.max) * STEADY_SHARE).ceil() as u32).max(scaling.min);
            let dry = have.cheap == 0 && self.is_refused(service, zone, true);
            let steady = if dry {
                kept.max((f64::from(scaling.max) * DRY_SHARE) as u32)
            } else if have.cheap >= have.steady.min(scaling.max - kept) {
                kept
            } else {
                have.steady
            };
            let wanted = scaling.max.saturating_sub(have.steady.max(steady));
            self.want(now, service, zone, true, wanted, have.cheap, &mut orders);
            if steady != have.steady || self.was_ordered(service, zone, false) {
                self.want(now, service, zone, false, steady, have.steady, &mut orders);
            }
        }
        orders
    }

    /// Notes that an order was refused or accepted.
    pub fn note(&mut self, order: &TargetOrder, accepted: bool) {
        let key = (order.service.clone(), order.zone.clone(), order.cheap);
        if let Some(placed) = self.placed.get_mut(&key) {
            placed.refused = !accepted;
        }
    }

    /// Whether the service runs in a zone, as far as can be seen.
    fn is_used(&self, service: &str, zone: &str, stock: &Stock) -> bool {
        *stock != Stock::default() || self.was_ordered(service, zone, true)
    }

    fn is_refused(&self, service: &str, zone: &str, cheap: bool) -> bool {
        let key = (service.to_owned(), zone.to_owned(), cheap);
        self.placed.get(&key).is_some_and(|placed| placed.refused)
    }

    fn was_ordered(&self, service: &str, zone: &str, cheap: bool) -> bool {
        self.placed.contains_key(&(service.to_owned(), zone.to_owned(), cheap))
    }

    fn want(
        &mut self,
        now: Time,
        service: &str,
        zone: &str,
        cheap: bool,
        wanted: u32,
        have: u32,
        orders: &mut Vec<TargetOrder>,
    ) {
        let key = (service.to_owned(), zone.to_owned(), cheap);
        let due = self.placed.get(&key).is_none_or(|placed| {
            placed.count != wanted || (have != wanted && now.since(placed.at) >= REPEAT)
        });
        if !due {
            return;
        }
        self.placed.insert(key, Placed { count: wanted, at: now, refused: false });
        orders.push(TargetOrder {
            id: String::new(),
            epoch: 0,
            zone: zone.to_owned(),
            service: service.to_owned(),
            count: wanted,
            cheap,
        });
    }
}

/// A service with how it is ordered.
pub(crate) type Scaled = (Arc<str>, Scaling);
