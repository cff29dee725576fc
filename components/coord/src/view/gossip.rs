//! Schedules heartbeats between nodes: to which peers, and when.
//!
//! A follower asks its parents for heartbeats every few seconds. A parent then
//! sends them at a shorter interval, and relays a newer confirmation earlier.
//! Voters send each other heartbeats only while the platform does not confirm
//! their view.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use chervilgate_clock::Time;
use smallvec::SmallVec;

use crate::{
    ident::{Incarnation, Node},
    view::{
        heartbeat::{Echo, Heartbeat},
        overlay::Overlay,
        root::{Seq, Voters},
    },
};

/// Interval between checks for due heartbeats.
const TICK_INTERVAL: Duration = Duration::from_millis(500);

/// A follower gets a heartbeat on the first tick after this time; a newer
/// confirmation is relayed earlier.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_300);

/// The shortest time between two heartbeats to a follower.
const MIN_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(700);

/// Interval between heartbeats to another voter while the platform does not confirm the view.
const VOTER_INTERVAL: Duration = Duration::from_millis(1_500);

/// Interval between heartbeats to a parent that does not respond.
const FOLLOW_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Interval between heartbeats to a parent that responds.
const FOLLOW_INTERVAL: Duration = Duration::from_secs(4);

/// A follower that has not asked for this time gets no more heartbeats.
const FOLLOWER_TIMEOUT: Duration = Duration::from_secs(10);

/// A parent that has been silent for this time is suspected and skipped.
const PARENT_TIMEOUT: Duration = Duration::from_millis(2_500);

/// How long a suspected parent is skipped.
const SUSPECT_DURATION: Duration = Duration::from_secs(20);

/// Without confirmation by the platform for this time, voters confirm views to each other.
const PLATFORM_TIMEOUT: Duration = Duration::from_millis(1_800);

/// Maximum number of parents followed at the same time.
const MAX_PARENTS: usize = 2;

/// A heartbeat to send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GossipAction {
    /// The receiver's address.
    pub to: SocketAddr,
    /// Whether to ask for heartbeats in return.
    pub follows: bool,
    /// The receiver's last timestamp, to be echoed.
    pub echo: Option<Echo>,
}

/// Heartbeats to send.
pub type GossipActions = SmallVec<[GossipAction; 8]>;

#[derive(Debug, Clone, Default)]
struct Peer {
    incarnation: Option<Incarnation>,
    /// The peer's latest timestamp, and when it arrived.
    last_stamp: Option<(u64, Time)>,
    heard_at: Option<Time>,
    sent_at: Option<Time>,
    /// When this node last asked the peer for heartbeats.
    follow_sent_at: Option<Time>,
    parent_since: Option<Time>,
    /// When the peer last asked this node for heartbeats.
    follow_received_at: Option<Time>,
    suspected_at: Option<Time>,
    /// The highest view number that the peer is known to hold.
    known_seq: Seq,
}

/// One node's peers and the schedule of its heartbeats.
#[derive(Debug, Clone)]
pub struct Gossip {
    me: Node,
    overlay: Overlay,
    voters: Vec<Node>,
    seed_addrs: Vec<SocketAddr>,
    peers: BTreeMap<SocketAddr, Peer>,
    next_tick_at: Time,
}

impl Gossip {
    /// Creates a node that knows only the addresses in its settings.
    pub fn new(me: Node, seed_addrs: Vec<SocketAddr>) -> Gossip {
        let (overlay, voters) = (Overlay::default(), Vec::new());
        Gossip { me, overlay, voters, seed_addrs, peers: BTreeMap::new(), next_tick_at: Time::ZERO }
    }

    /// Sets the node's position in the distribution tree.
    pub fn set_overlay(&mut self, overlay: Overlay) {
        self.overlay = overlay;
    }

    /// Sets the voters of a newly adopted view.
    pub fn set_voters(&mut self, voters: &Voters) {
        self.voters = voters.all().into_iter().cloned().collect();
    }

    /// When [`Gossip::tick`] is due again.
    pub fn wake_at(&self) -> Time {
        self.next_tick_at
    }

    /// Returns the heartbeats that are due.
    ///
    /// `platform_confirmed_at` is when the platform last confirmed the view.
    pub fn tick(&mut self, now: Time, platform_confirmed_at: Option<Time>) -> GossipActions {
        let mut actions = GossipActions::new();
        if now < self.next_tick_at {
            return actions;
        }
        self.next_tick_at = now + TICK_INTERVAL;
        self.remove_idle_peers(now);
        let cut_off = platform_confirmed_at.is_none_or(|at| now - at > PLATFORM_TIMEOUT);
        if cut_off || !self.overlay.relay {
            self.follow_parents(now, cut_off, &mut actions);
        }
        if cut_off && self.is_voter() {
            self.notify_voters(now, &mut actions);
        }
        self.notify_followers(now, HEARTBEAT_INTERVAL, &mut actions);
        actions
    }

    /// Returns the heartbeats that relay a newer confirmation to followers.
    pub fn relay_confirmation(&mut self, now: Time) -> GossipActions {
        let mut actions = GossipActions::new();
        self.notify_followers(now, MIN_HEARTBEAT_INTERVAL, &mut actions);
        actions
    }

    /// Returns a heartbeat outside the schedule.
    pub fn heartbeat_to(&mut self, now: Time, to: SocketAddr) -> GossipAction {
        self.peers.entry(to).or_default().sent_at = Some(now);
        self.build_heartbeat(now, to, false)
    }

    /// Handles a heartbeat; returns a lower bound of its sending time, if it has a valid echo.
    pub fn receive(&mut self, now: Time, from: SocketAddr, heartbeat: &Heartbeat) -> Option<Time> {
        let peer = self.peers.entry(from).or_default();
        if peer.incarnation != Some(heartbeat.from) {
            *peer = Peer {
                follow_sent_at: peer.follow_sent_at,
                parent_since: peer.parent_since,
                ..Peer::default()
            };
            peer.incarnation = Some(heartbeat.from);
        }
        peer.heard_at = Some(now);
        peer.suspected_at = None;
        peer.known_seq = heartbeat.seq.max(peer.known_seq);
        if peer.last_stamp.is_none_or(|(known, _)| known <= heartbeat.stamp) {
            peer.last_stamp = Some((heartbeat.stamp, now));
        }
        if heartbeat.follows {
            peer.follow_received_at = Some(now);
        }
        let echo = heartbeat.echo.filter(|echo| echo.of == self.me.incarnation)?;
        let at = Time::from_micros(echo.stamp.saturating_add(echo.held));
        (at <= now).then_some(at)
    }

    /// Peers that are not known to hold `seq`.
    pub fn lagging(&self, seq: Seq) -> SmallVec<[SocketAddr; 8]> {
        let is_lagging = |peer: &Peer| peer.heard_at.is_some() && peer.known_seq < seq;
        self.peers.iter().filter(|(_, peer)| is_lagging(peer)).map(|(addr, _)| *addr).collect()
    }

    /// Records that a root was sent to a peer.
    pub fn record_root_sent(&mut self, to: SocketAddr, seq: Seq) {
        let peer = self.peers.entry(to).or_default();
        peer.known_seq = seq.max(peer.known_seq);
    }

    /// Peers that were heard from recently.
    pub fn active_peers(&self, now: Time) -> SmallVec<[SocketAddr; 8]> {
        let is_recent = |peer: &Peer| peer.heard_at.is_some_and(|at| now - at <= FOLLOWER_TIMEOUT);
        self.peers.iter().filter(|(_, peer)| is_recent(peer)).map(|(addr, _)| *addr).collect()
    }

    fn is_voter(&self) -> bool {
        self.voters.iter().any(|voter| voter.incarnation == self.me.incarnation)
    }

    fn follow_parents(&mut self, now: Time, cut_off: bool, actions: &mut GossipActions) {
        for to in self.choose_parents(now, cut_off) {
            let peer = self.peers.entry(to).or_default();
            let since = *peer.parent_since.get_or_insert(now);
            let silent = peer.heard_at.is_none_or(|at| now - at > PARENT_TIMEOUT);
            if silent && now - since > PARENT_TIMEOUT {
                peer.suspected_at = Some(now);
                peer.parent_since = None;
            }
            let interval = if silent { FOLLOW_RETRY_INTERVAL } else { FOLLOW_INTERVAL };
            if peer.follow_sent_at.is_some_and(|at| now - at < interval) {
                continue;
            }
            peer.follow_sent_at = Some(now);
            actions.push(self.build_heartbeat(now, to, true));
        }
    }

    fn choose_parents(&mut self, now: Time, cut_off: bool) -> SmallVec<[SocketAddr; 2]> {
        let voters = self.voters.iter().filter(|_| self.overlay.relay && cut_off);
        let planned = voters.chain(&self.overlay.parents).map(|node| node.addr);
        let mut candidates: Vec<SocketAddr> =
            planned.chain(self.seed_addrs.iter().copied()).collect();
        candidates.retain(|addr| *addr != self.me.addr);
        let is_usable = |addr: &SocketAddr| {
            let suspect = self.peers.get(addr).and_then(|peer| peer.suspected_at);
            suspect.is_none_or(|at| now - at > SUSPECT_DURATION)
        };
        let mut selected = SmallVec::new();
        for addr in candidates.iter().filter(|addr| is_usable(addr)) {
            if selected.len() < MAX_PARENTS && !selected.contains(addr) {
                selected.push(*addr);
            }
        }
        if selected.is_empty() {
            self.peers.values_mut().for_each(|peer| peer.suspected_at = None);
        }
        for (addr, peer) in &mut self.peers {
            if !selected.contains(addr) {
                peer.parent_since = None;
            }
        }
        selected
    }

    fn notify_voters(&mut self, now: Time, actions: &mut GossipActions) {
        let others = self.voters.iter().filter(|voter| voter.incarnation != self.me.incarnation);
        let others: SmallVec<[SocketAddr; 16]> = others.map(|voter| voter.addr).collect();
        for to in others {
            let peer = self.peers.entry(to).or_default();
            let due = peer.sent_at.is_none_or(|at| now - at >= VOTER_INTERVAL);
            if due && !actions.iter().any(|action| action.to == to) {
                actions.push(self.heartbeat_to(now, to));
            }
        }
    }

    fn notify_followers(&mut self, now: Time, interval: Duration, actions: &mut GossipActions) {
        let follows =
            |peer: &Peer| peer.follow_received_at.is_some_and(|at| now - at <= FOLLOWER_TIMEOUT);
        let due = |peer: &Peer| peer.sent_at.is_none_or(|at| now - at >= interval);
        let receivers: SmallVec<[SocketAddr; 16]> = self
            .peers
            .iter()
            .filter(|(_, peer)| follows(peer) && due(peer))
            .map(|(addr, _)| *addr)
            .collect();
        for to in receivers {
            if actions.iter().any(|action| action.to == to) {
                continue;
            }
            actions.push(self.heartbeat_to(now, to));
        }
    }

    fn build_heartbeat(&self, now: Time, to: SocketAddr, follows: bool) -> GossipAction {
        let peer = self.peers.get(&to);
        let held = |at: Time| u64::try_from((now - at).as_micros()).unwrap_or(u64::MAX);
        let echo = peer.and_then(|peer| {
            let (stamp, at) = peer.last_stamp?;
            Some(Echo { of: peer.incarnation?, stamp, held: held(at) })
        });
        GossipAction { to, follows, echo }
    }

    fn remove_idle_peers(&mut self, now: Time) {
        let age = |at: Option<Time>| at.map(|at| now - at);
        self.peers.retain(|_, peer| {
            let last =
                peer.heard_at.max(peer.follow_sent_at).max(peer.suspected_at).max(peer.sent_at);
            age(last).is_some_and(|age| age <= SUSPECT_DURATION * 2)
        });
    }
}
