//! Tests of the record of the versions that began streams, without a store.

use std::{collections::BTreeMap, time::Duration};

use chervilgate_clock::Time;
use chervilgate_coord::Version;
use chervilgate_gateway::{
    origins::{Origin, OriginNotice, Origins, StreamKey},
    stream_record::{StoredStreams, StreamRecord},
};

const NOW: Time = Time::from_secs(100);

fn notice(number: u32) -> OriginNotice {
    let key = StreamKey::new(&format!("a{number}"), "llm", None);
    OriginNotice { key, build: u64::MAX - u64::from(number % 3) }
}

/// The objects of one host in a store.
#[derive(Debug, Default)]
struct Objects {
    revision: u64,
    segments: BTreeMap<usize, (Version, StoredStreams)>,
}

impl Objects {
    fn read(&self, now: Time, record: &mut StreamRecord) {
        let own: Vec<_> = self.segments.iter().map(|(index, (at, _))| (*index, *at)).collect();
        record.record_read(now, &own);
    }

    /// Writes what is due; returns the number of writes.
    fn write(&mut self, record: &mut StreamRecord) -> usize {
        let mut writes = 0;
        while let Some((index, version, streams)) = record.next_due() {
            let known = self.segments.get(&index).map(|(at, _)| *at);
            assert_eq!(version, known, "a write that the store refuses");
            record.start_write(index);
            self.revision += 1;
            let at = Version::first_era(self.revision);
            self.segments.insert(index, (at, streams));
            record.finish_write(index, Some(at), true);
            writes += 1;
        }
        writes
    }

    fn holds(&self, notice: OriginNotice) -> bool {
        self.segments.values().any(|(_, stored)| stored.clone().into_streams().contains(&notice))
    }
}

#[test]
fn streams_are_read_as_they_were_written() {
    let mut streams: Vec<OriginNotice> = (0..100).map(notice).collect();
    let text = serde_json::to_vec(&StoredStreams::new(&streams)).unwrap();

    let mut read = serde_json::from_slice::<StoredStreams>(&text).unwrap().into_streams();

    streams.sort_unstable_by_key(|notice| (notice.build, notice.key));
    read.sort_unstable_by_key(|notice| (notice.build, notice.key));
    assert_eq!(read, streams);
    assert!(text.len() < 100 * 20);
}

#[test]
fn a_segment_that_is_cut_short_names_what_can_be_read() {
    let stored =
        r#"{"builds":[{"build":"x","keys":"00"},{"build":"1","keys":"00000000000000ffzz"}]}"#;

    let read = serde_json::from_str::<StoredStreams>(stored).unwrap().into_streams();

    assert_eq!(read.len(), 1);
}

#[test]
fn an_odd_element_voids_no_other_stream() {
    let stored =
        r#"{"builds":[7,{"build":"1","keys":"00000000000000ff"},{"build":2,"keys":"00"},null]}"#;

    let read = serde_json::from_str::<StoredStreams>(stored).unwrap().into_streams();

    assert_eq!(read.len(), 1);
}

#[test]
fn each_write_holds_the_streams_of_some_seconds_and_old_ones_make_room() {
    let (mut record, mut objects) = (StreamRecord::default(), Objects::default());
    objects.read(NOW, &mut record);
    let at = |number: u32| NOW + Duration::from_millis(u64::from(number) * 100);
    for number in 0..1_000 {
        record.add(at(number), &[notice(number)]);
        assert_eq!(objects.write(&mut record), 1);
    }

    let sizes: Vec<usize> =
        objects.segments.values().map(|(_, stored)| stored.clone().into_streams().len()).collect();

    assert!(sizes.len() == 8 && sizes.iter().all(|size| *size <= 20), "{sizes:?}");
    assert!((880..1_000).all(|number| objects.holds(notice(number))));
    assert!(!objects.holds(notice(800)));
}

// Guards against a process that overwrites what the one before it has recorded last.
#[test]
fn a_host_that_starts_again_keeps_the_newest_streams_of_before_longest() {
    let (mut record, mut objects) = (StreamRecord::default(), Objects::default());
    objects.read(NOW, &mut record);
    for number in 0..200 {
        record.add(NOW + Duration::from_millis(u64::from(number) * 100), &[notice(number)]);
        objects.write(&mut record);
    }
    let start = NOW + Duration::from_secs(21);

    let mut again = StreamRecord::default();
    again.add(start, &[notice(1_000)]);
    assert!(again.next_due().is_none() && again.is_due());
    objects.read(start, &mut again);
    for number in 1_001..1_120 {
        let at = start + Duration::from_millis(u64::from(number - 1_000) * 100);
        again.add(at, &[notice(number)]);
        objects.write(&mut again);
    }

    // Twelve seconds later.
    assert!((160..200).all(|number| objects.holds(notice(number))));
    assert!((1_000..1_120).all(|number| objects.holds(notice(number))));
}

#[test]
fn a_write_that_failed_and_all_that_a_restore_has_undone_are_written_again() {
    let (mut record, mut objects) = (StreamRecord::default(), Objects::default());
    objects.read(NOW, &mut record);
    for number in 0..3 {
        record.add(NOW + Duration::from_secs(3) * number, &[notice(number)]);
        objects.write(&mut record);
    }

    let (index, version, _) = {
        record.add(NOW + Duration::from_secs(9), &[notice(3)]);
        record.next_due().unwrap()
    };
    record.start_write(index);
    assert!(record.next_due().is_none());
    record.finish_write(index, version, false);

    assert_eq!(objects.write(&mut record), 1);
    record.distrust();
    assert_eq!(objects.write(&mut record), 4);
}

#[test]
fn what_is_on_record_is_known_without_being_told() {
    let mut origins = Origins::default();
    assert_eq!(origins.find(notice(1).key), Origin::Unclear);

    origins.adopt_recorded(&[notice(1)]);

    assert_eq!(origins.find(notice(1).key), Origin::Known(notice(1).build));
    assert_eq!(origins.find(notice(2).key), Origin::Unclear);
}

#[test]
fn streams_that_are_told_are_to_be_recorded() {
    let mut origins = Origins::default();
    origins.begin(NOW, notice(1), true);
    origins.begin(NOW, notice(2), false);
    origins.hear(NOW, vec![notice(3)]);

    let told = origins.take_untold();

    let mut unrecorded = origins.take_unrecorded();
    unrecorded.sort_unstable_by_key(|notice| notice.key);
    let mut expected = vec![notice(1), notice(3)];
    expected.sort_unstable_by_key(|notice| notice.key);
    assert_eq!((told, unrecorded), (vec![notice(1)], expected));
    assert!(origins.take_unrecorded().is_empty());
}
