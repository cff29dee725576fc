//! Messages as datagrams.

use crate::{
    fleet::{LimitNotice, OutcomeNotice, TargetSpeedReport},
    gossip::{MAX_DATAGRAM_BYTES, Message, OutcomeMessage, TargetSpeedMessage, WorkReport},
    poison::CrashEvidence,
};

/// Encodes a work report as one datagram. If it does not fit, failed runs are left out first,
/// since other rounds and hosts tell of them, then prompt parts, then work.
pub(super) fn encode_report(mut report: WorkReport) -> Option<Vec<u8>> {
    loop {
        let message = Message::Work(report);
        let bytes = serialize(&message)?;
        let Message::Work(returned) = message else { return None };
        report = returned;
        if bytes.len() <= MAX_DATAGRAM_BYTES {
            return Some(bytes);
        }
        match (report.broken.len(), report.parts.len(), report.work.len()) {
            (0, 0, 0) => return None,
            (0, 0, work) => report.work.truncate(work / 2),
            (0, parts, _) => report.parts.truncate(parts / 2),
            (runs, ..) => report.broken.truncate(runs / 2),
        }
    }
}

/// Encodes evidence as one datagram, with as many of its first crashes as fit; none if there is
/// nothing to tell.
pub(super) fn encode_evidence(mut evidence: CrashEvidence) -> Option<Vec<u8>> {
    loop {
        if evidence.crashes.is_empty() && evidence.acquitted.is_empty() {
            return None;
        }
        let message = Message::Crashes(evidence);
        let bytes = serialize(&message)?;
        let Message::Crashes(returned) = message else { return None };
        evidence = returned;
        if bytes.len() <= MAX_DATAGRAM_BYTES {
            return Some(bytes);
        }
        let CrashEvidence { crashes, acquitted } = &mut evidence;
        if crashes.len() > 1 {
            crashes.truncate(crashes.len() / 2);
        } else if acquitted.len() > 1 {
            acquitted.truncate(acquitted.len() / 2);
        } else if let Some((_, notice)) = crashes.first_mut() {
            notice.runs.truncate(notice.runs.len() / 2);
        }
    }
}

/// Encodes the limits of targets as one datagram; none if there are none.
pub(super) fn encode_limits(limits: Vec<LimitNotice>) -> Option<Vec<u8>> {
    if limits.is_empty() {
        return None;
    }
    encode(&Message::Limits(limits))
}

/// Encodes a host's outcomes as one datagram; none if there are none.
pub(super) fn encode_outcomes(host: u32, outcomes: Vec<OutcomeNotice>) -> Option<Vec<u8>> {
    if outcomes.is_empty() {
        return None;
    }
    encode(&Message::Outcomes(OutcomeMessage { host, outcomes }))
}

/// Encodes what a host has seen of single targets' speeds; none if nothing.
pub(super) fn encode_target_speeds(host: u32, speeds: Vec<TargetSpeedReport>) -> Option<Vec<u8>> {
    if speeds.is_empty() {
        return None;
    }
    encode(&Message::TargetSpeeds(TargetSpeedMessage { host, speeds }))
}

/// Encodes a message as one datagram; none if it does not fit.
pub(super) fn encode(message: &Message) -> Option<Vec<u8>> {
    let bytes = serialize(message)?;
    if bytes.len() <= MAX_DATAGRAM_BYTES {
        return Some(bytes);
    }
    // Usage counts are in the store too.
    log::debug!(
        target: "gossip", bytes = bytes.len(); "gossip message exceeds the datagram size"
    );
    None
}

pub(super) fn serialize(message: &Message) -> Option<Vec<u8>> {
    let bytes = postcard::to_stdvec(message);
    bytes
        .inspect_err(|error| {
            log::warn!(target: "gossip", error:%; "gossip message not encoded");
        })
        .ok()
}
