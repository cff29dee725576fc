//! Memory of the program while targets send bytes without an end.

use std::path::Path;

use chervilgate_soak::{Endless, play_endless, play_overdue};

/// Number of requests that must get such answers.
const MIN_ANSWERED: usize = 100;

/// Plays many answers that do not end in `what`; `name` is the folder of the host's files.
async fn check(name: &str, what: Endless) {
    let program = Path::new(env!("CARGO_BIN_EXE_chervilgate-host"));
    let out = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);

    let memory = play_endless(program, &out, what).await.unwrap().expect("the host goes on");

    assert!(memory.answered >= MIN_ANSWERED, "{memory:?}");
    assert!(memory.peak < memory.limit, "{memory:?}");
}

// Guards against events without an end that a host collects for many callers at once.
#[tokio::test(flavor = "multi_thread")]
async fn events_without_an_end_stay_within_the_memory_of_a_host() {
    check("endless-events", Endless::Event).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_without_an_end_stay_within_the_memory_of_a_host() {
    check("endless-bodies", Endless::Body).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn heads_without_an_end_stay_within_the_memory_of_a_host() {
    check("endless-heads", Endless::Head).await;
}

// Guards against answers without an end that outlast their time limit once a host can hold no more of them.
#[tokio::test(flavor = "multi_thread")]
async fn requests_whose_answers_do_not_end_have_a_final_answer_in_time() {
    let program = Path::new(env!("CARGO_BIN_EXE_chervilgate-host"));
    let out = Path::new(env!("CARGO_TARGET_TMPDIR")).join("endless-chunks");

    let overdue = play_overdue(program, &out).await.unwrap();

    assert!(overdue.answered >= MIN_ANSWERED, "{overdue:?}");
    assert_eq!(overdue.late, 0, "{overdue:?}");
}
