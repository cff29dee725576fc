//! Benchmarks a decision of the dispatch queue with 10,000 waiting requests.

use std::{hint::black_box, time::Duration};

use chervilgate_clock::Time;
use chervilgate_policy::{
    DispatchLimits, DispatchQueue, OrgId, StartCheck, Supply, Ticket, WaitingRequest,
};
use criterion::{Criterion, criterion_group, criterion_main};

/// Number of waiting requests.
const WAITING: u64 = 10_000;

/// Number of organisations, as many as the largest deployment has.
const ORGS: u64 = 1_200;

/// With so many targets all of them are predicted to start in time.
const SUPPLY: Supply = Supply { until_capacity: Duration::ZERO, targets: 10_000 };

fn request(ticket: u64) -> WaitingRequest {
    let now = Time::from_secs(1);
    WaitingRequest {
        org: OrgId((ticket % ORGS) as u32),
        priority: (ticket % 3) as u8,
        arrived_at: now,
        on_time_by: now + Duration::from_millis(ticket * 7 % 1_000),
        deadline: now + Duration::from_secs(60),
        work: Duration::from_micros(ticket * 13 % 200_000),
        cost: ticket * 17 % 20_000,
        bytes: 1_000,
    }
}

fn bench(criterion: &mut Criterion) {
    let now = Time::from_secs(1);
    let limits = DispatchLimits { max_waiting: usize::MAX, max_bytes: usize::MAX };
    let mut queue = DispatchQueue::new(limits);
    for ticket in 0..WAITING {
        queue.enqueue(now, Ticket(ticket), request(ticket), SUPPLY, 0.5).ok();
    }
    let mut next = WAITING;
    criterion.bench_function("dispatch/10000 waiting", |bencher| {
        bencher.iter(|| {
            next += 1;
            let request = request(next);
            black_box(queue.enqueue(now, Ticket(next), request, SUPPLY, 0.5)).ok();
            black_box(queue.expire(now, &mut || 0.5));
            black_box(queue.start_next(now, &mut |_, _, _| StartCheck::Start))
        });
    });
    assert!(queue.len() as u64 >= WAITING / 2, "{}", queue.len());
}

criterion_group!(benches, bench);
criterion_main!(benches);
