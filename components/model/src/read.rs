//! Reads objects from JSON: `{"kind": …, "name": …, "spec": {…}}`.

mod service;

use std::{collections::BTreeMap, str::FromStr};

use chervilgate_settings::{Fields, FromJson, Node};

use crate::{
    Digest, KeyRecord, Kind, Limits, ModelVersion, Name, Object, Organisation, Placement,
    PricingClass, Role, Target, TargetKind, VersionState, ZoneCount,
};

/// Largest target count of a placement, per zone and class.
const MAX_ZONE_TARGETS: u32 = 10_000;

impl FromJson for Name {
    const EXPECTED: &'static str = "a name: 1 to 63 of a-z 0-9 . _ -, a letter or digit first";

    fn from_json(node: &Node<'_>) -> Option<Name> {
        node.parse(Self::EXPECTED)
    }
}

impl FromJson for Digest {
    const EXPECTED: &'static str = "64 hexadecimal digits";

    /// The finding does not quote the text, which may be a key pasted by mistake.
    fn from_json(node: &Node<'_>) -> Option<Digest> {
        let digest = node.text(Self::EXPECTED)?.parse();
        digest.inspect_err(|_| node.report("not a SHA-256 digest", Self::EXPECTED)).ok()
    }
}

impl FromJson for Object {
    const EXPECTED: &'static str = "an object with kind, name and spec";

    fn from_json(node: &Node<'_>) -> Option<Object> {
        let mut fields = node.fields(Self::EXPECTED)?;
        let kind = fields.required("kind");
        let name = fields.required("name");
        let spec = fields.required_node("spec", "an object");
        read_spec(kind?, name, &spec?)
    }
}

impl FromJson for Kind {
    const EXPECTED: &'static str = "organisation, key, service, model-version, placement or target";

    fn from_json(node: &Node<'_>) -> Option<Kind> {
        let kind = Kind::parse(node.text(Self::EXPECTED)?);
        kind.or_else(|| node.mismatch(Self::EXPECTED))
    }
}

/// Reads a spec; without a name only to report the findings in it.
fn read_spec(kind: Kind, name: Option<Name>, spec: &Node<'_>) -> Option<Object> {
    let mut fields = spec.fields("an object")?;
    match kind {
        Kind::Organisation => read_organisation(name, &mut fields).map(Object::Organisation),
        Kind::Key => read_key(name, &mut fields).map(Object::Key),
        Kind::Service => service::read(name, &mut fields).map(Object::Service),
        Kind::ModelVersion => read_version(name, &mut fields).map(Object::ModelVersion),
        Kind::Placement => read_placement(name, &mut fields).map(Object::Placement),
        Kind::Target => read_target(name, &mut fields).map(Object::Target),
    }
}

fn read_organisation(name: Option<Name>, fields: &mut Fields<'_>) -> Option<Organisation> {
    let weights = Organisation::WEIGHT_MIN..=Organisation::WEIGHT_MAX;
    let weight = fields.in_range_or("weight", weights, Organisation::WEIGHT_MIN);
    let limits = fields.optional_or("limits", Limits::default());
    Some(Organisation { name: name?, weight, limits })
}

impl FromJson for Limits {
    const EXPECTED: &'static str = "an object with limits";

    fn from_json(node: &Node<'_>) -> Option<Limits> {
        let mut fields = node.fields(Self::EXPECTED)?;
        let inflight = fields.optional_in_range("inflight", 1..=u32::MAX);
        let tokens = fields.optional_in_range("tokens", 1..=u64::MAX);
        Some(Limits { inflight, tokens })
    }
}

fn read_key(name: Option<Name>, fields: &mut Fields<'_>) -> Option<KeyRecord> {
    let organisation = fields.required("organisation");
    let hash = fields.required("hash");
    let withdrawn = fields.optional_or("withdrawn", false);
    Some(KeyRecord { name: name?, organisation: organisation?, hash: hash?, withdrawn })
}

fn read_version(name: Option<Name>, fields: &mut Fields<'_>) -> Option<ModelVersion> {
    let model = fields.required("model");
    let version = fields.required("version");
    let state = fields.optional_or("state", VersionState::Active);
    let adapters: Vec<Name> = fields.optional_or("adapters", Vec::new());
    Some(ModelVersion {
        name: name?,
        model: model?,
        version: version?,
        state,
        adapters: adapters.into(),
    })
}

impl FromJson for VersionState {
    const EXPECTED: &'static str = "active or withdrawn";

    fn from_json(node: &Node<'_>) -> Option<VersionState> {
        let variants = [("active", VersionState::Active), ("withdrawn", VersionState::Withdrawn)];
        read_variant(node, &variants, Self::EXPECTED)
    }
}

fn read_placement(name: Option<Name>, fields: &mut Fields<'_>) -> Option<Placement> {
    let service = fields.required("service");
    let version = fields.optional("version");
    let zones = fields.get("zones").map(|node| read_zones(&node));
    let checks_fencing = fields.optional_or("checks_fencing", false);
    if zones.is_none() {
        fields
            .node()
            .report("zones is missing", "zones with counts, as in {\"a\": {\"steady\": 2}}");
    }
    Some(Placement { name: name?, service: service?, version, zones: zones??, checks_fencing })
}

fn read_zones(node: &Node<'_>) -> Option<BTreeMap<Name, ZoneCount>> {
    let counts = BTreeMap::<String, ZoneCount>::from_json(node)?;
    let mut zones = BTreeMap::new();
    for (zone, count) in counts {
        match Name::from_str(&zone) {
            Ok(zone) => drop(zones.insert(zone, count)),
            Err(_) => node.report(format!("{zone:?} is not a valid name"), Name::EXPECTED),
        }
    }
    Some(zones)
}

impl FromJson for ZoneCount {
    const EXPECTED: &'static str = "an object with steady and cheap";

    fn from_json(node: &Node<'_>) -> Option<ZoneCount> {
        let mut fields = node.fields(Self::EXPECTED)?;
        let steady = fields.in_range_or("steady", 0..=MAX_ZONE_TARGETS, 0);
        let cheap = fields.in_range_or("cheap", 0..=MAX_ZONE_TARGETS, 0);
        Some(ZoneCount { steady, cheap })
    }
}

fn read_target(name: Option<Name>, fields: &mut Fields<'_>) -> Option<Target> {
    let zone = fields.required("zone");
    let address = fields.required("address");
    let service = fields.required("service");
    let kind = fields.required("kind");
    let role = fields.optional_or("role", Role::Mixed);
    let class = fields.optional_or("class", PricingClass::Steady);
    let checks_fencing = fields.optional_or("checks_fencing", false);
    Some(Target {
        name: name?,
        zone: zone?,
        address: address?,
        service: service?,
        kind: kind?,
        role,
        class,
        checks_fencing,
    })
}

impl FromJson for TargetKind {
    const EXPECTED: &'static str = "engine or service";

    fn from_json(node: &Node<'_>) -> Option<TargetKind> {
        let variants = [("engine", TargetKind::Engine), ("service", TargetKind::Service)];
        read_variant(node, &variants, Self::EXPECTED)
    }
}

impl FromJson for Role {
    const EXPECTED: &'static str = "mixed, prefill or decode";

    fn from_json(node: &Node<'_>) -> Option<Role> {
        let variants =
            [("mixed", Role::Mixed), ("prefill", Role::Prefill), ("decode", Role::Decode)];
        read_variant(node, &variants, Self::EXPECTED)
    }
}

impl FromJson for PricingClass {
    const EXPECTED: &'static str = "steady or cheap";

    fn from_json(node: &Node<'_>) -> Option<PricingClass> {
        let variants = [("steady", PricingClass::Steady), ("cheap", PricingClass::Cheap)];
        read_variant(node, &variants, Self::EXPECTED)
    }
}

fn read_variant<T: Copy>(node: &Node<'_>, variants: &[(&str, T)], expected: &str) -> Option<T> {
    let text = node.text(expected)?;
    let found = variants.iter().find(|(word, _)| *word == text);
    found.map(|(_, value)| *value).or_else(|| node.mismatch(expected))
}
