//! Tests of the tombstone table against a plain list.
use super::*;

fn at(seconds: i64) -> Instant {
    Instant::ZERO + Duration::from_secs(seconds)
}

fn tombstone(id: &str, incarnation: u64, sequence: u64, departure: Departure) -> Tombstone {
    let version = SidecarVersion { incarnation, sequence };
    Tombstone { id: id.to_string(), sidecar: Node(7), version, departure }
}

/// Every word that was ever heard, searched from the beginning.
#[derive(Default)]
struct PlainList {
    heard: Vec<(Tombstone, Instant)>,
}

impl PlainList {
    fn departure(&self, now: Instant, id: &str) -> Option<Departure> {
        let of_id = self.heard.iter().filter(|(tombstone, _)| tombstone.id == id);
        let until = of_id.clone().map(|(_, until)| *until).max()?;
        of_id.map(|(tombstone, _)| tombstone.departure).max().filter(|_| until > now)
    }
}

#[test]
fn what_is_remembered_is_what_was_heard() {
    let mut random = 1u64;
    let mut draw = |below: u64| {
        random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (random >> 33) % below
    };
    for _ in 0..200 {
        let (mut table, mut plain) = (TombstoneTable::default(), PlainList::default());
        let mut now = at(0);
        for _ in 0..100 {
            now += Duration::from_secs(draw(9) as i64);
            let id = format!("i-{}", draw(5));
            let departure = if draw(2) == 0 { Departure::Draining } else { Departure::Ended };
            let heard = tombstone(&id, draw(3), draw(3), departure);
            let remaining = Duration::from_secs(draw(100) as i64);
            let before = plain.departure(now, &id);
            if before.is_none() {
                plain.heard.retain(|(tombstone, _)| tombstone.id != id);
            }
            if remaining > Duration::ZERO {
                plain.heard.push((heard.clone(), now + remaining.min(TOMBSTONE_RETENTION)));
            }
            let after = plain.departure(now, &id);
            assert_eq!(table.insert(now, heard, remaining), after > before);
            for number in 0..5 {
                let id = format!("i-{number}");
                assert_eq!(table.departure(now, &id), plain.departure(now, &id));
            }
        }
    }
}

/// Guards against a late heartbeat at a sidecar that has restarted, and against one that keeps out an upstream that was ready
/// again.
#[test]
fn only_the_sidecar_that_saw_the_drain_can_take_it_back() {
    let mut table = TombstoneTable::default();
    let version = |incarnation, sequence| SidecarVersion { incarnation, sequence };
    table.insert(at(0), tombstone("a", 1, 5, Departure::Draining), TOMBSTONE_RETENTION);
    table.insert(at(0), tombstone("b", 1, 5, Departure::Ended), TOMBSTONE_RETENTION);
    for (id, listed_in, contradicts) in [
        ("a", version(1, 4), true),
        ("a", version(1, 6), false),
        ("a", version(2, 6), true),
        ("b", version(1, 6), true),
        ("unknown", version(2, 6), false),
    ] {
        assert_eq!(table.contradicts(at(1), id, listed_in), contradicts, "{id} {listed_in:?}");
    }
    table.remove_resumed("a", version(2, 6));
    table.remove_resumed("b", version(1, 6));
    assert_eq!(table.len(), 2);
    table.remove_resumed("a", version(1, 6));
    assert_eq!(table.departure(at(1), "a"), None);
}

/// Guards against tombstones that go round for ever, and against a table without a bound.
#[test]
fn tombstones_expire_wherever_they_are_passed_on_and_are_bounded() {
    let (mut first, mut second) = (TombstoneTable::default(), TombstoneTable::default());
    first.insert(at(0), tombstone("a", 1, 1, Departure::Ended), TOMBSTONE_RETENTION);
    for second_passed in 0..70 {
        let now = at(second_passed);
        let (from, to) = if second_passed % 2 == 0 { (&first, &mut second) } else { (&second, &mut first) };
        let passed_on: Vec<_> = from.remaining(now).map(|(t, remaining)| (t.clone(), remaining)).collect();
        for (tombstone, remaining) in passed_on {
            to.insert(now, tombstone, remaining);
        }
        let is_remembered = now < at(0) + TOMBSTONE_RETENTION;
        assert_eq!(first.departure(now, "a").is_some(), is_remembered, "{second_passed}");
    }
    let mut table = TombstoneTable::default();
    for number in 0..MAX_TOMBSTONES + 10 {
        let now = Instant::from_micros(number as i64);
        table.insert(now, tombstone(&number.to_string(), 1, 1, Departure::Ended), TOMBSTONE_RETENTION);
    }
    assert_eq!(table.len(), MAX_TOMBSTONES);
    assert_eq!(table.departure(at(1), "9"), None);
    assert_eq!(table.departure(at(1), "10"), Some(Departure::Ended));
}
