//! The judge on histories written by hand: a sound one passes, and one small change for each property breaks that one.
use silvercross_history_checker::membership::check;
use silvercross_history_checker::{EventKind, History, ListedMember, MemberList, MemberState};

const SETTLE: i64 = 100;

fn look(by: usize, others: &[(&str, MemberState, u64)]) -> EventKind {
    let seen = |(id, state, incarnation): &(&str, MemberState, u64)| ListedMember {
        id: id.to_string(),
        state: *state,
        incarnation: *incarnation,
    };
    EventKind::MemberList(MemberList {
        by,
        id: format!("id{by}"),
        view: "whole".into(),
        senders: Some(others.len() + 1),
        others: others.iter().map(seen).collect(),
        drains: Vec::new(),
    })
}

/// Two that run and see each other, then these, then both look once more.
fn history(middle: Vec<EventKind>) -> History {
    let mut h = History::default();
    for process in [0, 1] {
        h.now(-1, EventKind::Started { process, machine: process, fresh: false });
    }
    h.now(1, look(0, &[("id1", MemberState::Alive, 5)]));
    h.now(1, look(1, &[("id0", MemberState::Alive, 5)]));
    middle.into_iter().enumerate().for_each(|(i, what)| h.now(1_000 + i as i64, what));
    h
}

fn broken(middle: Vec<EventKind>) -> Vec<&'static str> {
    check(&history(middle), SETTLE).violation_counts.into_keys().collect()
}

fn with(what: EventKind, change: impl FnOnce(&mut MemberList)) -> EventKind {
    match what {
        EventKind::MemberList(mut l) => {
            change(&mut l);
            EventKind::MemberList(l)
        }
        other => other,
    }
}

#[test]
fn a_sound_history_breaks_nothing() {
    assert_eq!(broken(vec![]), Vec::<&str>::new());
}

#[test]
fn each_property_is_broken_by_the_history_that_is_meant() {
    let sound = || look(0, &[("id1", MemberState::Alive, 5)]);
    let drains = |on: bool| with(sound(), |l| l.drains = if on { vec!["s".into()] } else { vec![] });
    let told = || EventKind::DrainTold { host: "s".into(), machines: vec![0] };
    let twin = with(look(2, &[("id0", MemberState::Alive, 5), ("id1", MemberState::Alive, 5)]), |l| {
        l.id = "id1".into()
    });
    let cases: Vec<(&str, Vec<EventKind>)> = vec![
        ("held_failed", vec![look(0, &[("id1", MemberState::Failed, 5)]), sound()]),
        ("not_found", vec![look(0, &[])]),
        ("ghost", vec![look(0, &[("id1", MemberState::Alive, 5), ("nobody", MemberState::Alive, 1)])]),
        ("backwards", vec![look(0, &[("id1", MemberState::Alive, 4)])]),
        ("halved", vec![with(sound(), |l| l.senders = Some(1))]),
        ("two_of_one", vec![EventKind::Started { process: 2, machine: 2, fresh: false }, twin.clone()]),
        ("reborn", vec![EventKind::Started { process: 2, machine: 2, fresh: true }, twin]),
        ("drain_lost", vec![told(), drains(true), drains(false)]),
        ("drain_unheard", vec![told(), drains(true)]),
    ];
    for (property, middle) in cases {
        assert!(broken(middle).contains(&property), "{property}");
    }
}

#[test]
fn whoever_is_not_reached_stopped_or_out_may_be_held_failed() {
    let failed = || look(0, &[("id1", MemberState::Failed, 5)]);
    let sound = || look(0, &[("id1", MemberState::Alive, 6)]);
    let cut = EventKind::Cut { pairs: vec![(0, 1)] };
    assert_eq!(broken(vec![cut, failed(), sound()]), Vec::<&str>::new());
    assert_eq!(broken(vec![EventKind::Hampered { process: 1 }, failed(), sound()]), Vec::<&str>::new());
    let out = with(look(1, &[("id0", MemberState::Alive, 5)]), |l| l.view = "out".into());
    assert_eq!(broken(vec![out, failed()]), Vec::<&str>::new());
}
