//! Tests of the limits on bytes held for callers and targets, without a network.

use chervilgate_clock::Time;
use chervilgate_gateway::memory::{ByteBudget, MemoryLimits, Reader, Reservation, slowest_reader};
use chervilgate_serve::HeldBytes;
use proptest::prelude::*;

fn reader(bytes: usize, last_read: u64) -> Reader {
    Reader { bytes, last_read: Time::from_millis(last_read) }
}

// Guards against a host that is killed above its memory limit: the sum of what it holds was not
// bounded.
#[test]
fn the_budgets_leave_memory_to_the_process() {
    for megabytes in [120, 160, 400, 512] {
        let memory = megabytes << 20;

        let MemoryLimits { bodies, answers, streams } = MemoryLimits::new(memory);

        assert!(bodies + answers + streams <= (memory - (32 << 20)) / 2 + 1, "{megabytes} MB");
    }
}

#[test]
fn large_bodies_leave_room_for_small_ones() {
    let budget = ByteBudget::new(8 << 20);
    let mut large: Vec<Reservation> = Vec::new();

    for _ in 0..8 {
        let mut body = Reservation::new(&budget);
        if body.try_raise(1 << 20) {
            large.push(body);
        }
    }
    let mut small = Reservation::new(&budget);

    assert_eq!(large.len(), 6);
    assert!(small.try_raise(10_000));
}

// Guards against connections that hold more than the budgets leave to them, and against connections that keep
// all streams waiting: what they hold is not given back before their callers read.
#[test]
fn what_connections_hold_counts_for_half_of_a_budget() {
    let budget = ByteBudget::new(1_000);
    budget.add(400);

    assert!(!budget.try_take(601) && budget.try_take(600));
    budget.release(600);
    budget.add(10_000);
    assert!(!budget.try_take(501) && budget.try_take(500));
    budget.remove(10_400);
    assert!(budget.try_take(500));
}

#[test]
fn the_caller_that_has_read_nothing_for_longest_is_ended_first() {
    let now = Time::from_millis(10_000);
    let readers = [reader(500, 9_900), reader(200, 4_000), reader(900, 5_000), reader(0, 100)];

    assert_eq!(slowest_reader(now, readers.into_iter()), Some(1));
}

#[test]
fn callers_that_read_keep_their_streams() {
    let now = Time::from_millis(10_000);
    let readers = [reader(500, 9_900), reader(900, 8_500), reader(0, 100)];

    assert_eq!(slowest_reader(now, readers.into_iter()), None);
}

proptest! {
    // Guards against bytes that are counted twice, or not given back: the budget would shrink until
    // every request is refused, or let more be held than allowed.
    #[test]
    fn a_budget_is_never_exceeded_and_all_is_given_back(
        steps in prop::collection::vec((0..6_usize, 0..400_000_usize), 1..200),
    ) {
        const LIMIT: usize = 1 << 20;
        let budget = ByteBudget::new(LIMIT);
        let mut held: Vec<Reservation> = (0..6).map(|_| Reservation::new(&budget)).collect();

        for (index, bytes) in steps {
            if bytes % 5 == 0 {
                held[index] = Reservation::new(&budget);
            } else {
                held[index].try_raise(bytes);
            }
            let sum: usize = held.iter().map(Reservation::bytes).sum();
            prop_assert_eq!(budget.used(), sum);
            prop_assert!(sum <= LIMIT);
        }
        drop(held);
        prop_assert_eq!(budget.used(), 0);
    }
}
