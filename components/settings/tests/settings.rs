//! Reading settings: all findings of a file are reported at once, with their paths.

use std::{net::SocketAddr, time::Duration};

use chervilgate_settings::{FromJson, Node, Report, format_duration, parse, parse_duration};
use proptest::prelude::*;

#[derive(Debug)]
struct Peer {
    address: SocketAddr,
    weight: u32,
}

#[derive(Debug)]
struct Sample {
    zone: String,
    term: Duration,
    peers: Vec<Peer>,
}

impl FromJson for Peer {
    const EXPECTED: &'static str = "a peer";

    fn from_json(node: &Node<'_>) -> Option<Peer> {
        let mut fields = node.fields(Self::EXPECTED)?;
        let address = fields.required("address");
        let weight = fields.in_range_or("weight", 1..=10, 5);
        Some(Peer { address: address?, weight })
    }
}

impl FromJson for Sample {
    const EXPECTED: &'static str = "settings";

    fn from_json(node: &Node<'_>) -> Option<Sample> {
        let mut fields = node.fields(Self::EXPECTED)?;
        let zone = fields.required("zone");
        let term = fields.optional_or("term", Duration::from_secs(5));
        let peers = fields.optional_or("peers", Vec::new());
        Some(Sample { zone: zone?, term, peers })
    }
}

fn findings(text: &str) -> Report {
    parse::<Sample>("sample.json", text).expect_err("the text has findings")
}

fn paths(report: &Report) -> Vec<&str> {
    report.findings().iter().map(|finding| finding.path.as_str()).collect()
}

#[test]
fn can_read_settings_with_comments_and_defaults() {
    let text = r#"{ "//": "a", "//": "b", "zone": "a", "term": "250ms",
        "peers": [{ "address": "10.0.0.1:80", "// why": 1 }] }"#;

    let sample: Sample = parse("sample.json", text).unwrap();

    assert_eq!(sample.zone, "a");
    assert_eq!(sample.term, Duration::from_millis(250));
    assert_eq!(sample.peers[0].address, "10.0.0.1:80".parse().unwrap());
    assert_eq!(sample.peers[0].weight, 5);
}

#[test]
fn reports_all_findings_at_once() {
    let text = r#"{ "term": 5, "colour": 1, "peers":
        [{ "address": "localhost:80" }, 3, { "weight": 11, "address": "[::1]:1" }] }"#;

    let report = findings(text);

    let mut found = paths(&report);
    found.sort_unstable();
    let expected =
        ["$.colour", "$.peers[0].address", "$.peers[1]", "$.peers[2].weight", "$.term", "$.zone"];
    assert_eq!(found, expected);
    assert!(report.findings().iter().all(|finding| !finding.expected.is_empty()));
    assert!(report.to_string().ends_with("6 findings"));
}

#[test]
fn errors_on_a_duplicate_member() {
    let report = findings(r#"{ "zone": "a", "peers": [], "zone": "b" }"#);

    assert_eq!(paths(&report), ["$.zone"]);
}

#[test]
fn errors_on_bad_syntax_with_line_and_column() {
    let cut = findings("{ \"zone\":\n  \"a\"");
    let trailing = findings("{ \"zone\": \"a\" } x");
    let deep = findings(&"[".repeat(100_000));

    assert_eq!(paths(&cut), ["line 2, column 5"]);
    assert_eq!(paths(&trailing), ["line 1, column 17"]);
    assert_eq!(deep.findings().len(), 1);
}

#[test]
fn errors_on_a_missing_file() {
    let report = chervilgate_settings::load::<Sample>("no/such/file.json".as_ref()).unwrap_err();

    assert!(report.findings()[0].problem.starts_with("cannot be read"));
}

#[test]
fn errors_on_invalid_durations() {
    for text in ["", "5", "s", "-5s", "5 s", "1.5s", "5S", "99999999999999999999s", "5é"] {
        assert!(parse_duration(text).is_err(), "{text:?}");
    }
}

proptest! {
    #[test]
    fn a_duration_reads_back_as_written(millis in 0..=u64::MAX) {
        let duration = Duration::from_millis(millis);

        prop_assert_eq!(parse_duration(&format_duration(duration)), Ok(duration));
    }

    #[test]
    fn any_text_gives_settings_or_findings(text in "\\PC*") {
        if let Err(report) = parse::<Sample>("sample.json", &text) {
            prop_assert!(!report.findings().is_empty());
        }
        let _ = parse_duration(&text);
    }

    #[test]
    fn a_truncated_file_is_never_accepted(cut in 0usize..70) {
        let text = r#"{ "zone": "a", "term": "5s", "peers": [{ "address": "10.0.0.1:80" }] }"#;

        prop_assert!(parse::<Sample>("sample.json", &text[..cut.min(text.len() - 1)]).is_err());
    }
}
