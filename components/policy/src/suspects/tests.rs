use super::*;

const REQUEST: u64 = with_content(7);

/// The same content with other headers.
const OTHER_HEADERS: [u64; 3] = [with_headers(1), with_headers(2), with_headers(3)];

/// The same request at another service.
const OTHER_SERVICE: u64 = REQUEST + 1;

const fn with_content(content: u64) -> u64 {
    content << (HEADER_BITS + SERVICE_BITS)
}

const fn with_headers(headers: u64) -> u64 {
    REQUEST + (headers << SERVICE_BITS)
}

fn suspects() -> Suspects {
    Suspects::new(SuspectSettings::default())
}

fn at(secs: u64) -> Time {
    Time::from_secs(secs)
}

/// Records runs of `digest` that failed at these seconds, numbered from `first`.
fn fail(suspects: &mut Suspects, digest: u64, first: u32, seconds: &[u64]) {
    for (run, second) in (first..).zip(seconds) {
        suspects.record_run(at(*second), at(*second), digest, run);
    }
}

fn is_refused(suspects: &Suspects, second: u64) -> bool {
    suspects.status(at(second), REQUEST) != SuspectStatus::Clear
}

#[test]
fn refuses_a_request_from_three_failed_runs_until_it_is_answered() {
    let mut suspects = suspects();

    fail(&mut suspects, REQUEST, 1, &[1, 2]);
    let after_two = is_refused(&suspects, 3);
    fail(&mut suspects, REQUEST, 3, &[3]);
    let after_three = is_refused(&suspects, 4);
    let cleared = suspects.record_answer(at(5), REQUEST);

    assert_eq!((after_two, after_three, cleared), (false, true, 3));
    assert!(!is_refused(&suspects, 6));
}

#[test]
fn counts_no_run_twice_and_none_from_before_an_answer() {
    let mut suspects = suspects();
    fail(&mut suspects, REQUEST, 1, &[1, 2]);
    suspects.record_answer(at(3), REQUEST);

    for run in [1, 2, 8, 8, 8] {
        let failed = if run == 8 { at(5) } else { at(2) };
        suspects.record_run(at(6), failed, REQUEST, run);
    }

    assert_eq!(suspects.run_count(at(6), REQUEST), 1);
}

#[test]
fn tries_a_refused_request_again_one_run_at_a_time() {
    let mut suspects = suspects();
    fail(&mut suspects, REQUEST, 1, &[1, 2, 3]);

    let early = suspects.begin_trial(at(17), REQUEST, 0);
    let out_of_turn = suspects.begin_trial(at(18), REQUEST, 1);
    let trial = suspects.begin_trial(at(18), REQUEST, 0).unwrap();
    let second = suspects.begin_trial(at(19), REQUEST, 0);
    let may_send = suspects.allows(REQUEST, trial);
    fail(&mut suspects, REQUEST, 4, &[20]);

    assert_eq!((early, out_of_turn, second), (None, None, None));
    assert!(may_send && !suspects.allows(REQUEST, trial));
}

#[test]
fn lets_other_hosts_take_their_turns() {
    let mut suspects = suspects();
    fail(&mut suspects, REQUEST, 1, &[1, 2, 3]);

    let turns: Vec<Option<usize>> =
        (18..25).map(|second| (0..9).rev().find(|rank| suspects.is_due(second, *rank))).collect();
    suspects.cancel_trial(REQUEST);

    assert_eq!(turns, [Some(0), Some(0), Some(0), Some(1), Some(1), Some(1), Some(2)]);
}

impl Suspects {
    /// Whether a trial is due at the host with this rank.
    fn is_due(&mut self, second: u64, rank: usize) -> bool {
        let is_due = self.begin_trial(at(second), REQUEST, rank).is_some();
        self.cancel_trial(REQUEST);
        is_due
    }
}

#[test]
fn refuses_a_request_for_long_once_its_trials_have_failed() {
    let mut suspects = suspects();
    fail(&mut suspects, REQUEST, 1, &[1, 2, 3, 20, 70]);

    let refused = suspects.status(at(71), REQUEST);

    assert_eq!(refused, SuspectStatus::Refused { trial_from: None });
    assert!(is_refused(&suspects, 669) && !is_refused(&suspects, 670));
}

#[test]
fn takes_no_run_for_a_trial_that_was_under_way_before() {
    let mut suspects = suspects();
    // Many copies run on the targets that end.
    fail(&mut suspects, REQUEST, 1, &[1, 2, 3, 3, 4, 5, 6]);

    assert!(suspects.begin_trial(at(21), REQUEST, 0).is_some());
}

#[test]
fn needs_twice_the_failed_runs_of_a_request_that_was_answered_before() {
    let mut suspects = suspects();
    suspects.record_answer(at(1), REQUEST);

    let refused = (1..=6).map(|run| {
        fail(&mut suspects, REQUEST, run, &[2]);
        is_refused(&suspects, 3)
    });

    assert_eq!(refused.collect::<Vec<_>>(), [false, false, false, false, false, true]);
}

// Guards against a request that is no longer refused, since many others broke off where targets end.
#[test]
fn forgets_requests_that_are_not_refused_first() {
    const OTHERS: u64 = 20_000;
    let mut suspects = suspects();
    fail(&mut suspects, REQUEST, 1, &[1, 2, 3]);

    for other in 100..100 + OTHERS {
        fail(&mut suspects, with_content(other), 1, &[4]);
    }

    assert!(is_refused(&suspects, 5));
    assert!(suspects.suspects.len() <= SuspectSettings::default().max_requests);
}

#[test]
fn stays_within_its_memory_if_all_are_refused() {
    let mut suspects = suspects();

    for request in 0..10_000 {
        let second = 1 + request / 100;
        fail(&mut suspects, with_content(request), 1, &[second, second, second]);
        suspects.record_answer(at(second), with_content(1_000_000 + request));
    }

    assert!(suspects.suspects.len() <= SuspectSettings::default().max_requests);
    assert!(suspects.answered.len() <= MAX_ANSWERED);
}

fn is_other_refused(suspects: &Suspects, second: u64, digest: u64) -> bool {
    suspects.status(at(second), digest) != SuspectStatus::Clear
}

#[test]
fn an_answer_clears_no_request_with_other_headers() {
    let mut suspects = suspects();
    let [sound, ..] = OTHER_HEADERS;

    for second in 1..=3 {
        fail(&mut suspects, REQUEST, second as u32, &[2 * second]);
        suspects.record_answer(at(2 * second + 1), sound);
    }

    assert!(is_refused(&suspects, 8) && !is_other_refused(&suspects, 8, sound));
}

#[test]
fn does_not_refuse_a_request_for_the_failed_runs_of_one_with_other_headers() {
    let mut suspects = suspects();

    fail(&mut suspects, REQUEST, 1, &[1, 2, 3, 4]);

    assert!(OTHER_HEADERS.iter().all(|other| !is_other_refused(&suspects, 5, *other)));
}

// Guards against a request that is new on each arrival, since a header changes.
#[test]
fn refuses_what_failed_with_three_different_headers_until_one_is_answered() {
    let mut suspects = suspects();
    let [first, second, third] = OTHER_HEADERS;
    fail(&mut suspects, first, 1, &[1]);
    fail(&mut suspects, second, 2, &[2]);
    let after_two = is_refused(&suspects, 3);
    fail(&mut suspects, third, 3, &[3]);

    let after_three = is_refused(&suspects, 4);
    suspects.record_answer(at(5), REQUEST);

    assert!(!after_two && after_three);
    assert!(OTHER_HEADERS.iter().all(|other| !is_other_refused(&suspects, 6, *other)));
}

// Guards against a request that goes to two services by turns.
#[test]
fn counts_the_failed_runs_at_all_services() {
    let mut suspects = suspects();

    fail(&mut suspects, REQUEST, 1, &[1, 3]);
    fail(&mut suspects, OTHER_SERVICE, 3, &[2]);

    assert!(is_refused(&suspects, 4) && is_other_refused(&suspects, 4, OTHER_SERVICE));
}

// Guards against a request that crashes the targets of one service and is answered by another.
#[test]
fn an_answer_of_one_service_does_not_clear_a_request_at_another() {
    let mut suspects = suspects();

    for second in 1..=3 {
        fail(&mut suspects, REQUEST, second as u32, &[2 * second]);
        suspects.record_answer(at(2 * second + 1), OTHER_SERVICE);
    }

    assert!(is_refused(&suspects, 8) && !is_other_refused(&suspects, 8, OTHER_SERVICE));
}

#[test]
fn does_not_refuse_an_answered_request_for_the_failed_runs_of_others() {
    let mut suspects = suspects();
    suspects.record_answer(at(1), REQUEST);

    for (digest, second) in OTHER_HEADERS.into_iter().zip(2..) {
        fail(&mut suspects, digest, 1, &[second]);
    }

    assert!(!is_refused(&suspects, 6));
}

// Guards against requests to a busy route that are refused, as a target ended which ran many of them.
#[test]
fn takes_runs_that_failed_together_for_the_end_of_one_target() {
    let mut suspects = suspects();
    for headers in 0..40 {
        fail(&mut suspects, with_headers(10 + headers), 1, &[4]);
    }

    assert!(!is_refused(&suspects, 5) && !is_other_refused(&suspects, 5, with_headers(30)));
}

#[test]
fn keeps_the_runs_of_a_refused_request_where_many_with_other_headers_fail() {
    let mut suspects = suspects();
    fail(&mut suspects, REQUEST, 1, &[1, 2, 3]);

    for headers in 0..200 {
        fail(&mut suspects, with_headers(10 + headers), 1, &[4]);
    }

    assert!(is_refused(&suspects, 5));
}

// Guards against sound requests that are refused for runs from long ago, since others with their content fail often.
#[test]
fn forgets_the_few_runs_of_a_request_whatever_fails_with_its_content() {
    let mut suspects = suspects();
    fail(&mut suspects, REQUEST, 1, &[1, 100]);
    for (headers, second) in (10..).zip([50, 130, 180, 230, 280]) {
        fail(&mut suspects, with_headers(headers), 1, &[second]);
        suspects.record_answer(at(second + 1), with_headers(99));
    }

    fail(&mut suspects, REQUEST, 3, &[300]);

    assert_eq!(suspects.run_count(at(301), REQUEST), 1);
    assert!(!is_refused(&suspects, 301));
}

// Guards against a trial that goes on although another host's has failed, since so many runs are remembered that a
// new one takes the place of another.
#[test]
fn ends_a_trial_once_another_run_has_failed_however_many_are_known() {
    let mut suspects = suspects();
    for run in 0..40 {
        fail(&mut suspects, REQUEST, run, &[1]);
    }
    let trial = suspects.begin_trial(at(40), REQUEST, 0).unwrap();

    fail(&mut suspects, REQUEST, 50, &[41]);

    assert!(!suspects.allows(REQUEST, trial));
}

#[test]
fn counts_only_the_runs_that_an_answer_clears() {
    let mut suspects = suspects();
    fail(&mut suspects, REQUEST, 1, &[1, 2]);

    assert_eq!(suspects.record_answer(at(3), OTHER_SERVICE), 0);
    assert_eq!(suspects.record_answer(at(4), REQUEST), 2);
}
