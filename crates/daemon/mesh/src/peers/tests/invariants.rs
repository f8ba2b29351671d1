//! Verifies that each violated invariant is counted under its name.
use super::super::frame::Frame;
use super::super::frame_writer::Link;
use crate::tests::support::{self, SidecarOptions};
use silvercross_mesh_membership::{ControlEntry, MembershipMessage, Node, Revision};

#[test]
fn broken_invariants_are_counted_by_name() {
    support::run(async {
        let upstream = support::bind_upstream().await.address;
        let sidecar = support::start_sidecar(1, upstream, SidecarOptions::default()).await;
        let node_state = &sidecar.node_state;
        let peers = &node_state.peers;
        let violations = |name: &str| node_state.violations_report()[name].as_u64();
        node_state.check_newest_in_force();
        assert_eq!(violations("newestInForce"), Some(0));
        // An entry that fails to decode is known to membership but never in force.
        let revision = Revision::new(9, 9, 9);
        peers.membership.borrow_mut().publish(node_state.now(), "configuration", revision, vec![255]);
        node_state.check_newest_in_force();
        assert_eq!(violations("newestInForce"), Some(1));
        // Sends two messages with entries on a link that writes none, then more than its queue holds.
        let peer = Node(9);
        let (link, _queues) = Link::new(1);
        peers.links.borrow_mut().entry(peer).or_default().push(link);
        let entry = ControlEntry { key: "k".to_string(), revision, bytes: vec![7; 9 << 20] };
        let message = MembershipMessage::Update { records: Vec::new(), entries: vec![entry] };
        let frame = Frame::Membership(message);
        peers.send_entries(node_state, peer, &frame);
        assert_eq!(violations("oneVersionUnderWay"), Some(0));
        peers.send_entries(node_state, peer, &frame);
        assert_eq!(violations("oneVersionUnderWay"), Some(1));
        assert_eq!(violations("boundedBacklog"), Some(0));
        let Frame::Membership(message) = frame else { panic!("not a membership frame") };
        while peers.links.borrow().contains_key(&peer) {
            peers.send(node_state, peer, &Frame::Membership(message.clone()));
        }
        assert_eq!(violations("boundedBacklog"), Some(1), "the overflowing link is closed");
    });
}
