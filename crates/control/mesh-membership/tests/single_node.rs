//! Rules of a single node: updates, refutation, and suspicion.
mod support;
use silvercross_mesh_membership::*;
use silvercross_time::{Duration, Instant};
use support::{
    after, at, entry, heartbeat, keepalive, linked_membership, record, record_updates, update, KEY, LINKED,
    LOCAL_NODE, PARENT, START,
};

fn gone(record: NodeRecord<u32>) -> NodeRecord<u32> {
    NodeRecord { gone: true, ..record }
}

/// Receivers of record updates since the last call.
fn updated(membership: &mut Membership<u32>) -> Vec<Node> {
    record_updates(&membership.take_effects())
}

/// On a slow link a large message may take longer than the time-out of a silent link.
#[test]
fn a_link_on_which_part_of_a_message_comes_is_kept() {
    let mut membership = linked_membership();
    let step = LINK_TIMEOUT / 2;
    let mut now = START;
    for _ in 0..8 {
        now += step;
        membership.chunk_received(now, PARENT);
        membership.tick(now);
    }
    assert!(membership.linked_nodes().contains(&PARENT));
    assert!(!membership.linked_nodes().contains(&Node(20)), "nothing was received from it");
}

#[test]
fn older_records_and_entries_are_ignored() {
    let mut membership = linked_membership();
    let (from, other) = (Node(20), Node(30));
    let newest = Revision::new(2, 5, 0);
    membership.publish(at(1), KEY, newest, vec![2]);
    membership.publish(at(1), KEY, Revision::new(2, 4, 9), vec![3]);
    membership.receive(
        at(1),
        from,
        update(vec![record(other, 2, 1)], vec![entry(Revision::new(1, 9, 9), 3)]),
    );
    membership.receive(at(1), from, update(vec![gone(record(other, 1, 7))], vec![entry(newest, 3)]));
    assert_eq!(membership.control_entry(KEY), Some(EntryView { key: KEY, revision: newest, bytes: &[2] }));
    assert_eq!(membership.record(other), Some(&record(other, 2, 1)));
    membership.receive(at(1), from, update(vec![gone(record(other, 2, 1))], vec![]));
    assert!(membership.record(other).is_some_and(|record| record.gone));
    let too_long = entry(Revision::new(3, 0, 0), MAX_CONTROL_ENTRY_BYTES + 1);
    membership.receive(at(1), from, update(vec![], vec![too_long]));
    assert_eq!(membership.metrics().rejected_items, 1);
}

#[test]
fn a_node_refutes_what_others_say_of_it() {
    let mut membership = linked_membership();
    let from = Node(20);
    let own = membership.record(LOCAL_NODE).expect("own").clone();
    membership.receive(at(1), from, update(vec![gone(own.clone())], vec![]));
    assert_eq!(
        membership.record(LOCAL_NODE),
        Some(&NodeRecord { sequence: own.sequence + 1, ..own.clone() })
    );
    assert_eq!(updated(&mut membership), LINKED, "also where it came from");
    let dead = Datagram::DeclaredDead { incarnation: 5, sequence: own.sequence + 1 };
    membership.receive_datagram(at(1), from, dead);
    assert_eq!(membership.record(LOCAL_NODE).map(|record| record.sequence), Some(own.sequence + 2));
    membership.receive(at(1), from, update(vec![record(LOCAL_NODE, 8, 3)], vec![]));
    assert_eq!(membership.incarnation(), 9);
    membership.leave(at(2));
    membership.receive(at(3), from, update(vec![gone(record(LOCAL_NODE, 99, 3))], vec![]));
    let signed_off =
        membership.record(LOCAL_NODE).is_some_and(|record| record.gone && record.incarnation == 9);
    assert!(signed_off, "it stays signed off");
}

/// Passes time until `to`, during which the node receives from its links and from the given monitored
/// nodes.
fn listen(membership: &mut Membership<u32>, from: Instant, to: Instant, heard: &[Node]) -> Vec<Effect<u32>> {
    let mut effects = Vec::new();
    let mut now = from;
    while now < to {
        LINKED.into_iter().for_each(|node| membership.receive(now, node, keepalive(&[PARENT])));
        heard.iter().for_each(|node| membership.receive_datagram(now, *node, heartbeat(1, 0)));
        membership.tick(now);
        effects.extend(membership.take_effects());
        now += Duration::from_millis(50);
    }
    effects
}

fn suspects(effects: &[Effect<u32>]) -> Vec<Node> {
    let suspect = |effect: &Effect<u32>| match effect {
        Effect::SendDatagram { datagram: Datagram::Suspect { suspect, .. }, .. } => Some(*suspect),
        _ => None,
    };
    let mut nodes: Vec<Node> = effects.iter().filter_map(suspect).collect();
    nodes.dedup();
    nodes
}

/// Another watcher's reply about the suspect.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Answer {
    Confirms,
    Heard,
}

#[test]
fn a_silent_node_is_declared_gone_by_two_or_after_a_failed_probe_and_not_when_another_heard_it() {
    use Answer::{Confirms, Heard};
    let heard = [PARENT, Node(20)];
    let (suspect, incarnation) = (Node(21), 1);
    let suspected_at = after(HEARTBEAT_TIMEOUT + Duration::from_millis(100));
    let cases = [
        (vec![Confirms, Confirms], true),
        (vec![Confirms, Heard], false),
        (vec![], true),
        (vec![Confirms], true),
    ];
    for (answers, gone) in cases {
        let mut membership = linked_membership();
        let effects = listen(&mut membership, START, suspected_at, &heard);
        assert_eq!(suspects(&effects), [suspect]);
        for (answer, from) in answers.iter().zip(heard) {
            let answer = match answer {
                Confirms => Datagram::SuspectConfirmed { suspect, incarnation },
                Heard => Datagram::SuspectAlive { suspect, incarnation, elapsed: Duration::ZERO },
            };
            membership.receive_datagram(suspected_at, from, answer);
        }
        let until = suspected_at + SUSPECT_REPLY_TIMEOUT + Duration::from_millis(100);
        let effects = listen(&mut membership, suspected_at, until, &heard);
        let probes = effects.contains(&Effect::Probe { node: suspect });
        assert_eq!(probes, answers.is_empty());
        if probes {
            membership.probe_finished(suspected_at + Duration::from_millis(500), suspect, false);
        }
        assert_eq!(membership.record(suspect).is_some_and(|record| record.gone), gone, "{answers:?}");
    }
}

#[test]
fn a_node_that_hears_nobody_or_stalled_suspects_nobody() {
    let mut membership = linked_membership();
    let effects = listen(&mut membership, START, after(HEARTBEAT_TIMEOUT * 3), &[]);
    assert!(suspects(&effects).is_empty(), "all are silent: this node is probably isolated");
    let mut membership = linked_membership();
    listen(&mut membership, START, after(Duration::from_millis(500)), &LINKED);
    let resumed = after(Duration::from_secs(60));
    let not_yet = resumed + HEARTBEAT_TIMEOUT - Duration::from_millis(100);
    let effects = listen(&mut membership, resumed, not_yet, &[PARENT]);
    assert!(suspects(&effects).is_empty());
    let effects = listen(&mut membership, not_yet, not_yet + Duration::from_millis(300), &[PARENT]);
    assert!(!suspects(&effects).is_empty());
}
