use proptest::{collection::vec, prelude::*};

use super::*;
use crate::{PricingClass, TargetSpecs, Zone};

fn member(id: u32, role: Role) -> EngineStatus {
    let target = Target {
        id: TargetId(id),
        role,
        zone: Zone((id % 3) as u8),
        kind: PricingClass::Steady,
        state: TargetState::Serving,
        specs: TargetSpecs::default(),
    };
    EngineStatus { target, active_seqs: id, measured_at: Time::ZERO }
}

fn fleet(prefill: u32, decode: u32, mixed: u32) -> Vec<EngineStatus> {
    let roles = std::iter::repeat_n(Role::Prefill, prefill as usize)
        .chain(std::iter::repeat_n(Role::Decode, decode as usize))
        .chain(std::iter::repeat_n(Role::Mixed, mixed as usize));
    (0u32..).zip(roles).map(|(id, role)| member(id, role)).collect()
}

fn demand(prompt_rate: f64, output_rate: f64) -> Demand {
    Demand { measured_at: Time::ZERO, prompt_rate, output_rate }
}

fn planner() -> RolePlanner {
    RolePlanner::new(RoleSettings::default())
}

/// Plans once per second with fresh measurements and returns all role changes.
fn plan(
    planner: &mut RolePlanner,
    demand: Demand,
    members: &mut [EngineStatus],
    secs: std::ops::Range<u64>,
) -> Vec<RoleChange> {
    let mut all = Vec::new();
    for sec in secs {
        let now = Time::from_secs(sec);
        members.iter_mut().for_each(|member| member.measured_at = now);
        let changes = planner.plan_roles(now, Demand { measured_at: now, ..demand }, members);
        for change in &changes {
            let moved = members.iter_mut().find(|member| member.target.id == change.target);
            moved.unwrap().target.role = change.to;
        }
        all.extend(changes);
    }
    all
}

#[test]
fn changes_nothing_if_the_fleet_can_serve_the_demand() {
    let mut members = fleet(4, 8, 0);

    let changes = plan(&mut planner(), demand(20_000.0, 6_000.0), &mut members, 0..300);

    assert!(changes.is_empty(), "{changes:?}");
}

#[test]
fn moves_idle_prefill_engines_to_decode() {
    let mut members = fleet(6, 6, 0);

    let changes = plan(&mut planner(), demand(8_000.0, 12_000.0), &mut members, 0..120);

    assert!(!changes.is_empty());
    assert!(changes.iter().all(|change| change.from == Role::Prefill));
    assert!(changes.iter().any(|change| change.to == Role::Decode));
}

#[test]
fn moves_decode_engines_to_prefill_for_long_prompts() {
    let mut members = fleet(1, 11, 0);

    let changes = plan(&mut planner(), demand(60_000.0, 1_000.0), &mut members, 0..120);

    assert!(!changes.is_empty());
    assert!(changes.iter().all(|change| change.to == Role::Prefill));
}

#[test]
fn stops_changing_roles_while_demand_alternates() {
    let (mut planner, mut members) = (planner(), fleet(6, 6, 0));
    let (mut early, mut late) = (Vec::new(), Vec::new());

    for cycle in 0..60 {
        let start = cycle * 14;
        let changes = if cycle < 20 { &mut early } else { &mut late };
        let first_half = start..start + 7;
        let second_half = start + 7..start + 14;
        changes.extend(plan(&mut planner, demand(8_000.0, 12_000.0), &mut members, first_half));
        changes.extend(plan(&mut planner, demand(30_000.0, 6_000.0), &mut members, second_half));
    }

    assert!(early.iter().all(|change| change.from == Role::Prefill), "{early:?}");
    assert!(late.is_empty(), "{late:?}");
}

#[test]
fn changes_nothing_when_reports_stop() {
    let mut planner = planner();
    let members = fleet(6, 6, 0);

    for sec in 7..100 {
        let now = Time::from_secs(sec);
        let stale_members = planner.plan_roles(
            now,
            Demand { measured_at: now, ..demand(8_000.0, 12_000.0) },
            &members,
        );
        let stale_demand = planner.plan_roles(now, demand(8_000.0, 12_000.0), &members);

        assert!(stale_members.is_empty() && stale_demand.is_empty());
    }
}

#[test]
fn takes_the_least_busy_engine() {
    let mut members = fleet(6, 6, 0);
    members[3].active_seqs = 0;
    members[0].active_seqs = 9;

    let changes = plan(&mut planner(), demand(8_000.0, 12_000.0), &mut members, 0..9);

    assert_eq!(changes[0].target, TargetId(3));
}

proptest! {
    #[test]
    fn keeps_its_limits_for_any_demand(
        shape in (0u32..6, 0u32..6, 0u32..6),
        demands in vec((0.0f64..100_000.0, 0.0f64..20_000.0, 1u64..40), 1..12),
    ) {
        let mut planner = planner();
        let mut members = fleet(shape.0, shape.1, shape.2);
        let mut second = 0;
        let mut until = BTreeMap::new();
        let mut last = BTreeMap::<TargetId, u64>::new();

        for (prompt_rate, output_rate, secs) in demands {
            for sec in second..second + secs {
                let now = Time::from_secs(sec);
                for member in &mut members {
                    member.measured_at = now;
                    if until.get(&member.target.id).is_some_and(|until| *until <= sec) {
                        member.target.state = TargetState::Serving;
                    }
                }
                let at = Demand { measured_at: now, prompt_rate, output_rate };
                for change in planner.plan_roles(now, at, &members) {
                    let changed = members.iter_mut().find(|m| m.target.id == change.target);
                    let target = &mut changed.unwrap().target;
                    prop_assert_eq!(target.state, TargetState::Serving);
                    prop_assert_eq!(target.role, change.from);
                    target.role = change.to;
                    target.state = TargetState::Changing;
                    until.insert(change.target, sec + 8);
                    let before = last.insert(change.target, sec);
                    prop_assert!(before.is_none_or(|before| sec - before >= 60));
                }
                let changing = members.iter().filter(|member| is_changing(member)).count();
                let generating = members
                    .iter()
                    .filter(|m| {
                        m.target.role != Role::Prefill && m.target.state == TargetState::Serving
                    })
                    .count();
                prop_assert!(changing <= 2);
                prop_assert!(generating >= 2.min((shape.1 + shape.2) as usize));
            }
            second += secs;
        }
    }
}
