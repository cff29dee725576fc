//! Tests of the record of crashes, without a network.

use chervilgate_clock::Time;
use chervilgate_gateway::{
    crash_record::{CrashRecord, StoredCrashes},
    poison::{PoisonGuard, SharedParts},
};
use chervilgate_policy::{AffectedRequest, CrashId, CrashNotice, Fingerprint, OrgId, TargetId};
use serde_json::json;

const NOW: Time = Time::from_secs(100);

/// Digests beyond what all readers of JSON numbers keep.
const POISON: u64 = u64::MAX - 1;
const SHARED: u64 = u64::MAX - 2;

fn part(digest: u64) -> Fingerprint {
    Fingerprint { org: OrgId(7), digest }
}

fn crash(target: u32) -> CrashNotice {
    let runs =
        [SHARED, POISON].map(|digest| AffectedRequest { fingerprint: part(digest), open: true });
    let crash = CrashId { target: TargetId(target), incarnation: u64::MAX };
    CrashNotice { crash, runs: runs.into_iter().collect() }
}

fn is_refused(guard: &PoisonGuard, digests: &[u64]) -> bool {
    let parts: SharedParts = digests.iter().map(|digest| part(*digest)).collect();
    guard.verdict(NOW, part(1), &parts).is_some()
}

// Guards against parts that end three further targets after each loss of all hosts.
#[test]
fn a_host_that_reads_the_record_refuses_the_part_and_no_other() {
    let stored = StoredCrashes::new(&[crash(1), crash(2), crash(3)]).unwrap();
    let stored: StoredCrashes =
        serde_json::from_slice(&serde_json::to_vec(&stored).unwrap()).unwrap();
    let mut guard = PoisonGuard::default();

    let merge = CrashRecord::default().merge(&stored.into_crashes(), &guard.accusing_crashes());
    guard.learn_crashes(NOW, &merge.unknown);

    assert!(is_refused(&guard, &[SHARED, POISON]));
    assert!(!is_refused(&guard, &[SHARED]));
    assert!(!merge.is_changed, "nothing is written");
}

// Guards against parts that end targets again after one element of the record was changed by another writer.
#[test]
fn an_odd_element_voids_no_other_crash() {
    let stored = StoredCrashes::new(&[crash(1), crash(2)]).unwrap();
    let mut value = serde_json::to_value(&stored).unwrap();
    let crashes = value["crashes"].as_array_mut().unwrap();
    for odd in
        [json!(7), json!(null), json!(["00"]), json!({}), json!(""), json!("zz"), json!("ff")]
    {
        crashes.insert(1, odd);
    }

    let read = serde_json::from_value::<StoredCrashes>(value).unwrap().into_crashes();

    assert_eq!(read, [crash(1), crash(2)]);
}

#[test]
fn a_new_crash_is_added_to_the_record() {
    let mut record = CrashRecord::default();
    record.record_synced(&[crash(1)]);
    let live = [crash(1), crash(2)];

    let merge = record.merge(&[crash(1)], &live);

    assert!(record.is_due(&live) && merge.is_changed);
    assert_eq!((merge.merged, merge.unknown), (live.to_vec(), Vec::new()));
}

// Guards against accusations without end: of two hosts that forget a crash at different times, neither may
// write or learn it again.
#[test]
fn a_crash_that_one_host_has_forgotten_is_neither_written_nor_learned_again() {
    let both = [crash(1), crash(2)];
    let (mut here, mut there) = (CrashRecord::default(), CrashRecord::default());
    here.record_synced(&both);
    there.record_synced(&both);

    let forgotten = here.merge(&both, &both[1..]);
    here.record_synced(&both[1..]);
    let kept = there.merge(&forgotten.merged, &both);

    assert_eq!((forgotten.merged.as_slice(), forgotten.is_changed), (&both[1..], true));
    assert!(!kept.is_changed && kept.unknown.is_empty());
    assert!(!there.is_due(&both) && !here.is_due(&both[1..]));
}

// Guards against a record that lacks what hosts know after the store came back from an older copy.
#[test]
fn all_that_a_host_knows_is_recorded_again_after_an_older_copy() {
    let mut record = CrashRecord::default();
    record.record_synced(&[crash(1)]);

    record.distrust();
    let merge = record.merge(&[], &[crash(1)]);

    assert!(record.is_due(&[crash(1)]) && merge.is_changed);
    assert_eq!(merge.merged, [crash(1)]);
}

#[test]
fn the_record_holds_the_latest_crashes_only() {
    let live: Vec<CrashNotice> = (0..100).map(crash).collect();

    let merge = CrashRecord::default().merge(&[], &live);

    assert_eq!(merge.merged, live[68..]);
}

#[test]
fn crashes_that_cannot_be_read_are_left_out() {
    let stored: StoredCrashes = serde_json::from_str(r#"{"crashes": ["zz", "0", ""]}"#).unwrap();

    assert_eq!(stored.into_crashes(), []);
}
