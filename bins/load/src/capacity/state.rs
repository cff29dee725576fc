//! Encoded size of the state that a node holds or sends as a whole.

use std::net::SocketAddr;

use chervilgate_clock::Time;
use chervilgate_coord::{
    Incarnation, Node, ShardId, Zone,
    claim::{Admission, IdempotencyKeys, ScopedKey},
    encode,
    session::{SessionRecord, SessionState},
    view::{KeyHash, Root},
    window::{Usage, UsageSheet, UsageTotals},
};
use chervilgate_model::{
    Config, Digest, KeyRecord, Limits, Name, Object, Organisation, PricingClass, Role, Target,
    TargetKind,
};

use super::{Point, Series};

/// Number of API keys of one organisation.
const KEYS_PER_ORGANISATION: usize = 3;
/// Number of organisations at the design size.
const ORGANISATIONS: f64 = 1_200.0;
/// Number of targets at the design size.
const TARGETS: f64 = 610.0;
/// Number of sessions at the design size: an entry and a controller on each host.
const SESSIONS: f64 = 660.0;
/// Number of withdrawn keys after a year with 580 changes a day, one in ten a withdrawal.
const WITHDRAWN_KEYS: f64 = 21_000.0;
/// Number of idempotency keys that a node remembers: 11 requests a second, one in twenty
/// not repeatable, for half an hour.
const IDEMPOTENCY_KEYS: f64 = 990.0;

/// Measures the size of each kind of state by the count that it grows with.
pub(super) fn measure_series() -> Vec<Series> {
    let series =
        |name, size_name, sizes: [usize; 4], design_size, value: fn(usize) -> usize| Series {
            name,
            size_name,
            points: sizes.iter().map(|size| point(*size, value(*size))).collect(),
            design_size,
        };
    vec![
        series(
            "configuration, bytes",
            "organisations, 3 keys each",
            [75, 300, 600, 1_200],
            ORGANISATIONS,
            |size| config_bytes(&organisations(size)),
        ),
        series("configuration, bytes", "targets", [15, 100, 300, 610], TARGETS, |size| {
            config_bytes(&targets(size))
        }),
        series(
            "usage sheets, bytes",
            "organisations active at a node",
            [75, 300, 600, 1_200],
            ORGANISATIONS,
            sheet_bytes,
        ),
        series("list of sessions, bytes", "processes", [18, 60, 180, 660], SESSIONS, session_bytes),
        series(
            "root, bytes",
            "withdrawn keys",
            [0, 100, 1_000, 10_000],
            WITHDRAWN_KEYS,
            root_bytes,
        ),
        series(
            "idempotency keys, bytes",
            "keys remembered",
            [100, 1_000, 5_000, 10_000],
            IDEMPOTENCY_KEYS,
            memory_bytes,
        ),
    ]
}

fn point(size: usize, value: usize) -> Point {
    Point { size: size as f64, value: value as f64 }
}

fn name(text: &str) -> Name {
    text.parse().expect("a valid name")
}

fn config_bytes(config: &Config) -> usize {
    config.to_entries().iter().map(|(name, bytes)| name.len() + bytes.len()).sum()
}

/// A configuration of `count` organisations with their keys.
pub(super) fn organisations(count: usize) -> Config {
    let mut config = Config::default();
    for number in 0..count {
        let organisation_name = name(&format!("organisation-{number:04}"));
        let limits = Limits::default();
        let organisation = Organisation { name: organisation_name.clone(), weight: 1, limits };
        config.insert(Object::Organisation(organisation));
        for key in 0..KEYS_PER_ORGANISATION {
            let text = format!("{number:08x}{key:04x}");
            config.insert(Object::Key(KeyRecord {
                name: name(&text),
                organisation: organisation_name.clone(),
                hash: Digest::of(text.as_bytes()),
                withdrawn: false,
            }));
        }
    }
    config
}

fn targets(count: usize) -> Config {
    let mut config = Config::default();
    for number in 0..count {
        config.insert(Object::Target(Target {
            name: name(&format!("runner-{number:04}")),
            zone: name(&format!("zone-{}", number % 6)),
            address: address(number),
            service: name(&format!("model-{}", number % 6)),
            kind: TargetKind::Engine,
            role: Role::Mixed,
            class: PricingClass::Steady,
            checks_fencing: true,
        }));
    }
    config
}

fn address(number: usize) -> SocketAddr {
    let [high, low] = u16::try_from(number).unwrap_or(u16::MAX).to_be_bytes();
    SocketAddr::from(([10, 1, high, low], 9_000))
}

fn sheet_bytes(count: usize) -> usize {
    let mut totals = UsageTotals::default();
    for number in 0..count {
        let usage = Usage { requests: 1_000, prompt: 500_000, generated: 250_000 };
        totals.add(&format!("organisation-{number:04}"), usage);
    }
    encode(&UsageSheet { state: 1, tally: totals }).len()
}

fn session_bytes(count: usize) -> usize {
    let record = |number: usize| SessionRecord {
        node: Node {
            incarnation: Incarnation(u64::MAX - number as u64),
            addr: address(number),
            zone: Zone(format!("zone-{}", number % 6)),
        },
        attempt: 10_000,
        state: SessionState::Live,
        candidate: true,
        acting: vec![ShardId("engines/00".to_owned()); number % 2],
    };
    (0..count).map(|number| encode(&record(number)).len() + "sessions/".len() + 16).sum()
}

fn root_bytes(count: usize) -> usize {
    let key = |number: usize| KeyHash(*Digest::of(&number.to_be_bytes()).as_bytes());
    encode(&Root { withdrawn: (0..count).map(key).collect(), ..Root::default() }).len()
}

fn memory_bytes(count: usize) -> usize {
    let mut memory = IdempotencyKeys::new(Incarnation(1), Time::ZERO);
    let scope = memory.scope(Time::ZERO).expect("an open scope");
    for number in 0..count {
        let key = format!("{number:032x}");
        let organisation = format!("organisation-{:04}", number % 1_200);
        let admitted = memory.admit(Time::ZERO, &ScopedKey { scope, organisation, key });
        debug_assert_eq!(admitted, Ok(Admission::Run));
    }
    memory.export_keys().iter().map(|transfer| encode(transfer).len()).sum()
}
