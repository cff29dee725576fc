//! The controller's side of the simulation.

use std::{collections::VecDeque, time::Duration};

use chervilgate_clock::Time;
use chervilgate_policy::{Demand, Member, Request, Role, Route, State};

use crate::{
    scenario::{Scenario, engine_role},
    scheme::{PlanRoles, Scheme},
    sim::{Happening, WAVES, World, engines::VIEW_LAG},
};

/// Time between two decisions.
pub(super) const EVERY: Duration = Duration::from_secs(1);

/// Seconds over which demand is averaged.
const WINDOW: usize = 5;

/// Time from a drain order to the role change: every entry knows of it by then.
const DRAIN_NOTICE: Duration = Duration::from_millis(1_600);

/// Work offered in one second.
#[derive(Debug, Clone, Copy, Default)]
struct Offered {
    prompt: f64,
    cached: f64,
    output: f64,
}

/// The controller and what it measures.
pub(super) struct Control {
    roles: Box<dyn PlanRoles>,
    offered: VecDeque<Offered>,
}

impl Control {
    pub(super) fn new(scheme: Scheme, _scenario: &Scenario) -> Control {
        Control { roles: scheme.roles(), offered: VecDeque::from([Offered::default()]) }
    }

    pub(super) fn note_offer(&mut self, _now: Time, request: &Request) {
        let Some(present) = self.offered.back_mut() else { return };
        present.prompt += f64::from(request.prompt);
        present.output += f64::from(request.output);
    }

    pub(super) fn note_route(&mut self, _now: Time, route: &Route) {
        let Some(present) = self.offered.back_mut() else { return };
        present.cached += f64::from(route.cached);
    }

    /// Mean demand of the last full seconds.
    fn demand(&mut self, now: Time) -> Demand {
        let seconds = self.offered.len().min(WINDOW) as f64;
        let sum =
            self.offered.iter().rev().take(WINDOW).fold(Offered::default(), |sum, one| Offered {
                prompt: sum.prompt + one.prompt,
                cached: sum.cached + one.cached,
                output: sum.output + one.output,
            });
        self.offered.push_back(Offered::default());
        if self.offered.len() > WINDOW + 1 {
            self.offered.pop_front();
        }
        let prompt = (sum.prompt - sum.cached).max(0.0) / seconds;
        Demand { at: now, prompt, output: sum.output / seconds }
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
        let demand = self.control.demand(self.now);
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

    pub(super) fn return_target(&mut self, engine: usize) {
        let unit = &mut self.units[engine];
        if unit.state != State::Draining {
            return;
        }
        if unit.engine.jobs() > 0 {
            self.queue.push(self.now + VIEW_LAG, Happening::Return(engine));
            return;
        }
        unit.engine.crash();
        let rental = unit.rental;
        self.supply.give_back(self.now, rental);
        self.set_state(engine, State::Reclaimed);
    }
}
