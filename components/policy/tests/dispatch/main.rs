//! What callers get of a service under load, by the order in which requests are sent.
//!
//! One host in front of engines of uneven speed, in virtual time. `cargo test -p chervilgate-policy
//! --test dispatch -- --nocapture` prints the table of docs/design/admission.md.

mod model;

use crate::model::{Load, Order, Outcomes, play};

/// Share by which a measured share may differ from one that it is compared with: what chance gives
/// with the requests of a run.
const CHANCE: f64 = 0.02;

const SEEDS: [u64; 3] = [1, 2, 3];

fn over_seeds(load: Load, order: Order) -> Outcomes {
    let mut all = Outcomes::default();
    for seed in SEEDS {
        all.add(&play(load, order, seed));
    }
    all
}

#[test]
fn nothing_waits_while_there_is_capacity_for_all() {
    let outcomes = over_seeds(Load::quiet(), Order::Dispatch);

    assert!(outcomes.waited_share() < CHANCE, "{outcomes:?}");
    for kind in outcomes.kinds() {
        assert!(kind.on_time() > 1.0 - CHANCE, "{outcomes:?}");
        assert!(kind.refused() == 0.0, "{outcomes:?}");
    }
}

// Guards against an order that makes callers pay for what others ask: each overload is worth at least as much
// as with the requests sent in the order of their arrival.
#[test]
fn overload_is_worth_more_than_in_order_of_arrival() {
    for load in Load::hard() {
        let arrival = over_seeds(load, Order::Arrival);
        let dispatch = over_seeds(load, Order::Dispatch);

        assert!(dispatch.worth() > arrival.worth(), "{}: {dispatch:?}, {arrival:?}", load.name);
    }
}

// Guards against the loss of urgent requests to less urgent ones of the same service.
#[test]
fn more_urgent_kinds_are_served_no_less_often() {
    for load in Load::all() {
        let outcomes = over_seeds(load, Order::Dispatch);

        let served: Vec<f64> = outcomes.kinds().map(|kind| kind.served()).collect();
        for pair in served.windows(2) {
            assert!(pair[0] >= pair[1] - CHANCE, "{}: {served:?}", load.name);
        }
    }
}

// Guards against starvation: of the least urgent kind, of large requests, and of the organisations beside
// one that floods the service.
#[test]
fn nobody_is_starved() {
    for load in Load::all() {
        let outcomes = over_seeds(load, Order::Dispatch);

        let all = outcomes.served();
        for kind in outcomes.kinds() {
            assert!(kind.served() >= all / 4.0, "{}: {outcomes:?}", load.name);
            assert!(kind.large_served() >= kind.served() / 2.0, "{}: {outcomes:?}", load.name);
        }
        let others = outcomes.others_served();
        assert!(others >= all - CHANCE, "{}: {others}, {all}", load.name);
    }
}

#[test]
fn prints_the_comparison() {
    for load in Load::all() {
        for order in Order::ALL {
            let outcomes = over_seeds(load, order);
            println!("| {} | {} | {outcomes} |", load.name, order.as_str());
        }
    }
}
