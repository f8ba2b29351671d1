//! The order in which requests for confirmations are answered.
use super::super::held_confirmations::{Held, HeldConfirmations, HeldRequest};
use silvercross_mesh_membership::{MembershipMessage, Node};

const NEIGHBOUR: Node = Node(7);

fn request(is_durable: bool) -> HeldRequest {
    let message = MembershipMessage::Fetch { nodes: vec![NEIGHBOUR], keys: Vec::new() };
    HeldRequest { message, is_durable }
}

#[test]
fn requests_of_a_neighbour_are_answered_in_their_order() {
    let held = HeldConfirmations::default();
    assert!(!held.holds_any(NEIGHBOUR));
    assert_eq!(held.hold(NEIGHBOUR, 1, request(true)), Held::First);
    // One that could be answered at once waits behind it.
    assert_eq!(held.hold(NEIGHBOUR, 2, request(false)), Held::Queued);
    assert_eq!(held.hold(Node(8), 3, request(true)), Held::First);
    assert!(held.is_current(NEIGHBOUR, 1) && !held.is_current(NEIGHBOUR, 2));
    for expected in [true, false] {
        assert_eq!(held.front(NEIGHBOUR), Some(expected));
        assert_eq!(held.pop(NEIGHBOUR).map(|request| request.is_durable), Some(expected));
    }
    assert!(held.front(NEIGHBOUR).is_none() && held.pop(NEIGHBOUR).is_none() && !held.holds_any(NEIGHBOUR));
}

/// Guards against an answer on a new connection that is taken for that to a later request.
#[test]
fn requests_of_an_earlier_connection_are_not_answered() {
    let held = HeldConfirmations::default();
    assert_eq!(held.hold(NEIGHBOUR, 1, request(true)), Held::First);
    held.connection_changed(NEIGHBOUR);
    assert!(!held.is_current(NEIGHBOUR, 1));
    assert_eq!(held.hold(NEIGHBOUR, 2, request(true)), Held::First);
    assert!(held.is_current(NEIGHBOUR, 2) && !held.is_current(NEIGHBOUR, 1));
}

#[test]
fn a_neighbour_holds_a_bounded_number_of_requests() {
    let held = HeldConfirmations::default();
    let kept =
        (0..2_000).filter(|number| held.hold(NEIGHBOUR, *number, request(true)) != Held::NoRoom).count();
    assert_eq!(kept, 512);
}
