//! The record of the software versions that began streams, which outlives all hosts.
//!
//! What hosts tell each other of streams ([`origins`](crate::origins)) is lost where all of them are killed,
//! and a stream that nobody remembers is refused while several versions serve. So a few hosts write what they
//! are told to the store, each to objects of its own: a ring of segments, each with the streams of some
//! seconds. Only the newest is written again as streams begin, and the oldest makes room for the next one, so that a
//! write is small and what nobody can take up any more is dropped without a look at any clock but the
//! writer's own.
//!
//! Nothing is written while one version serves. What is not recorded yet as all hosts end is refused as before.

use std::time::Duration;

use chervilgate_clock::Time;
use chervilgate_coord::Version;
use serde::{Deserialize, Serialize};

use crate::{
    origins::{OriginNotice, StreamKey},
    stored_list::StoredList,
};

/// Number of segments of a host.
const SEGMENTS: usize = 8;

/// Time whose streams a segment holds: all of them together cover the life of a request.
const SEGMENT_TIME: Duration = Duration::from_secs(2);

/// Minimum interval between the reads of a host.
const READ_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of streams in a segment, which is some 64 KB.
const MAX_STREAMS: usize = 4_000;

/// Streams as stored, by the version that began them. All numbers are text in hexadecimal, as they exceed
/// those that all readers of JSON keep.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct StoredStreams {
    builds: StoredList<StoredOrigins>,
}

#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
struct StoredOrigins {
    build: String,
    /// The streams' keys, one after another.
    keys: String,
}

impl StoredStreams {
    /// A segment with these streams.
    pub fn new(streams: &[OriginNotice]) -> StoredStreams {
        let mut sorted = streams.to_vec();
        sorted.sort_unstable_by_key(|notice| (notice.build, notice.key.hash()));
        let groups = sorted.chunk_by(|one, next| one.build == next.build);
        let builds = groups.map(|group| StoredOrigins {
            build: format!("{:016x}", group[0].build),
            keys: group.iter().map(|notice| format!("{:016x}", notice.key.hash())).collect(),
        });
        StoredStreams { builds: builds.collect() }
    }

    /// The streams that it names, without what cannot be read.
    pub fn into_streams(self) -> Vec<OriginNotice> {
        let read = |StoredOrigins { build, keys }: StoredOrigins| {
            let build = u64::from_str_radix(&build, 16).ok()?;
            let numbers = keys.as_bytes().chunks(16).filter_map(|digits| {
                let digits = std::str::from_utf8(digits).ok()?;
                u64::from_str_radix(digits, 16).ok()
            });
            let keys = numbers.map(StreamKey::from_hash);
            Some(keys.map(|key| OriginNotice { key, build }).collect::<Vec<_>>())
        };
        self.builds.elements.into_iter().filter_map(read).flatten().collect()
    }
}

/// Streams that are written together.
#[derive(Debug, Clone, Default)]
struct Segment {
    streams: Vec<OriginNotice>,
    /// Version of its object; none if there is none.
    version: Option<Version>,
    /// Whether the store may lack some of the streams.
    is_due: bool,
}

/// This host's part of the record, and what it has read of the whole.
#[derive(Debug, Default)]
pub struct StreamRecord {
    segments: [Segment; SEGMENTS],
    current: usize,
    /// When the first stream of the current segment was recorded.
    began_at: Option<Time>,
    /// When this host last asked for the whole record and got it.
    read_at: Option<Time>,
    is_wanted: bool,
}

impl StreamRecord {
    /// Whether this host has read the record.
    pub fn is_read(&self) -> bool {
        self.read_at.is_some()
    }

    /// Whether it has read what was recorded until `time`, or until shortly before.
    pub fn is_read_since(&self, time: Time) -> bool {
        self.read_at.is_some_and(|at| at + READ_INTERVAL > time)
    }

    /// Has the record read, as a caller takes up a stream that nobody knows.
    pub fn want(&mut self) {
        self.is_wanted = true;
    }

    /// Whether the record is to be read.
    pub fn is_wanted(&self) -> bool {
        self.is_wanted
    }

    /// Records that the record, asked for at `sent`, was read. `own` names this host's segments in the store.
    pub fn record_read(&mut self, sent: Time, own: &[(usize, Version)]) {
        let is_first = self.read_at.is_none();
        self.read_at = Some(sent);
        self.is_wanted = false;
        if !is_first {
            return;
        }
        for (index, version) in own {
            if let Some(segment) = self.segments.get_mut(*index) {
                segment.version = Some(*version);
            }
        }
        // What an earlier process of this host has written last is kept longest.
        let oldest = (0..SEGMENTS).min_by_key(|index| self.segments[*index].version);
        let Some(oldest) = oldest.filter(|oldest| *oldest != self.current) else { return };
        let Segment { streams, is_due, .. } = &mut self.segments[self.current];
        let (streams, is_due) = (std::mem::take(streams), std::mem::take(is_due));
        self.current = oldest;
        let version = self.segments[oldest].version;
        self.segments[oldest] = Segment { streams, version, is_due };
    }

    /// Adds streams that are to be written. Before the segments of an earlier process are known, all go to
    /// one.
    pub fn add(&mut self, now: Time, streams: &[OriginNotice]) {
        if streams.is_empty() {
            return;
        }
        let began_at = *self.began_at.get_or_insert(now);
        let is_full = self.segments[self.current].streams.len() >= MAX_STREAMS;
        if self.is_read() && (now.since(began_at) >= SEGMENT_TIME || is_full) {
            self.current = (self.current + 1) % SEGMENTS;
            self.segments[self.current].streams.clear();
            self.began_at = Some(now);
        }
        let segment = &mut self.segments[self.current];
        segment.streams.extend_from_slice(streams);
        segment.is_due = true;
    }

    /// Has all segments written again, as the store has come back from an older copy.
    pub fn distrust(&mut self) {
        for segment in &mut self.segments {
            segment.is_due = !segment.streams.is_empty();
        }
    }

    /// The segment that is to be written next, with its version and content; none if none is due or the
    /// segments of an earlier process are not known yet.
    pub fn next_due(&self) -> Option<(usize, Option<Version>, StoredStreams)> {
        self.read_at?;
        // The newest first.
        let newest = (0..SEGMENTS).map(|age| (self.current + SEGMENTS - age) % SEGMENTS);
        let index = newest.into_iter().find(|index| self.segments[*index].is_due)?;
        let Segment { streams, version, .. } = &self.segments[index];
        Some((index, *version, StoredStreams::new(streams)))
    }

    /// Whether a segment is due, also before the record was read.
    pub fn is_due(&self) -> bool {
        self.segments.iter().any(|segment| segment.is_due)
    }

    /// Records that the segment `index` is about to be written.
    pub fn start_write(&mut self, index: usize) {
        self.segments[index].is_due = false;
    }

    /// Records the outcome of a write, and the version of the segment's object then.
    pub fn finish_write(&mut self, index: usize, version: Option<Version>, is_written: bool) {
        let segment = &mut self.segments[index];
        segment.version = version;
        segment.is_due |= !is_written;
    }
}
