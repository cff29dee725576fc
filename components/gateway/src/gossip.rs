//! Hosts tell each other that they live and what work they have open at the targets.
//!
//! A lost or late datagram costs a worse guess at a target's queue, nothing else, so
//! plain datagrams do. Each round goes to a few hosts only, in turn, so that its cost
//! does not grow with their number. A long prompt holds up whatever comes to its
//! target next, so all hosts are told at once when one begins or is done.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use rand::seq::SliceRandom;
use serde::{Deserialize, Serialize};
use tokio::{
    net::UdpSocket,
    sync::Notify,
    time::{sleep, timeout},
};

use crate::{
    fleet::{CachedPart, OpenWork},
    state::Shared,
    suspects::BrokenRun,
    usage::ToldWindow,
};

/// Time between two rounds: requests last a few hundred milliseconds.
const PACE: Duration = Duration::from_millis(100);

/// Hosts told in one round.
const FANOUT: usize = 12;

/// Rounds of which one is told while there is no open work.
const IDLE_ROUNDS: u32 = 4;

/// Time between two tellings of this host's counts to the holder: what a killed host
/// loses of them.
const COUNTS_PACE: Duration = Duration::from_millis(800);

/// Time between two tellings of all hosts at least.
const URGENT_GAP: Duration = Duration::from_millis(20);

/// Longest datagram, in bytes.
const DATAGRAM: usize = 1_400;

/// One datagram.
#[derive(Serialize, Deserialize)]
enum Message {
    Work(Told),
    Window(ToldWindow),
}

#[derive(Serialize, Deserialize)]
struct Told {
    /// Stands for the host that tells.
    host: u32,
    /// What the host takes for true time, in microseconds since 1970.
    time: u64,
    /// Whether it holds the lease of the duties.
    in_charge: bool,
    work: Vec<OpenWork>,
    /// Parts of prompts sent since each host was told last.
    parts: Vec<CachedPart>,
    /// Runs that broke off of late.
    broken: Vec<BrokenRun>,
}

/// Tells other hosts of this host's open work.
pub(crate) async fn tell(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    let host = shared.id();
    let mut idle = 0;
    let mut turns = Turns::default();
    loop {
        sleep(URGENT_GAP).await;
        let urgent = timeout(PACE - URGENT_GAP, shared.urgent.notified()).await.is_ok();
        set_time(&shared);
        let now = shared.now();
        let time = shared.time().at(now).as_micros() as u64;
        let (work, parts, broken, peers, in_charge) = {
            let mut state = shared.state();
            let broken = state.suspects.to_tell(now);
            let peers = state.members.gossip_addrs();
            let parts = state.fleet.sent_parts(now, turn_span(peers.len()));
            (state.fleet.open_work(now), parts, broken, peers, state.in_charge)
        };
        // The first empty round takes back what was told last; later ones tell that
        // this host lives.
        idle = if work.is_empty() && parts.is_empty() && broken.is_empty() { idle + 1 } else { 0 };
        if idle % IDLE_ROUNDS > 1 && !urgent {
            continue;
        }
        let told = Message::Work(Told { host, time, in_charge, work, parts, broken });
        let Some(told) = encode(&told) else { continue };
        if urgent {
            shared.state().fleet.told_all();
        }
        let chosen = if urgent { peers } else { turns.next(peers) };
        for peer in chosen {
            if let Err(error) = socket.send_to(&told, peer).await {
                log::debug!(target: "gossip", peer:%, error:%; "not told");
            }
        }
    }
}

/// Time in which each of `peers` hosts is told, with a round to spare.
fn turn_span(peers: usize) -> Duration {
    PACE * u32::try_from(peers.div_ceil(FANOUT) + 1).unwrap_or(u32::MAX)
}

/// Takes the other hosts in turn.
#[derive(Default)]
struct Turns {
    waiting: Vec<SocketAddr>,
}

impl Turns {
    /// The hosts to tell in this round, of `peers`.
    fn next(&mut self, mut peers: Vec<SocketAddr>) -> Vec<SocketAddr> {
        if peers.len() <= FANOUT {
            return peers;
        }
        if self.waiting.len() < FANOUT {
            peers.shuffle(&mut rand::rng());
            self.waiting.extend(peers);
        }
        self.waiting.drain(..FANOUT).collect()
    }
}

/// Tells the holder of the lease what this host has counted.
pub(crate) async fn tell_counts(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    loop {
        sleep(COUNTS_PACE).await;
        let now = shared.now();
        let Some(holder) = shared.holder(now) else { continue };
        let current = shared.time().window(now, shared.settings.bounds.window);
        let told: Vec<ToldWindow> =
            shared.state().meter.told(&shared.settings.name, current).collect();
        for window in told {
            let Some(told) = encode(&Message::Window(window)) else { continue };
            if let Err(error) = socket.send_to(&told, holder).await {
                log::debug!(target: "gossip", holder:%, error:%; "counts not told");
            }
        }
    }
}

/// A message as one datagram; none if it does not fit.
fn encode(message: &Message) -> Option<Vec<u8>> {
    match postcard::to_stdvec(message) {
        Ok(bytes) if bytes.len() <= DATAGRAM => Some(bytes),
        Ok(bytes) => {
            // Counts are in the store too; open work is bounded where it is taken.
            log::debug!(target: "gossip", bytes = bytes.len(); "too long for a datagram");
            None
        }
        Err(error) => {
            log::warn!(target: "gossip", error:%; "message not written");
            None
        }
    }
}

/// Sets this host's true time right, if most other hosts disagree with it.
fn set_time(shared: &Shared) {
    let now = shared.now();
    let mut times = shared.state().members.times(now);
    let shift = shared.time().follow(now, &mut times);
    if let Some(shift) = shift {
        log::warn!(target: "usage", shift_ms = shift / 1_000; "true time set right");
        shared.state().members.forget_times();
    }
}

/// Takes in what other hosts tell.
///
/// `listing` is told of hosts whose entries are not known.
pub(crate) async fn hear(shared: Arc<Shared>, socket: Arc<UdpSocket>, listing: Arc<Notify>) {
    let mut buffer = [0; DATAGRAM];
    loop {
        let (length, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                log::debug!(target: "gossip", error:%; "nothing heard");
                sleep(PACE).await;
                continue;
            }
        };
        match postcard::from_bytes::<Message>(&buffer[..length]) {
            Ok(Message::Window(told)) => {
                let now = shared.now();
                shared.state().told_sheets.hear(now, &told);
            }
            Ok(Message::Work(told)) => {
                let now = shared.now();
                let own = shared.time().at(now).as_micros() as i64;
                let mut state = shared.state();
                let is_known = state.members.hear(now, told.host, told.time as i64 - own);
                if !is_known {
                    listing.notify_one();
                }
                if told.in_charge {
                    state.holder = Some((from, now));
                }
                for run in told.broken {
                    state.suspects.note(now, run);
                }
                state.fleet.hear_parts(now, &told.parts);
                state.fleet.hear(now, told.host, told.work);
            }
            Err(error) => log::info!(target: "gossip", error:%; "datagram not read"),
        }
    }
}
