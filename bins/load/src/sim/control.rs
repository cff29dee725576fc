//! The simulated controller and the load reports that it plans from.

use std::time::Duration;

use chervilgate_policy::{Demand, Member, Role, State};

use crate::{
    scenario::{Scenario, engine_role},
    scheme::{PlanRoles, PlanTargets, Scheme},
    sim::{Happening, WAVES, World},
};

/// Interval at which the controller plans.
pub(super) const EVERY: Duration = Duration::from_secs(1);

/// Time window over which entries average demand.
pub(super) const WINDOW: Duration = Duration::from_secs(5);

/// Time from a drain order to the role change or return. By then the target update has reached
/// every entry.
pub(super) const DRAIN_NOTICE: Duration = Duration::from_millis(1_600);

/// Planners of the controller and the demand that it has received.
pub(super) struct Control {
    pub(super) roles: Box<dyn PlanRoles>,
    pub(super) spending: Option<Box<dyn PlanTargets>>,
    /// Demand received at the previous planning, all of it and the part that must not be
    /// repeated.
    heard: (Demand, Demand),
}

impl Control {
    pub(super) fn new(scheme: Scheme, scenario: &Scenario) -> Control {
        Control {
            roles: scheme.roles(),
            spending: scenario.spend.map(|spend| scheme.spending(spend)),
            heard: (Demand::default(), Demand::default()),
        }
    }
}

impl World<'_> {
    pub(super) fn sample(&mut self) {
        self.queue.push(self.now + self.scenario.every, Happening::Sample);
        if self.now < self.silent_until {
            return;
        }
        for engine in 0..self.units.len() {
            if self.units[engine].engine.is_down() {
                continue;
            }
            let (load, measured) = (self.units[engine].engine.load(), self.now);
            self.broadcast(self.lag, |wave| Happening::Report { engine, load, measured, wave });
        }
        for wave in 0..WAVES {
            self.check_wave(wave);
        }
    }

    pub(super) fn plan(&mut self) {
        self.queue.push(self.now + EVERY, Happening::Plan);
        let heard = self.sum_demand();
        let (demand, firm) = std::mem::replace(&mut self.control.heard, heard);
        self.plan_targets(demand, firm);
        let members: Vec<Member> = self.members();
        for change in self.control.roles.plan(self.now, demand, &members) {
            let engine = change.target.0 as usize;
            if self.units[engine].state != State::Serving {
                continue;
            }
            self.tally.role_changes += 1;
            self.set_state(engine, State::Draining);
            let at = self.now + DRAIN_NOTICE;
            self.queue.push(at, Happening::StartChange(engine, change.to));
        }
    }

    /// Total demand that the entries measure, and the part that must not be repeated.
    fn sum_demand(&mut self) -> (Demand, Demand) {
        let now = self.now;
        let mut sums =
            (Demand { at: now, ..Demand::default() }, Demand { at: now, ..Demand::default() });
        for entry in &mut self.entries {
            sums.0 += entry.meter.demand(now);
            sums.1 += entry.firm.demand(now);
        }
        sums
    }

    fn members(&self) -> Vec<Member> {
        let units = self.units.iter().enumerate();
        let present = units.filter(|(_, unit)| unit.state != State::Reclaimed);
        let member = present.map(|(index, unit)| {
            let (load, measured) = unit.seen;
            let busy = load.running + load.waiting + load.exporting;
            Member { target: unit.target(index, self.scenario), busy, measured }
        });
        member.collect()
    }

    pub(super) fn start_change(&mut self, engine: usize, role: Role) {
        if self.units[engine].state != State::Draining {
            return;
        }
        let ordered = self.units[engine].engine.change_role(self.now, engine_role(role));
        if ordered.is_ok() {
            self.units[engine].role = role;
            self.set_state(engine, State::Changing);
        }
        self.touch(engine);
    }
}
