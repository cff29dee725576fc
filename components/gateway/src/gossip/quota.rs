//! What hosts ask owners of quotas, and what owners answer and announce.

use std::{net::SocketAddr, time::Duration};

use chervilgate_clock::Time;
use chervilgate_policy::QUOTA_PARTITIONS;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;

use crate::{
    gossip::{FANOUT, Message, PeerRotation, encode, send_datagram},
    quota::{OwnerAnswer, lease::OwnerDoc, owner::Ask, task::CANDIDATES},
    state::Shared,
};

/// Asks the owner of a partition for a part of an organisation's quota.
#[derive(Debug, Clone, Copy)]
#[derive(Serialize, Deserialize)]
pub(crate) struct QuotaAsk {
    id: u64,
    org: u64,
    partition: u8,
    need: u32,
    extra: u32,
}

impl QuotaAsk {
    /// Id, partition, amount that is needed and amount in advance.
    #[cfg(test)]
    pub(crate) fn parts(&self) -> (u64, usize, f64, f64) {
        (self.id, self.partition.into(), self.need.into(), self.extra.into())
    }

    pub(crate) fn new(id: u64, org: u64, partition: usize, need: f64, extra: f64) -> QuotaAsk {
        QuotaAsk { id, org, partition: partition as u8, need: need as u32, extra: extra as u32 }
    }
}

/// The reply to an ask.
#[derive(Debug, Clone, Copy)]
#[derive(Serialize, Deserialize)]
pub(super) struct QuotaAnswer {
    id: u64,
    answer: Answer,
}

#[derive(Debug, Clone, Copy)]
#[derive(Serialize, Deserialize)]
enum Answer {
    Granted(u32),
    /// Milliseconds after which enough will be there.
    Refused(u32),
    Unknown,
    NotOwner,
}

/// The reply to an ask for more than a bucket can grant until it is settled.
#[derive(Debug, Clone, Copy)]
#[derive(Serialize, Deserialize)]
pub(super) struct QuotaTooLarge {
    id: u64,
    /// Milliseconds after which it can.
    wait: u32,
}

/// Returns what an ask was granted and is not going to be spent.
#[derive(Debug, Clone, Copy)]
#[derive(Serialize, Deserialize)]
pub(crate) struct QuotaReturn {
    id: u64,
    partition: u8,
}

impl QuotaReturn {
    /// Returns what was granted of `partition` for the ask `id`.
    pub(crate) fn new(id: u64, partition: usize) -> QuotaReturn {
        QuotaReturn { id, partition: partition as u8 }
    }

    /// Id and partition.
    pub(crate) fn parts(&self) -> (u64, usize) {
        (self.id, self.partition.into())
    }
}

/// Names the owner of a partition.
#[derive(Debug, Clone, Copy)]
#[derive(Serialize, Deserialize)]
pub(crate) struct OwnerNotice {
    partition: u8,
    addr: SocketAddr,
    era: u64,
    count: u64,
    released: bool,
}

impl OwnerNotice {
    /// A notice of this object; none if it does not name an address.
    pub(crate) fn new(partition: usize, doc: &OwnerDoc) -> Option<OwnerNotice> {
        let OwnerDoc { addr, era, count, released, .. } = *doc;
        Some(OwnerNotice { partition: partition as u8, addr: addr?, era, count, released })
    }
}

/// Sends an ask; if it is lost, another owner is asked.
pub(crate) fn ask_quota(shared: &Shared, ask: &QuotaAsk, to: SocketAddr) {
    let Some(socket) = shared.quota_socket.get() else { return };
    if let Some(datagram) = encode(&Message::QuotaAsked(*ask))
        && let Err(error) = socket.try_send_to(&datagram, to)
    {
        log::debug!(target: "gossip", to:%, error:%; "quota not asked for");
    }
}

/// Sends a return; if it is lost, so is the amount.
pub(crate) fn return_quota(shared: &Shared, returned: QuotaReturn, to: SocketAddr) {
    let Some(socket) = shared.quota_socket.get() else { return };
    if let Some(datagram) = encode(&Message::QuotaReturned(returned))
        && let Err(error) = socket.try_send_to(&datagram, to)
    {
        log::debug!(target: "gossip", to:%, error:%; "quota not returned");
    }
}

pub(super) fn take_back_quota(shared: &Shared, now: Time, returned: QuotaReturn) {
    let (id, partition) = returned.parts();
    shared.state().quota.take_back(now, partition, id);
}

/// Answers an ask, if this host's configuration is fresh: an old one may have a higher rate.
pub(super) fn answer_quota(
    shared: &Shared,
    now: Time,
    ask: QuotaAsk,
    from: SocketAddr,
    socket: &UdpSocket,
) {
    let (need, extra) = (f64::from(ask.need), f64::from(ask.extra));
    let answer = {
        let state = &mut *shared.state();
        if !state.quota.may_grant(now, ask.partition.into()) {
            OwnerAnswer::NotOwner
        } else if !state.view.is_fresh(now) {
            OwnerAnswer::Unknown
        } else {
            let partition = ask.partition.into();
            state.quota.answer(now, partition, &Ask { id: ask.id, org: ask.org, need, extra })
        }
    };
    if let OwnerAnswer::TooLarge(wait) = answer {
        let wait = wait_ms(wait);
        send_reply(socket, &Message::QuotaTooLarge(QuotaTooLarge { id: ask.id, wait }), from);
    }
    let answer = match answer {
        OwnerAnswer::Granted(amount) => Answer::Granted(amount as u32),
        OwnerAnswer::Refused(wait) | OwnerAnswer::TooLarge(wait) => Answer::Refused(wait_ms(wait)),
        OwnerAnswer::Unknown => Answer::Unknown,
        OwnerAnswer::NotOwner => Answer::NotOwner,
    };
    send_reply(socket, &Message::QuotaAnswered(QuotaAnswer { id: ask.id, answer }), from);
}

/// The whole milliseconds after which `wait` is certainly over.
fn wait_ms(wait: Duration) -> u32 {
    u32::try_from(wait.as_millis()).unwrap_or(u32::MAX).saturating_add(1)
}

fn send_reply(socket: &UdpSocket, reply: &Message, to: SocketAddr) {
    if let Some(datagram) = encode(reply)
        && let Err(error) = socket.try_send_to(&datagram, to)
    {
        log::debug!(target: "gossip", to:%, error:%; "quota not answered");
    }
}

pub(super) fn apply_too_large(shared: &Shared, now: Time, reply: QuotaTooLarge) {
    let answer = OwnerAnswer::TooLarge(Duration::from_millis(reply.wait.into()));
    let returned = shared.state().quota.apply_answer(now, reply.id, answer);
    if let Some((returned, to)) = returned {
        return_quota(shared, returned, to);
    }
}

pub(super) fn apply_quota_answer(shared: &Shared, now: Time, reply: QuotaAnswer) {
    let answer = match reply.answer {
        Answer::Granted(amount) => OwnerAnswer::Granted(amount.into()),
        Answer::Refused(wait) => OwnerAnswer::Refused(Duration::from_millis(wait.into())),
        Answer::Unknown => OwnerAnswer::Unknown,
        Answer::NotOwner => OwnerAnswer::NotOwner,
    };
    let returned = shared.state().quota.apply_answer(now, reply.id, answer);
    if let Some((returned, to)) = returned {
        return_quota(shared, returned, to);
    }
}

pub(super) fn apply_owner_notice(shared: &Shared, now: Time, notice: OwnerNotice) {
    let OwnerNotice { partition, addr, era, count, released } = notice;
    let partition = usize::from(partition);
    if partition >= QUOTA_PARTITIONS {
        return;
    }
    let doc = OwnerDoc { addr: Some(addr), era, count, released, ..OwnerDoc::default() };
    shared.state().quota.hear_owner(now, partition, &doc);
    if released {
        shared.quota_due[partition].notify_one();
    }
}

/// Tells hosts who owns a partition: all of them, or those that would take it over and a few others in
/// rotation.
pub(crate) async fn announce_owner(
    shared: &Shared,
    socket: &UdpSocket,
    notice: OwnerNotice,
    rotation: &mut OwnerRotation,
    is_urgent: bool,
) {
    let Some(datagram) = encode(&Message::QuotaOwner(notice)) else { return };
    let now = shared.now();
    let (peers, candidates) = {
        let state = shared.state();
        let key = candidate_key(notice.partition.into());
        let candidates = state.membership.ranked(now, key, CANDIDATES + 1);
        (state.membership.gossip_addrs(), candidates)
    };
    let mut recipients = if is_urgent { peers } else { rotation.0.next(peers, FANOUT) };
    recipients.extend(candidates);
    recipients.sort_unstable();
    recipients.dedup();
    for peer in recipients {
        send_datagram(socket, &datagram, peer).await;
    }
}

/// Picks the hosts that are told who owns a partition.
#[derive(Default)]
pub(crate) struct OwnerRotation(PeerRotation);

/// Orders the hosts that would take over a partition.
pub(crate) fn candidate_key(partition: usize) -> u64 {
    crate::hash::stable_hash(&("quota", partition))
}
