//! Freshness requests of one node: a control node reads for its children, a relay asks its parent.
mod support;
use silvercross_mesh_membership::*;
use silvercross_time::{Duration, Instant};
use support::{after, at, config, hello, update, START};

const LOCAL_NODE: Node = Node(10);
const PARENTS: [Node; 2] = [Node(1), Node(2)];
const CHILDREN: [Node; 2] = [Node(20), Node(21)];
const OLD: Revision = Revision::new(1, 0, 0);
const NEW: Revision = Revision::new(2, 0, 0);
const SECOND: Duration = Duration::from_secs(1);

fn node(is_control: bool) -> Membership<u32> {
    let mut membership = Membership::new(START, config(LOCAL_NODE, is_control, PARENTS[0], 5), 0);
    for node in PARENTS.into_iter().chain(CHILDREN) {
        membership.link_up(START, node);
        membership.receive(START, node, hello(node, PARENTS.contains(&node)));
    }
    membership
}

/// A message or read for freshness, with its number.
#[derive(Clone, Copy, PartialEq, Debug)]
enum Sent {
    Request {
        to: Node,
        number: u64,
    },
    /// With this many revisions; `None` if no majority was reached.
    Reply {
        to: Node,
        number: u64,
        revisions: Option<usize>,
    },
    /// A read of this node's control store.
    Read {
        number: u64,
    },
}

impl Sent {
    fn number(self) -> u64 {
        match self {
            Sent::Request { number, .. } | Sent::Reply { number, .. } | Sent::Read { number } => number,
        }
    }
}

fn sent(membership: &mut Membership<u32>) -> Vec<Sent> {
    let about_freshness = |effect| match effect {
        Effect::SendMessage { to, message: MembershipMessage::FreshnessRequest { number } } => {
            Some(Sent::Request { to, number })
        }
        Effect::SendMessage { to, message: MembershipMessage::FreshnessReply { number, revisions } } => {
            Some(Sent::Reply { to, number, revisions: revisions.map(|revisions| revisions.len()) })
        }
        Effect::ConfirmRevisions { request_id } => Some(Sent::Read { number: request_id }),
        _ => None,
    };
    membership.take_effects().into_iter().filter_map(about_freshness).collect()
}

fn send_request(membership: &mut Membership<u32>, now: Instant, child: usize, number: u64) {
    membership.receive(now, CHILDREN[child], MembershipMessage::FreshnessRequest { number });
}

fn revisions(count: usize) -> Vec<EntryRevision> {
    (0..count).map(|i| EntryRevision { key: format!("k{i}"), revision: NEW }).collect()
}

fn reply(to: usize, number: u64, revisions: Option<usize>) -> Sent {
    Sent::Reply { to: CHILDREN[to], number, revisions }
}

#[test]
fn a_control_node_reads_once_for_all_that_waited_and_paces_its_reads() {
    let mut control = node(true);
    assert_eq!(control.freshness(), Freshness::Current { after: Duration::ZERO });
    send_request(&mut control, at(1), 0, 70);
    let first = sent(&mut control)[0].number();
    send_request(&mut control, at(2), 0, 70);
    send_request(&mut control, at(2), 1, 90);
    send_request(&mut control, at(3), 1, 91);
    assert!(sent(&mut control).is_empty(), "one read at a time");
    control.revisions_confirmed(at(4), first + 1, Some(revisions(1)));
    control.revisions_confirmed(at(4), first, Some(revisions(2)));
    assert_eq!(sent(&mut control), [reply(0, 70, Some(2))], "not the request that arrived during the read");
    let next_read = at(1) + FRESHNESS_READ_INTERVAL;
    assert_eq!(control.next_deadline().min(next_read), next_read);
    control.tick(after(FRESHNESS_READ_INTERVAL));
    assert!(sent(&mut control).is_empty(), "paced");
    control.tick(next_read);
    assert_eq!(sent(&mut control), [Sent::Read { number: first + 1 }]);
    // The control store doesn't answer: the read is given up, and a late result has no effect.
    control.tick(next_read + FRESHNESS_REQUEST_TIMEOUT);
    assert_eq!(sent(&mut control), [reply(1, 91, None)]);
    let now = after(SECOND * 9);
    control.revisions_confirmed(now, first + 1, Some(revisions(1)));
    assert!(sent(&mut control).is_empty());
    // No reply goes to a node whose link was lost, and a result with too many keys is rejected.
    send_request(&mut control, now, 0, 71);
    send_request(&mut control, now, 1, 92);
    control.link_down(now, CHILDREN[0]);
    let third = sent(&mut control).last().expect("a read").number();
    control.revisions_confirmed(now, third, Some(revisions(MAX_CONTROL_ENTRIES + 1)));
    assert!(sent(&mut control).iter().all(|sent| match sent {
        Sent::Reply { to, revisions, .. } => {
            *to != CHILDREN[0] && *revisions != Some(MAX_CONTROL_ENTRIES + 1)
        }
        _ => true,
    }));
}

#[test]
fn a_relay_forwards_one_request_and_sends_it_again_to_another_parent() {
    let mut relay = node(false);
    let requests = sent(&mut relay);
    let parent = relay.parent().expect("a parent");
    let number = requests[0].number();
    assert_eq!(requests, [Sent::Request { to: parent, number }], "its own");
    send_request(&mut relay, at(1), 0, 70);
    send_request(&mut relay, at(2), 1, 90);
    assert!(sent(&mut relay).is_empty(), "one at a time");
    let answer = |number, revisions| MembershipMessage::FreshnessReply { number, revisions };
    relay.receive(at(3), parent, answer(number, Some(revisions(1))));
    let number = number + 1;
    assert_eq!(sent(&mut relay), [Sent::Request { to: parent, number }], "one for both");
    assert_eq!(relay.freshness(), Freshness::Waiting, "an entry is missing");
    relay.link_down(at(4), parent);
    let other = relay.parent().expect("another");
    assert!(other != parent);
    let request = Sent::Request { to: other, number };
    assert_eq!(sent(&mut relay), [request], "the same request again");
    relay.tick(at(4) + FRESHNESS_REQUEST_TIMEOUT);
    assert!(sent(&mut relay).contains(&request), "and after a while");
    let now = after(SECOND * 3);
    relay.receive(now, other, answer(number - 1, Some(revisions(1))));
    assert!(sent(&mut relay).is_empty(), "too late");
    relay.receive(now, other, answer(number, None));
    assert_eq!(sent(&mut relay), [reply(0, 70, None), reply(1, 90, None)]);
    let entry = |key: &str, revision| ControlEntry { key: key.into(), revision, bytes: vec![] };
    relay.receive(now, other, update(vec![], vec![entry("k0", OLD), entry("x", NEW)]));
    assert_eq!(relay.freshness(), Freshness::Waiting, "the entry is older");
    let later = now + Duration::from_micros(5);
    relay.receive(later, other, update(vec![], vec![entry("k0", Revision::new(3, 0, 0))]));
    assert_eq!(relay.freshness(), Freshness::Current { after: later - START });
}
