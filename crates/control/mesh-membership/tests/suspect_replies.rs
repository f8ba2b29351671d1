//! Watchers that report to each other on a suspect: a report received from another watcher keeps its age.
mod support;
use silvercross_mesh_membership::*;
use silvercross_time::{Duration, Instant};
use support::{after, config, heartbeat, keepalive, position, record, START};

const LOCAL_NODE: Node = Node(1);
const SUSPECT: Node = Node(2);
const OTHER_WATCHER: Node = Node(3);
const PARENT: Node = Node(9);

fn millis(count: i64) -> Instant {
    after(Duration::from_millis(count))
}

/// A node that knows the suspect, the other watcher and its parent.
fn watcher() -> Membership<u32> {
    let parent = NodeRecord { is_control: true, ..record(PARENT, 1, 1) };
    let mut membership = Membership::new(START, config(LOCAL_NODE, false, PARENT, 1), 1);
    membership.link_up(START, PARENT);
    let hello = MembershipMessage::Hello {
        record: parent.clone(),
        digest: 0,
        known_items: 4,
        position: position(&[PARENT]),
    };
    membership.receive(START, PARENT, hello);
    let records = vec![record(SUSPECT, 1, 1), record(OTHER_WATCHER, 1, 1), parent];
    membership.receive(START, PARENT, MembershipMessage::Snapshot { records, entries: Vec::new() });
    membership.tick(START);
    membership.take_effects();
    membership
}

/// Replies sent to the other watcher.
fn answers(membership: &mut Membership<u32>) -> Vec<Datagram> {
    let effects = membership.take_effects().into_iter();
    effects
        .filter_map(|effect| match effect {
            Effect::SendDatagram {
                to: OTHER_WATCHER,
                datagram: answer @ (Datagram::SuspectAlive { .. } | Datagram::SuspectConfirmed { .. }),
            } => Some(answer),
            _ => None,
        })
        .collect()
}

/// Passes time, during which the parent and the other watcher are heard.
fn advance(membership: &mut Membership<u32>, from: Instant, to: Instant) {
    let mut now = from;
    while now < to {
        membership.receive(now, PARENT, keepalive(&[PARENT]));
        membership.receive_datagram(now, OTHER_WATCHER, heartbeat(1, 1));
        membership.tick(now);
        now += Duration::from_millis(100);
    }
}

#[test]
fn a_watcher_reports_how_long_ago_it_heard_and_forwarded_reports_keep_their_age() {
    let mut membership = watcher();
    let ask = Datagram::Suspect { suspect: SUSPECT, incarnation: 1 };
    let heard = |millis| Datagram::SuspectAlive {
        suspect: SUSPECT,
        incarnation: 1,
        elapsed: Duration::from_millis(millis),
    };
    advance(&mut membership, START, millis(1_000));
    membership.receive_datagram(millis(1_000), SUSPECT, heartbeat(1, 1));
    advance(&mut membership, millis(1_000), millis(1_500));
    membership.take_effects();
    membership.receive_datagram(millis(1_500), OTHER_WATCHER, ask.clone());
    assert_eq!(answers(&mut membership), [heard(500)]);
    advance(&mut membership, millis(1_500), millis(2_600));
    // Another watcher's report is no newer than what this node heard: it has no effect, however late it
    // arrives.
    membership.receive_datagram(millis(2_600), OTHER_WATCHER, heard(1_600));
    membership.receive_datagram(millis(2_650), OTHER_WATCHER, ask.clone());
    assert_eq!(answers(&mut membership), [heard(1_650)]);
    advance(&mut membership, millis(2_600), millis(2_800));
    membership.receive_datagram(millis(2_800), OTHER_WATCHER, ask);
    let confirmed = Datagram::SuspectConfirmed { suspect: SUSPECT, incarnation: 1 };
    assert_eq!(answers(&mut membership), [confirmed]);
}
