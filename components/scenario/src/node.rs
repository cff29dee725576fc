//! The process of an entry host, which combines the state machines of `chervilgate-coord`.

mod calls;
pub(crate) mod message;
mod operators;
pub(crate) mod owner;
mod shutdown;
mod usage;

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use chervilgate_clock::Time;
use chervilgate_coord::{
    CallIds, Guards, Node, Protocol, Step, Timings,
    claim::{ClaimAction, ClaimTable, IdempotencyKeys, RequestState, ScopeDirectory, ScopeHolder},
    decode, encode,
    membership::{MemberState, Membership},
    view::{PeerMessage, ViewAction, ViewEvent, ViewManager},
};
use chervilgate_testbed::{Factory, Input, Output, Process, ProcessContext};

use self::{
    calls::{AccessCheck, FinishedCall, Jobs, Waiter, admit_scoped, hash_key, reply_to_caller},
    message::{Call, CallOutcome, Command, NodeMessage, OnceKey},
    operators::Operators,
    owner::Owner,
    shutdown::Shutdown,
    usage::Usage,
};
use crate::operator_log::{OperatorEvent, OperatorLog};

/// Settings shared by all nodes of a run.
#[derive(Debug, Clone)]
pub(crate) struct NodeSettings {
    /// Addresses of all entries; a node contacts the others to join.
    pub(crate) seeds: Vec<SocketAddr>,
    /// Availability zones of all entries and targets.
    pub(crate) zones: Vec<String>,
    /// Length of a usage window.
    pub(crate) window: Duration,
    /// Safety checks of the protocols; only tests of the invariant checker turn some off.
    pub(crate) guards: Guards,
    /// Receives the events reported to operators.
    pub(crate) operator_log: OperatorLog,
}

/// Interval between updates of the member list.
const MEMBERSHIP_INTERVAL: Duration = Duration::from_secs(1);

/// Time limit of a forwarded request, in addition to its run time.
const FORWARD_TIMEOUT: Duration = Duration::from_secs(4);

/// Time limit of a claim in the store.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(5);

struct Forward {
    call: Call,
    until: Time,
}

/// The process of an entry host.
pub(crate) struct EntryNode {
    me: Node,
    settings: NodeSettings,
    ids: CallIds,
    view: ViewManager,
    membership: Membership,
    members: Vec<Node>,
    members_due: Time,
    directory: ScopeDirectory,
    memory: IdempotencyKeys,
    claims: ClaimTable,
    jobs: Jobs,
    forwards: BTreeMap<u64, Forward>,
    forward_count: u64,
    operators: Operators,
    owner: Owner,
    usage: Usage,
    shutdown: Shutdown,
    wake: Time,
}

impl EntryNode {
    /// Returns a factory of entry processes with these settings.
    pub(crate) fn factory(settings: NodeSettings) -> Factory {
        Box::new(move |context| Box::new(EntryNode::new(context, settings.clone())))
    }

    fn new(context: &ProcessContext, settings: NodeSettings) -> EntryNode {
        let me = context.node.clone();
        let id = me.incarnation;
        // The top 16 bits of a call id name the component that made the call.
        let ids = |component: u64| CallIds::from(component << 48 | 1);
        let terms = Timings::default();
        let seeds = settings.seeds.iter().copied().filter(|addr| *addr != me.addr).collect();
        EntryNode {
            ids: ids(1),
            view: ViewManager::new(me.clone(), seeds, ids(2), context.seed)
                .with_guards(settings.guards),
            membership: Membership::new(me.clone(), terms.seal_delay() + terms.list_interval * 2),
            members: Vec::new(),
            members_due: Time::ZERO,
            directory: ScopeDirectory::new(id),
            memory: IdempotencyKeys::new(id, Time::ZERO),
            claims: ClaimTable::new(id, ids(3), context.seed ^ 3).with_guards(settings.guards),
            jobs: Jobs::new(id),
            forwards: BTreeMap::new(),
            forward_count: 0,
            operators: Operators::new(context.seed ^ 4),
            owner: Owner::new(&me, &settings, terms, ids(5), context.seed ^ 5),
            usage: Usage::new(id, settings.window, settings.guards, context.seed ^ 6),
            shutdown: Shutdown::default(),
            wake: Time::ZERO,
            me,
            settings,
        }
    }

    fn handle_input(&mut self, now: Time, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Start | Input::Wake => {}
            Input::Stop => self.begin_shutdown(now),
            Input::Store { id, reply } => self.handle_store_reply(now, id, &reply, out),
            Input::Answer { id, reply } => {
                if let Some(finished) = self.jobs.handle_answer(now, id, &reply) {
                    self.finish_calls(finished, out);
                } else if let Some(actions) = self.operators.handle_answer(now, id, &reply) {
                    self.apply_operator_actions(now, actions, out);
                } else {
                    self.owner.handle_answer(now, id, &reply, out);
                }
            }
            Input::Probe { id, reply } => {
                if id.0 >> 48 == 2 {
                    self.handle_view_event(now, ViewEvent::Probed { id, reply }, out);
                } else if let Some(actions) =
                    self.operators.handle_probe(now, &mut self.ids, id, &reply)
                {
                    self.apply_operator_actions(now, actions, out);
                } else {
                    self.owner.handle_probe(now, id, reply, out);
                }
            }
            Input::Hosts(hosts) => {
                self.membership.note_hosts(&hosts);
                self.owner.set_hosts(now, hosts, out);
            }
            Input::Peer { from, body } => match decode::<NodeMessage>(&body) {
                Ok(message) => self.handle_message(now, from, message, out),
                Err(error) => log_decode_error(&error),
            },
            Input::Command(body) => match decode::<Command>(&body) {
                Ok(command) => self.handle_command(now, command, out),
                Err(error) => log_decode_error(&error),
            },
        }
    }

    fn handle_store_reply(
        &mut self,
        now: Time,
        id: chervilgate_coord::CallId,
        reply: &chervilgate_coord::StoreReply,
        out: &mut Vec<Output>,
    ) {
        match id.0 >> 48 {
            2 => {
                let event = ViewEvent::Reply { id, reply: reply.clone() };
                self.handle_view_event(now, event, out);
            }
            3 => {
                if let Some(actions) = self.claims.reply(now, id, reply) {
                    self.apply_claim_actions(actions, out);
                }
            }
            5 => self.owner.handle_reply(now, id, reply.clone(), out),
            _ => {
                if let Some(actions) = self.operators.handle_reply(now, &mut self.ids, id, reply) {
                    self.apply_operator_actions(now, actions, out);
                } else {
                    self.usage.handle_reply(now, &mut self.ids, id, reply, out);
                }
            }
        }
    }

    fn handle_message(
        &mut self,
        now: Time,
        from: SocketAddr,
        message: NodeMessage,
        out: &mut Vec<Output>,
    ) {
        match message {
            NodeMessage::View(message) => {
                if let PeerMessage::Beat(beat) = &message {
                    self.membership.note_heard(now, beat.from);
                }
                self.handle_view_event(now, ViewEvent::Peer { from, message }, out);
            }
            NodeMessage::Drain(message) => self.handle_drain_message(now, from, message, out),
            NodeMessage::Forward { call, number } => {
                let waiter = Waiter::Node { addr: from, number };
                self.handle_scoped(now, call, waiter, out);
            }
            NodeMessage::Forwarded { number, end } => {
                if let Some(forward) = self.forwards.remove(&number) {
                    out.push(reply_to_caller(&forward.call, end));
                }
            }
            NodeMessage::Legacies(transfers) => {
                for transfer in transfers {
                    self.directory.add_successor(now, transfer.keeper, self.me.incarnation);
                    self.memory.import_keys(now, transfer);
                }
                send(out, from, &NodeMessage::LegaciesTaken(self.me.incarnation), "hand over");
            }
            NodeMessage::LegaciesTaken(successor) => self.successor_confirmed(now, successor, out),
            NodeMessage::Heir { of, heir: successor } => {
                self.directory.add_successor(now, of, successor)
            }
            NodeMessage::Sheet { entry, window, sheet } => {
                self.usage.note_sheet(entry, window, sheet);
            }
        }
    }

    fn handle_command(&mut self, now: Time, command: Command, out: &mut Vec<Output>) {
        match command {
            Command::Call(call) => self.handle_call(now, call, out),
            Command::Publish { config, base, objects, id } => {
                let actions = self.operators.publish(now, &mut self.ids, config, base, objects, id);
                self.apply_operator_actions(now, actions, out);
            }
            Command::Withdraw { key } => {
                let (id, edit) = self.operators.withdraw(key);
                self.handle_view_event(now, ViewEvent::Submit { id, edit }, out);
            }
            Command::Drain { target } => {
                let (id, edit) = self.operators.drain(target);
                self.handle_view_event(now, ViewEvent::Submit { id, edit }, out);
            }
            Command::Role { target, fencing, role, number } => {
                self.owner.set_role(target, fencing, role, number);
            }
            Command::Reclaim { zone, number, lost } => self.owner.reclaim(&zone, number, lost),
        }
    }

    fn handle_view_event(&mut self, now: Time, event: ViewEvent, out: &mut Vec<Output>) {
        for action in self.view.handle(now, event) {
            match action {
                ViewAction::Call { id, step, call } => {
                    out.push(Output::Store { id, step, call });
                }
                ViewAction::Send { to, step, message } => {
                    let body = encode(&NodeMessage::View(message));
                    out.push(Output::Peer { step, to, body });
                }
                ViewAction::Probe { id, step, addr } => {
                    out.push(Output::Probe { id, step, addr });
                }
                ViewAction::Adopted(seq) => self.view_adopted(now, seq, out),
                ViewAction::Accepted { edit, seq } => self.edit_accepted(now, edit, seq, out),
                ViewAction::Rejected { edit, error } => {
                    let actions = self.operators.edit_rejected(now, &mut self.ids, edit, &error);
                    self.apply_operator_actions(now, actions, out);
                }
            }
        }
    }

    fn handle_call(&mut self, now: Time, call: Call, out: &mut Vec<Output>) {
        let refused = self.access(now).admit(&call).is_none() || self.shutdown.refuses_calls(now);
        match &call.once {
            None if refused => out.push(reply_to_caller(&call, CallOutcome::NotRun)),
            None => {
                self.jobs.add(call, Waiter::Caller, false);
            }
            // Whether an earlier attempt ran is recorded only in the store, so the
            // outcome is unknown here.
            Some(OnceKey::Unscoped(_)) if refused => {
                out.push(reply_to_caller(&call, CallOutcome::Unknown))
            }
            Some(OnceKey::Unscoped(key)) => {
                let (key, owner) = (key.clone(), call.key.clone().unwrap_or_default());
                let ticket = self.jobs.add(call, Waiter::Caller, true);
                let until = now + CLAIM_TIMEOUT;
                let actions = self.claims.claim(now, ticket, &owner, &key, until);
                self.apply_claim_actions(actions, out);
            }
            // Only the node that issued the scope has the result of an earlier
            // attempt, and that node checks the API key.
            Some(OnceKey::Scoped(key)) => match self.directory.find(key.scope) {
                ScopeHolder::Local => self.handle_scoped(now, call, Waiter::Caller, out),
                ScopeHolder::Remote(node) => self.forward(now, call, &node, out),
                ScopeHolder::Unknown => out.push(reply_to_caller(&call, CallOutcome::Unknown)),
            },
        }
    }

    fn handle_scoped(&mut self, now: Time, call: Call, waiter: Waiter, out: &mut Vec<Output>) {
        let Some(OnceKey::Scoped(key)) = call.once.clone() else {
            return;
        };
        if call.key.as_ref().is_some_and(|key| self.is_withdrawn(key)) {
            reply_to_waiters(
                &FinishedCall { call, waiters: vec![waiter], end: CallOutcome::Unknown },
                out,
            );
            return;
        }
        let finished = admit_scoped(now, &mut self.memory, &mut self.jobs, call, &key, waiter);
        if let Some(finished) = finished {
            reply_to_waiters(&finished, out);
        }
    }

    fn forward(&mut self, now: Time, call: Call, node: &Node, out: &mut Vec<Output>) {
        self.forward_count += 1;
        let number = self.forward_count;
        let until = now + call.takes + FORWARD_TIMEOUT;
        let message = NodeMessage::Forward { call: call.clone(), number };
        send(out, node.addr, &message, "forward");
        self.forwards.insert(number, Forward { call, until });
    }

    fn apply_claim_actions(
        &mut self,
        actions: impl IntoIterator<Item = ClaimAction>,
        out: &mut Vec<Output>,
    ) {
        for action in actions {
            let finished = match action {
                ClaimAction::Call { id, step, call } => {
                    out.push(Output::Store { id, step, call });
                    None
                }
                ClaimAction::Run(ticket) => self.jobs.claim_decided(ticket, None),
                ClaimAction::Taken(ticket) => {
                    self.jobs.claim_decided(ticket, Some(CallOutcome::Unknown))
                }
                ClaimAction::Refused(ticket) => {
                    self.jobs.claim_decided(ticket, Some(CallOutcome::Unknown))
                }
            };
            self.finish_calls(finished.into_iter().collect(), out);
        }
    }

    fn finish_calls(&mut self, finished: Vec<FinishedCall>, out: &mut Vec<Output>) {
        for finished in finished {
            if let Some(OnceKey::Scoped(key)) = &finished.call.once {
                match finished.end {
                    CallOutcome::Answered { .. } => {
                        self.memory.finish(key, RequestState::Ran(Some(Vec::new())));
                    }
                    CallOutcome::NotRun => self.memory.cancel(key),
                    CallOutcome::Unknown => self.memory.finish(key, RequestState::Unknown),
                }
            }
            if let (CallOutcome::Answered { .. }, Some(key)) = (finished.end, &finished.call.key) {
                self.usage.count_request(key);
            }
            reply_to_waiters(&finished, out);
        }
    }

    fn is_withdrawn(&self, key: &str) -> bool {
        self.view.local_view().is_withdrawn(&hash_key(key))
    }

    fn access(&self, now: Time) -> AccessCheck<'_> {
        AccessCheck { status: self.view.check(now), local_view: self.view.local_view() }
    }

    fn run_timers(&mut self, now: Time, out: &mut Vec<Output>) {
        if self.owner.is_sealed() {
            self.begin_shutdown(now);
        }
        self.owner.set_busy(!self.shutdown.is_releasing());
        self.owner.wake(now, out);
        self.update_members(now, out);
        self.handle_view_event(now, ViewEvent::Tick, out);
        let actions = self.claims.advance(now);
        self.apply_claim_actions(actions, out);
        let access =
            AccessCheck { status: self.view.check(now), local_view: self.view.local_view() };
        let finished = self.jobs.advance(now, &mut self.ids, &access, out);
        self.finish_calls(finished, out);
        let actions = self.operators.advance(now, &mut self.ids);
        self.apply_operator_actions(now, actions, out);
        self.advance_usage(now, out);
        self.forwards.retain(|_, forward| {
            let over = forward.until <= now;
            if over {
                out.push(reply_to_caller(&forward.call, CallOutcome::Unknown));
            }
            !over
        });
        self.advance_shutdown(now, out);
    }

    fn update_members(&mut self, now: Time, out: &mut Vec<Output>) {
        if now < self.members_due {
            return;
        }
        self.members_due = now + MEMBERSHIP_INTERVAL;
        self.membership.note_sessions(self.owner.observed_sessions());
        let statuses = self.membership.statuses(now).into_iter();
        let known = statuses.filter(|status| status.state < MemberState::Replaced);
        let known: Vec<Node> = known.map(|status| status.node).collect();
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
        self.handle_view_event(now, ViewEvent::Members(members.clone()), out);
        self.members = members;
    }
}

impl Process for EntryNode {
    fn handle(&mut self, now: Time, input: Input) -> Vec<Output> {
        let mut out = Vec::new();
        self.handle_input(now, input, &mut out);
        self.run_timers(now, &mut out);
        let forwards = self.forwards.values().map(|forward| forward.until);
        let wake = forwards
            .chain([
                self.members_due,
                self.view.wake_at(),
                self.claims.wake_at(),
                self.jobs.wake_at(),
                self.operators.wake_at(),
                self.owner.wake_at(),
                self.usage.wake_at(),
                self.shutdown.wake_at(),
            ])
            .min()
            .unwrap_or(Time::NEVER);
        // A timer that is still due waits for another input; without the delay,
        // it would wake the process again at the same instant forever.
        self.wake = wake.max(now + Duration::from_millis(1));
        out
    }

    fn wake_at(&self) -> Time {
        self.wake
    }
}

fn reply_to_waiters(finished: &FinishedCall, out: &mut Vec<Output>) {
    for waiter in &finished.waiters {
        match waiter {
            Waiter::Caller => out.push(reply_to_caller(&finished.call, finished.end)),
            Waiter::Node { addr, number } => {
                let message = NodeMessage::Forwarded { number: *number, end: finished.end };
                send(out, *addr, &message, "answer forwarded");
            }
        }
    }
}

fn send(out: &mut Vec<Output>, to: SocketAddr, message: &NodeMessage, name: &'static str) {
    let step = Step::new(Protocol::Claim, name);
    out.push(Output::Peer { step, to, body: encode(message) });
}

fn log_decode_error(error: &chervilgate_coord::DecodeError) {
    log::warn!(target: "scenario", error:% = error; "message does not decode");
}

impl EntryNode {
    fn view_adopted(
        &mut self,
        now: Time,
        seq: chervilgate_coord::view::Seq,
        out: &mut Vec<Output>,
    ) {
        let config = chervilgate_coord::Version::first_era(seq.0);
        out.push(Output::Record(chervilgate_testbed::Fact::Adopted { config }));
        self.settings.operator_log.record(now, OperatorEvent::Adopted { seq });
    }
}
