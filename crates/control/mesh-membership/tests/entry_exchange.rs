//! Exchange of control entries between one node and its neighbours: announced, requested, sent once, and
//! sent again after a loss.
mod support;
use silvercross_mesh_membership::*;
use support::{at, entry, keepalive, linked_membership, record, record_updates, update, KEY, LINKED, PARENT};

/// Receiver and revision of a control entry in a message.
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

/// Receivers and revisions of announced control entries.
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

/// Nodes that control entries were requested from.
fn requested_from(effects: &[Effect<u32>]) -> Vec<Node> {
    let to = |effect: &Effect<u32>| match effect {
        Effect::SendMessage { to, message: MembershipMessage::Fetch { keys, .. } } if !keys.is_empty() => {
            Some(*to)
        }
        _ => None,
    };
    effects.iter().filter_map(to).collect()
}

/// A neighbour's announcement of a version of the entry.
fn announcement(revision: Revision) -> MembershipMessage<u32> {
    let entries = vec![EntryRevision { key: KEY.into(), revision }];
    MembershipMessage::VersionIndex { buckets: Vec::new(), records: Vec::new(), entries }
}

/// A neighbour's request for an entry.
fn request(key: &str) -> MembershipMessage<u32> {
    MembershipMessage::Fetch { nodes: Vec::new(), keys: vec![key.to_string()] }
}

#[test]
fn an_update_goes_to_all_but_where_it_came_from_and_only_once() {
    let mut membership = linked_membership();
    let revision = Revision::new(1, 0, 0);
    let record_and_entry = || update(vec![record(Node(30), 1, 1)], vec![entry(revision, 3)]);
    membership.receive(at(1), Node(20), record_and_entry());
    let effects = membership.take_effects();
    assert_eq!(record_updates(&effects), [PARENT, Node(21)], "one message each");
    let others = [PARENT, Node(21)].map(|to| SentEntry { to, revision });
    assert_eq!(announced(&effects), others, "one announcement each");
    assert!(sent_entries(effects).is_empty(), "not requested");
    [PARENT, Node(21)].into_iter().for_each(|node| membership.receive(at(1), node, request(KEY)));
    assert_eq!(sent_entries(membership.take_effects()), others, "one message each");
    for node in [PARENT, Node(21)] {
        membership.entries_sent(at(2), node);
        membership.receive(at(2), node, record_and_entry());
    }
    let effects = membership.take_effects();
    assert!(record_updates(&effects).is_empty());
    assert!(announced(&effects).is_empty());
    assert!(sent_entries(effects).is_empty());
    assert!(membership.metrics().redundant_bytes > 0);
}

/// At most one version of an entry is in flight on a link; the newest one follows, and the versions in
/// between are never sent.
#[test]
fn while_a_version_is_in_flight_newer_ones_wait_and_only_the_newest_is_sent() {
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
    assert!(announced(&effects).is_empty() && sent_entries(effects).is_empty(), "nothing is queued");
    // Received from that neighbour in the meantime: it is not sent back.
    membership.receive(at(4), Node(20), update(vec![], vec![entry(Revision::new(2, 0, 0), 3)]));
    membership.entries_sent(at(5), Node(20));
    let effects = membership.take_effects();
    assert!(announced(&effects).iter().all(|announced| announced.to != Node(20)));
    assert!(sent_entries(effects).iter().all(|sent| sent.to != Node(20)));
}

/// Accepted by the network does not mean received: the neighbour requests again after it has received.
#[test]
fn a_newer_version_is_announced_at_once_and_sent_only_on_request() {
    let mut membership = linked_membership();
    for change in 1..=3 {
        let revision = Revision::new(1, 0, change);
        membership.publish(at(1), KEY, revision, vec![1]);
        let effects = membership.take_effects();
        assert_eq!(announced(&effects), LINKED.map(|to| SentEntry { to, revision }));
        assert!(sent_entries(effects).is_empty(), "not requested");
    }
    membership.receive(at(2), PARENT, request(KEY));
    let newest = SentEntry { to: PARENT, revision: Revision::new(1, 0, 3) };
    assert_eq!(sent_entries(membership.take_effects()), [newest]);
    membership.entries_sent(at(3), PARENT);
    assert!(sent_entries(membership.take_effects()).is_empty(), "requested only once");
    membership.receive(at(4), PARENT, request(KEY));
    assert_eq!(sent_entries(membership.take_effects()), [newest], "every request is answered");
    membership.receive(at(5), PARENT, request("unknown"));
    assert!(sent_entries(membership.take_effects()).is_empty());
}

/// An entry has one pending request at a time; the newest version is requested after the reply has arrived.
#[test]
fn an_announced_entry_is_requested_when_the_previous_one_has_arrived() {
    let mut membership = linked_membership();
    let take_requests = |membership: &mut Membership<u32>| requested_from(&membership.take_effects());
    membership.receive(at(1), PARENT, announcement(Revision::new(1, 0, 1)));
    assert_eq!(take_requests(&mut membership), [PARENT]);
    for change in 2..=9 {
        membership.receive(at(2), PARENT, announcement(Revision::new(1, 0, change)));
        assert!(take_requests(&mut membership).is_empty(), "a reply is pending");
    }
    membership.receive(at(3), PARENT, update(vec![], vec![entry(Revision::new(1, 0, 1), 3)]));
    assert_eq!(take_requests(&mut membership), [PARENT], "a newer one was announced");
    membership.receive(at(4), PARENT, update(vec![], vec![entry(Revision::new(1, 0, 9), 3)]));
    assert!(take_requests(&mut membership).is_empty(), "the newest one has arrived");
    membership.receive(at(5), PARENT, announcement(Revision::new(1, 0, 9)));
    assert!(take_requests(&mut membership).is_empty(), "already known");
    // A revision received from another neighbour in the meantime is not requested again.
    membership.receive(at(6), PARENT, announcement(Revision::new(1, 0, 10)));
    assert_eq!(take_requests(&mut membership), [PARENT]);
    membership.receive(at(6), PARENT, announcement(Revision::new(1, 0, 11)));
    membership.receive(at(7), Node(20), update(vec![], vec![entry(Revision::new(1, 0, 11), 3)]));
    membership.receive(at(8), PARENT, update(vec![], vec![entry(Revision::new(1, 0, 10), 3)]));
    assert!(take_requests(&mut membership).is_empty(), "already known");
}

/// Requests are repeated if the neighbour no longer has what it announced, or after a reconnect.
#[test]
fn what_does_not_arrive_is_requested_again() {
    let mut membership = linked_membership();
    membership.receive(at(1), PARENT, announcement(Revision::new(1, 0, 1)));
    assert_eq!(requested_from(&membership.take_effects()), [PARENT]);
    membership.connection_changed(at(2), PARENT);
    assert_eq!(requested_from(&membership.take_effects()), [PARENT], "what was in flight may be lost");
    let step = LINK_TIMEOUT / 2;
    let (mut now, mut asked_at) = (at(2), None);
    while now < at(2) + ENTRY_REQUEST_TIMEOUT * 2 && asked_at.is_none() {
        now += step;
        membership.receive(now, PARENT, keepalive(&[PARENT]));
        asked_at = requested_from(&membership.take_effects()).first().map(|_| now);
    }
    assert!(asked_at.is_some_and(|at_last| at_last - at(2) > ENTRY_REQUEST_TIMEOUT), "{asked_at:?}");
    // While parts of the reply arrive, the request is not repeated.
    for _ in 0..8 {
        now += step;
        membership.chunk_received(now, PARENT);
        membership.tick(now);
        assert!(requested_from(&membership.take_effects()).is_empty());
    }
}

/// A killed process may be back before the end of its old connection is detected: what was sent there is
/// sent again.
#[test]
fn after_a_reconnect_what_was_in_flight_is_sent_again() {
    let mut membership = linked_membership();
    membership.publish(at(1), KEY, Revision::new(1, 0, 1), vec![1]);
    assert_eq!(announced(&membership.take_effects()).len(), LINKED.len());
    let again = SentEntry { to: PARENT, revision: Revision::new(1, 0, 1) };
    membership.link_up(at(2), PARENT);
    assert_eq!(announced(&membership.take_effects()), [again], "announced before");
    membership.receive(at(2), PARENT, request(KEY));
    assert_eq!(sent_entries(membership.take_effects()), [again]);
    membership.receive(at(2), PARENT, request(KEY));
    membership.connection_changed(at(3), PARENT);
    assert_eq!(announced(&membership.take_effects()), [again], "requested, and in flight");
    membership.receive(at(4), PARENT, request(KEY));
    assert_eq!(sent_entries(membership.take_effects()), [again], "nothing counts as in flight");
}

/// An entry that changes constantly and is larger than a message must not starve the others.
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
