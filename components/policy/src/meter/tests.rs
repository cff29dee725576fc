use std::sync::Arc;

use super::*;
use crate::{OrgId, Priority, ServiceId};

fn request(prompt: u32, output: u32) -> Request {
    Request {
        org: OrgId(1),
        service: ServiceId(1),
        prompt,
        output,
        prefix: Arc::from([]),
        deadline: Time::NEVER,
        priority: Priority::Normal,
        repeatable: true,
        digest: 1,
        suspect: false,
    }
}

#[test]
fn measures_a_steady_rate_from_the_first_seconds_on() {
    let mut meter = Meter::new(Time::ZERO, Duration::from_secs(5));

    for step in 1..=100u64 {
        let now = Time::from_millis(100 * step);
        meter.count(now, &request(200, 30), 100);

        let demand = meter.demand(now);
        if step > 20 {
            assert!((demand.prompt - 1_000.0).abs() < 60.0, "{demand:?}");
            assert!((demand.output - 300.0).abs() < 18.0, "{demand:?}");
        }
    }
}

#[test]
fn follows_a_change_within_its_window() {
    let mut meter = Meter::new(Time::ZERO, Duration::from_secs(5));
    for step in 1..=100u64 {
        meter.count(Time::from_millis(100 * step), &request(100, 0), 0);
    }

    let demand = meter.demand(Time::from_secs(25));

    assert!(demand.prompt < 100.0, "{demand:?}");
}

#[test]
fn dates_a_sum_by_its_oldest_part() {
    let mut sum = Demand { at: Time::from_secs(9), prompt: 1.0, output: 1.0 };

    sum += Demand { at: Time::from_secs(4), prompt: 2.0, output: 3.0 };

    assert_eq!(sum, Demand { at: Time::from_secs(4), prompt: 3.0, output: 4.0 });
}
