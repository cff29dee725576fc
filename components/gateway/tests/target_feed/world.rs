//! A simulated store, hosts that follow pollers, and a network between them.

use std::{collections::BTreeMap, time::Duration};

use chervilgate_clock::Time;
use chervilgate_coord::{Change, Object, Version};
use chervilgate_gateway::{
    freshness::{Freshness, Progress},
    target_feed::{FeedConditions, FeedRequest, PassedChanges, ReadReason, TargetFeed},
};
use rand::{RngExt, SeedableRng, seq::IndexedRandom};
use rand_pcg::Pcg64Mcg;

/// Time within which a removal must be known, as the operators set it.
pub(crate) const LIMIT: Duration = Duration::from_secs(2);

/// Step of the simulation, which is also the time of a call to the store.
pub(crate) const TICK: Duration = Duration::from_millis(10);

/// When single hosts begin to follow.
pub(crate) const START: Time = Time::from_secs(100);

/// Number of hosts, of which the first ones are pollers.
pub(crate) const HOSTS: usize = 7;
pub(crate) const POLLERS: usize = 3;

/// Time without datagrams after which a host counts as gone.
const LIVENESS: Duration = Duration::from_secs(3);

pub(crate) type List = BTreeMap<String, (Version, Vec<u8>)>;

/// What goes wrong.
#[derive(Debug, Clone, Default)]
pub(crate) struct Faults {
    pub(crate) loss: f64,
    pub(crate) repeated: f64,
    pub(crate) late: f64,
    /// Host, start in ticks and length in ticks of the times in which hosts stand still.
    pub(crate) frozen: Vec<(usize, u32, u32)>,
    /// Hosts that start anew at these ticks.
    pub(crate) restarts: Vec<(usize, u32)>,
    /// Tick at which the store comes back from a copy that is a second old.
    pub(crate) restored: Option<u32>,
    /// Hosts of a software version that passes nothing on and answers no questions.
    pub(crate) old: Vec<usize>,
    /// Hosts that no datagrams reach.
    pub(crate) cut_off: Vec<usize>,
    /// Share of the changes that do not fit into a datagram.
    pub(crate) large: f64,
}

#[derive(Debug, Clone, Default)]
pub(crate) struct Store {
    era: u64,
    revision: u64,
    pub(crate) list: List,
    changes: Vec<(Time, Change)>,
}

impl Store {
    fn version(&self) -> Version {
        Version { era: self.era, revision: self.revision }
    }

    fn write(&mut self, now: Time, key: String, value: Option<Vec<u8>>) {
        self.revision += 1;
        let version = self.version();
        let change = match value {
            Some(value) => {
                self.list.insert(key.clone(), (version, value.clone()));
                Change::Put(Object { key, version, value })
            }
            None => {
                self.list.remove(&key);
                Change::Delete { key, version }
            }
        };
        self.changes.push((now, change));
    }

    fn since(&self, after: Version) -> Vec<Change> {
        let changes = self.changes.iter().map(|(_, change)| change);
        changes.filter(|change| change.version() > after).cloned().collect()
    }
}

#[derive(Debug, Clone)]
enum Message {
    Changes(PassedChanges),
    Ask(FeedRequest, usize),
    Latest(Version),
    Confirm(Time, usize),
    Progress(Time, Option<Progress>),
}

#[derive(Debug, Clone, Copy)]
enum Mode {
    Listing(Time),
    Watching { sent: Time, wait: Duration, after: Version },
    Paused(Time),
    Following,
}

pub(crate) struct Host {
    feed: TargetFeed,
    freshness: Freshness,
    pub(crate) list: List,
    /// Latest version of each entry, also of removed ones.
    seen: BTreeMap<String, Version>,
    mode: Mode,
    era: u64,
    /// Since when it has run without a pause.
    awake_since: Time,
    confirm_at: Time,
    pub(crate) calls: u32,
}

impl Host {
    fn new(now: Time) -> Host {
        Host {
            feed: TargetFeed::new(LIMIT),
            freshness: Freshness::new(LIMIT),
            list: List::new(),
            seen: BTreeMap::new(),
            mode: Mode::Listing(now),
            era: 0,
            awake_since: now,
            confirm_at: now,
            calls: 1,
        }
    }

    fn apply(&mut self, changes: Vec<Change>) {
        for change in changes {
            let (version, key) = match &change {
                Change::Put(object) => (object.version, object.key.clone()),
                Change::Delete { key, version } => (*version, key.clone()),
            };
            let before = self.seen.insert(key.clone(), version).unwrap_or_default();
            assert!(version > before, "went back from {before} to {version}: {key}");
            match change {
                Change::Put(object) => self.list.insert(key, (version, object.value)),
                Change::Delete { .. } => self.list.remove(&key),
            };
        }
    }

    fn start_list(&mut self, now: Time) {
        self.feed.start_list();
        self.mode = Mode::Listing(now);
        self.calls += 1;
    }

    fn start_watch(&mut self, now: Time, is_poller: bool) {
        let wait = self.freshness.watch_wait(now, is_poller);
        let most = if is_poller { self.feed.poller_wait(now, &self.freshness) } else { wait };
        let after = self.feed.position().expect("a list");
        self.mode = Mode::Watching { sent: now, wait: wait.min(most), after };
        self.calls += 1;
    }
}

pub(crate) struct World {
    rng: Pcg64Mcg,
    pub(crate) faults: Faults,
    now: Time,
    tick: u32,
    pub(crate) store: Store,
    copies: Vec<Store>,
    pub(crate) hosts: Vec<Host>,
    under_way: Vec<(Time, usize, Message)>,
}

impl World {
    pub(crate) fn new(seed: u64, faults: Faults) -> World {
        let now = START;
        let mut store = Store::default();
        for target in 0..10 {
            store.write(now, format!("targets/{target}"), Some(vec![0; 300]));
        }
        let hosts = (0..HOSTS).map(|_| Host::new(now)).collect();
        let rng = Pcg64Mcg::seed_from_u64(seed);
        World { rng, faults, now, tick: 0, store, copies: Vec::new(), hosts, under_way: Vec::new() }
    }

    fn is_frozen(&self, host: usize) -> bool {
        let spans = self.faults.frozen.iter();
        spans
            .filter(|(at, ..)| *at == host)
            .any(|(_, start, length)| (*start..start + length).contains(&self.tick))
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        let is_cut = self.faults.cut_off.contains(&from) || self.faults.cut_off.contains(&to);
        let copies = if self.rng.random_bool(self.faults.repeated) { 2 } else { 1 };
        for _ in 0..copies {
            if is_cut || self.rng.random_bool(self.faults.loss) {
                continue;
            }
            let is_late = self.rng.random_bool(self.faults.late);
            let delay = TICK * self.rng.random_range(0..if is_late { 300 } else { 3 });
            self.under_way.push((self.now + delay, to, message.clone()));
        }
    }

    /// Changes some targets at the store.
    fn change_targets(&mut self, count: u32) {
        for _ in 0..count {
            let key = format!("targets/{}", self.rng.random_range(0..40));
            let is_removed = self.store.list.contains_key(&key) && self.rng.random_bool(0.5);
            let size = if self.rng.random_bool(self.faults.large) { 2_000 } else { 300 };
            let bytes = vec![self.rng.random(); size];
            self.store.write(self.now, key, (!is_removed).then_some(bytes));
            // Other kinds of objects are written, too.
            self.store.revision += self.rng.random_range(0..3);
        }
    }

    fn step(&mut self) {
        self.tick += 1;
        self.now += TICK;
        if self.tick.is_multiple_of(100) {
            self.copies.push(self.store.clone());
        }
        if self.faults.restored == Some(self.tick)
            && let Some(copy) = self.copies.pop()
        {
            self.store = Store { era: self.store.era + 1, changes: Vec::new(), ..copy };
            let era = self.store.era;
            // Entries in the copy are of the era of the answers that they are read from.
            self.store.list.values_mut().for_each(|(version, _)| version.era = era);
        }
        for host in 0..HOSTS {
            if self.is_frozen(host) {
                self.hosts[host].awake_since = self.now;
                continue;
            }
            if self.faults.restarts.contains(&(host, self.tick)) {
                self.hosts[host] = Host::new(self.now);
            }
            let now = self.now;
            let due = |(at, to, _): &mut (Time, usize, Message)| *at <= now && *to == host;
            let received: Vec<_> = self.under_way.extract_if(.., due).collect();
            for (.., message) in received {
                self.receive(host, message);
            }
            self.run(host);
        }
    }

    fn receive(&mut self, host: usize, message: Message) {
        let is_old = self.faults.old.contains(&host);
        let now = self.now;
        let own = &mut self.hosts[host];
        match message {
            Message::Changes(_) | Message::Ask(..) if is_old => {}
            Message::Changes(passed) => {
                let era = own.era;
                let applied = own.feed.apply(now, host as u32, era, passed, &mut own.freshness);
                own.apply(applied.changes);
                self.tell_latest(host, applied.is_later);
            }
            Message::Ask(question, from) => {
                for passed in own.feed.answer(now, own.era, &question, &own.freshness) {
                    self.send(host, from, Message::Changes(passed));
                }
            }
            Message::Latest(latest) => {
                let is_later = own.freshness.hear(now, latest);
                self.tell_latest(host, is_later);
            }
            Message::Confirm(sent, from) => {
                let progress = own.freshness.progress(now);
                self.send(host, from, Message::Progress(sent, progress));
            }
            Message::Progress(sent, Some(progress)) => {
                own.freshness.apply_progress(now, sent, &progress);
            }
            Message::Progress(_, None) => {}
        }
    }

    fn tell_latest(&mut self, host: usize, is_later: bool) {
        let latest = self.hosts[host].freshness.latest();
        for _ in 0..if is_later { 3 } else { 0 } {
            let to = self.rng.random_range(0..HOSTS);
            self.send(host, to, Message::Latest(latest));
        }
    }

    /// Other pollers that `host` takes to be alive.
    fn pollers(&self, host: usize) -> Vec<usize> {
        let is_alive = |poller: &usize| {
            self.now.since(self.hosts[*poller].awake_since) > Duration::ZERO
                || !self.faults.frozen.iter().any(|(at, start, _)| {
                    at == poller && TICK * self.tick.saturating_sub(*start) > LIVENESS
                })
        };
        (0..POLLERS).filter(|poller| *poller != host).filter(is_alive).collect()
    }

    fn run(&mut self, host: usize) {
        let (now, is_poller) = (self.now, host < POLLERS);
        let pollers = self.pollers(host);
        if now >= self.hosts[host].confirm_at {
            self.hosts[host].confirm_at = now + Duration::from_millis(700);
            if let Some(poller) = pollers.choose(&mut self.rng) {
                self.send(host, *poller, Message::Confirm(now, host));
            }
        }
        let own = &mut self.hosts[host];
        // A new era is heard of within a few rounds.
        if own.era < self.store.era && self.rng.random_bool(0.1) {
            own.era = self.store.era;
            return own.start_list(now);
        }
        let conditions = FeedConditions {
            is_poller,
            pollers: if self.faults.old.contains(&host) { 0 } else { pollers.len() },
            is_store_down: false,
            era: own.era,
        };
        match own.mode {
            Mode::Listing(sent) if now > sent => {
                own.era = self.store.era;
                let (list, version) = (self.store.list.clone(), self.store.version());
                let is_missing = own.list.keys().any(|key| !list.contains_key(key));
                own.seen.extend(list.iter().map(|(key, (version, _))| (key.clone(), *version)));
                let newest = list.values().map(|(version, _)| *version).max();
                own.list = list;
                own.feed.record_list(now, version);
                let is_later = own.freshness.record_list(sent, version, newest, is_missing);
                own.start_watch(now, is_poller);
                self.tell_latest(host, is_later);
            }
            Mode::Watching { sent, wait, after } => {
                let is_same_era = after.era == self.store.era;
                let changes = if is_same_era { self.store.since(after) } else { Vec::new() };
                let at = if changes.is_empty() { sent + wait } else { sent };
                let is_overdue = own.freshness.watch_due(wait).is_some_and(|due| now >= due);
                if now > sent && is_same_era && (!changes.is_empty() || now >= sent + wait) {
                    let version = self.store.version();
                    let newest = changes.last().map(Change::version);
                    let new = own.feed.record_read(now, &changes, version);
                    own.apply(new);
                    let is_later = own.freshness.record_changes(sent, at, version, newest);
                    if changes.is_empty() {
                        return own.start_watch(now, is_poller);
                    }
                    let reason = own.feed.read_reason(now, &own.freshness, &conditions);
                    own.mode = match reason {
                        None => Mode::Following,
                        Some(ReadReason::Poller) => {
                            Mode::Paused(now + own.feed.poller_pause(now, &own.freshness))
                        }
                        Some(_) => Mode::Paused(now + LIMIT.mul_f64(0.3)),
                    };
                    own.feed.set_following(reason.is_none());
                    self.tell_latest(host, is_later);
                    self.pass_on(host);
                } else if is_overdue {
                    own.start_watch(now, is_poller);
                }
            }
            Mode::Paused(until) if now >= until => own.start_watch(now, is_poller),
            Mode::Following => {
                if own.feed.read_reason(now, &own.freshness, &conditions).is_some() {
                    own.feed.set_following(false);
                    own.start_watch(now, is_poller);
                } else if let Some(request) =
                    own.feed.next_request(now, host as u32, &own.freshness)
                    && let Some(poller) = pollers.choose(&mut self.rng)
                {
                    self.send(host, *poller, Message::Ask(request, host));
                }
            }
            Mode::Listing(_) | Mode::Paused(_) => {}
        }
    }

    fn pass_on(&mut self, host: usize) {
        let own = &mut self.hosts[host];
        let news = own.feed.take_news(own.era, 20);
        if host >= POLLERS || self.faults.old.contains(&host) {
            return;
        }
        for follower in (POLLERS..HOSTS).filter(|follower| follower % POLLERS != host) {
            for passed in &news {
                self.send(host, follower, Message::Changes(passed.clone()));
            }
        }
    }

    /// Checks that no host that runs holds an entry that was removed or replaced `LIMIT` ago.
    fn check_removals(&self) {
        for (index, host) in self.hosts.iter().enumerate() {
            let is_judged = self.now.since(host.awake_since) > LIMIT && host.era == self.store.era;
            let old = self.store.changes.iter().take_while(|(at, _)| self.now.since(*at) > LIMIT);
            for (_, change) in old.filter(|_| is_judged) {
                let (Change::Put(Object { key, .. }) | Change::Delete { key, .. }) = change;
                let held = host.list.get(key).map(|(version, _)| *version);
                let is_known = held.is_none_or(|held| held >= change.version());
                assert!(is_known, "host {index} misses {change:?} at tick {}", self.tick);
            }
        }
    }

    /// Runs for `ticks`, changing targets with this chance in each tick.
    pub(crate) fn run_for(&mut self, ticks: u32, chance: f64) {
        for _ in 0..ticks {
            if self.rng.random_bool(chance) {
                let count = if self.rng.random_bool(0.1) { 30 } else { 1 };
                self.change_targets(count);
            }
            let before: Vec<_> = self.hosts.iter().map(|host| host.feed.position()).collect();
            self.step();
            for (host, before) in self.hosts.iter().zip(before) {
                let after = host.feed.position();
                let is_new = host.awake_since == self.now;
                assert!(is_new || after.is_none() || after >= before, "{before:?} to {after:?}");
            }
            self.check_removals();
        }
    }
}
