//! What targets' answers say about the requests that they are read for.

use chervilgate_gateway::{ResponseHead, verdict::Verdict};
use hyper::StatusCode;

fn head(id: Option<&str>, not_run: bool) -> ResponseHead {
    ResponseHead { id: id.map(str::to_owned), not_run, signed: true, ..ResponseHead::default() }
}

fn verdict(id: Option<&str>, status: u16, not_run: bool) -> Verdict {
    Verdict::new(Some("own"), StatusCode::from_u16(status).unwrap(), &head(id, not_run))
}

#[test]
fn an_answer_to_another_request_never_says_that_this_one_did_not_run() {
    for status in [200, 408, 421, 429, 500, 503] {
        for not_run in [false, true] {
            for id in [Some("earlier"), Some(""), None] {
                assert_eq!(verdict(id, status, not_run), Verdict::Foreign, "{status} {id:?}");
            }
        }
    }
}

#[test]
fn a_target_refuses_only_with_the_mark() {
    assert_eq!(verdict(Some("own"), 503, true), Verdict::Refused);
    assert_eq!(verdict(Some("own"), 429, true), Verdict::Refused);
    assert_eq!(verdict(Some("own"), 421, true), Verdict::Replaced);
    for status in [408, 421, 429, 503] {
        assert_eq!(verdict(Some("own"), status, false), Verdict::Unmarked, "{status}");
    }
}

#[test]
fn other_statuses_are_the_targets_answer() {
    for status in [200, 400, 404, 500, 502, 504] {
        assert_eq!(verdict(Some("own"), status, false), Verdict::Answered, "{status}");
    }
}

// Guards against answers whose status is none of HTTP and that callers get.
#[test]
fn an_interim_status_and_one_that_is_none_of_http_are_no_final_answer() {
    for status in [100, 101, 103, 199, 600, 799, 999] {
        for not_run in [false, true] {
            assert_eq!(verdict(Some("own"), status, not_run), Verdict::NotFinal, "{status}");
        }
    }
}

#[test]
fn another_process_says_nothing_about_the_target() {
    let other = Verdict::new(Some("a1"), StatusCode::OK, &head(Some("a2"), false));
    let replaced =
        Verdict::new(Some("a1"), StatusCode::MISDIRECTED_REQUEST, &head(Some("a1"), true));
    let own = Verdict::new(Some("a1"), StatusCode::SERVICE_UNAVAILABLE, &head(Some("a1"), true));

    assert!(!other.is_of_target() && !replaced.is_of_target() && own.is_of_target());
}
