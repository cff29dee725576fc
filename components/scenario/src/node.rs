//! One process of a scenario: every machine of the library, wired together.

mod calls;
pub(crate) mod message;
mod operators;
pub(crate) mod owner;
mod stop;
mod usage;

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use chervilgate_clock::Time;
use chervilgate_coord::{
    CallIds, Guards, Node, Protocol, Step, Terms,
    claim::{ClaimTable, Directory, Keeper as ClaimKeeper, Memory, Record, TableAction},
    decode, encode,
    membership::{Membership, Standing},
    view::{Keeper, KeeperAction, KeeperEvent, PeerMessage},
};
use chervilgate_testbed::{Birth, Factory, Input, Output, Process};

use self::{
    calls::{Ended, Gate, Jobs, Waiter, admit_scoped, hash_key, tell_caller},
    message::{Call, Command, End, NodeMessage, Once},
    operators::Operators,
    owner::Owner,
    stop::Stop,
    usage::Usage,
};
use crate::told::{Ledger, Told};

/// What nodes are made of.
#[derive(Debug, Clone)]
pub(crate) struct NodeSetting {
    /// Addresses of all entries.
    pub(crate) seeds: Vec<SocketAddr>,
    /// Availability zones.
    pub(crate) zones: Vec<String>,
    /// How long a usage window is open.
    pub(crate) window: Duration,
    /// Protections; all on but in tests of the tests.
    pub(crate) guards: Guards,
    /// What operators are told.
    pub(crate) ledger: Ledger,
}

/// Between two looks at the members.
const MEMBERS_SPAN: Duration = Duration::from_secs(1);

/// How long a forwarded request may take beyond its run.
const FORWARD_SPAN: Duration = Duration::from_secs(4);

/// How long a claim in the platform may take.
const CLAIM_SPAN: Duration = Duration::from_secs(5);

struct Forward {
    call: Call,
    until: Time,
}

/// An entry host's process.
pub(crate) struct EntryNode {
    me: Node,
    setting: NodeSetting,
    ids: CallIds,
    keeper: Keeper,
    membership: Membership,
    members: Vec<Node>,
    members_at: Time,
    directory: Directory,
    memory: Memory,
    table: ClaimTable,
    jobs: Jobs,
    forwards: BTreeMap<u64, Forward>,
    forward_count: u64,
    operators: Operators,
    owner: Owner,
    usage: Usage,
    stop: Stop,
    wake: Time,
}

impl EntryNode {
    /// Makes entries of these settings.
    pub(crate) fn factory(setting: NodeSetting) -> Factory {
        Box::new(move |birth| Box::new(EntryNode::new(birth, setting.clone())))
    }

    fn new(birth: &Birth, setting: NodeSetting) -> EntryNode {
        let me = birth.node.clone();
        let id = me.incarnation;
        let ids = |machine: u64| CallIds::from(machine << 48 | 1);
        let terms = Terms::default();
        let seeds = setting.seeds.iter().copied().filter(|addr| *addr != me.addr).collect();
        EntryNode {
            ids: ids(1),
            keeper: Keeper::new(me.clone(), seeds, ids(2), birth.seed).with_guards(setting.guards),
            membership: Membership::new(me.clone(), terms.patience() + terms.list * 2),
            members: Vec::new(),
            members_at: Time::ZERO,
            directory: Directory::new(id),
            memory: Memory::new(id, Time::ZERO),
            table: ClaimTable::new(id, ids(3), birth.seed ^ 3).with_guards(setting.guards),
            jobs: Jobs::new(id),
            forwards: BTreeMap::new(),
            forward_count: 0,
            operators: Operators::new(birth.seed ^ 4),
            owner: Owner::new(&me, &setting, terms, ids(5), birth.seed ^ 5),
            usage: Usage::new(id, setting.window, setting.guards, birth.seed ^ 6),
            stop: Stop::default(),
            wake: Time::ZERO,
            me,
            setting,
        }
    }

    fn input(&mut self, now: Time, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Start | Input::Wake => {}
            Input::Stop => self.begin_stop(now),
            Input::Store { id, reply } => self.store_replied(now, id, &reply, out),
            Input::Answer { id, reply } => {
                if let Some(ended) = self.jobs.answered(now, id, &reply) {
                    self.end_calls(ended, out);
                } else if let Some(actions) = self.operators.answered(now, id, &reply) {
                    self.act_on_operators(now, actions, out);
                } else {
                    self.owner.answered(now, id, &reply, out);
                }
            }
            Input::Probe { id, reply } => {
                if id.0 >> 48 == 2 {
                    self.keep(now, KeeperEvent::Probed { id, reply }, out);
                } else if let Some(actions) = self.operators.probed(now, &mut self.ids, id, &reply)
                {
                    self.act_on_operators(now, actions, out);
                } else {
                    self.owner.probed(now, id, reply, out);
                }
            }
            Input::Hosts(hosts) => {
                self.membership.note_hosts(&hosts);
                self.owner.hosts(now, hosts, out);
            }
            Input::Peer { from, body } => match decode::<NodeMessage>(&body) {
                Ok(message) => self.hear(now, from, message, out),
                Err(error) => log_garbled(&error),
            },
            Input::Command(body) => match decode::<Command>(&body) {
                Ok(command) => self.obey(now, command, out),
                Err(error) => log_garbled(&error),
            },
        }
    }

    fn store_replied(
        &mut self,
        now: Time,
        id: chervilgate_coord::CallId,
        reply: &chervilgate_coord::StoreReply,
        out: &mut Vec<Output>,
    ) {
        match id.0 >> 48 {
            2 => {
                let event = KeeperEvent::Reply { id, reply: reply.clone() };
                self.keep(now, event, out);
            }
            3 => {
                if let Some(actions) = self.table.reply(now, id, reply) {
                    self.act_on_table(actions, out);
                }
            }
            5 => self.owner.replied(now, id, reply.clone(), out),
            _ => {
                if let Some(actions) = self.operators.replied(now, &mut self.ids, id, reply) {
                    self.act_on_operators(now, actions, out);
                } else {
                    self.usage.replied(now, &mut self.ids, id, reply, out);
                }
            }
        }
    }

    fn hear(&mut self, now: Time, from: SocketAddr, message: NodeMessage, out: &mut Vec<Output>) {
        match message {
            NodeMessage::View(message) => {
                if let PeerMessage::Beat(beat) = &message {
                    self.membership.note_heard(now, beat.from);
                }
                self.keep(now, KeeperEvent::Peer { from, message }, out);
            }
            NodeMessage::Drain(message) => self.hear_drain(now, from, message, out),
            NodeMessage::Forward { call, number } => {
                let waiter = Waiter::Node { addr: from, number };
                self.take_scoped(now, call, waiter, out);
            }
            NodeMessage::Forwarded { number, end } => {
                if let Some(forward) = self.forwards.remove(&number) {
                    out.push(tell_caller(&forward.call, end));
                }
            }
            NodeMessage::Legacies(legacies) => {
                for legacy in legacies {
                    self.directory.note_heir(now, legacy.keeper, self.me.incarnation);
                    self.memory.inherit(now, legacy);
                }
                send(out, from, &NodeMessage::LegaciesTaken(self.me.incarnation), "hand over");
            }
            NodeMessage::LegaciesTaken(heir) => self.heir_found(now, heir, out),
            NodeMessage::Heir { of, heir } => self.directory.note_heir(now, of, heir),
            NodeMessage::Sheet { entry, window, sheet } => {
                self.usage.note_sheet(entry, window, sheet);
            }
        }
    }

    fn obey(&mut self, now: Time, command: Command, out: &mut Vec<Output>) {
        match command {
            Command::Call(call) => self.take_call(now, call, out),
            Command::Publish { config, base, objects, id } => {
                let actions = self.operators.publish(now, &mut self.ids, config, base, objects, id);
                self.act_on_operators(now, actions, out);
            }
            Command::Withdraw { key } => {
                let (id, edit) = self.operators.withdraw(key);
                self.keep(now, KeeperEvent::Submit { id, edit }, out);
            }
            Command::Drain { target } => {
                let (id, edit) = self.operators.drain(target);
                self.keep(now, KeeperEvent::Submit { id, edit }, out);
            }
            Command::Role { target, fencing, role, number } => {
                self.owner.wish_role(target, fencing, role, number);
            }
            Command::Reclaim { zone, number, lost } => self.owner.reclaim(&zone, number, lost),
        }
    }

    fn keep(&mut self, now: Time, event: KeeperEvent, out: &mut Vec<Output>) {
        for action in self.keeper.handle(now, event) {
            match action {
                KeeperAction::Call { id, step, call } => {
                    out.push(Output::Store { id, step, call });
                }
                KeeperAction::Send { to, step, message } => {
                    let body = encode(&NodeMessage::View(message));
                    out.push(Output::Peer { step, to, body });
                }
                KeeperAction::Probe { id, step, addr } => {
                    out.push(Output::Probe { id, step, addr });
                }
                KeeperAction::Adopted(seq) => self.adopted(now, seq, out),
                KeeperAction::Accepted { edit, seq } => self.accepted(now, edit, seq, out),
                KeeperAction::Rejected { edit, error } => {
                    let actions = self.operators.rejected(now, &mut self.ids, edit, &error);
                    self.act_on_operators(now, actions, out);
                }
            }
        }
    }

    fn take_call(&mut self, now: Time, call: Call, out: &mut Vec<Output>) {
        let refused = self.gate(now).admit(&call).is_none() || self.stop.refuses(now);
        match &call.once {
            None if refused => out.push(tell_caller(&call, End::NotRun)),
            None => {
                self.jobs.add(call, Waiter::Caller, false);
            }
            // What came of another attempt is only known in the platform.
            Some(Once::Unscoped(_)) if refused => out.push(tell_caller(&call, End::Unknown)),
            Some(Once::Unscoped(key)) => {
                let (key, owner) = (key.clone(), call.key.clone().unwrap_or_default());
                let ticket = self.jobs.add(call, Waiter::Caller, true);
                let until = now + CLAIM_SPAN;
                let actions = self.table.claim(now, ticket, &owner, &key, until);
                self.act_on_table(actions, out);
            }
            // Only its keeper knows what came of an earlier attempt, and its
            // keeper checks the key.
            Some(Once::Scoped(key)) => match self.directory.find(key.scope) {
                ClaimKeeper::Here => self.take_scoped(now, call, Waiter::Caller, out),
                ClaimKeeper::At(node) => self.forward(now, call, &node, out),
                ClaimKeeper::Gone => out.push(tell_caller(&call, End::Unknown)),
            },
        }
    }

    fn take_scoped(&mut self, now: Time, call: Call, waiter: Waiter, out: &mut Vec<Output>) {
        let Some(Once::Scoped(key)) = call.once.clone() else {
            return;
        };
        if call.key.as_ref().is_some_and(|key| self.is_withdrawn(key)) {
            tell_waiters(&Ended { call, waiters: vec![waiter], end: End::Unknown }, out);
            return;
        }
        let ended = admit_scoped(now, &mut self.memory, &mut self.jobs, call, &key, waiter);
        if let Some(ended) = ended {
            tell_waiters(&ended, out);
        }
    }

    fn forward(&mut self, now: Time, call: Call, node: &Node, out: &mut Vec<Output>) {
        self.forward_count += 1;
        let number = self.forward_count;
        let until = now + call.takes + FORWARD_SPAN;
        let message = NodeMessage::Forward { call: call.clone(), number };
        send(out, node.addr, &message, "forward");
        self.forwards.insert(number, Forward { call, until });
    }

    fn act_on_table(
        &mut self,
        actions: impl IntoIterator<Item = TableAction>,
        out: &mut Vec<Output>,
    ) {
        for action in actions {
            let ended = match action {
                TableAction::Call { id, step, call } => {
                    out.push(Output::Store { id, step, call });
                    None
                }
                TableAction::Run(ticket) => self.jobs.claimed(ticket, None),
                TableAction::Taken(ticket) => self.jobs.claimed(ticket, Some(End::Unknown)),
                TableAction::Refused(ticket) => self.jobs.claimed(ticket, Some(End::Unknown)),
            };
            self.end_calls(ended.into_iter().collect(), out);
        }
    }

    fn end_calls(&mut self, ended: Vec<Ended>, out: &mut Vec<Output>) {
        for ended in ended {
            if let Some(Once::Scoped(key)) = &ended.call.once {
                match ended.end {
                    End::Answered { .. } => {
                        self.memory.finish(key, Record::Ran(Some(Vec::new())));
                    }
                    End::NotRun => self.memory.cancel(key),
                    End::Unknown => self.memory.finish(key, Record::Unknown),
                }
            }
            if let (End::Answered { .. }, Some(key)) = (ended.end, &ended.call.key) {
                self.usage.count(key);
            }
            tell_waiters(&ended, out);
        }
    }

    fn is_withdrawn(&self, key: &str) -> bool {
        self.keeper.holder().is_withdrawn(&hash_key(key))
    }

    fn gate(&self, now: Time) -> Gate<'_> {
        Gate { verdict: self.keeper.check(now), holder: self.keeper.holder() }
    }

    fn run_timers(&mut self, now: Time, out: &mut Vec<Output>) {
        if self.owner.is_sealed() {
            self.begin_stop(now);
        }
        self.owner.set_busy(!self.stop.is_releasing());
        self.owner.wake(now, out);
        self.look_at_members(now, out);
        self.keep(now, KeeperEvent::Tick, out);
        let actions = self.table.advance(now);
        self.act_on_table(actions, out);
        let gate = Gate { verdict: self.keeper.check(now), holder: self.keeper.holder() };
        let ended = self.jobs.advance(now, &mut self.ids, &gate, out);
        self.end_calls(ended, out);
        let actions = self.operators.advance(now, &mut self.ids);
        self.act_on_operators(now, actions, out);
        self.run_usage(now, out);
        self.forwards.retain(|_, forward| {
            let over = forward.until <= now;
            if over {
                out.push(tell_caller(&forward.call, End::Unknown));
            }
            !over
        });
        self.advance_stop(now, out);
    }

    fn look_at_members(&mut self, now: Time, out: &mut Vec<Output>) {
        if now < self.members_at {
            return;
        }
        self.members_at = now + MEMBERS_SPAN;
        self.membership.note_sessions(self.owner.sightings());
        let beliefs = self.membership.beliefs(now).into_iter();
        let known = beliefs.filter(|belief| belief.standing < Standing::Replaced);
        let known: Vec<Node> = known.map(|belief| belief.node).collect();
        self.directory.set_members(&known);
        let members = self.membership.live(now);
        if members == self.members {
            return;
        }
        let present: BTreeSet<_> = members.iter().map(|node| node.incarnation).collect();
        let gone = self.members.iter().filter(|node| !present.contains(&node.incarnation));
        let gone: Vec<_> = gone.map(|node| node.incarnation).collect();
        for entry in gone {
            self.usage.take_over(now, entry);
        }
        self.keep(now, KeeperEvent::Members(members.clone()), out);
        self.members = members;
    }
}

impl Process for EntryNode {
    fn handle(&mut self, now: Time, input: Input) -> Vec<Output> {
        let mut out = Vec::new();
        self.input(now, input, &mut out);
        self.run_timers(now, &mut out);
        let forwards = self.forwards.values().map(|forward| forward.until);
        let wake = forwards
            .chain([
                self.members_at,
                self.keeper.wake_at(),
                self.table.wake_at(),
                self.jobs.wake_at(),
                self.operators.wake_at(),
                self.owner.wake_at(),
                self.usage.wake_at(),
                self.stop.wake_at(),
            ])
            .min()
            .unwrap_or(Time::NEVER);
        // Whatever is due again at once has waited for something else.
        self.wake = wake.max(now + Duration::from_millis(1));
        out
    }

    fn wake_at(&self) -> Time {
        self.wake
    }
}

fn tell_waiters(ended: &Ended, out: &mut Vec<Output>) {
    for waiter in &ended.waiters {
        match waiter {
            Waiter::Caller => out.push(tell_caller(&ended.call, ended.end)),
            Waiter::Node { addr, number } => {
                let message = NodeMessage::Forwarded { number: *number, end: ended.end };
                send(out, *addr, &message, "answer forwarded");
            }
        }
    }
}

fn send(out: &mut Vec<Output>, to: SocketAddr, message: &NodeMessage, name: &'static str) {
    let step = Step::new(Protocol::Claim, name);
    out.push(Output::Peer { step, to, body: encode(message) });
}

fn log_garbled(error: &chervilgate_coord::DecodeError) {
    log::warn!(target: "scenario", error:% = error; "message does not decode");
}

impl EntryNode {
    fn adopted(&mut self, now: Time, seq: chervilgate_coord::view::Seq, out: &mut Vec<Output>) {
        let config = chervilgate_coord::Version(seq.0);
        out.push(Output::Record(chervilgate_testbed::Fact::Adopted { config }));
        self.setting.ledger.tell(now, Told::Adopted { seq });
    }
}
