//! What other hosts tell and ask this one.

use std::sync::Arc;

use tokio::{net::UdpSocket, sync::Notify, time::sleep};

use crate::{
    gossip::{
        MAX_DATAGRAM_BYTES, Message,
        feed::{answer_request, apply_changes},
        kv_tokens::decode,
        news::{apply_latest_changes, apply_progress, progress_reply},
        origins::answer_question,
        pace::ROUND_INTERVAL,
        quota::{
            answer_quota, apply_owner_notice, apply_quota_answer, apply_too_large, take_back_quota,
        },
        send,
    },
    state::Shared,
};

/// Receives other hosts' messages.
///
/// `refresh_membership` is notified of hosts whose entries are not known.
pub(crate) async fn receive(
    shared: Arc<Shared>,
    socket: Arc<UdpSocket>,
    refresh_membership: Arc<Notify>,
) {
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    loop {
        let (length, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                log::debug!(target: "gossip", error:%; "gossip not received");
                sleep(ROUND_INTERVAL).await;
                continue;
            }
        };
        match decode(&shared, &buffer[..length]) {
            Ok(Message::Window(report)) => {
                let now = shared.now();
                shared.state().peer_sheets.record(now, &report);
            }
            Ok(Message::Confirm(request)) => {
                let now = shared.now();
                let reply = shared.state().view.confirmation(now, request);
                let progress = progress_reply(&shared, now, request);
                // A host that has started asks first; it is to know them before it serves.
                let ends = shared.state().fleet.past_ends(now);
                if !ends.is_empty() {
                    send(&socket, &Message::PastEnds(ends), from).await;
                }
                if let Some(reply) = reply {
                    send(&socket, &Message::Confirmed(reply), from).await;
                }
                send(&socket, &Message::Progress(progress), from).await;
            }
            Ok(Message::LatestChanges(latest)) => {
                apply_latest_changes(&shared, shared.now(), &latest);
            }
            Ok(Message::Progress(reply)) => apply_progress(&shared, shared.now(), &reply),
            Ok(Message::Confirmed(reply)) => {
                let now = shared.now();
                shared.state().view.apply_confirmation(now, shared.gossip_id(), &reply);
            }
            Ok(Message::TargetChanges(passed)) => apply_changes(&shared, passed),
            Ok(Message::TargetChangesAsked(question)) => {
                answer_request(&shared, &socket, question, from).await;
            }
            Ok(Message::Speeds(message)) => {
                let now = shared.now();
                let mut state = shared.state();
                state.fleet.apply_speed_reports(now, message.host, &message.speeds);
            }
            Ok(Message::TargetSpeeds(message)) => {
                let now = shared.now();
                let mut state = shared.state();
                state.fleet.apply_target_speeds(now, message.host, &message.speeds);
            }
            Ok(Message::FailedRuns(runs)) => {
                let now = shared.now();
                shared.state().poison.merge_runs(now, &runs);
            }
            Ok(Message::Crashes(evidence)) => {
                let now = shared.now();
                shared.state().poison.merge_evidence(now, &evidence);
                if !evidence.crashes.is_empty() {
                    shared.crashes_due.notify_one();
                }
            }
            Ok(Message::Limits(notices)) => {
                let now = shared.now();
                shared.state().fleet.apply_limit_notices(now, &notices);
            }
            Ok(Message::KvTokens(host, tokens)) => {
                let now = shared.now();
                shared.state().fleet.apply_peer_tokens(now, host, tokens);
            }
            Ok(Message::Waiting(host, counts)) => {
                let now = shared.now();
                shared.state().admission.apply_report(now, host, counts);
            }
            Ok(Message::Ends(notices)) => {
                let now = shared.now();
                shared.state().fleet.apply_ends(now, &notices);
            }
            Ok(Message::PastEnds(ends)) => {
                let now = shared.now();
                shared.state().fleet.apply_past_ends(now, &ends);
            }
            Ok(Message::Lives(lives)) => {
                let now = shared.now();
                let state = &mut *shared.state();
                let settled = state.fleet.apply_lives(now, &lives);
                shared.settle_builds(state, &settled);
            }
            Ok(Message::Outcomes(message)) => {
                let now = shared.now();
                let mut state = shared.state();
                state.fleet.apply_outcome_notices(now, message.host, &message.outcomes);
            }
            Ok(Message::Origins(notices)) => {
                let now = shared.now();
                shared.state().origins.hear(now, notices);
                shared.streams_due.notify_one();
            }
            Ok(Message::OriginAsked(question)) => {
                answer_question(&shared, &socket, shared.now(), question, from).await;
            }
            Ok(Message::OriginAnswered(key, answer)) => {
                let now = shared.now();
                shared.state().origins.record_answer(now, key, answer);
                shared.origin_settled.notify_waiters();
            }
            Ok(Message::OriginDenied(key, process)) => {
                shared.state().origins.record_denial(key, process);
                shared.origin_settled.notify_waiters();
            }
            Ok(Message::Demand(report)) => {
                let now = shared.now();
                let mut state = shared.state();
                if state.holds_lease {
                    state.reported_demand.record(now, &report);
                }
            }
            Ok(Message::QuotaAsked(ask)) => {
                answer_quota(&shared, shared.now(), ask, from, &socket);
            }
            Ok(Message::QuotaAnswered(reply)) => apply_quota_answer(&shared, shared.now(), reply),
            Ok(Message::QuotaTooLarge(reply)) => apply_too_large(&shared, shared.now(), reply),
            Ok(Message::QuotaReturned(returned)) => {
                take_back_quota(&shared, shared.now(), returned);
            }
            Ok(Message::QuotaOwner(notice)) => apply_owner_notice(&shared, shared.now(), notice),
            Ok(Message::StoreEra(era)) => shared.hear_store_era(era),
            Ok(Message::Work(report)) => {
                let now = shared.now();
                let own_time = shared.wall_clock().at(now).as_micros() as i64;
                let mut state = shared.state();
                let is_known = state.membership.record_heartbeat(
                    now,
                    report.host,
                    report.time as i64 - own_time,
                );
                if !is_known {
                    refresh_membership.notify_one();
                }
                if report.in_charge {
                    state.holder = Some((from, now));
                }
                for run in report.broken {
                    state.poison.hear_run(now, run);
                }
                state.fleet.apply_peer_parts(now, &report.parts);
                state.fleet.apply_peer_work(now, report.host, report.work);
            }
            Err(error) => log::info!(target: "gossip", error:%; "gossip message not decoded"),
        }
    }
}
