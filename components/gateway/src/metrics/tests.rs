use super::*;

// Guards against metrics that no reader can parse, for one name in a configuration or an entry.
#[test]
fn names_in_labels_are_escaped() {
    let metrics = Metrics::new();

    metrics.count_service_request("a\"b\\c\nd");
    let text = metrics.render(LostLines::default());

    let line = text.lines().find(|line| line.contains("{service=")).unwrap();
    assert!(line.contains(r#"{service="a\"b\\c\nd"}"#), "{line}");
}
