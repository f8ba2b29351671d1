//! Control entries between one node and its neighbours: announced, asked for, sent once, and sent again where they were lost.
mod support;
use silvercross_mesh_membership::*;
use support::{at, entry, keepalive, linked_membership, record, record_updates, update, KEY, LINKED, PARENT};

/// A message with control entries, as far as these tests go by it.
#[derive(Clone, Copy, PartialEq, Debug)]
struct SentEntry {
    to: Node,
    revision: Revision,
}

fn sent_entries(effects: Vec<Effect<u32>>) -> Vec<SentEntry> {
    let entries = |effect| match effect {
        Effect::SendEntries { to, message: MembershipMessage::Update { entries, .. } } => Some((to, entries)),
        _ => None,
    };
    let sent = effects.into_iter().filter_map(entries);
    sent.flat_map(|(to, entries)| entries.into_iter().map(move |e| SentEntry { to, revision: e.revision }))
        .collect()
}

/// The control entries that were announced, by their revisions.
fn announced(effects: &[Effect<u32>]) -> Vec<SentEntry> {
    let entries = |effect: &Effect<u32>| match effect {
        Effect::SendMessage { to, message: MembershipMessage::VersionIndex { entries, .. } } => {
            Some((*to, entries.clone()))
        }
        _ => None,
    };
    let indexes = effects.iter().filter_map(entries);
    indexes
        .flat_map(|(to, entries)| entries.into_iter().map(move |e| SentEntry { to, revision: e.revision }))
        .collect()
}

/// Of whom control entries were asked.
fn asked(effects: &[Effect<u32>]) -> Vec<Node> {
    let to = |effect: &Effect<u32>| match effect {
        Effect::SendMessage { to, message: MembershipMessage::Fetch { keys, .. } } if !keys.is_empty() => {
            Some(*to)
        }
        _ => None,
    };
    effects.iter().filter_map(to).collect()
}

/// A neighbour announces a version of the entry.
fn announcement(revision: Revision) -> MembershipMessage<u32> {
    let entries = vec![EntryRevision { key: KEY.into(), revision }];
    MembershipMessage::VersionIndex { buckets: Vec::new(), records: Vec::new(), entries }
}

/// A neighbour asks for an entry.
fn request(key: &str) -> MembershipMessage<u32> {
    MembershipMessage::Fetch { nodes: Vec::new(), keys: vec![key.to_string()] }
}

#[test]
fn an_update_goes_to_all_but_where_it_came_from_and_only_once() {
    let mut membership = linked_membership();
    let revision = Revision::new(1, 0, 0);
    let both = || update(vec![record(Node(30), 1, 1)], vec![entry(revision, 3)]);
    membership.receive(at(1), Node(20), both());
    let effects = membership.take_effects();
    assert_eq!(record_updates(&effects), [PARENT, Node(21)], "one message each");
    let others = [PARENT, Node(21)].map(|to| SentEntry { to, revision });
    assert_eq!(announced(&effects), others, "one announcement each");
    assert!(sent_entries(effects).is_empty(), "nobody has asked");
    [PARENT, Node(21)].into_iter().for_each(|node| membership.receive(at(1), node, request(KEY)));
    assert_eq!(sent_entries(membership.take_effects()), others, "one message each");
    for node in [PARENT, Node(21)] {
        membership.entries_sent(at(2), node);
        membership.receive(at(2), node, both());
    }
    let effects = membership.take_effects();
    assert!(record_updates(&effects).is_empty());
    assert!(announced(&effects).is_empty());
    assert!(sent_entries(effects).is_empty());
    assert!(membership.metrics().redundant_bytes > 0);
}

/// Of an entry one version at a time is on its way on a link; the newest one follows, and those between never go.
#[test]
fn while_a_version_is_on_its_way_the_newer_ones_wait_and_only_the_newest_goes() {
    let mut membership = linked_membership();
    let publish = |membership: &mut Membership<u32>, change| {
        membership.publish(at(1), KEY, Revision::new(1, 0, change), vec![change as u8]);
        membership.take_effects()
    };
    assert_eq!(announced(&publish(&mut membership, 1)).len(), LINKED.len());
    LINKED.into_iter().for_each(|node| membership.receive(at(1), node, request(KEY)));
    assert_eq!(sent_entries(membership.take_effects()).len(), LINKED.len());
    LINKED.into_iter().for_each(|node| membership.receive(at(1), node, request(KEY)));
    assert!((2..=9).all(|change| sent_entries(publish(&mut membership, change)).is_empty()));
    membership.entries_sent(at(2), PARENT);
    let newest = SentEntry { to: PARENT, revision: Revision::new(1, 0, 9) };
    assert_eq!(sent_entries(membership.take_effects()), [newest], "on the link that took the first one");
    assert_eq!(membership.metrics().entries_superseded, 8 * LINKED.len() as u64);
    membership.entries_sent(at(3), PARENT);
    let effects = membership.take_effects();
    assert!(announced(&effects).is_empty() && sent_entries(effects).is_empty(), "nothing is left");
    // It came from there meanwhile: it does not go back.
    membership.receive(at(4), Node(20), update(vec![], vec![entry(Revision::new(2, 0, 0), 3)]));
    membership.entries_sent(at(5), Node(20));
    let effects = membership.take_effects();
    assert!(announced(&effects).iter().all(|announced| announced.to != Node(20)));
    assert!(sent_entries(effects).iter().all(|sent| sent.to != Node(20)));
}

/// What the network has taken has not arrived: the neighbour asks again when it has.
#[test]
fn a_newer_version_is_announced_at_once_and_goes_only_where_it_is_asked_for() {
    let mut membership = linked_membership();
    for change in 1..=3 {
        let revision = Revision::new(1, 0, change);
        membership.publish(at(1), KEY, revision, vec![1]);
        let effects = membership.take_effects();
        assert_eq!(announced(&effects), LINKED.map(|to| SentEntry { to, revision }));
        assert!(sent_entries(effects).is_empty(), "nobody has asked");
    }
    membership.receive(at(2), PARENT, request(KEY));
    let newest = SentEntry { to: PARENT, revision: Revision::new(1, 0, 3) };
    assert_eq!(sent_entries(membership.take_effects()), [newest]);
    membership.entries_sent(at(3), PARENT);
    assert!(sent_entries(membership.take_effects()).is_empty(), "it is asked for once");
    membership.receive(at(4), PARENT, request(KEY));
    assert_eq!(sent_entries(membership.take_effects()), [newest], "whoever asks gets it");
    membership.receive(at(5), PARENT, request("unknown"));
    assert!(sent_entries(membership.take_effects()).is_empty());
}

/// An entry is asked for once at a time; the newest version is asked for when that one has arrived.
#[test]
fn an_announced_entry_is_asked_for_when_the_one_before_has_arrived() {
    let mut membership = linked_membership();
    let asks = |membership: &mut Membership<u32>| asked(&membership.take_effects());
    membership.receive(at(1), PARENT, announcement(Revision::new(1, 0, 1)));
    assert_eq!(asks(&mut membership), [PARENT]);
    for change in 2..=9 {
        membership.receive(at(2), PARENT, announcement(Revision::new(1, 0, change)));
        assert!(asks(&mut membership).is_empty(), "the answer is on its way");
    }
    membership.receive(at(3), PARENT, update(vec![], vec![entry(Revision::new(1, 0, 1), 3)]));
    assert_eq!(asks(&mut membership), [PARENT], "there are newer ones");
    membership.receive(at(4), PARENT, update(vec![], vec![entry(Revision::new(1, 0, 9), 3)]));
    assert!(asks(&mut membership).is_empty(), "it is the newest");
    membership.receive(at(5), PARENT, announcement(Revision::new(1, 0, 9)));
    assert!(asks(&mut membership).is_empty(), "it is here");
    // What another neighbour has sent meanwhile is not asked for any more.
    membership.receive(at(6), PARENT, announcement(Revision::new(1, 0, 10)));
    assert_eq!(asks(&mut membership), [PARENT]);
    membership.receive(at(6), PARENT, announcement(Revision::new(1, 0, 11)));
    membership.receive(at(7), Node(20), update(vec![], vec![entry(Revision::new(1, 0, 11), 3)]));
    membership.receive(at(8), PARENT, update(vec![], vec![entry(Revision::new(1, 0, 10), 3)]));
    assert!(asks(&mut membership).is_empty(), "it is here");
}

/// One that no longer has what it announced, and one whose connection is another, is asked again.
#[test]
fn what_does_not_arrive_is_asked_for_again() {
    let mut membership = linked_membership();
    membership.receive(at(1), PARENT, announcement(Revision::new(1, 0, 1)));
    assert_eq!(asked(&membership.take_effects()), [PARENT]);
    membership.connection_changed(at(2), PARENT);
    assert_eq!(asked(&membership.take_effects()), [PARENT], "what was on its way may be lost");
    let step = LINK_TIMEOUT / 2;
    let (mut now, mut asked_at) = (at(2), None);
    while now < at(2) + ENTRY_REQUEST_TIMEOUT * 2 && asked_at.is_none() {
        now += step;
        membership.receive(now, PARENT, keepalive(&[PARENT]));
        asked_at = asked(&membership.take_effects()).first().map(|_| now);
    }
    assert!(asked_at.is_some_and(|at_last| at_last - at(2) > ENTRY_REQUEST_TIMEOUT), "{asked_at:?}");
    // While parts of the answer come it is waited for.
    for _ in 0..8 {
        now += step;
        membership.partial_message_received(now, PARENT);
        membership.tick(now);
        assert!(asked(&membership.take_effects()).is_empty());
    }
}

/// A process that was killed is back before the end of its old connection is seen: it gets what was sent there.
#[test]
fn on_another_connection_what_was_on_its_way_goes_again() {
    let mut membership = linked_membership();
    membership.publish(at(1), KEY, Revision::new(1, 0, 1), vec![1]);
    assert_eq!(announced(&membership.take_effects()).len(), LINKED.len());
    let again = SentEntry { to: PARENT, revision: Revision::new(1, 0, 1) };
    membership.link_up(at(2), PARENT);
    assert_eq!(announced(&membership.take_effects()), [again], "what was announced");
    membership.receive(at(2), PARENT, request(KEY));
    assert_eq!(sent_entries(membership.take_effects()), [again]);
    membership.receive(at(2), PARENT, request(KEY));
    membership.connection_changed(at(3), PARENT);
    assert_eq!(announced(&membership.take_effects()), [again], "what was asked for, and what was on its way");
    membership.receive(at(4), PARENT, request(KEY));
    assert_eq!(sent_entries(membership.take_effects()), [again], "nothing counts as on its way");
}

/// An entry that changes all the time, larger than a message, leaves the others their turn.
#[test]
fn no_entry_waits_for_one_that_changes_all_the_time() {
    let mut membership = linked_membership();
    let large = vec![1; 300 << 10];
    membership.publish(at(1), "a", Revision::new(1, 0, 1), large.clone());
    membership.publish(at(1), "b", Revision::new(1, 0, 1), vec![1]);
    membership.receive(at(1), PARENT, request("a"));
    membership.receive(at(1), PARENT, request("b"));
    let mut keys = Vec::new();
    for change in 2..=4 {
        let to_parent = |effect| match effect {
            Effect::SendEntries { to: PARENT, message: MembershipMessage::Update { entries, .. } } => {
                Some(entries)
            }
            _ => None,
        };
        let sent = membership.take_effects().into_iter().filter_map(to_parent).flatten();
        keys.extend(sent.map(|entry| entry.key));
        membership.publish(at(change), "a", Revision::new(1, 0, change as u64), large.clone());
        membership.receive(at(change), PARENT, request("a"));
        membership.entries_sent(at(change), PARENT);
    }
    assert_eq!(keys[..3], ["a", "b", "a"]);
}
