//! The checker of membership on histories written by hand: a sound one passes, and one small change for each property breaks
//! that one.
use silvercross_history_checker::membership::check;
use silvercross_history_checker::{EventKind, History, ListedMember, MemberList, MemberState, Property};
use silvercross_time::{Duration, Instant};

const SETTLE: Duration = Duration::from_micros(100);

fn list(process: usize, members: &[(&str, MemberState, u64)]) -> MemberList {
    let listed = |(identity, state, incarnation): &(&str, MemberState, u64)| ListedMember {
        identity: identity.to_string(),
        state: *state,
        incarnation: *incarnation,
    };
    MemberList {
        process,
        identity: format!("id{process}"),
        view: "whole".into(),
        senders: Some(members.len() + 1),
        members: members.iter().map(listed).collect(),
        draining: Vec::new(),
    }
}

/// What process 0 lists where all is well.
fn sound() -> MemberList {
    list(0, &[("id1", MemberState::Alive, 5)])
}

fn reported(list: MemberList) -> EventKind {
    EventKind::MemberList(list)
}

fn started(process: usize, fresh: bool) -> EventKind {
    EventKind::Started { process, machine: process, fresh }
}

/// Two that run and list each other, then these events.
fn history(events: Vec<EventKind>) -> History {
    let mut history = History::default();
    let at = Instant::from_micros;
    for process in [0, 1] {
        history.record(at(-1), started(process, false));
    }
    history.record(at(1), reported(sound()));
    history.record(at(1), reported(list(1, &[("id0", MemberState::Alive, 5)])));
    for (place, event) in events.into_iter().enumerate() {
        history.record(at(1_000 + place as i64), event);
    }
    history
}

fn broken(events: Vec<EventKind>) -> Vec<Property> {
    check(&history(events), SETTLE).violations.counts.into_keys().collect()
}

#[test]
fn a_sound_history_breaks_nothing() {
    assert_eq!(broken(vec![]), []);
}

#[test]
fn each_property_is_broken_by_the_history_that_is_meant() {
    let drains = |draining: &[&str]| {
        let draining = draining.iter().map(ToString::to_string).collect();
        reported(MemberList { draining, ..sound() })
    };
    let announced = || EventKind::DrainAnnounced { host: "s".into(), machines: vec![0] };
    let both = [("id0", MemberState::Alive, 5), ("id1", MemberState::Alive, 5)];
    let twin = reported(MemberList { identity: "id1".into(), ..list(2, &both) });
    let failed = list(0, &[("id1", MemberState::Failed, 5)]);
    let ghost = list(0, &[("id1", MemberState::Alive, 5), ("nobody", MemberState::Alive, 1)]);
    let older = list(0, &[("id1", MemberState::Alive, 4)]);
    let fewer = MemberList { senders: Some(1), ..sound() };
    let cases: Vec<(Property, Vec<EventKind>)> = vec![
        (Property::HeldFailed, vec![reported(failed), reported(sound())]),
        (Property::NotFound, vec![reported(list(0, &[]))]),
        (Property::Ghost, vec![reported(ghost)]),
        (Property::Backwards, vec![reported(older)]),
        (Property::Halved, vec![reported(fewer)]),
        (Property::TwoOfOne, vec![started(2, false), twin.clone()]),
        (Property::Reborn, vec![started(2, true), twin]),
        (Property::DrainLost, vec![announced(), drains(&["s"]), drains(&[])]),
        (Property::DrainUnheard, vec![announced(), drains(&["s"])]),
    ];
    for (property, events) in cases {
        assert!(broken(events).contains(&property), "{property}");
    }
}

#[test]
fn whoever_is_not_reached_stopped_or_out_may_be_held_failed() {
    let failed = || reported(list(0, &[("id1", MemberState::Failed, 5)]));
    let back = || reported(list(0, &[("id1", MemberState::Alive, 6)]));
    let cut = EventKind::partitioned([(0, 1)]);
    assert_eq!(broken(vec![cut, failed(), back()]), []);
    assert_eq!(broken(vec![EventKind::Impaired { process: 1 }, failed(), back()]), []);
    let out = MemberList { view: "out".into(), ..list(1, &[("id0", MemberState::Alive, 5)]) };
    assert_eq!(broken(vec![reported(out), failed()]), []);
}
