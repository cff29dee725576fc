//! Tests of what hosts know of the software versions that began streams, without a network.

use std::time::Duration;

use chervilgate_clock::Time;
use chervilgate_gateway::{
    Prompt,
    fleet::{
        Build, BuildId, Fleet, Plan, STREAM_LIFE, SeenBuilds, SettledBuilds, TargetEntry,
        TargetQuery, TargetRole,
    },
    origins::{Origin, OriginAnswer, OriginNotice, OriginQuestion, Origins, StreamKey},
};

const SERVICE: &str = "llm";
const NOW: Time = Time::from_secs(100);
const FIRST: BuildId = 1;
const SECOND: BuildId = 2;

fn entry(id: &str, role: TargetRole, build: &str) -> TargetEntry {
    TargetEntry {
        id: id.into(),
        service: SERVICE.into(),
        addr: "10.0.0.1:80".parse().unwrap(),
        zone: "a".into(),
        slots: 8,
        draining: false,
        role,
        build: Build::new(build),
        incarnation: 1,
        sequence: 0,
        reclaimable: false,
    }
}

/// A fleet that has listed decode targets of these versions at `NOW`.
fn fleet(builds: &[&str]) -> Fleet {
    let mut fleet = Fleet::new("a", Duration::from_secs(2));
    let entries = builds.iter().enumerate();
    let entries =
        entries.map(|(index, build)| entry(&format!("d{index}"), TargetRole::Decode, build));
    fleet.replace(NOW, entries.collect());
    fleet
}

fn key(attempt: &str) -> StreamKey {
    StreamKey::new(attempt, SERVICE, Some("org"))
}

fn place(fleet: &Fleet, prompt: &Prompt, build: Option<BuildId>) -> Option<Plan> {
    let query = TargetQuery {
        service: SERVICE,
        prompt,
        exclude: &[],
        build,
        max_pause: None,
        runs_once: false,
    };
    fleet.place(NOW, &query)
}

/// Asks for a stream, with these answers of as many hosts; returns the conclusion.
fn conclude(answers: &[OriginAnswer], seen: SeenBuilds) -> Origin {
    let mut origins = Origins::default();
    origins.ask(NOW, OriginQuestion { key: key("a"), service: 0 }, Vec::new());
    for answer in answers {
        assert!(!origins.is_answered(key("a"), answers.len()));
        origins.record_answer(NOW, key("a"), *answer);
    }
    assert!(origins.is_answered(key("a"), answers.len()));
    origins.conclude(key("a"), seen)
}

#[test]
fn a_stream_goes_on_at_its_version_only() {
    let fleet = fleet(&["v1", "v2"]);
    let (known, gone) = (Build::new("v2"), Build::new("v3"));

    let plan = place(&fleet, &Prompt::default(), Some(known.id)).unwrap();

    assert_eq!(plan.placement.build, known);
    assert!(place(&fleet, &Prompt::default(), Some(gone.id)).is_none());
    assert!(!fleet.serves_build(NOW, SERVICE, gone.id));
}

#[test]
fn a_prompt_is_computed_and_generated_from_by_one_version() {
    let mut fleet = fleet(&["v1", "v1", "v1"]);
    fleet.upsert(NOW, entry("p", TargetRole::Prefill, "v2"));
    let prompt = Prompt { tokens: 20_000, ..Prompt::default() };
    let alone = place(&fleet, &prompt, None).unwrap();

    fleet.upsert(NOW, entry("d9", TargetRole::Decode, "v2"));
    let both = place(&fleet, &prompt, None).unwrap();

    assert_eq!(alone.prefill, None);
    assert_eq!(both.prefill.unwrap().build, both.placement.build);
}

#[test]
fn a_host_vouches_for_a_version_once_it_has_seen_no_other_for_as_long_as_streams_live() {
    let fleet = fleet(&["v1", "v1"]);
    let build = Build::new("v1").id;

    assert_eq!(fleet.seen_builds(NOW, SERVICE), SeenBuilds::OnlyNow(build));
    assert_eq!(fleet.seen_builds(NOW + STREAM_LIFE, SERVICE), SeenBuilds::Only(build));
    assert_eq!(fleet.seen_builds(NOW + STREAM_LIFE, "other"), SeenBuilds::Unsure);
}

#[test]
fn a_version_that_is_gone_counts_for_as_long_as_streams_live() {
    let mut fleet = fleet(&["v1", "v2"]);
    let later = NOW + STREAM_LIFE;

    fleet.remove(later, "d0");

    assert_eq!(fleet.seen_builds(later, SERVICE), SeenBuilds::Several);
    let only = SeenBuilds::Only(Build::new("v2").id);
    assert_eq!(fleet.seen_builds(later + STREAM_LIFE, SERVICE), only);
}

#[test]
fn a_new_version_is_noticed_once() {
    let mut fleet = fleet(&["v1"]);
    fleet.take_new_build();

    fleet.upsert(NOW, entry("e", TargetRole::Decode, "v1"));
    let same = fleet.take_new_build();
    fleet.upsert(NOW, entry("f", TargetRole::Decode, "v2"));

    assert!(!same && fleet.take_new_build() && !fleet.take_new_build());
}

#[test]
fn streams_begun_here_are_told_when_a_further_version_serves() {
    let mut origins = Origins::default();
    let own = OriginNotice { key: key("a"), build: FIRST };
    origins.begin(NOW, own, false);
    origins.learn(NOW, OriginNotice { key: key("b"), build: FIRST });
    let before = origins.take_untold();

    origins.tell_all();

    assert_eq!((before, origins.take_untold()), (vec![], vec![own]));
}

#[test]
fn the_host_at_which_a_stream_goes_on_tells_others_of_it() {
    let mut origins = Origins::default();
    let notice = OriginNotice { key: key("a"), build: SECOND };
    origins.learn(NOW, notice);

    origins.take_up(NOW, notice, true);
    let first = origins.take_untold();
    origins.take_up(NOW, notice, true);

    assert_eq!((first, origins.take_untold()), (vec![notice], vec![]));
}

#[test]
fn a_stream_that_went_on_here_is_told_when_a_further_version_serves() {
    let mut origins = Origins::default();
    let notice = OriginNotice { key: key("a"), build: FIRST };
    origins.take_up(NOW, notice, false);
    let before = origins.take_untold();

    origins.tell_all();

    assert_eq!((before, origins.take_untold()), (vec![], vec![notice]));
}

#[test]
fn a_host_that_stops_tells_of_all_streams_that_it_knows() {
    let mut origins = Origins::default();
    let notices = ["a", "b"].map(|name| OriginNotice { key: key(name), build: FIRST });
    let old = OriginNotice { key: key("c"), build: FIRST };
    origins.begin(NOW, old, false);
    let later = NOW + STREAM_LIFE;
    origins.begin(later, notices[0], false);
    origins.learn(later, notices[1]);

    origins.hand_over(later);

    let mut told = origins.take_untold();
    told.sort_by_key(|notice| notice.key != notices[0].key);
    assert_eq!(told, notices);
}

#[test]
fn a_further_version_takes_nothing_from_what_a_stopping_host_tells() {
    let mut origins = Origins::default();
    let notice = OriginNotice { key: key("a"), build: FIRST };
    origins.learn(NOW, notice);
    origins.hand_over(NOW);

    origins.tell_all();

    assert_eq!(origins.take_untold(), vec![notice]);
}

#[test]
fn answers_that_name_different_versions_name_none() {
    use OriginAnswer::Only;

    assert_eq!(conclude(&[Only(FIRST), Only(SECOND)], SeenBuilds::Unsure), Origin::Unknown);
    assert_eq!(conclude(&[Only(FIRST)], SeenBuilds::Only(SECOND)), Origin::Unknown);
}

// Guards against streams that go on at another version at a host that was out of step.
#[test]
fn another_hosts_word_that_there_was_one_version_does_not_suffice() {
    use OriginAnswer::Only;

    assert_eq!(conclude(&[Only(FIRST)], SeenBuilds::Unsure), Origin::Unknown);
    assert_eq!(conclude(&[Only(FIRST)], SeenBuilds::OnlyNow(FIRST)), Origin::Unknown);
}

// Guards against streams that go on at another version at a host that missed theirs.
#[test]
fn a_list_shows_nothing_of_what_served_since_the_one_before() {
    let mut fleet = fleet(&["v1"]);
    fleet.adopt_builds(NOW, [], true);
    let build = Build::new("v1").id;
    let before = fleet.seen_builds(NOW, SERVICE);

    fleet.replace(NOW + STREAM_LIFE, vec![entry("d0", TargetRole::Decode, "v1")]);

    assert_eq!(before, SeenBuilds::Only(build));
    assert_eq!(fleet.seen_builds(NOW + STREAM_LIFE, SERVICE), SeenBuilds::OnlyNow(build));
}

#[test]
fn a_stream_is_known_by_its_attempt_service_and_organisation() {
    let mut origins = Origins::default();
    origins.learn(NOW, OriginNotice { key: key("a"), build: SECOND });
    let of_other = StreamKey::new("a", SERVICE, Some("other"));

    assert_eq!(origins.find(key("a")), Origin::Known(SECOND));
    assert_eq!(origins.find(of_other), Origin::Unclear);
    assert_eq!(origins.conclude(of_other, SeenBuilds::Only(FIRST)), Origin::Known(FIRST));
    assert_eq!(origins.conclude(of_other, SeenBuilds::OnlyNow(FIRST)), Origin::Unknown);
}

#[test]
fn what_is_not_known_is_not_any_version() {
    use OriginAnswer::{Begun, Only, Several};

    assert_eq!(conclude(&[Several, Begun(SECOND)], SeenBuilds::Several), Origin::Known(SECOND));
    assert_eq!(conclude(&[Several], SeenBuilds::Several), Origin::Unknown);
    assert_eq!(conclude(&[Only(FIRST), Several], SeenBuilds::Only(FIRST)), Origin::Unknown);
    assert_eq!(conclude(&[Only(FIRST)], SeenBuilds::Only(FIRST)), Origin::Known(FIRST));
    assert_eq!(conclude(&[], SeenBuilds::Unsure), Origin::Unknown);
    assert_eq!(conclude(&[], SeenBuilds::OnlyNow(FIRST)), Origin::Unknown);
    assert_eq!(conclude(&[], SeenBuilds::Only(FIRST)), Origin::Known(FIRST));
}

#[test]
fn a_host_answers_what_it_knows_or_vouches_for() {
    let mut origins = Origins::default();
    origins.learn(NOW, OriginNotice { key: key("a"), build: SECOND });

    let answer = |attempt, seen| origins.answer(key(attempt), seen);

    assert_eq!(answer("a", SeenBuilds::Unsure), Some(OriginAnswer::Begun(SECOND)));
    assert_eq!(answer("b", SeenBuilds::Only(FIRST)), Some(OriginAnswer::Only(FIRST)));
    assert_eq!(answer("b", SeenBuilds::Several), Some(OriginAnswer::Several));
    assert_eq!(answer("b", SeenBuilds::OnlyNow(FIRST)), None);
    assert_eq!(answer("b", SeenBuilds::Unsure), None);
}

#[test]
fn streams_are_forgotten_after_their_life() {
    let mut origins = Origins::default();
    origins.learn(NOW, OriginNotice { key: key("a"), build: FIRST });

    origins.learn(NOW + STREAM_LIFE, OriginNotice { key: key("b"), build: FIRST });

    assert_eq!(origins.find(key("a")), Origin::Unclear);
}

#[test]
fn a_later_version_of_the_same_start_leaves_the_earlier_one_seen() {
    let mut fleet = fleet(&["v1"]);

    fleet.upsert(NOW, entry("d0", TargetRole::Decode, "v2"));

    assert_eq!(fleet.seen_builds(NOW, SERVICE), SeenBuilds::Several);
}

#[test]
fn streams_begun_in_doubt_are_of_the_version_that_it_was_settled_to() {
    let mut origins = Origins::default();
    let [doubted, other] = [("a", 7), ("b", 8)].map(|(attempt, build)| {
        let notice = OriginNotice { key: key(attempt), build };
        origins.begin(NOW, notice, false);
        notice
    });

    origins.settle(&SettledBuilds { taken_for: vec![doubted.build], build: FIRST });

    assert_eq!(origins.find(doubted.key), Origin::Known(FIRST));
    assert_eq!(origins.find(other.key), Origin::Known(other.build));
    assert_eq!(origins.take_untold(), [OriginNotice { build: FIRST, ..doubted }]);
}
