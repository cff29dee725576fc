//! Keeps the record of the versions that began streams in the store, and reads it.

use std::{sync::Arc, time::Duration};

use chervilgate_coord::{Object, StoreCall, StoreReply, Version};
use tokio::time::{sleep, timeout};

use crate::{
    duty::put_object,
    origins::OriginNotice,
    outage::Backoff,
    state::{Shared, State},
    stream_record::StoredStreams,
    watch::{decode_objects, hosts::LIST_INTERVAL_PER_HOST},
};

/// Key prefix of the record.
const STREAMS: &str = "streams/";

/// Minimum interval between the writes of a host. All hosts that keep the record together stay under a tenth of
/// the calls that a store takes.
const WRITE_INTERVAL: Duration = Duration::from_millis(300);

/// Longest time until something is noticed that nothing has announced, such as a store that is back.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Writes what this host is told of streams while it is one of those that keep the record, and reads the
/// record when a caller takes up a stream that nobody knows.
pub(crate) async fn maintain_stream_record(shared: Arc<Shared>) {
    let mut latest_era = shared.store_era.subscribe();
    let mut backoff = Backoff::new();
    loop {
        let is_done = match step(&shared) {
            Step::Wait => {
                timeout(CHECK_INTERVAL, shared.streams_due.notified()).await.ok();
                true
            }
            Step::Read { spread } => {
                sleep(spread.mul_f64(rand::random())).await;
                read(&shared).await
            }
            Step::Write => write(&shared).await,
        };
        if latest_era.has_changed().unwrap_or(false) {
            latest_era.mark_unchanged();
            shared.state().stream_record.distrust();
        }
        if is_done {
            backoff.reset();
        } else {
            backoff.wait().await;
        }
    }
}

enum Step {
    Wait,
    /// Read the whole record, at a moment within this time.
    Read {
        spread: Duration,
    },
    Write,
}

fn step(shared: &Shared) -> Step {
    let now = shared.now();
    let State { origins, stream_record, membership, fleet, store_down, targets_listed, .. } =
        &mut *shared.state();
    let is_keeper = membership.is_listed() && membership.pollers(now).includes_own;
    let unrecorded = origins.take_unrecorded();
    if is_keeper {
        stream_record.add(now, &unrecorded);
    }
    // Failed calls are billed too; the watch of the configuration finds the store recovered.
    if *store_down || !*targets_listed {
        return Step::Wait;
    }
    let interval = LIST_INTERVAL_PER_HOST * membership.count() as u32;
    let may_read = !stream_record.is_read_since(now.saturating_sub(interval));
    // What began before this host started is known from the record alone.
    let is_first =
        !stream_record.is_read() && (stream_record.is_due() || fleet.has_several_builds(now));
    if is_first {
        // All hosts may have started at this moment.
        return Step::Read { spread: interval };
    }
    if stream_record.is_wanted() && may_read {
        return Step::Read { spread: Duration::ZERO };
    }
    if stream_record.next_due().is_some() { Step::Write } else { Step::Wait }
}

/// Reads the whole record. Returns whether the store has answered.
async fn read(shared: &Shared) -> bool {
    let sent = shared.now();
    let call = StoreCall::List { prefix: STREAMS.to_owned() };
    let StoreReply::Listed { objects, .. } = shared.store.call(&call).await else { return false };
    let own = own_segments(shared, &objects);
    let segments = decode_objects::<StoredStreams>(&objects);
    let streams = segments.into_iter().flat_map(|(_, stored)| stored.into_streams());
    let streams: Vec<OriginNotice> = streams.collect();
    log::info!(target: "fleet", segments = objects.len(), streams = streams.len(); "streams on record read");
    {
        let State { origins, stream_record, .. } = &mut *shared.state();
        origins.adopt_recorded(&streams);
        stream_record.record_read(sent, &own);
    }
    shared.origin_settled.notify_waiters();
    true
}

/// This host's segments among `objects`, with their versions.
fn own_segments(shared: &Shared, objects: &[Object]) -> Vec<(usize, Version)> {
    let prefix = format!("{STREAMS}{}.", shared.settings.name);
    let own = objects.iter().filter_map(|object| {
        let index = object.key.strip_prefix(&prefix)?.parse().ok()?;
        Some((index, object.version))
    });
    own.collect()
}

/// Writes the newest segment that is due. Returns whether that is done.
async fn write(shared: &Shared) -> bool {
    let due = {
        let record = &mut shared.state().stream_record;
        record.next_due().inspect(|(index, ..)| record.start_write(*index))
    };
    let Some((index, mut version, streams)) = due else { return true };
    let key = format!("{STREAMS}{}.{index}", shared.settings.name);
    let is_written = match serde_json::to_vec(&streams) {
        Ok(value) => put_object(shared, &key, &mut version, value).await,
        Err(error) => {
            log::error!(target: "store", key, error:%; "object not encoded");
            true
        }
    };
    shared.state().stream_record.finish_write(index, version, is_written);
    if is_written {
        pause_between_writes(shared).await;
    }
    is_written
}

/// Waits until the next write may follow, or until the record is to be read.
async fn pause_between_writes(shared: &Shared) {
    let wanted = async {
        loop {
            shared.streams_due.notified().await;
            if shared.state().stream_record.is_wanted() {
                return;
            }
        }
    };
    timeout(WRITE_INTERVAL, wanted).await.ok();
}
