//! A platform that carries out target orders, without a network.

use std::{collections::BTreeMap, time::Duration};

use chervilgate_clients::TargetOrder;
use chervilgate_clock::Time;
use chervilgate_gateway::{
    config::Scaling,
    fleet::{Build, TargetEntry, TargetRole},
    planner::{OrderPlanner, ServiceDemand},
};
use chervilgate_policy::demand::{EngineSpecs, PlannedDemand, Work};

pub(crate) const ZONES: [(&str, f64); 3] = [("a", 1.0), ("b", 0.8), ("c", 1.25)];

pub(crate) const MAX_TARGETS: u32 = 60;

pub(crate) fn scaling() -> Scaling {
    Scaling {
        min_targets: 1,
        max_targets: MAX_TARGETS,
        boot_time: Duration::from_secs(4),
        reclaimable_price: Some(0.22),
        zone_prices: ZONES.iter().map(|(zone, price)| ((*zone).to_owned(), *price)).collect(),
    }
}

pub(crate) fn entry(n: u32, zone: &str, reclaimable: bool, role: TargetRole) -> TargetEntry {
    TargetEntry {
        id: format!("{zone}{n}").into(),
        service: "llm".into(),
        addr: "10.0.0.1:80".parse().unwrap(),
        zone: zone.into(),
        slots: 32,
        draining: false,
        role,
        build: Build::default(),
        incarnation: 1,
        sequence: 0,
        reclaimable,
    }
}

/// Demand that keeps this many of all engines busy, of which a third are prefill engines.
pub(crate) fn demand(mean: f64, largest: f64) -> ServiceDemand {
    let work = |busy: f64| Work {
        prefill_ms: busy * 1e3 * 0.35,
        decode_ms: busy * 1e3 * 0.65,
        prompts: 200.0,
        ..Work::default()
    };
    let engine = EngineSpecs {
        prefill_factor: 1.0,
        decode_factor: 1.0,
        prefill_share: 0.35,
        slots: 32,
        kv_tokens: 970_477,
        latency_target: Duration::from_millis(250),
    };
    let demand =
        PlannedDemand { mean: work(mean), largest: work(largest), span: Duration::from_secs(60) };
    ServiceDemand {
        demand: Some(demand),
        engine,
        is_waiting: false,
        may_return: true,
        exchange_doubt: None,
    }
}

/// A platform that carries out orders: targets start after the boot time, and leave at once.
pub(crate) struct Platform {
    pub(crate) planner: OrderPlanner,
    pub(crate) now: u64,
    /// Targets by zone and kind, with those that are starting.
    pub(crate) targets: BTreeMap<(&'static str, bool), Vec<u64>>,
    /// Zone in which no reclaimable targets are available.
    pub(crate) unavailable: Option<&'static str>,
    pub(crate) scaling: Scaling,
    /// Number of reclaimable targets of a zone above which orders are refused.
    pub(crate) available: usize,
    /// Time in milliseconds for which on-demand targets that have left are still listed.
    pub(crate) list_lag: u64,
    /// On-demand targets that have left and are listed, by zone, and until when.
    left: Vec<(&'static str, u64)>,
    pub(crate) next: u32,
    pub(crate) orders: usize,
}

impl Platform {
    pub(crate) fn new(on_demand: usize, reclaimable: usize) -> Platform {
        let kinds = [(false, on_demand), (true, reclaimable)];
        let targets = ZONES
            .iter()
            .flat_map(|(zone, _)| kinds.map(|(kind, count)| ((*zone, kind), vec![0; count])));
        Platform {
            planner: OrderPlanner::new(),
            now: 100_000,
            targets: targets.collect(),
            unavailable: None,
            scaling: scaling(),
            available: usize::MAX,
            list_lag: 0,
            left: Vec::new(),
            next: 0,
            orders: 0,
        }
    }

    /// A platform with the targets and the limit of one zone.
    pub(crate) fn single_zone(on_demand: usize) -> Platform {
        let mut platform = Platform::new(on_demand, 0);
        platform.scaling.zone_prices.retain(|zone, _| zone == "a");
        platform.targets.iter_mut().for_each(|(key, targets)| {
            if key.0 != "a" {
                targets.clear();
            }
        });
        platform
    }

    pub(crate) fn serving(&self, zone: &'static str, reclaimable: bool) -> u32 {
        let ready = self.targets[&(zone, reclaimable)].iter().filter(|ready| **ready <= self.now);
        ready.count() as u32
    }

    pub(crate) fn total(&self) -> u32 {
        let zones = ZONES.iter().map(|(zone, _)| *zone);
        zones.map(|zone| self.serving(zone, false) + self.serving(zone, true)).sum()
    }

    /// Number of targets that serve or are starting.
    pub(crate) fn ordered(&self) -> usize {
        self.targets.values().map(Vec::len).sum()
    }

    /// Number of targets wanted in all zones.
    pub(crate) fn wanted(&self) -> u32 {
        self.planner.goals().map(|(_, _, goal)| goal.on_demand + goal.reclaimable).sum()
    }

    pub(crate) fn step(&mut self, demand: &ServiceDemand) -> Vec<TargetOrder> {
        self.step_if_known(Some(demand))
    }

    pub(crate) fn step_if_known(&mut self, demand: Option<&ServiceDemand>) -> Vec<TargetOrder> {
        self.now += 500;
        let mut entries = Vec::new();
        for (zone, _) in ZONES {
            for reclaimable in [false, true] {
                let left = self.left.iter().filter(|(of, until)| *of == zone && *until > self.now);
                let left = if reclaimable { 0 } else { left.count() as u32 };
                for _ in 0..self.serving(zone, reclaimable) + left {
                    self.next += 1;
                    entries.push(entry(self.next, zone, reclaimable, TargetRole::Decode));
                }
            }
        }
        let now = Time::from_millis(self.now);
        let (scaling, entries) = (self.scaling.clone(), entries.iter());
        let orders = match demand {
            Some(demand) => self.planner.plan_for_demand(now, "llm", &scaling, entries, demand),
            None => self.planner.plan(now, "llm", &scaling, entries),
        };
        for order in &orders {
            let zone = ZONES.iter().find(|(zone, _)| *zone == order.zone).unwrap().0;
            let is_available =
                self.unavailable != Some(zone) && order.count as usize <= self.available;
            let accepted = !order.cheap || is_available;
            if accepted {
                let targets = self.targets.get_mut(&(zone, order.cheap)).unwrap();
                let leaving = targets.len().saturating_sub(order.count as usize);
                if !order.cheap {
                    self.left.extend(vec![(zone, self.now + self.list_lag); leaving]);
                }
                targets.resize(order.count as usize, self.now + 4_000);
            }
            self.planner.record_result(order, accepted);
        }
        self.orders += orders.len();
        orders
    }

    pub(crate) fn run(&mut self, secs: u64, demand: &ServiceDemand) {
        (0..secs * 2).for_each(|_| {
            self.step(demand);
        });
    }

    pub(crate) fn reclaim(&mut self, zone: &'static str) {
        self.targets.get_mut(&(zone, true)).unwrap().clear();
    }
}
