//! A reclaim of targets is answered by exactly one bounded replacement order under
//! any single fault.

use std::{collections::BTreeSet, time::Duration};

use chervilgate_clock::Time;
use chervilgate_coord::{OrderId, Protocol, Step, Zone, decode, encode, target_order::TargetOrder};
use chervilgate_testbed::{
    Fact, Fault, FaultInjection, Input, OwnersSetting, Promise, REPLACEMENT_LIMIT, ReclaimNotice,
    Testbed, build_owners, check, override_lost_hosts,
};

const STEPS: [Step; 3] = [
    Step::new(Protocol::Order, "open"),
    Step::new(Protocol::Order, "send"),
    Step::new(Protocol::Order, "close"),
];

/// A world in which each owner gives only its first periodic order, so that the
/// other orders are replacements.
fn start_owners() -> Testbed {
    let setting = OwnersSetting { order_period: Duration::from_secs(1_000), ..Default::default() };
    let mut bed = build_owners(&setting);
    bed.run_until(Time::from_secs(10));
    bed
}

/// Reports a reclaim to every process, as the platform's list of targets does repeatedly.
fn report_reclaim(bed: &mut Testbed, number: u64, lost: u32) {
    let news = ReclaimNotice { zone: Zone("0".to_owned()), pool: "pool".to_owned(), number, lost };
    for host in bed.hosts() {
        bed.send_input(host, Input::Command(encode(&news)));
    }
}

fn replacements(bed: &Testbed) -> BTreeSet<(OrderId, u32)> {
    let orders = bed.history.entries.iter().filter_map(|entry| match &entry.fact {
        Fact::TargetOrdered { order } => Some(order),
        _ => None,
    });
    orders
        .filter_map(|order| match decode(&order.body) {
            Ok(TargetOrder::Add { count }) => Some((order.id.clone(), count)),
            _ => None,
        })
        .collect()
}

fn run(injection: Option<FaultInjection>) -> Testbed {
    let mut bed = start_owners();
    if let Some(injection) = injection {
        bed.inject_fault(injection);
    }
    for _ in 0..18 {
        report_reclaim(&mut bed, 1, 9);
        bed.run_for(Duration::from_secs(5));
    }
    override_lost_hosts(&mut bed);
    for _ in 0..6 {
        report_reclaim(&mut bed, 1, 9);
        bed.run_for(Duration::from_secs(5));
    }
    bed
}

fn count_calls(bed: &Testbed, step: Step) -> usize {
    bed.history.entries.iter().filter(|entry| entry.fact == Fact::Called(step)).count()
}

#[test]
fn a_reclaim_is_answered_once_under_every_fault() {
    let before = start_owners();
    for step in STEPS {
        for fault in Fault::ALL {
            let injection =
                FaultInjection { step, nth: count_calls(&before, step), host: None, fault };

            let bed = run(Some(injection));

            let report = check(&bed.history);
            assert!(bed.pending_faults().is_empty(), "{injection} was not injected");
            assert!(report.violations.is_empty(), "{injection}: {:?}", report.violations);
            assert!(report.kept(Promise::OneOrderer));
            let found = replacements(&bed);
            assert_eq!(found.len(), 1, "{injection}: {found:?}");
            assert!(found.iter().all(|(_, count)| *count == REPLACEMENT_LIMIT));
        }
    }
}

#[test]
fn two_reclaims_are_answered_one_by_one() {
    let mut bed = start_owners();

    report_reclaim(&mut bed, 1, 2);
    report_reclaim(&mut bed, 2, 3);
    bed.run_for(Duration::from_secs(30));

    let counts: Vec<u32> = replacements(&bed).into_iter().map(|(_, count)| count).collect();
    assert_eq!(counts, [2, 3]);
}
