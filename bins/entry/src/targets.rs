//! Converts published targets to the policy's types.

use chervilgate_model::{PricingClass, Role, Target};
use chervilgate_policy::{self as policy, TargetId, TargetSpecs, TargetState, Zone};

use crate::{
    scheduler::Scheduler,
    view::{Interner, View},
};

/// Sets a scheduler's targets to those that `view` lists for `service`.
pub(crate) fn update_targets(
    scheduler: &Scheduler,
    view: &View,
    service: &str,
    interner: &Interner,
) {
    let listed = view.targets_of(service).map(|(id, target)| {
        let draining = view.config.is_draining(target.name.as_str());
        to_policy(id, target, draining, interner)
    });
    scheduler.set_targets(listed.collect());
}

fn to_policy(id: TargetId, target: &Target, draining: bool, interner: &Interner) -> policy::Target {
    let zone = interner.intern(target.zone.as_str());
    policy::Target {
        id,
        role: to_role(target.role),
        zone: Zone(u8::try_from(zone).unwrap_or(u8::MAX)),
        kind: to_kind(target.class),
        state: if draining { TargetState::Draining } else { TargetState::Serving },
        specs: TargetSpecs::default(),
    }
}

fn to_role(role: Role) -> policy::Role {
    match role {
        Role::Mixed => policy::Role::Mixed,
        Role::Prefill => policy::Role::Prefill,
        Role::Decode => policy::Role::Decode,
    }
}

fn to_kind(class: PricingClass) -> policy::PricingClass {
    match class {
        PricingClass::Steady => policy::PricingClass::Steady,
        PricingClass::Cheap => policy::PricingClass::Cheap,
    }
}
