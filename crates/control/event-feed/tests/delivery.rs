//! Examples of delivery with filters, slow readers and limits.
use silvercross_event_feed::{Cursor, EventContent, EventFeed, FeedEntry, Filter, Limits, Position};

fn content(key: &str, version: u64, service: &str) -> EventContent {
    let position = Position { epoch: 1, owner: 1, version, is_amended: false };
    let state = format!("{version} {service}");
    EventContent {
        key: key.to_string(),
        position,
        service: service.to_string(),
        state,
        ..EventContent::default()
    }
}

fn states(entries: &[FeedEntry]) -> Vec<String> {
    let state = |entry: &FeedEntry| match entry {
        FeedEntry::Event { event, .. } => event.content.state.clone(),
        FeedEntry::Gap { kind, count, reason, .. } => format!("{kind} {count} {}", reason.as_str()),
    };
    entries.iter().map(state).collect()
}

#[test]
fn a_key_that_leaves_the_filter_is_delivered_once_more() {
    let mut feed = EventFeed::new(Limits::default());
    let filter = Filter { kinds: vec!["upstream".into()], services: vec!["a".into()], ..Filter::default() };
    let mut reader = feed.open(Cursor::default(), filter.clone());
    for (index, service) in ["b", "a", "b", "b", "a"].iter().enumerate() {
        feed.publish(content("upstream/1", index as u64 + 1, service));
    }
    feed.publish(content("node/1", 1, "a"));
    assert_eq!(states(&feed.read(&mut reader, 9)), ["2 a", "3 b", "5 a"]);
    // Another reader continues from the cursor.
    feed.publish(content("upstream/1", 6, "b"));
    feed.publish(content("upstream/1", 7, "b"));
    let cursor = feed.cursor(&reader);
    assert!(!cursor.watermarks.contains_key("node/1"));
    let mut other = feed.open(cursor, filter);
    assert_eq!(states(&feed.read(&mut other, 9)), ["6 b"]);
    assert!(feed.read(&mut other, 9).is_empty() && !feed.has_more(&other));
}

#[test]
fn a_slow_reader_gets_the_count_of_dropped_events_and_memory_is_bounded() {
    let mut feed = EventFeed::new(Limits { max_keys: 3, max_older_events: 2, max_dropped: 16 });
    feed.publish(content("node/1", 1, ""));
    let mut reader = feed.open(Cursor::default(), Filter::default());
    assert_eq!(feed.read(&mut reader, 9).len(), 1);
    (2..=9).for_each(|v| assert!(feed.publish(content("node/1", v, ""))));
    assert_eq!(states(&feed.read(&mut reader, 9)), ["node 5 the reader was too slow", "7 ", "8 ", "9 "]);
    // At the limit of keys, ended ones are forgotten first.
    feed.publish(EventContent { ended: true, ..content("node/2", 1, "") });
    feed.publish(content("item/x", 1, ""));
    assert!(feed.publish(content("item/y", 1, "")) && !feed.publish(content("item/z", 1, "")));
    assert_eq!((feed.metrics().keys, feed.metrics().events), (3, 5));
    let entries = states(&feed.read(&mut reader, 9));
    assert_eq!(entries, ["item 1 more keys than are kept", "node 1 more keys than are kept", "1 ", "1 "]);
    assert!(feed.read(&mut reader, 9).is_empty());
}
