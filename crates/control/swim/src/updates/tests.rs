// Unit tests, since one reads a private field: the length of the queue.
use super::*;

fn left(id: u64, incarnation: u64) -> MembershipUpdate {
    MembershipUpdate::Left { id: Identity(id), incarnation: Incarnation(incarnation) }
}

#[test]
fn each_update_is_sent_up_to_its_transmission_limit() {
    let mut queue = UpdateQueue::default();
    queue.add(left(1, 1));
    let mut sent = 0;
    while !queue.take(1000, 12, None).is_empty() {
        sent += 1;
    }
    assert_eq!(sent, retransmit_limit(12));
    assert!(queue.is_empty());
}

#[test]
fn the_least_sent_update_goes_first_and_newer_ones_supersede_older() {
    let mut queue = UpdateQueue::default();
    queue.add(left(1, 1));
    queue.take(1000, 12, None);
    queue.add(left(2, 1));
    let room = postcard::to_stdvec(&left(2, 1)).expect("short").len();
    assert_eq!(queue.take(room, 12, None), [left(2, 1)]);
    assert_eq!(queue.take(room, 12, Some(Identity(1))), [left(1, 1)]);
    queue.add(left(2, 5));
    assert_eq!(queue.take(1000, 12, None), [left(2, 5), left(1, 1)]);
}

#[test]
fn the_queue_is_bounded() {
    let mut queue = UpdateQueue::default();
    for n in 0..MAX_QUEUED_UPDATES as u64 + 10 {
        queue.add(left(n + 1, 1));
    }
    assert_eq!(queue.queued.len(), MAX_QUEUED_UPDATES);
}
