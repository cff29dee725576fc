//! What hosts tell and ask each other of the software versions that began streams, and of the ends of
//! targets, after which the versions of these are not known.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use chervilgate_clock::Time;
use rand::seq::SliceRandom;
use smallvec::SmallVec;
use tokio::{net::UdpSocket, time::timeout};

use crate::{
    gossip::{FANOUT, Message, send},
    origins::{HOLDERS, Origin, OriginAnswer, OriginNotice, OriginQuestion, RECORDERS},
    state::Shared,
};

/// Interval at which a host looks whether a further version serves.
const LOOK_INTERVAL: Duration = Duration::from_millis(200);

/// Maximum number of streams in a message, so that it fits into one datagram.
const MAX_NOTICES: usize = 60;

/// Tells a few hosts of streams that this one began and of targets that it has seen end, and asks others
/// for streams that it did not begin.
pub(crate) async fn send_origins(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    loop {
        // Without anything due it is time to look for a further version.
        timeout(LOOK_INTERVAL, shared.origins_due.notified()).await.ok();
        let now = shared.now();
        let (notices, questions, news) = {
            let state = &mut *shared.state();
            if state.fleet.take_new_build() {
                state.origins.tell_all();
            }
            let mut notices: HashMap<SocketAddr, Vec<OriginNotice>> = HashMap::new();
            let untold = state.origins.take_untold();
            if !untold.is_empty() {
                shared.streams_due.notify_one();
            }
            for notice in untold {
                let key = notice.key.hash();
                for peer in state.membership.holders(now, key, RECORDERS, HOLDERS) {
                    notices.entry(peer).or_default().push(notice);
                }
            }
            let ends = state.fleet.take_untold_ends();
            let lives = state.fleet.take_untold_lives();
            let ends = (!ends.is_empty()).then_some(Message::Ends(ends));
            let lives = (!lives.is_empty()).then_some(Message::Lives(lives));
            let news: SmallVec<[Message; 2]> = ends.into_iter().chain(lives).collect();
            let news = (!news.is_empty()).then(|| (news, state.membership.gossip_addrs()));
            (notices, state.origins.take_questions(), news)
        };
        if let Some((news, mut peers)) = news {
            // Each host that had a connection to the target tells others.
            peers.shuffle(&mut rand::rng());
            peers.truncate(FANOUT);
            for peer in peers {
                for message in &news {
                    send(&socket, message, peer).await;
                }
            }
        }
        for (peer, notices) in notices {
            for part in notices.chunks(MAX_NOTICES) {
                send(&socket, &Message::Origins(part.to_vec()), peer).await;
            }
        }
        for (question, peers) in questions {
            for peer in peers {
                send(&socket, &Message::OriginAsked(question), peer).await;
            }
        }
    }
}

/// Answers another host's question, if this one can.
pub(super) async fn answer_question(
    shared: &Shared,
    socket: &UdpSocket,
    now: Time,
    question: OriginQuestion,
    from: SocketAddr,
) {
    let (is_known, answer) = {
        let state = shared.state();
        let is_known = state.origins.find(question.key) != Origin::Unclear;
        let service = state.fleet.service_of_hash(question.service);
        let answer = service.and_then(|service| {
            let seen = state.seen_builds(now, &service, shared.settings.bounds.drain_time);
            state.origins.answer(question.key, seen)
        });
        (is_known, answer)
    };
    // Who has seen one version only has announced none.
    if !is_known && !matches!(answer, Some(OriginAnswer::Only(_))) {
        let message = Message::OriginDenied(question.key, shared.gossip_id());
        send(socket, &message, from).await;
    }
    if let Some(answer) = answer {
        send(socket, &Message::OriginAnswered(question.key, answer), from).await;
    }
}
