//! Peers over loopback.

use std::{collections::BTreeSet, net::SocketAddr};

use chervilgate_coord::view::PeerMessage;
use chervilgate_wire::{Ask, Authority, Incoming, Message, Peers, Reply};
use tokio::sync::mpsc;

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn start(authority: &Authority, host: &str) -> (Peers, SocketAddr, mpsc::Receiver<Incoming>) {
    let identity = authority.issue(host).expect("an identity");
    let (peers, incoming) = Peers::bind(loopback(), &identity).expect("a port");
    let addr = peers.local_addr().expect("an address");
    (peers, addr, incoming)
}

fn withdrawn() -> Message {
    Message::View(PeerMessage::Withdrawn(BTreeSet::new()))
}

#[tokio::test]
async fn can_tell_and_ask_a_peer() {
    let authority = Authority::generate().expect("an authority");
    let (first, first_addr, _) = start(&authority, "h1");
    let (_second, second_addr, mut incoming) = start(&authority, "h2");

    first.tell(second_addr, &withdrawn());
    let told = incoming.recv().await;
    let answering = tokio::spawn(async move {
        if let Some(Incoming::Asked { answer, .. }) = incoming.recv().await {
            let _ = answer.send(Reply::Incarnation(7));
        }
    });
    let reply = first.ask(second_addr, &Ask::Incarnation).await;

    assert!(
        matches!(told, Some(Incoming::Told { from, message }) if from == first_addr && message == withdrawn())
    );
    assert_eq!(reply.expect("a reply"), Reply::Incarnation(7));
    answering.await.expect("the answering task ends");
}

#[tokio::test]
async fn errors_on_a_certificate_of_another_authority() {
    let ours = Authority::generate().expect("an authority");
    let theirs = Authority::generate().expect("an authority");
    let (stranger, _, _) = start(&theirs, "h1");
    let (_peer, addr, mut incoming) = start(&ours, "h2");

    let reply = stranger.ask(addr, &Ask::Incarnation).await;

    assert!(reply.is_err());
    assert!(incoming.try_recv().is_err());
}

#[tokio::test]
async fn can_rotate_certificates_with_both_authorities_trusted_meanwhile() {
    let old = Authority::generate().expect("an authority");
    let new = Authority::generate().expect("an authority");
    let (peer, addr, mut incoming) = start(&old, "h1");
    let (renewed_peer, renewed_addr, mut renewed_incoming) = start(&new, "h2");
    let mut renewed = new.issue("h1").expect("an identity");
    renewed.authority = format!("{}{}", old.certificate_pem(), new.certificate_pem());
    let (late_peer, _, _) = start(&old, "h3");

    peer.set_identity(&renewed).expect("a usable identity");
    peer.tell(renewed_addr, &withdrawn());
    renewed_peer.tell(addr, &withdrawn());
    let at_renewed = renewed_incoming.recv().await;
    let at_peer = incoming.recv().await;
    let late = late_peer.ask(addr, &Ask::Incarnation).await;

    assert!(matches!(at_renewed, Some(Incoming::Told { .. })));
    assert!(matches!(at_peer, Some(Incoming::Told { .. })));
    assert!(late.is_err(), "a peer that does not trust the new authority must not get through");
}
