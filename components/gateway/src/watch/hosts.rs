//! Keeps this host's entry in the store, and the list of the other hosts.

use std::{sync::Arc, time::Duration};

use chervilgate_coord::{StoreReply, Version};
use tokio::{sync::Notify, time::sleep};

use crate::{
    duty::put_object,
    membership::{HostEntry, LIST_INTERVAL},
    state::Shared,
    watch::decode_objects,
};

/// Minimum interval between lists of hosts.
const MIN_LIST_INTERVAL: Duration = Duration::from_millis(300);

/// Minimum interval between lists of hosts, per known host: every host lists all hosts,
/// so the load on the store grows with the square of their number.
pub(super) const LIST_INTERVAL_PER_HOST: Duration = Duration::from_millis(10);

/// Time after which a failed write of a host's entry is retried.
const ENTRY_RETRY_INTERVAL: Duration = Duration::from_millis(1_500);

/// Key prefix of the hosts' entries.
const HOSTS: &str = "hosts/";

/// Keeps this host's entry and the list of other hosts up to date.
///
/// `refresh_membership` triggers an update before the interval has passed: this host is
/// stopping, or gossip of an unknown host arrived. So does a store that has come back from an
/// older copy, which may have lost this host's entry.
pub(crate) async fn maintain_membership(shared: Arc<Shared>, refresh_membership: Arc<Notify>) {
    let own_key = format!("{HOSTS}{}", shared.settings.name);
    let mut latest_era = shared.store_era.subscribe();
    let mut version: Option<Version> = None;
    let mut written: Option<HostEntry> = None;
    let mut has_run = false;
    loop {
        latest_era.mark_unchanged();
        let entry = shared.host_entry();
        let before = version;
        if written.as_ref() != Some(&entry) {
            let done = write_entry(&shared, &own_key, &entry, &mut version).await;
            if done && before.is_none() && !has_run {
                shared.state().repeats.start_first();
            }
            has_run = true;
            written = done.then_some(entry);
        }
        let listed = shared.store.list_stale(HOSTS).await;
        if let StoreReply::Listed { objects, version: at } = listed {
            let own = objects.iter().find(|object| object.key == own_key);
            let own = own.map(|object| object.version);
            if version.is_some_and(|known| at >= known) && own != version {
                log::info!(target: "store", key = own_key; "host entry lost; writing it again");
                version = own;
                written = None;
            }
            let entries =
                decode_objects::<HostEntry>(&objects).into_iter().map(|(object, entry)| {
                    let name = object.key.strip_prefix(HOSTS).unwrap_or(&object.key);
                    (name.to_owned(), object.version, entry)
                });
            let entries = entries.collect();
            let now = shared.now();
            let state = &mut *shared.state();
            state.membership.update(entries);
            let others = state.membership.staying_names().count();
            state.fleet.set_other_hosts(now, others, shared.boot);
            state.share_repeats(now, &shared.settings.name);
        }
        let pause = match &written {
            Some(_) => LIST_INTERVAL,
            // An earlier process left an entry, or the reply was lost.
            None if version != before => MIN_LIST_INTERVAL,
            None => ENTRY_RETRY_INTERVAL,
        };
        tokio::select! {
            () = sleep(pause) => {}
            () = refresh_membership.notified() => {
                let hosts = shared.state().membership.count() as u32;
                sleep(MIN_LIST_INTERVAL.max(LIST_INTERVAL_PER_HOST * hosts)).await;
            }
            // Fails only if the sender is dropped, and `shared` holds it.
            _ = latest_era.changed() => {
                // All hosts do so at this moment.
                let hosts = shared.state().membership.count() as u32;
                let spread = MIN_LIST_INTERVAL + LIST_INTERVAL_PER_HOST * hosts;
                sleep(spread.mul_f64(rand::random())).await;
            }
        }
    }
}

async fn write_entry(
    shared: &Shared,
    key: &str,
    entry: &HostEntry,
    version: &mut Option<Version>,
) -> bool {
    match serde_json::to_vec(entry) {
        Ok(value) => put_object(shared, key, version, value).await,
        Err(error) => {
            log::error!(target: "store", key, error:%; "host entry not encoded");
            true
        }
    }
}
