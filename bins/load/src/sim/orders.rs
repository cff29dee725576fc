//! Orders and returns of targets in the simulation.

use std::time::Duration;

use chervilgate_policy::{
    Demand, ListedFleet, OfferedLoad, OrderAction, PaidTarget, PlannedOrder, Target, TargetState,
    Zone,
};

use crate::{
    scenario::{EnginePlacement, GAP_LIMIT, pricing_tier},
    sim::{
        SimEvent, Simulation,
        control::DRAIN_DELAY,
        engines::{FleetEngine, UPDATE_LAG},
    },
};

impl Simulation<'_> {
    pub(super) fn plan_targets(&mut self, demand: Demand, nonrepeatable: Demand) {
        let Some(mut planner) = self.control.target_planner.take() else { return };
        let work =
            OfferedLoad { total: self.load(demand), non_idempotent: self.load(nonrepeatable) };
        let targets = self.paid_targets();
        let paid: Vec<PaidTarget<'_>> =
            targets.iter().map(|(target, idle)| PaidTarget { target, idle: *idle }).collect();
        let zones: Vec<Zone> = (0..self.scenario.zones).map(Zone).collect();
        let fleet = ListedFleet { targets: &paid, zones: &zones };
        for order in planner.plan(self.now, work, fleet) {
            if !self.place_order(order) {
                planner.unavailable(self.now, order.zone, order.kind);
            }
        }
        self.control.target_planner = Some(planner);
    }

    /// Number of targets that `demand` keeps busy with steps as long as the gap limit.
    fn load(&self, demand: Demand) -> f64 {
        let profile = &self.scenario.profile;
        let limit = GAP_LIMIT.as_secs_f64();
        let useful = (limit - profile.mixed.base.as_secs_f64()) / limit;
        let prompt = demand.prompt_rate * profile.prefill_ns as f64 / 1e9;
        let output = demand.output_rate * profile.decode_ns as f64 / 1e9;
        (prompt + output) / useful
    }

    fn paid_targets(&self) -> Vec<(Target, Duration)> {
        let engines = self.engines.iter().enumerate();
        let paid = engines.filter(|(_, fleet_engine)| fleet_engine.state != TargetState::Reclaimed);
        let target = paid.map(|(index, fleet_engine)| {
            let busy = fleet_engine.engine.job_count() > 0;
            let idle = if busy { Duration::ZERO } else { self.now.since(fleet_engine.idle_since) };
            (fleet_engine.target(index, self.scenario), idle)
        });
        target.collect()
    }

    /// Places an order; returns false if the zone has no such target.
    fn place_order(&mut self, order: PlannedOrder) -> bool {
        match order.action {
            OrderAction::Order { count } => (0..count).all(|_| self.order_target(order)),
            OrderAction::Return { target } => {
                let engine = target.0 as usize;
                if self.engines[engine].state == TargetState::Serving {
                    self.set_state(engine, TargetState::Draining);
                    self.queue.push(self.now + DRAIN_DELAY, SimEvent::Return(engine));
                }
                true
            }
        }
    }

    fn order_target(&mut self, order: PlannedOrder) -> bool {
        let tier = pricing_tier(order.kind);
        let zone = order.zone.0;
        let ordered = self.supply.order(self.now, zone, tier, &self.scenario.profile);
        let Ok(ordered) = ordered else { return false };
        let engine = self.engines.len();
        self.engines.push(FleetEngine::ordered(
            self.scenario,
            EnginePlacement { zone, tier },
            ordered.id,
        ));
        self.queue.push(ordered.ready, SimEvent::Ready(engine));
        for entry in &mut self.entries {
            entry.known_targets.insert(engine as u32);
        }
        self.set_state(engine, TargetState::Starting);
        true
    }

    /// Returns a drained target to the platform once no job runs there.
    pub(super) fn return_target(&mut self, engine: usize) {
        let fleet_engine = &mut self.engines[engine];
        if fleet_engine.state != TargetState::Draining {
            return;
        }
        if fleet_engine.engine.job_count() > 0 {
            self.queue.push(self.now + UPDATE_LAG, SimEvent::Return(engine));
            return;
        }
        fleet_engine.engine.crash();
        let order_id = fleet_engine.order_id;
        self.supply.return_target(self.now, order_id);
        self.set_state(engine, TargetState::Reclaimed);
    }
}
