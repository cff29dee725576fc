//! Two print servers share a queue of jobs without a coordination service.
//!
//! The queue is a shard, and the printer is a receiver that does not check
//! fencing tokens. The store is a map in memory and the time is simulated; a
//! real program calls its own store and clock in the same places.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    time::Duration,
};

use chervilgate_clock::Time;
use chervilgate_coord::{
    Action, Actions, Authority, AuthorityConfig, CallId, CallIds, Event, Expect, Guards,
    Incarnation, Node, Notice, Object, OrderReply, ProbeReply, ReceiverId, ShardId, StoreCall,
    StoreReply, Timings, Version, Zone, intent::NewOrder,
};

/// An in-memory store with conditional updates.
#[derive(Default)]
struct Store {
    objects: BTreeMap<String, Object>,
    version: u64,
}

impl Store {
    fn call(&mut self, call: StoreCall) -> StoreReply {
        match call {
            StoreCall::Get { key } => StoreReply::Found(self.objects.get(&key).cloned()),
            StoreCall::Put { key, expect, value } => self.put(key, expect, value),
            StoreCall::List { prefix } => {
                let matches = |object: &&Object| object.key.starts_with(&prefix);
                let objects = self.objects.values().filter(matches).cloned().collect();
                StoreReply::Listed { objects, version: Version::first_era(self.version) }
            }
            StoreCall::Watch { .. } => StoreReply::Compacted,
            StoreCall::Delete { .. } => StoreReply::Refused,
        }
    }

    fn put(&mut self, key: String, expect: Expect, value: Vec<u8>) -> StoreReply {
        let current = self.objects.get(&key);
        let condition_met = match expect {
            Expect::Absent => current.is_none(),
            Expect::At(version) => current.is_some_and(|object| object.version == version),
        };
        if !condition_met {
            return StoreReply::Conflict(current.cloned());
        }
        self.version += 1;
        let version = Version::first_era(self.version);
        self.objects.insert(key.clone(), Object { key, version, value });
        StoreReply::Written(version)
    }
}

/// One print server.
struct Server {
    name: &'static str,
    authority: Authority,
    /// The pending watch on the store.
    watch: Option<CallId>,
    alive: bool,
}

impl Server {
    fn new(name: &'static str, number: u16, queue: &ShardId) -> Server {
        let addr = SocketAddr::from(([127, 0, 0, 1], 7_000 + number));
        let incarnation = Incarnation(u64::from(number));
        let node = Node { incarnation, addr, zone: Zone("office".to_owned()) };
        let authority = Authority::new(AuthorityConfig {
            node,
            shards: vec![queue.clone()],
            terms: Timings::default(),
            guards: Guards::default(),
            trust_list: false,
            seed: u64::from(number),
            calls: CallIds::from(1),
        });
        Server { name, authority, watch: None, alive: true }
    }

    /// Executes actions and passes their results back until no action is left.
    fn execute(&mut self, now: Time, actions: Actions, store: &mut Store) {
        let mut queue: VecDeque<Action> = actions.into_iter().collect();
        while let Some(action) = queue.pop_front() {
            let event = match action {
                Action::Store { id, call: StoreCall::Watch { .. }, .. } => {
                    self.watch = Some(id);
                    continue;
                }
                Action::Store { id, call, .. } => Event::Reply { id, reply: store.call(call) },
                Action::Send { id, order, deadline, .. } => {
                    let reply = self.print(now, &order.body, deadline);
                    Event::Answer { id, reply }
                }
                // In this example a server is probed only after it was killed.
                Action::Probe { id, .. } => Event::Probed { id, reply: ProbeReply::Refused },
                Action::Notice(notice) => {
                    self.report(now, &notice);
                    continue;
                }
            };
            queue.extend(self.authority.handle(now, event));
        }
    }

    fn print(&self, now: Time, body: &[u8], deadline: Time) -> OrderReply {
        if now >= deadline {
            return OrderReply::NotSent;
        }
        println!("{now} {} prints {}", self.name, String::from_utf8_lossy(body));
        OrderReply::Done
    }

    fn report(&self, now: Time, notice: &Notice) {
        match notice {
            Notice::Gained { shard, epoch } => {
                println!("{now} {} owns {shard}, epoch {}", self.name, epoch.0);
            }
            Notice::Lost { shard } => println!("{now} {} no longer owns {shard}", self.name),
            Notice::Ended => println!("{now} {} has ended", self.name),
            _ => {}
        }
    }

    fn step(&mut self, now: Time, job: NewOrder, store: &mut Store) {
        if !self.alive {
            return;
        }
        let event = match self.watch.take() {
            Some(id) => Event::Reply { id, reply: StoreReply::Compacted },
            None => Event::Wake,
        };
        let actions = self.authority.handle(now, event);
        self.execute(now, actions, store);
        if let Ok(actions) = self.authority.request_order(now, job) {
            self.execute(now, actions, store);
        }
    }
}

fn main() {
    let queue = ShardId("print-queue".to_owned());
    let printer = ReceiverId { shard: queue.clone(), name: "ground-floor".to_owned() };
    let mut store = Store::default();
    let mut servers = [Server::new("first", 1, &queue), Server::new("second", 2, &queue)];
    let mut now = Time::from_secs(1);

    for tick in 0..80_u64 {
        // `cause` ensures that a job is printed at most once, whoever owns the queue.
        let number = 1 + tick / 10;
        let job = NewOrder {
            receiver: printer.clone(),
            fencing: false,
            body: format!("job {number}").into_bytes(),
            cause: Some(number),
        };
        for server in &mut servers {
            server.step(now, job.clone(), &mut store);
        }
        if tick == 35 {
            let owner = servers.iter_mut().find(|server| server.authority.owned(now).count() > 0);
            if let Some(owner) = owner {
                println!("{now} {} is killed", owner.name);
                owner.alive = false;
            }
        }
        now += Duration::from_millis(500);
    }
}
