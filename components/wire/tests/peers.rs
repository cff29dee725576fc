//! Message exchange and certificate checks between peers on the loopback interface.

use std::{collections::BTreeSet, net::SocketAddr};

use chervilgate_coord::view::PeerMessage;
use chervilgate_wire::{CertificateAuthority, Incoming, Message, PeerRequest, Peers, Reply};
use tokio::sync::mpsc;

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn start(
    authority: &CertificateAuthority,
    host: &str,
) -> (Peers, SocketAddr, mpsc::Receiver<Incoming>) {
    let identity = authority.issue(host).expect("an identity");
    let (peers, incoming) = Peers::bind(loopback(), &identity).expect("a port");
    let addr = peers.local_addr().expect("an address");
    (peers, addr, incoming)
}

fn withdrawn() -> Message {
    Message::View(PeerMessage::Withdrawn(BTreeSet::new()))
}

#[tokio::test]
async fn can_send_messages_and_requests_to_a_peer() {
    let authority = CertificateAuthority::generate().expect("an authority");
    let (first, first_addr, _) = start(&authority, "h1");
    let (_second, second_addr, mut incoming) = start(&authority, "h2");

    first.send(second_addr, &withdrawn());
    let received = incoming.recv().await;
    let replying = tokio::spawn(async move {
        if let Some(Incoming::Request { reply, .. }) = incoming.recv().await {
            let _ = reply.send(Reply::Incarnation(7));
        }
    });
    let reply = first.request(second_addr, &PeerRequest::Incarnation).await;

    assert!(matches!(
        received,
        Some(Incoming::Message { from, message }) if from == first_addr && message == withdrawn()
    ));
    assert_eq!(reply.expect("a reply"), Reply::Incarnation(7));
    replying.await.expect("the replying task ends");
}

#[tokio::test]
async fn errors_on_a_certificate_of_another_authority() {
    let trusted = CertificateAuthority::generate().expect("an authority");
    let other = CertificateAuthority::generate().expect("an authority");
    let (untrusted_peer, _, _) = start(&other, "h1");
    let (_peer, addr, mut incoming) = start(&trusted, "h2");

    let reply = untrusted_peer.request(addr, &PeerRequest::Incarnation).await;

    assert!(reply.is_err());
    assert!(incoming.try_recv().is_err());
}

#[tokio::test]
async fn can_rotate_certificates_with_both_authorities_trusted_meanwhile() {
    let old = CertificateAuthority::generate().expect("an authority");
    let new = CertificateAuthority::generate().expect("an authority");
    let (peer, addr, mut incoming) = start(&old, "h1");
    let (renewed_peer, renewed_addr, mut renewed_incoming) = start(&new, "h2");
    let mut renewed = new.issue("h1").expect("an identity");
    renewed.authority = format!("{}{}", old.certificate_pem(), new.certificate_pem());
    let (outdated_peer, _, _) = start(&old, "h3");

    peer.set_identity(&renewed).expect("a usable identity");
    peer.send(renewed_addr, &withdrawn());
    renewed_peer.send(addr, &withdrawn());
    let at_renewed = renewed_incoming.recv().await;
    let at_peer = incoming.recv().await;
    let rejected = outdated_peer.request(addr, &PeerRequest::Incarnation).await;

    assert!(matches!(at_renewed, Some(Incoming::Message { .. })));
    assert!(matches!(at_peer, Some(Incoming::Message { .. })));
    assert!(rejected.is_err(), "a peer that does not trust the new authority must be rejected");
}
