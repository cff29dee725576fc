//! Objects read back unchanged from their encodings, and invalid text never panics.

use chervilgate_model::{
    Access, ChangeKind, Config, KeyRecord, Limits, ModelVersion, Name, Object, Organisation,
    ParsedObjects, Placement, Service, ServiceKind, VersionState, ZoneCount, check_change, diff,
    issue_key,
};
use proptest::prelude::*;

fn name(text: &str) -> Name {
    text.parse().unwrap()
}

fn organisation(weight: u32) -> Config {
    let limits = Limits { inflight: Some(4), tokens: None };
    let organisation = Organisation { name: name("acme"), weight, limits };
    Config::from_objects([Object::Organisation(organisation)])
}

fn key(withdrawn: bool) -> Config {
    let (_, record) = issue_key(&name("acme"), |bytes| bytes.fill(1));
    Config::from_objects([Object::Key(KeyRecord { withdrawn, ..record })])
}

fn names() -> impl Strategy<Value = Name> {
    "[a-z0-9][a-z0-9._-]{0,12}".prop_map(|text| name(&text))
}

fn objects() -> impl Strategy<Value = Object> {
    prop_oneof![organisations(), services(), versions(), placements()]
}

fn organisations() -> impl Strategy<Value = Object> {
    let limits = (prop::option::of(1u32..), prop::option::of(1u64..))
        .prop_map(|(inflight, tokens)| Limits { inflight, tokens });
    (names(), 1u32..=1000, limits).prop_map(|(name, weight, limits)| {
        Object::Organisation(Organisation { name, weight, limits })
    })
}

fn services() -> impl Strategy<Value = Object> {
    let access = prop_oneof![
        Just(Access::All),
        prop::collection::btree_set(names(), 0..4).prop_map(Access::Only)
    ];
    let kind = prop_oneof![
        Just(ServiceKind::Plain),
        names().prop_map(|model| ServiceKind::Model { model })
    ];
    let route = prop::sample::select(vec!["GET /", "POST /a/*", "* /b/**"]);
    let routes = prop::collection::vec(route, 0..3);
    (names(), kind, access, prop::option::of(names()), routes).prop_map(
        |(name, kind, access, fallback, routes)| {
            let open = routes.iter().map(|route| route.parse().unwrap()).collect();
            let prefix = Service::default_prefix(&name);
            let once = Default::default();
            Object::Service(Service { name, kind, prefix, open, once, access, fallback })
        },
    )
}

fn versions() -> impl Strategy<Value = Object> {
    let state = prop_oneof![Just(VersionState::Active), Just(VersionState::Withdrawn)];
    (names(), names(), names(), state, prop::collection::vec(names(), 0..3)).prop_map(
        |(name, model, version, state, adapters)| {
            let adapters = adapters.into();
            Object::ModelVersion(ModelVersion { name, model, version, state, adapters })
        },
    )
}

fn placements() -> impl Strategy<Value = Object> {
    let count = (0u32..100, 0u32..100).prop_map(|(steady, cheap)| ZoneCount { steady, cheap });
    let zones = prop::collection::btree_map(names(), count, 0..4);
    (names(), names(), prop::option::of(names()), zones, any::<bool>()).prop_map(
        |(name, service, version, zones, checks_fencing)| {
            Object::Placement(Placement { name, service, version, zones, checks_fencing })
        },
    )
}

#[test]
fn can_name_the_fields_that_differ() {
    let changes = diff(&organisation(1), &organisation(2));

    assert_eq!(changes.len(), 1);
    assert_eq!(changes[0].to_string(), "~ organisation/acme\n    weight: 1 → 2");
    assert_eq!(diff(&Config::default(), &organisation(1))[0].edit, ChangeKind::Added);
    assert_eq!(diff(&organisation(1), &Config::default())[0].edit, ChangeKind::Removed);
}

#[test]
fn errors_on_a_reverted_withdrawal_or_a_removed_key() {
    let origins = Default::default();

    let reverted = check_change(&key(true), &key(false), &origins);
    let removed = check_change(&key(true), &Config::default(), &origins);
    let withdrawn = check_change(&key(false), &key(true), &origins);

    assert_eq!(reverted[0].path, "$.spec.withdrawn");
    assert_eq!(removed[0].problem, "the key 010101010101 has been removed");
    assert!(withdrawn.is_empty());
}

#[test]
fn never_repeats_a_key_pasted_as_a_hash() {
    let text = r#"{ "kind": "key", "name": "0a", "spec":
        { "organisation": "acme", "hash": "cgk_0a0a0a0a0a0a_5ec2e7" } }"#;

    let parsed = ParsedObjects::parse("objects", text);

    assert_eq!(parsed.findings.len(), 1);
    assert!(!parsed.findings[0].to_string().contains("5ec2e7"));
}

#[test]
fn errors_on_invalid_configuration_bytes() {
    let bytes = organisation(1).to_bytes();

    assert!(Config::from_bytes(&bytes).is_ok());
    assert!(Config::from_bytes(&bytes[..bytes.len() - 1]).is_err());
    assert!(Config::from_bytes(br#"{"services":{"A b":{}}}"#).is_err());
    assert!(Config::from_bytes(&[0xff; 64]).is_err());
}

#[test]
fn errors_on_an_entry_that_holds_another_object() {
    let mut entries = organisation(1).to_entries();
    let (_, bytes) = entries.pop_first().unwrap();
    entries.insert("organisation/other".to_owned(), bytes);

    let error = Config::from_entries(&entries).unwrap_err();

    assert_eq!(error.to_string(), "organisation/other holds organisation/acme");
}

proptest! {
    #[test]
    fn an_object_reads_back_from_its_file_form(object in objects()) {
        let text = object.to_json().to_string();

        let parsed = ParsedObjects::parse("objects", &text);

        prop_assert_eq!(&parsed.findings, &[]);
        prop_assert_eq!(parsed.objects, [object]);
    }

    #[test]
    fn a_snapshot_reads_back_with_the_same_digest(objects in prop::collection::vec(objects(), 0..8)) {
        let config = Config::from_objects(objects);

        let again = Config::from_bytes(&config.to_bytes()).unwrap();

        prop_assert_eq!(again.digest(), config.digest());
        prop_assert!(diff(&config, &again).is_empty());
        prop_assert_eq!(Config::from_entries(&config.to_entries()).unwrap(), config);
    }

    #[test]
    fn changed_bytes_give_objects_or_findings(
        object in objects(),
        at in any::<prop::sample::Index>(),
        byte in 0x20u8..0x7f,
    ) {
        let mut text = object.to_json().to_string().into_bytes();
        let at = at.index(text.len());
        text[at] = byte;

        let parsed = ParsedObjects::parse("objects", &String::from_utf8(text).unwrap());

        prop_assert!(!parsed.objects.is_empty() || !parsed.findings.is_empty());
        let _ = parsed.check(&parsed.config());
    }

    #[test]
    fn any_text_gives_objects_or_findings(text in "\\PC*") {
        let parsed = ParsedObjects::parse("objects", &text);

        let empty = text.trim() == "[]";
        prop_assert!(empty || !parsed.findings.is_empty() || !parsed.objects.is_empty());
    }
}
