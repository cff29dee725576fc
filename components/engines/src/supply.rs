//! Ordering engines zone by zone, and what they cost.

use std::{collections::BTreeMap, time::Duration};

use chervilgate_clock::Time;

use crate::{Profile, WeightStore};

/// Whether the provider may take a target back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Tier {
    /// Kept until returned.
    Steady,
    /// Cheaper; a whole zone of them can be reclaimed.
    Cheap,
}

/// Price of a target, in cents an hour.
#[derive(Debug, Clone, Copy)]
pub struct Tariff {
    /// Price of a steady target.
    pub steady: u64,
    /// Price of a cheap target.
    pub cheap: u64,
}

impl Tariff {
    /// The price in `tier`, in cents an hour.
    pub fn price(&self, tier: Tier) -> u64 {
        match tier {
            Tier::Steady => self.steady,
            Tier::Cheap => self.cheap,
        }
    }
}

/// An accepted order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ordered {
    /// The target's number.
    pub id: u32,
    /// When its weights are loaded.
    pub ready: Time,
}

/// The zone has no target of that tier now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Unavailable;

#[derive(Debug, Clone, Copy)]
struct Rental {
    zone: u8,
    tier: Tier,
    since: Time,
    until: Option<Time>,
}

/// The provider's side of target orders.
#[derive(Debug, Clone)]
pub struct Supply {
    tariff: Tariff,
    store: WeightStore,
    rentals: Vec<Rental>,
    withheld: BTreeMap<u8, Time>,
}

impl Supply {
    /// A provider with `tariff` whose targets load weights from `store`.
    pub fn new(tariff: Tariff, store: WeightStore) -> Supply {
        Supply { tariff, store, rentals: Vec::new(), withheld: BTreeMap::new() }
    }

    /// Takes on a target that already runs at `now`.
    pub fn adopt(&mut self, now: Time, zone: u8, tier: Tier) -> u32 {
        self.rent(now, zone, tier)
    }

    /// Orders a target in `zone`; it is paid for from `now` on.
    ///
    /// # Errors
    ///
    /// [`Unavailable`] while cheap targets of the zone are withheld.
    pub fn order(
        &mut self,
        now: Time,
        zone: u8,
        tier: Tier,
        profile: &Profile,
    ) -> Result<Ordered, Unavailable> {
        if tier == Tier::Cheap && self.withheld.get(&zone).is_some_and(|until| now < *until) {
            return Err(Unavailable);
        }
        let ready = self.store.load(now + profile.boot, profile.weight_bytes);
        Ok(Ordered { id: self.rent(now, zone, tier), ready })
    }

    /// Returns a target; it costs nothing from `now` on.
    pub fn give_back(&mut self, now: Time, id: u32) {
        let Some(rental) = self.rentals.get_mut(id as usize) else { return };
        rental.until.get_or_insert(now);
    }

    /// Takes back every cheap target of `zone` and offers none there for `span`.
    pub fn reclaim(&mut self, now: Time, zone: u8, span: Duration) -> Vec<u32> {
        self.withheld.insert(zone, now + span);
        let mut taken = Vec::new();
        for (id, rental) in self.rentals.iter_mut().enumerate() {
            let held = rental.zone == zone && rental.tier == Tier::Cheap && rental.until.is_none();
            if held {
                rental.until = Some(now);
                taken.push(id as u32);
            }
        }
        taken
    }

    /// What all targets have cost by `now`, in cents.
    pub fn cost(&self, now: Time) -> f64 {
        let rentals = self.rentals.iter();
        rentals.map(|rental| self.rental_cost(rental, now)).sum()
    }

    fn rental_cost(&self, rental: &Rental, now: Time) -> f64 {
        let until = rental.until.unwrap_or(now).min(now);
        let hours = until.since(rental.since).as_secs_f64() / 3_600.0;
        hours * self.tariff.price(rental.tier) as f64
    }

    fn rent(&mut self, since: Time, zone: u8, tier: Tier) -> u32 {
        self.rentals.push(Rental { zone, tier, since, until: None });
        (self.rentals.len() - 1) as u32
    }
}
