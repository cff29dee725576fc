//! A continuous load of chats and bookings.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use chervilgate_standins::{Answer, Caller};
use serde_json::json;
use tokio::task::JoinHandle;

/// Pause between two requests of one task.
const REQUEST_PAUSE: Duration = Duration::from_millis(20);
/// Number of concurrent chat streams.
const CHAT_STREAMS: u64 = 6;

/// Results of the load's requests.
#[derive(Debug, Default, Clone)]
pub(crate) struct Tally {
    /// Chats answered completely.
    pub(crate) complete: u64,
    /// Chats refused as not run; whether that was true is not checked here.
    pub(crate) refused: u64,
    /// Chats that were answered wrongly, incompletely or not at all.
    pub(crate) failures: Vec<String>,
    /// Bookings by content, with the outcome that the caller was told, if any.
    pub(crate) bookings: Vec<(String, Option<String>)>,
}

/// A running load.
pub(crate) struct Load {
    stop: Arc<AtomicBool>,
    tally: Arc<Mutex<Tally>>,
    entries: Arc<Mutex<Vec<SocketAddr>>>,
    tasks: Vec<JoinHandle<()>>,
}

impl Load {
    /// Starts chats and bookings of `callers` at `entries`.
    pub(crate) fn start(callers: &[Caller], entries: Vec<SocketAddr>) -> Load {
        let stop = Arc::new(AtomicBool::new(false));
        let tally = Arc::new(Mutex::new(Tally::default()));
        let entries = Arc::new(Mutex::new(entries));
        let next_number = Arc::new(AtomicU64::new(0));
        let mut load = Load { stop, tally, entries, tasks: Vec::new() };
        for stream in 0..CHAT_STREAMS {
            let caller = callers[usize::try_from(stream).unwrap_or(0) % callers.len()].clone();
            load.spawn(caller.clone(), next_number.clone(), Kind::Chat);
            if stream % 3 == 0 {
                load.spawn(caller, next_number.clone(), Kind::Booking);
            }
        }
        load
    }

    /// Sends requests to these entries from now on.
    pub(crate) fn set_entries(&self, entries: Vec<SocketAddr>) {
        *lock(&self.entries) = entries;
    }

    /// Results of the requests so far.
    pub(crate) fn tally(&self) -> Tally {
        lock(&self.tally).clone()
    }

    /// Stops the load, waits for the requests in progress and returns the results.
    pub(crate) async fn stop(self) -> Tally {
        self.stop.store(true, Ordering::Relaxed);
        for task in self.tasks {
            let _ = task.await;
        }
        lock(&self.tally).clone()
    }

    fn spawn(&mut self, caller: Caller, next_number: Arc<AtomicU64>, kind: Kind) {
        let (stop, tally, entries) = (self.stop.clone(), self.tally.clone(), self.entries.clone());
        self.tasks.push(tokio::spawn(async move {
            while !stop.load(Ordering::Relaxed) {
                let number = next_number.fetch_add(1, Ordering::Relaxed);
                let entry = {
                    let entries = lock(&entries);
                    entries[usize::try_from(number).unwrap_or(0) % entries.len()]
                };
                match kind {
                    Kind::Chat => chat(&caller, entry, number, &tally).await,
                    Kind::Booking => book(&caller, entry, number, &tally).await,
                }
                tokio::time::sleep(REQUEST_PAUSE).await;
            }
        }));
    }
}

#[derive(Debug, Clone, Copy)]
enum Kind {
    Chat,
    Booking,
}

async fn chat(caller: &Caller, entry: SocketAddr, number: u64, tally: &Mutex<Tally>) {
    let prompt = format!("arrivals of month {number}");
    let tokens = 10 + number % 40;
    let answer = caller.chat(entry, &prompt, tokens).await;
    let mut tally = lock(tally);
    match answer {
        Some(answer) if answer.matches_chat(&prompt, tokens) => tally.complete += 1,
        Some(answer) if is_refused(&answer) => tally.refused += 1,
        Some(answer) => {
            let text = String::from_utf8_lossy(&answer.body).into_owned();
            tally.failures.push(format!("{entry} {prompt}: {} {text}", answer.status));
        }
        None => tally.failures.push(format!("{entry} {prompt}: no answer")),
    }
}

async fn book(caller: &Caller, entry: SocketAddr, number: u64, tally: &Mutex<Tally>) {
    let content = json!({ "booking": number });
    let answer = caller.post(entry, "/svc/plugs/bookings", &content).await;
    let reported_outcome = answer.and_then(|answer| answer.outcome().map(str::to_owned));
    lock(tally).bookings.push((content.to_string(), reported_outcome));
}

/// Whether the caller was told that its request did not run.
pub(crate) fn is_refused(answer: &Answer) -> bool {
    answer.outcome() == Some("not-run")
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
