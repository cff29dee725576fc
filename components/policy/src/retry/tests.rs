use std::sync::Arc;

use proptest::prelude::*;

use super::*;
use crate::{OrgId, Priority, ServiceId};

fn request(idempotent: bool) -> Request {
    Request {
        org: OrgId(1),
        service: ServiceId(1),
        prompt_tokens: 10,
        output_tokens: 10,
        prefix: Arc::from([]),
        deadline: Time::from_secs(1),
        priority: Priority::Normal,
        idempotent,
        digest: 1,
        suspect: false,
    }
}

fn budget() -> RetryBudget {
    RetryBudget::new(RetrySettings::default())
}

#[test]
fn retries_a_non_repeatable_request_only_if_it_did_not_run() {
    let mut budget = budget();

    assert!(budget.try_retry(Time::ZERO, &request(false), 1, false));
    assert!(!budget.try_retry(Time::ZERO, &request(false), 1, true));
    assert!(budget.try_retry(Time::ZERO, &request(true), 1, true));
}

#[test]
fn stops_after_the_last_attempt() {
    assert!(!budget().try_retry(Time::ZERO, &request(true), 3, false));
}

#[test]
fn hedges_only_repeatable_requests() {
    let mut hedge = HedgeTimer::default();
    for millis in 1..=96 {
        hedge.record_response(Duration::from_millis(millis));
    }

    assert_eq!(hedge.hedge_at(Time::ZERO, &request(true)), Some(Time::from_millis(92)));
    assert_eq!(hedge.hedge_at(Time::ZERO, &request(false)), None);
    assert_eq!(hedge.hedge_at(Time::ZERO, &Request { suspect: true, ..request(true) }), None);
}

proptest! {
    #[test]
    fn grants_no_more_than_was_earned(
        first_attempts in 0u32..2_000,
        tries in 0u32..1_000,
        secs in 0u64..20,
    ) {
        let mut budget = budget();

        for _ in 0..first_attempts {
            budget.deposit();
        }
        let now = Time::from_secs(secs);
        let granted = (0..tries).filter(|_| budget.try_withdraw(now)).count();

        prop_assert!(granted as f64 <= 50.0 + 0.1 * f64::from(first_attempts) + secs as f64);
        prop_assert!(granted as u32 >= tries.min(50));
    }
}
