//! Issuing keys, and verifying them by hash.

use chervilgate_model::{Config, KeyError, KeyRecord, Name, Object, Secret, issue_key};

fn name(text: &str) -> Name {
    text.parse().unwrap()
}

fn issue(seed: u8) -> (Secret, KeyRecord) {
    issue_key(&name("acme"), |bytes| bytes.fill(seed))
}

#[test]
fn can_verify_an_issued_key() {
    let (secret, record) = issue(7);
    let config = Config::from_objects([Object::Key(record)]);

    let found = config.verify_key(secret.expose()).unwrap();

    assert_eq!(found.organisation, "acme");
    assert!(secret.expose().starts_with("cgk_070707070707_"));
}

#[test]
fn errors_on_a_withdrawn_key() {
    let (secret, mut record) = issue(7);
    record.withdrawn = true;
    let config = Config::from_objects([Object::Key(record)]);

    let refusal = config.verify_key(secret.expose());

    assert_eq!(refusal, Err(KeyError::Withdrawn));
}

#[test]
fn errors_on_a_wrong_secret_or_an_unknown_id() {
    let (secret, record) = issue(7);
    let (other, _) = issue(8);
    let config = Config::from_objects([Object::Key(record)]);
    let mut wrong = secret.expose().to_owned();
    wrong.replace_range(wrong.len() - 1.., "0");

    let refusals = [config.verify_key(&wrong), config.verify_key(other.expose())];

    assert_eq!(refusals, [Err(KeyError::Unknown), Err(KeyError::Unknown)]);
}

#[test]
fn errors_on_a_malformed_key() {
    let config = Config::default();

    for text in ["", "cgk_", "cgk__", "cgk_0707_07", "sk-abc", "cgk_070707070707_é"] {
        assert_eq!(config.verify_key(text), Err(KeyError::Malformed), "{text:?}");
    }
}

#[test]
fn keeps_the_secret_out_of_snapshots_and_debug_output() {
    let (secret, record) = issue(7);
    let tail = secret.expose().rsplit('_').next().unwrap().to_owned();
    let config = Config::from_objects([Object::Key(record)]);

    let bytes = String::from_utf8(config.to_bytes()).unwrap();

    assert!(!bytes.contains(&tail));
    assert!(!format!("{secret:?}").contains(&tail));
}
