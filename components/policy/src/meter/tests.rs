use std::sync::Arc;

use super::*;
use crate::{OrgId, Priority, ServiceId};

fn request(prompt_tokens: u32, output_tokens: u32) -> Request {
    Request {
        org: OrgId(1),
        service: ServiceId(1),
        prompt_tokens,
        output_tokens,
        prefix: Arc::from([]),
        deadline: Time::NEVER,
        priority: Priority::Normal,
        idempotent: true,
        digest: 1,
        suspect: false,
    }
}

#[test]
fn measures_a_steady_rate_from_the_first_seconds_on() {
    let mut meter = DemandMeter::new(Time::ZERO, Duration::from_secs(5));

    for step in 1..=100u64 {
        let now = Time::from_millis(100 * step);
        meter.record(now, &request(200, 30), 100);

        let demand = meter.demand(now);
        if step > 20 {
            assert!((demand.prompt_rate - 1_000.0).abs() < 60.0, "{demand:?}");
            assert!((demand.output_rate - 300.0).abs() < 18.0, "{demand:?}");
        }
    }
}

#[test]
fn follows_a_change_within_its_window() {
    let mut meter = DemandMeter::new(Time::ZERO, Duration::from_secs(5));
    for step in 1..=100u64 {
        meter.record(Time::from_millis(100 * step), &request(100, 0), 0);
    }

    let demand = meter.demand(Time::from_secs(25));

    assert!(demand.prompt_rate < 100.0, "{demand:?}");
}

#[test]
fn dates_a_sum_by_its_oldest_part() {
    let mut sum = Demand { measured_at: Time::from_secs(9), prompt_rate: 1.0, output_rate: 1.0 };

    sum += Demand { measured_at: Time::from_secs(4), prompt_rate: 2.0, output_rate: 3.0 };

    assert_eq!(sum, Demand { measured_at: Time::from_secs(4), prompt_rate: 3.0, output_rate: 4.0 });
}
