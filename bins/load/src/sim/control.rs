//! The simulated controller and the load reports that it plans from.

use std::time::Duration;

use chervilgate_policy::{Demand, EngineStatus, Role, TargetState};

use crate::{
    scenario::{Scenario, engine_role},
    scheme::{PlanRoles, PlanTargets, Scheme},
    sim::{BROADCAST_GROUPS, SimEvent, Simulation},
};

/// Interval at which the controller plans.
pub(super) const PLAN_INTERVAL: Duration = Duration::from_secs(1);

/// Time window over which entries average demand.
pub(super) const DEMAND_WINDOW: Duration = Duration::from_secs(5);

/// Time from a drain order to the role change or return. By then the target update has reached
/// every entry.
pub(super) const DRAIN_DELAY: Duration = Duration::from_millis(1_600);

/// Planners of the controller and the demand that it has received.
pub(super) struct Controller {
    pub(super) role_planner: Box<dyn PlanRoles>,
    pub(super) target_planner: Option<Box<dyn PlanTargets>>,
    /// Demand received at the previous planning, all of it and the part that must not be
    /// repeated.
    last_demand: (Demand, Demand),
}

impl Controller {
    pub(super) fn new(scheme: Scheme, scenario: &Scenario) -> Controller {
        Controller {
            role_planner: scheme.role_planner(),
            target_planner: scenario.spending.map(|spending| scheme.target_planner(spending)),
            last_demand: (Demand::default(), Demand::default()),
        }
    }
}

impl Simulation<'_> {
    pub(super) fn report_loads(&mut self) {
        self.queue.push(self.now + self.scenario.report_interval, SimEvent::ReportLoads);
        if self.now < self.reports_paused_until {
            return;
        }
        for engine in 0..self.engines.len() {
            if self.engines[engine].engine.is_down() {
                continue;
            }
            let (load, measured) = (self.engines[engine].engine.load(), self.now);
            self.broadcast(self.report_lag, |group| SimEvent::Report {
                engine,
                load,
                measured,
                group,
            });
        }
        for group in 0..BROADCAST_GROUPS {
            self.poll_group(group);
        }
    }

    pub(super) fn plan(&mut self) {
        self.queue.push(self.now + PLAN_INTERVAL, SimEvent::Plan);
        let new_demand = self.sum_demand();
        let (demand, nonrepeatable) = std::mem::replace(&mut self.control.last_demand, new_demand);
        self.plan_targets(demand, nonrepeatable);
        let members: Vec<EngineStatus> = self.members();
        for change in self.control.role_planner.plan(self.now, demand, &members) {
            let engine = change.target.0 as usize;
            if self.engines[engine].state != TargetState::Serving {
                continue;
            }
            self.stats.role_changes += 1;
            self.set_state(engine, TargetState::Draining);
            let at = self.now + DRAIN_DELAY;
            self.queue.push(at, SimEvent::ChangeRole(engine, change.to));
        }
    }

    /// Total demand that the entries measure, and the part that must not be repeated.
    fn sum_demand(&mut self) -> (Demand, Demand) {
        let now = self.now;
        let mut sums = (
            Demand { measured_at: now, ..Demand::default() },
            Demand { measured_at: now, ..Demand::default() },
        );
        for entry in &mut self.entries {
            sums.0 += entry.meter.demand(now);
            sums.1 += entry.nonrepeatable_meter.demand(now);
        }
        sums
    }

    fn members(&self) -> Vec<EngineStatus> {
        let engines = self.engines.iter().enumerate();
        let present =
            engines.filter(|(_, fleet_engine)| fleet_engine.state != TargetState::Reclaimed);
        let member = present.map(|(index, fleet_engine)| {
            let (load, measured_at) = fleet_engine.last_report;
            let active_seqs = load.running + load.waiting + load.exporting;
            EngineStatus {
                target: fleet_engine.target(index, self.scenario),
                active_seqs,
                measured_at,
            }
        });
        member.collect()
    }

    pub(super) fn start_role_change(&mut self, engine: usize, role: Role) {
        if self.engines[engine].state != TargetState::Draining {
            return;
        }
        let ordered = self.engines[engine].engine.change_role(self.now, engine_role(role));
        if ordered.is_ok() {
            self.engines[engine].role = role;
            self.set_state(engine, TargetState::Changing);
        }
        self.schedule_wake(engine);
    }
}
