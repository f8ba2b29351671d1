// Beside the source since a test needs a private item: the length of the queue.
use super::*;

fn left(n: u64, i: u64) -> MembershipUpdate {
    MembershipUpdate::Left { id: Identity(n), incarnation: Incarnation(i) }
}

#[test]
fn each_is_told_so_often_and_then_no_more() {
    let mut r = UpdateQueue::default();
    r.add(left(1, 1));
    let mut times = 0;
    while !r.take(1000, 12, None).is_empty() {
        times += 1;
    }
    assert_eq!(times, retransmit_limit(12));
    assert!(r.is_empty());
}

#[test]
fn the_least_told_goes_first_and_newer_news_replaces_older() {
    let mut r = UpdateQueue::default();
    r.add(left(1, 1));
    r.take(1000, 12, None);
    r.add(left(2, 1));
    let room = postcard::to_stdvec(&left(2, 1)).expect("short").len();
    assert_eq!(r.take(room, 12, None), [left(2, 1)]);
    assert_eq!(r.take(room, 12, Some(Identity(1))), [left(1, 1)]);
    r.add(left(2, 5));
    assert_eq!(r.take(1000, 12, None), [left(2, 5), left(1, 1)]);
}

#[test]
fn it_holds_no_more_than_its_bound() {
    let mut r = UpdateQueue::default();
    for n in 0..MAX_QUEUED_UPDATES as u64 + 10 {
        r.add(left(n + 1, 1));
    }
    assert_eq!(r.queued.len(), MAX_QUEUED_UPDATES);
}
