//! Beats between nodes: whom to follow, whom to tell, and when.
//!
//! A follower asks seldom and is told at every beat; a confirmation is passed
//! on as soon as it comes. Voters tell one another only while the platform
//! does not confirm their view.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use chervilgate_clock::Time;
use smallvec::SmallVec;

use crate::{
    ident::{Incarnation, Node},
    view::{
        beat::{Beat, Echo},
        overlay::Overlay,
        root::{Seq, Voters},
    },
};

/// Between two looks at what is due.
const TICK_SPAN: Duration = Duration::from_millis(500);

/// The longest time between two beats to a follower; a confirmation that comes
/// earlier is passed on at once.
const BEAT_SPAN: Duration = Duration::from_millis(1_300);

/// The shortest time between two beats to a follower.
const LEAST_SPAN: Duration = Duration::from_millis(700);

/// Between two beats to another voter while the platform is out of reach.
const VOTER_SPAN: Duration = Duration::from_millis(1_500);

/// Between two beats to a parent that does not answer.
const ASK_SPAN: Duration = Duration::from_secs(1);

/// Between two beats to a parent that answers.
const FOLLOW_SPAN: Duration = Duration::from_secs(4);

/// A follower that has not asked for this long is told nothing more.
const FOLLOWER_SPAN: Duration = Duration::from_secs(10);

/// A parent that has said nothing for this long is passed over.
const SILENCE_SPAN: Duration = Duration::from_millis(2_500);

/// How long a silent parent is passed over.
const SUSPECT_SPAN: Duration = Duration::from_secs(20);

/// Without the platform's confirmation for this long, voters talk.
const OUTAGE_SPAN: Duration = Duration::from_millis(1_800);

/// Parents followed at the same time.
const ACTIVE_PARENTS: usize = 2;

/// Whom to send a beat to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SpreadAction {
    /// The receiver's address.
    pub to: SocketAddr,
    /// Whether beats are wanted back.
    pub follows: bool,
    /// The receiver's last stamp.
    pub echo: Option<Echo>,
}

/// Beats to send.
pub type SpreadActions = SmallVec<[SpreadAction; 8]>;

#[derive(Debug, Clone, Default)]
struct Edge {
    incarnation: Option<Incarnation>,
    stamp: Option<(u64, Time)>,
    heard: Option<Time>,
    told: Option<Time>,
    asked: Option<Time>,
    since: Option<Time>,
    follower: Option<Time>,
    suspect: Option<Time>,
    seq: Seq,
}

/// The edges of one node.
#[derive(Debug, Clone)]
pub struct Spread {
    me: Node,
    overlay: Overlay,
    voters: Vec<Node>,
    seeds: Vec<SocketAddr>,
    edges: BTreeMap<SocketAddr, Edge>,
    next: Time,
}

impl Spread {
    /// A node that knows only the addresses in its settings.
    pub fn new(me: Node, seeds: Vec<SocketAddr>) -> Spread {
        let (overlay, voters) = (Overlay::default(), Vec::new());
        Spread { me, overlay, voters, seeds, edges: BTreeMap::new(), next: Time::ZERO }
    }

    /// Follows a new plan.
    pub fn set_overlay(&mut self, overlay: Overlay) {
        self.overlay = overlay;
    }

    /// Follows the voters of a new view.
    pub fn set_voters(&mut self, voters: &Voters) {
        self.voters = voters.all().into_iter().cloned().collect();
    }

    /// When [`Spread::tick`] is due again.
    pub fn wake_at(&self) -> Time {
        self.next
    }

    /// Beats that are due by time; `platform` is when it confirmed the view last.
    pub fn tick(&mut self, now: Time, platform: Option<Time>) -> SpreadActions {
        let mut actions = SpreadActions::new();
        if now < self.next {
            return actions;
        }
        self.next = now + TICK_SPAN;
        self.forget(now);
        let cut_off = platform.is_none_or(|at| now - at > OUTAGE_SPAN);
        if cut_off || !self.overlay.relay {
            self.follow(now, cut_off, &mut actions);
        }
        if cut_off && self.is_voter() {
            self.tell_voters(now, &mut actions);
        }
        self.tell_followers(now, BEAT_SPAN, &mut actions);
        actions
    }

    /// Beats to pass a fresher confirmation on.
    pub fn pass_on(&mut self, now: Time) -> SpreadActions {
        let mut actions = SpreadActions::new();
        self.tell_followers(now, LEAST_SPAN, &mut actions);
        actions
    }

    /// One beat outside the rhythm.
    pub fn answer(&mut self, now: Time, to: SocketAddr) -> SpreadAction {
        self.edges.entry(to).or_default().told = Some(now);
        self.beat_to(now, to, false)
    }

    /// Takes a beat; the time at which what it says was still true, if known.
    pub fn hear(&mut self, now: Time, from: SocketAddr, beat: &Beat) -> Option<Time> {
        let edge = self.edges.entry(from).or_default();
        if edge.incarnation != Some(beat.from) {
            *edge = Edge { asked: edge.asked, since: edge.since, ..Edge::default() };
            edge.incarnation = Some(beat.from);
        }
        edge.heard = Some(now);
        edge.suspect = None;
        edge.seq = beat.seq.max(edge.seq);
        if edge.stamp.is_none_or(|(stamp, _)| stamp <= beat.stamp) {
            edge.stamp = Some((beat.stamp, now));
        }
        if beat.follows {
            edge.follower = Some(now);
        }
        let echo = beat.echo.filter(|echo| echo.of == self.me.incarnation)?;
        let at = Time::from_micros(echo.stamp.saturating_add(echo.held));
        (at <= now).then_some(at)
    }

    /// Neighbours that are not known to hold `seq`.
    pub fn behind(&self, seq: Seq) -> SmallVec<[SocketAddr; 8]> {
        let lags = |edge: &Edge| edge.heard.is_some() && edge.seq < seq;
        self.edges.iter().filter(|(_, edge)| lags(edge)).map(|(addr, _)| *addr).collect()
    }

    /// Notes that a root has been sent to a neighbour.
    pub fn note_sent(&mut self, to: SocketAddr, seq: Seq) {
        let edge = self.edges.entry(to).or_default();
        edge.seq = seq.max(edge.seq);
    }

    /// Neighbours that have been heard of lately.
    pub fn neighbours(&self, now: Time) -> SmallVec<[SocketAddr; 8]> {
        let lately = |edge: &Edge| edge.heard.is_some_and(|at| now - at <= FOLLOWER_SPAN);
        self.edges.iter().filter(|(_, edge)| lately(edge)).map(|(addr, _)| *addr).collect()
    }

    fn is_voter(&self) -> bool {
        self.voters.iter().any(|voter| voter.incarnation == self.me.incarnation)
    }

    fn follow(&mut self, now: Time, cut_off: bool, actions: &mut SpreadActions) {
        for to in self.choose_parents(now, cut_off) {
            let edge = self.edges.entry(to).or_default();
            let since = *edge.since.get_or_insert(now);
            let silent = edge.heard.is_none_or(|at| now - at > SILENCE_SPAN);
            if silent && now - since > SILENCE_SPAN {
                edge.suspect = Some(now);
                edge.since = None;
            }
            let pause = if silent { ASK_SPAN } else { FOLLOW_SPAN };
            if edge.asked.is_some_and(|at| now - at < pause) {
                continue;
            }
            edge.asked = Some(now);
            actions.push(self.beat_to(now, to, true));
        }
    }

    fn choose_parents(&mut self, now: Time, cut_off: bool) -> SmallVec<[SocketAddr; 2]> {
        let voters = self.voters.iter().filter(|_| self.overlay.relay && cut_off);
        let planned = voters.chain(&self.overlay.parents).map(|node| node.addr);
        let mut candidates: Vec<SocketAddr> = planned.chain(self.seeds.iter().copied()).collect();
        candidates.retain(|addr| *addr != self.me.addr);
        let free = |addr: &SocketAddr| {
            let suspect = self.edges.get(addr).and_then(|edge| edge.suspect);
            suspect.is_none_or(|at| now - at > SUSPECT_SPAN)
        };
        let mut chosen = SmallVec::new();
        for addr in candidates.iter().filter(|addr| free(addr)) {
            if chosen.len() < ACTIVE_PARENTS && !chosen.contains(addr) {
                chosen.push(*addr);
            }
        }
        if chosen.is_empty() {
            self.edges.values_mut().for_each(|edge| edge.suspect = None);
        }
        for (addr, edge) in &mut self.edges {
            if !chosen.contains(addr) {
                edge.since = None;
            }
        }
        chosen
    }

    fn tell_voters(&mut self, now: Time, actions: &mut SpreadActions) {
        let others = self.voters.iter().filter(|voter| voter.incarnation != self.me.incarnation);
        let others: SmallVec<[SocketAddr; 16]> = others.map(|voter| voter.addr).collect();
        for to in others {
            let edge = self.edges.entry(to).or_default();
            let due = edge.told.is_none_or(|at| now - at >= VOTER_SPAN);
            if due && !actions.iter().any(|action| action.to == to) {
                actions.push(self.answer(now, to));
            }
        }
    }

    fn tell_followers(&mut self, now: Time, least: Duration, actions: &mut SpreadActions) {
        let follows = |edge: &Edge| edge.follower.is_some_and(|at| now - at <= FOLLOWER_SPAN);
        let due = |edge: &Edge| edge.told.is_none_or(|at| now - at >= least);
        let told: SmallVec<[SocketAddr; 16]> = self
            .edges
            .iter()
            .filter(|(_, edge)| follows(edge) && due(edge))
            .map(|(addr, _)| *addr)
            .collect();
        for to in told {
            if actions.iter().any(|action| action.to == to) {
                continue;
            }
            actions.push(self.answer(now, to));
        }
    }

    fn beat_to(&self, now: Time, to: SocketAddr, follows: bool) -> SpreadAction {
        let edge = self.edges.get(&to);
        let held = |at: Time| u64::try_from((now - at).as_micros()).unwrap_or(u64::MAX);
        let echo = edge.and_then(|edge| {
            let (stamp, at) = edge.stamp?;
            Some(Echo { of: edge.incarnation?, stamp, held: held(at) })
        });
        SpreadAction { to, follows, echo }
    }

    fn forget(&mut self, now: Time) {
        let age = |at: Option<Time>| at.map(|at| now - at);
        self.edges.retain(|_, edge| {
            let last = edge.heard.max(edge.asked).max(edge.suspect).max(edge.told);
            age(last).is_some_and(|age| age <= SUSPECT_SPAN * 2)
        });
    }
}
