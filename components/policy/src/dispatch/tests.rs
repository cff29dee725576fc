use proptest::{collection::vec, prelude::*};

use super::*;

fn request(now: Time, org: u32, priority: u8) -> WaitingRequest {
    WaitingRequest {
        org: OrgId(org),
        priority,
        arrived_at: now,
        on_time_by: now + Duration::from_millis(300),
        deadline: now + Duration::from_secs(4),
        work: Duration::from_millis(20),
        cost: 1_000,
        bytes: 100,
    }
}

fn queue() -> DispatchQueue {
    DispatchQueue::new(DispatchLimits::default())
}

fn add(queue: &mut DispatchQueue, now: Time, ticket: u64, request: WaitingRequest) {
    let supply = Supply { until_capacity: Duration::ZERO, targets: 100 };
    let refused = queue.enqueue(now, Ticket(ticket), request, supply, 0.0);
    assert_eq!(refused, Ok(Refused::new()));
}

fn start(queue: &mut DispatchQueue, now: Time) -> Option<u64> {
    queue.start_next(now, &mut |_, _, _| StartCheck::Start).started.map(|ticket| ticket.0)
}

fn targets() -> LatencyTargets {
    let mut targets = LatencyTargets::default();
    for (priority, millis) in [(0, 250), (1, 300), (2, 800)] {
        targets.add(priority, Duration::from_millis(millis));
    }
    targets
}

#[test]
fn urgent_requests_that_can_be_on_time_start_first_and_late_ones_last() {
    let mut queue = queue();
    let now = Time::from_secs(1);
    let late = WaitingRequest { on_time_by: now, ..request(now, 1, 0) };
    let waiting = [(1, late), (2, request(now, 1, 2)), (3, request(now, 1, 1))];
    for (ticket, request) in waiting {
        add(&mut queue, now, ticket, request);
    }

    let order: Vec<u64> = std::iter::from_fn(|| start(&mut queue, now)).collect();

    assert_eq!(order, [3, 2, 1]);
}

// Guards against refusals by what was seen in an earlier overload: with no starts for a while the rate seen was nearly
// zero, so the second request to wait was refused for half a minute although targets were about to be free.
#[test]
fn a_rate_seen_before_the_queue_was_empty_for_a_while_refuses_nobody() {
    let mut queue = queue();
    let before = Time::from_secs(1);
    for ticket in 0..20 {
        let now = before + Duration::from_millis(100 * ticket);
        add(&mut queue, now, ticket, request(now, 1, 0));
        assert_eq!(start(&mut queue, now), Some(ticket));
    }
    let stalled = Time::from_secs(4);
    add(&mut queue, stalled, 100, request(stalled, 1, 0));
    assert!(queue.cancel(Ticket(100)));

    let later = Time::from_secs(200);
    add(&mut queue, later, 101, request(later, 1, 0));
    add(&mut queue, later, 102, request(later, 1, 0));

    assert_eq!(queue.len(), 2);
}

#[test]
fn a_caller_that_leaves_frees_its_place() {
    let mut queue = DispatchQueue::new(DispatchLimits { max_waiting: 1, max_bytes: 1_000 });
    let now = Time::from_secs(1);
    add(&mut queue, now, 1, request(now, 1, 0));

    assert!(queue.cancel(Ticket(1)) && !queue.cancel(Ticket(1)));
    add(&mut queue, now, 2, request(now, 1, 0));

    assert_eq!(start(&mut queue, now), Some(2));
}

#[test]
fn the_least_urgent_leave_a_full_queue_and_are_told_to_return_later() {
    let mut queue = DispatchQueue::new(DispatchLimits { max_waiting: 2, max_bytes: 1_000 });
    let now = Time::from_secs(1);
    add(&mut queue, now, 1, request(now, 1, 1));
    add(&mut queue, now, 2, request(now, 1, 2));

    let supply = Supply { until_capacity: Duration::from_millis(400), targets: 1 };
    let evicted = queue.enqueue(now, Ticket(3), request(now, 1, 0), supply, 0.0).unwrap();
    let refused = queue.enqueue(now, Ticket(4), request(now, 1, 1), supply, 0.0).unwrap_err();

    let [(ticket, yielded)] = evicted[..] else { panic!("{evicted:?}") };
    assert_eq!(
        (ticket, yielded.reason, refused.reason),
        (Ticket(2), YieldReason::Full, YieldReason::Full)
    );
    assert!(yielded.retry_after > refused.retry_after, "{yielded:?}, {refused:?}");
}

#[test]
fn a_request_that_cannot_start_in_time_is_refused_at_once() {
    let now = Time::from_secs(1);
    let supply = Supply { until_capacity: Duration::from_secs(5), targets: 1 };

    let refused = queue().enqueue(now, Ticket(1), request(now, 1, 0), supply, 0.0).unwrap_err();

    assert_eq!(refused.reason, YieldReason::Outlook);
    assert!(refused.retry_after >= Duration::from_secs(5), "{refused:?}");
}

// Guards against organisations that are refused for what another one sends.
#[test]
fn an_organisation_is_not_refused_for_the_requests_of_another() {
    let mut queue = queue();
    let now = Time::from_secs(1);
    let supply = Supply { until_capacity: Duration::ZERO, targets: 1 };
    let mut refused = 0;
    for ticket in 0..400 {
        let offered = queue.enqueue(now, Ticket(ticket), request(now, 0, 1), supply, 0.0);
        refused += u32::from(offered.is_err());
    }

    let other = queue.enqueue(now, Ticket(1_000), request(now, 1, 1), supply, 0.0);

    assert!(refused > 0 && other.is_ok(), "{refused}, {other:?}");
}

// Guards against less urgent requests that use a target which a more urgent one has to wait for.
#[test]
fn a_wait_that_is_short_enough_for_a_kind_is_short_enough_for_all_more_urgent_ones() {
    let targets = targets();
    for millis in 0..1_000 {
        let forecast = |target: u64| Forecast {
            time_left: Duration::from_millis(target),
            wait: Duration::from_millis(millis),
            work: Duration::from_millis(10),
            first_event: Duration::from_millis(millis + 10),
        };
        let fits = |priority, target, late: bool| {
            let forecast = forecast(if late { 0 } else { target });
            targets.fit(priority, Turn::Ordinary, &forecast) == Fit::Fits
        };
        for late in [false, true] {
            assert!(fits(0, 250, late) || !fits(1, 300, late), "{millis} ms, {late}");
            assert!(fits(1, 300, late) || !fits(2, 800, late), "{millis} ms, {late}");
        }
    }
}

// Guards against callers that are refused together and all return at the same time.
#[test]
fn requests_that_expire_together_are_told_to_return_at_different_times() {
    let mut queue = queue();
    let now = Time::from_secs(1);
    for ticket in 0..3 {
        add(&mut queue, now, ticket, request(now, 1, 0));
    }

    let mut drawn = 0.0;
    let refused = queue.expire(now + Duration::from_secs(5), &mut || {
        drawn += 0.25;
        drawn
    });

    let times: Vec<Duration> = refused.iter().map(|(_, yielded)| yielded.retry_after).collect();
    assert!(times.len() == 3 && times.is_sorted() && times[0] < times[1], "{times:?}");
}

// Guards against a request that no target may be sent and that keeps the requests behind it waiting.
#[test]
fn requests_without_a_target_leave_and_the_next_one_starts() {
    let mut queue = queue();
    let now = Time::from_secs(1);
    for ticket in 0..12 {
        add(&mut queue, now, ticket, request(now, 1, 0));
    }

    let next = queue.start_next(now, &mut |ticket, _, _| {
        if ticket.0 < 10 { StartCheck::NoTarget } else { StartCheck::Start }
    });

    assert_eq!((next.started, next.without_target.len(), queue.len()), (Some(Ticket(10)), 10, 1));
}

// Guards against targets that count as busy for a kind by the shorter latency target of a less urgent one.
#[test]
fn less_urgent_kinds_do_not_shorten_the_wait_that_counts_for_a_kind() {
    let mut targets = LatencyTargets::default();
    for (priority, millis) in [(0, 1_200), (1, 1_000), (2, 600)] {
        targets.add(priority, Duration::from_millis(millis));
    }

    let waits = [0, 1, 2, 9].map(|priority| targets.shortest_up_to(priority).as_millis());

    assert_eq!(waits, [1_200, 1_000, 600, 600]);
}

proptest! {
    // Guarantee: each request is answered once, and none is sent after its latest start.
    #[test]
    fn each_request_is_started_or_refused_once_and_in_time(
        arrivals in vec((0u32..4, 0u8..3, 0u64..30, 1u64..400), 1..200),
        starts_of in 1u64..5,
    ) {
        let mut queue = queue();
        let (mut now, mut answers) = (Time::from_secs(1), vec![0; arrivals.len()]);
        let mut latest = Vec::new();
        for (ticket, (org, priority, pause, work)) in (0u64..).zip(&arrivals) {
            now += Duration::from_millis(*pause);
            let work = Duration::from_millis(*work);
            let request = WaitingRequest { work, ..request(now, *org, *priority) };
            latest.push(request.last_start());
            match queue.enqueue(now, Ticket(ticket), request, Supply::default(), 0.5) {
                Ok(refused) => refused.iter().for_each(|(refused, _)| answers[refused.0 as usize] += 1),
                Err(_) => answers[ticket as usize] += 1,
            }
            for (refused, _) in queue.expire(now, &mut || 0.5) {
                answers[refused.0 as usize] += 1;
            }
            if ticket % starts_of == 0 && let Some(started) = start(&mut queue, now) {
                prop_assert!(now <= latest[started as usize]);
                answers[started as usize] += 1;
            }
        }
        while let Some(next) = queue.next_expiry() {
            now = next.max(now + Duration::from_millis(1));
            for (refused, _) in queue.expire(now, &mut || 0.5) {
                answers[refused.0 as usize] += 1;
            }
        }

        prop_assert!(answers.iter().all(|count| *count == 1), "{answers:?}");
    }

    // Guarantee: organisations whose requests are alike are served alike, whatever one of them sends.
    #[test]
    fn organisations_get_equal_shares_beside_one_that_floods(flood in 2u64..40) {
        let mut queue = queue();
        let now = Time::from_secs(1);
        let mut orgs = HashMap::new();
        for ticket in 0..400 {
            let org = if ticket % (flood + 1) == 0 { 1 } else { 0 };
            orgs.insert(ticket, org);
            let request = WaitingRequest { cost: 20_000, ..request(now, org, 1) };
            add(&mut queue, now, ticket, request);
        }
        let small = orgs.values().filter(|org| **org == 1).count();

        let starts: Vec<u64> = (0..small * 2).filter_map(|_| start(&mut queue, now)).collect();

        // Shares may differ by some of the largest requests.
        let served = starts.iter().filter(|ticket| orgs[ticket] == 1).count();
        prop_assert!(served + 5 >= small, "{served} of {small}");
    }

    // Guarantee: of the starts while urgent requests never end, one in ten goes to the request that is closest to
    // its latest start, however large or late it is.
    #[test]
    fn late_and_large_requests_start_beside_urgent_ones_without_end(count in 10u64..100) {
        let mut queue = queue();
        let now = Time::from_secs(1);
        let large = WaitingRequest {
            on_time_by: now,
            deadline: now + Duration::from_secs(3),
            work: Duration::from_millis(800),
            ..request(now, 1, 2)
        };
        add(&mut queue, now, 1_000, large);
        let mut started = Vec::new();
        for ticket in 0..count {
            add(&mut queue, now, ticket, request(now, 2, 0));
            started.extend(start(&mut queue, now));
        }

        let at = started.iter().position(|ticket| *ticket == 1_000);
        prop_assert!(at.is_some_and(|at| at < FAIR_TURN_INTERVAL as usize), "{at:?}");
    }
}
