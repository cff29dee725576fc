//! Tests of requests, and parts of prompts, that crash targets.

use std::time::Duration;

use chervilgate_clock::Time;
use chervilgate_gateway::{
    Prompt, PromptPart,
    identity::{RequestContent, RequestIdentity},
    poison::{FailedRun, PoisonGuard, PoisonVerdict, SharedParts, part_fingerprints},
};
use chervilgate_policy::{CrashId, Fingerprint, TargetId};
use rand::RngExt;
use rand_pcg::Pcg64;

/// Fingerprint of the request with this path and body.
fn fingerprint(path: &str, body: &[u8]) -> Fingerprint {
    let content = RequestContent { method: "POST", host: "x.example", path, org: None, body };
    RequestIdentity { content, headers: 0, service: "one" }.fingerprint()
}

#[test]
fn a_request_that_broke_three_runs_does_not_run_again() {
    let now = Time::from_secs(9);
    let request = fingerprint("/a/", b"body");
    let other = fingerprint("/a/", b"other body");
    let mut guard = PoisonGuard::default();
    let failed = |run| FailedRun { request: request.digest, run };

    for run in [1, 2, 2, 1] {
        guard.record_run(now, failed(run));
    }

    assert_eq!(guard.verdict(now, request, &[]), None);
    guard.record_run(now, failed(3));
    assert_eq!(guard.verdict(now, request, &[]), Some(PoisonVerdict::Request));
    assert_eq!(guard.verdict(now, other, &[]), None);
    assert_eq!(guard.runs_to_gossip(now).len(), 3);
}

/// Has `guards` tell each other of failed runs and acquittals, as in a round of gossip.
fn tell_each_other(now: Time, guards: &mut [PoisonGuard]) {
    let runs: Vec<_> = guards.iter().flat_map(|guard| guard.runs_to_gossip(now)).collect();
    let told: Vec<_> = guards.iter_mut().map(|guard| guard.evidence_to_gossip(now)).collect();
    for guard in guards {
        runs.iter().for_each(|run| guard.hear_run(now, *run));
        told.iter().for_each(|evidence| guard.merge_evidence(now, evidence));
    }
}

// Guards against a request that crashes targets without end at one of its services, as hosts tell each other again and
// again of one answer there: the failed runs at the other service stay.
#[test]
fn hosts_tell_of_an_answer_for_a_while_only() {
    const ROUND: Duration = Duration::from_millis(200);
    let content =
        RequestContent { method: "POST", host: "x.example", path: "/a/", org: None, body: b"body" };
    let [one, two] = ["one", "two"]
        .map(|service| RequestIdentity { content, headers: 0, service }.fingerprint());
    let mut guards = [PoisonGuard::default(), PoisonGuard::default()];
    let mut now = Time::from_secs(9);
    for run in 1..=2 {
        guards[0].record_run(now, FailedRun { request: two.digest, run });
    }
    tell_each_other(now, &mut guards);
    guards[0].record_answer(now, one, &[]);
    for _ in 0..20 {
        now += ROUND;
        tell_each_other(now, &mut guards);
    }

    let told = guards.each_mut().map(|guard| guard.evidence_to_gossip(now).acquitted.len());

    assert_eq!(told, [0, 0]);
}

#[test]
fn a_whole_answer_acquits_a_request_on_all_hosts() {
    let request = fingerprint("/a/", b"body");
    let mut guards = [PoisonGuard::default(), PoisonGuard::default()];
    let failed = |run| FailedRun { request: request.digest, run };
    let (broken, answered) = (Time::from_secs(8), Time::from_secs(9));
    for run in 1..=3 {
        guards[0].record_run(broken, failed(run));
    }
    tell_each_other(broken, &mut guards);
    let before = guards.each_ref().map(|guard| guard.verdict(broken, request, &[]));

    guards[1].record_answer(answered, request, &[]);
    (0..2).for_each(|_| tell_each_other(answered, &mut guards));

    assert_eq!(before, [Some(PoisonVerdict::Request); 2]);
    assert!(guards.iter().all(|guard| guard.verdict(answered, request, &[]).is_none()));
}

// Guards against requests that hosts pass on again that have started after targets ended under them.
#[test]
fn a_host_that_starts_later_learns_of_failed_runs_and_when_they_were() {
    let request = fingerprint("/a/", b"body");
    let (mut known, mut started) = (PoisonGuard::default(), PoisonGuard::default());
    let (broken, later) = (Time::from_secs(9), Time::from_secs(60));
    for run in 1..=3 {
        known.record_run(broken, FailedRun { request: request.digest, run });
    }

    started.merge_runs(later, &known.all_runs(later));
    let verdict = started.verdict(later, request, &[]);
    let forgotten = broken + Duration::from_secs(120);

    assert_eq!(verdict, Some(PoisonVerdict::Request));
    assert!(known.runs_to_gossip(later).is_empty());
    assert!(started.verdict(forgotten, request, &[]).is_none());
}

// Guards against messages that are full of runs which broke off where many targets end.
#[test]
fn runs_that_failed_once_their_answer_had_begun_are_told_with_all_others_only() {
    let now = Time::from_secs(9);
    let request = fingerprint("/a/", b"body");
    let (mut guard, mut other) = (PoisonGuard::default(), PoisonGuard::default());
    for run in 1..=3 {
        guard.record_begun_run(now, FailedRun { request: request.digest, run });
    }

    other.merge_runs(now, &guard.all_runs(now));

    assert!(guard.runs_to_gossip(now).is_empty() && other.runs_to_gossip(now).is_empty());
    assert_eq!(guard.verdict(now, request, &[]), Some(PoisonVerdict::Request));
    assert_eq!(other.verdict(now, request, &[]), Some(PoisonVerdict::Request));
}

// Guards against accusations of sound parts that stay, as their acquittals find no room in a message.
#[test]
fn hosts_do_not_tell_of_requests_that_broke_off_once_and_were_answered() {
    let now = Time::from_secs(9);
    let mut guards = [PoisonGuard::default(), PoisonGuard::default()];
    for number in 0..200_u32 {
        let request = fingerprint("/a/", &number.to_le_bytes());
        guards[0].record_run(now, FailedRun { request: request.digest, run: number });
        guards[1].record_run(now, FailedRun { request: request.digest, run: number });
        guards[1].record_answer(now, request, &[]);
    }

    let told = guards[1].evidence_to_gossip(now);

    assert!(told.acquitted.is_empty(), "{} acquitted", told.acquitted.len());
}

#[test]
fn a_request_that_was_answered_before_is_refused_only_after_twice_as_many_failed_runs() {
    let request = fingerprint("/a/", b"body");
    let mut guard = PoisonGuard::default();
    guard.record_answer(Time::from_secs(8), request, &[]);
    let now = Time::from_secs(9);

    let verdicts = (1..=6).map(|run| {
        guard.record_run(now, FailedRun { request: request.digest, run });
        guard.verdict(now, request, &[]).is_some()
    });

    assert_eq!(verdicts.collect::<Vec<_>>(), [false, false, false, false, false, true]);
}

// Guards against sound requests that are refused since targets often end beside them: one in ten runs
// of each breaks off, and the culprit still comes.
#[test]
fn sound_requests_are_served_while_the_culprit_is_refused() {
    const SOUND: u64 = 2_000;
    const MAX_RUNS: u32 = 6;
    let mut rng = Pcg64::new(7, 7);
    let mut guard = PoisonGuard::default();
    let culprit = fingerprint("/culprit/", b"body");
    let (mut culprit_runs, mut refused) = (0, 0);

    for number in 0..SOUND {
        let now = Time::from_micros(number * 20_000);
        if guard.verdict(now, culprit, &[]).is_none() {
            culprit_runs += 1;
            guard.record_run(now, FailedRun { request: culprit.digest, run: culprit_runs });
        }
        let request = fingerprint("/sound/", &number.to_le_bytes());
        for run in 0..MAX_RUNS {
            if guard.verdict(now, request, &[]).is_some() {
                refused += 1;
                break;
            }
            if rng.random_range(0..10) > 0 {
                guard.record_answer(now, request, &[]);
                break;
            }
            guard.record_run(now, FailedRun { request: request.digest, run });
        }
    }

    // A request is refused after three failed runs of its own: one in a thousand.
    assert!(refused <= SOUND / 200, "{refused} refused");
    assert_eq!(culprit_runs, 3);
}

/// Fingerprints of the shared parts of a prompt, whose last part is its own.
fn shared_parts(org: &str, ids: &[u64]) -> SharedParts {
    let parts = ids.iter().chain([&9_999]).map(|id| PromptPart { id: *id, tokens: 100 });
    let prompt = Prompt { tokens: 300, max_output: 8, parts: parts.collect() };
    part_fingerprints("llm", Some(org), &prompt)
}

fn crash(target: u32) -> CrashId {
    CrashId { target: TargetId(target), incarnation: 1 }
}

#[test]
fn the_last_part_of_a_prompt_is_never_accused() {
    assert_eq!(shared_parts("org-1", &[7, 8]).len(), 2);
    assert_ne!(shared_parts("org-1", &[7])[0], shared_parts("org-2", &[7])[0]);
    assert_eq!(shared_parts("org-1", &[7])[0].digest, shared_parts("org-2", &[7])[0].digest);
}

#[test]
fn a_request_is_sent_again_after_one_crash_with_its_parts_but_not_after_two() {
    let now = Time::from_secs(9);
    let request = fingerprint("/a/", b"body");
    let parts = shared_parts("org-1", &[7, 8]);
    let mut guard = PoisonGuard::default();

    guard.record_crash(now, crash(1), &parts);
    let after_one = guard.may_retry(now, request, &parts);
    guard.record_crash(now, crash(1), &parts);
    let after_repeat = guard.may_retry(now, request, &parts);
    guard.record_crash(now, crash(2), &parts);

    assert!(after_one && after_repeat && !guard.may_retry(now, request, &parts));
    assert_eq!(guard.verdict(now, request, &parts), None);
}

#[test]
fn hosts_reach_one_verdict_from_what_each_saw() {
    let now = Time::from_secs(9);
    let request = fingerprint("/a/", b"body");
    let mut guards = [PoisonGuard::default(), PoisonGuard::default(), PoisonGuard::default()];
    for (target, guard) in (1..).zip(&mut guards) {
        guard.record_crash(now, crash(target), &shared_parts("org-1", &[u64::from(target), 66]));
    }

    let told = guards.each_mut().map(|guard| guard.evidence_to_gossip(now));
    for guard in &mut guards {
        told.iter().for_each(|evidence| guard.merge_evidence(now, evidence));
    }

    for guard in &guards {
        let verdict = |part| guard.verdict(now, request, &shared_parts("org-1", &[part]));
        assert!(matches!(verdict(66), Some(PoisonVerdict::Part(_))));
        assert!((1..=3).all(|part| verdict(part).is_none()));
    }
}

#[test]
fn a_host_that_has_answers_with_a_part_acquits_it_on_all_hosts() {
    let now = Time::from_secs(9);
    let (answered, parts) = (Time::from_secs(8), shared_parts("org-1", &[7]));
    let request = fingerprint("/a/", b"body");
    let (mut knowing, mut accusing) = (PoisonGuard::default(), PoisonGuard::default());
    knowing.record_answer(answered, request, &parts);
    for target in 1..=4 {
        accusing.record_crash(now, crash(target), &parts);
    }
    let before = accusing.verdict(now, request, &parts);

    knowing.merge_evidence(now, &accusing.evidence_to_gossip(now));
    let told = knowing.evidence_to_gossip(now);
    accusing.merge_evidence(now, &told);

    assert!(matches!(before, Some(PoisonVerdict::Part(_))));
    assert_eq!(accusing.verdict(now, request, &parts), None);
    assert_eq!(told.acquitted, [parts[0].digest]);
}

// Guards against sound requests that are refused again for what they were cleared of, once the host has answered
// thousands of others.
#[test]
fn an_answer_clears_a_request_however_many_others_are_answered_after_it() {
    const OTHERS: u64 = 20_000;
    let request = fingerprint("/a/", b"body");
    let mut guard = PoisonGuard::default();
    for run in 1..=3 {
        guard.record_run(Time::from_secs(9), FailedRun { request: request.digest, run });
    }
    guard.record_answer(Time::from_secs(10), request, &[]);

    for other in 0..OTHERS {
        let other = fingerprint("/other/", &other.to_le_bytes());
        guard.record_answer(Time::from_secs(11), other, &[]);
    }

    assert_eq!(guard.verdict(Time::from_secs(12), request, &[]), None);
}

// Guards against requests that crash targets again, since the failed runs of others took the place of theirs.
#[test]
fn a_request_stays_refused_however_many_runs_of_others_fail() {
    const OTHERS: u32 = 20_000;
    let now = Time::from_secs(11);
    let request = fingerprint("/a/", b"body");
    let mut guard = PoisonGuard::default();
    for run in 1..=3 {
        guard.record_run(Time::from_secs(9), FailedRun { request: request.digest, run });
    }

    for run in 0..OTHERS {
        let other = fingerprint("/other/", &run.to_le_bytes());
        guard.record_run(now, FailedRun { request: other.digest, run });
    }

    assert_eq!(guard.verdict(now, request, &[]), Some(PoisonVerdict::Request));
}

// Guards against requests that crash targets again at all hosts, since one of them answered the same request before
// it did.
#[test]
fn an_answer_from_before_the_failed_runs_does_not_clear_a_request_at_other_hosts() {
    let (answered, failed) = (Time::from_secs(9), Time::from_secs(60));
    let request = fingerprint("/a/", b"body");
    let mut guards = [PoisonGuard::default(), PoisonGuard::default(), PoisonGuard::default()];
    guards[0].record_answer(answered, request, &[]);

    for run in 1..=3 {
        guards[1].record_run(failed, FailedRun { request: request.digest, run });
        (0..4).for_each(|_| tell_each_other(failed, &mut guards));
    }

    let verdicts = guards.each_ref().map(|guard| guard.verdict(failed, request, &[]));
    assert_eq!(verdicts[1..], [Some(PoisonVerdict::Request); 2]);
}

// Guards against sound requests that are refused, since a host hears that they were answered before it hears of the
// runs that failed before.
#[test]
fn an_answer_clears_a_request_of_failed_runs_that_are_told_later() {
    let now = Time::from_secs(9);
    let request = fingerprint("/a/", b"body");
    let (mut knowing, mut other) = (PoisonGuard::default(), PoisonGuard::default());
    let runs = [1, 2, 3].map(|run| FailedRun { request: request.digest, run });
    runs.iter().for_each(|run| knowing.record_run(now, *run));
    knowing.record_answer(now, request, &[]);

    other.merge_evidence(now, &knowing.evidence_to_gossip(now));
    runs.iter().for_each(|run| other.hear_run(now, *run));

    assert_eq!(other.verdict(now, request, &[]), None);
}

// Guards against requests that crash targets again, as a host that starts minutes later does not believe what it is
// told of the runs for which they are refused.
#[test]
fn a_host_that_starts_minutes_later_learns_of_a_refusal() {
    const FAILED: [u64; 5] = [9, 10, 11, 30, 90];
    let request = fingerprint("/a/", b"body");
    let (mut known, mut started) = (PoisonGuard::default(), PoisonGuard::default());
    for (run, second) in (1..).zip(FAILED) {
        known.record_run(Time::from_secs(second), FailedRun { request: request.digest, run });
    }

    let later = Time::from_secs(300);
    // What is told comes in any order, a part at a time.
    for run in known.all_runs(later) {
        started.merge_runs(later, &[run]);
    }

    let verdicts = [&known, &started].map(|guard| guard.verdict(later, request, &[]));
    assert_eq!(verdicts, [Some(PoisonVerdict::Request); 2]);
}
