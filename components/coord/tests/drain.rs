//! What a drain makes of the list of sessions.

use chervilgate_clock::Time;
use chervilgate_coord::{
    CallIds, Incarnation, Node, Object, StoreReply, Version, Zone,
    drain::{Drain, DrainAction},
    encode,
    session::{SessionRecord, SessionState, session_key},
    view::{Draining, Seq, TargetName},
};

fn object(key: &str, value: Vec<u8>) -> Object {
    Object { key: key.to_owned(), version: Version::first_era(1), value }
}

fn session(incarnation: u64) -> Object {
    let incarnation = Incarnation(incarnation);
    let addr = "10.0.0.1:80".parse().expect("an address");
    let record = SessionRecord {
        node: Node { incarnation, addr, zone: Zone("a".to_owned()) },
        attempt: 1,
        state: SessionState::Live,
        candidate: false,
        acting: Vec::new(),
    };
    object(&session_key(incarnation), encode(&record))
}

/// The processes that a drain asks once it has listed these objects; none if it goes on listing.
fn asked(objects: Vec<Object>) -> Vec<Incarnation> {
    let draining = Draining { target: TargetName::from("t1"), since: Seq(1) };
    let (mut drain, mut ids) = (Drain::new(draining), CallIds::from(1));
    let now = Time::from_secs(100);
    let actions = drain.advance(now, &mut ids);
    let [DrainAction::Call { id, .. }] = &actions[..] else { panic!("{actions:?}") };

    let reply = StoreReply::Listed { objects, version: Version::first_era(2) };
    let actions = drain.reply(now, &mut ids, *id, &reply).expect("its call");

    let asked = actions.into_iter().filter_map(|action| match action {
        DrainAction::Send { to, .. } => Some(to.incarnation),
        _ => None,
    });
    asked.collect()
}

// Guards against drains that never end beside an entry that is of no process.
#[test]
fn an_object_under_the_name_of_no_process_holds_up_no_drain() {
    for name in ["odd", "", "1&2", "+1", "zażółć", "00000000000000017"] {
        let odd = object(&format!("sessions/{name}"), b"odd".to_vec());

        assert_eq!(asked(vec![odd, session(7)]), [Incarnation(7)], "{name:?}");
    }
}

#[test]
fn a_session_that_cannot_be_read_holds_up_the_drain() {
    let unreadable = object(&session_key(Incarnation(9)), b"odd".to_vec());

    assert_eq!(asked(vec![session(7), unreadable]), []);
}
