//! KV tokens in flight, which travel in the datagram of the work report: one datagram less for each host and
//! round. Hosts that do not know the message read the first one of a datagram and skip the rest.

use chervilgate_clock::Time;

use crate::{
    fleet::KvTokens,
    gossip::{MAX_DATAGRAM_BYTES, Message, encode},
    state::Shared,
};

/// Maximum number of engines in a message; those with the most tokens are kept.
const MAX_ENGINES: usize = 80;

/// Encodes this host's KV tokens in flight, also if there are none, so that what was told before counts no
/// longer; none if no engine's memory is known. Drops what hosts reported that are not heard from.
pub(super) fn encode_kv_tokens(shared: &Shared, now: Time) -> Option<Vec<u8>> {
    let tokens = {
        let fleet = &mut shared.state().fleet;
        fleet.expire_peer_reports(now);
        fleet.kv_tokens_in_flight(MAX_ENGINES)?
    };
    encode(&Message::KvTokens(shared.gossip_id(), tokens))
}

/// Appends a message to a datagram; returns it if it does not fit and needs a datagram of its own.
pub(super) fn append(datagram: &mut Vec<u8>, message: Option<Vec<u8>>) -> Option<Vec<u8>> {
    let message = message?;
    if datagram.len() + message.len() > MAX_DATAGRAM_BYTES {
        return Some(message);
    }
    datagram.extend(message);
    None
}

/// Decodes the first message of a datagram, and applies KV tokens that follow it.
pub(super) fn decode(shared: &Shared, datagram: &[u8]) -> postcard::Result<Message> {
    let (message, rest) = postcard::take_from_bytes(datagram)?;
    if let Some((host, tokens)) = appended_tokens(rest) {
        let now = shared.now();
        shared.state().fleet.apply_peer_tokens(now, host, tokens);
    }
    Ok(message)
}

/// The KV tokens after the first message of a datagram. Other messages are of a later software version and
/// skipped, as are unknown messages.
pub(super) fn appended_tokens(rest: &[u8]) -> Option<(u32, Vec<KvTokens>)> {
    match postcard::from_bytes(rest) {
        Ok(Message::KvTokens(host, tokens)) => Some((host, tokens)),
        _ => None,
    }
}
