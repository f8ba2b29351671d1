//! Random schedules: keys change, nodes learn of it late and with gaps, lose their state, and a reader moves between nodes.
//! A reference model knows every state of every key and checks the entries that the reader gets.
use silvercross_event_feed::{
    key_kind, Cursor, EventContent, EventFeed, FeedEntry, Filter, GapReason, Limits, Position, Reader,
};
use std::collections::BTreeMap;

const KEYS: [&str; 4] = ["node/1", "node/2", "item/a", "item/b"];

/// All states that a key ever had.
#[derive(Default)]
struct History {
    states: Vec<(Position, u8)>,
}

impl History {
    fn step(&mut self, draw: u8) {
        let (mut position, state) =
            self.states.last().copied().unwrap_or((Position { epoch: 1, ..Position::default() }, 0));
        match draw % 16 {
            0 => {
                position = Position {
                    epoch: position.epoch + 1,
                    owner: u64::from(draw / 16),
                    version: 7,
                    is_amended: false,
                }
            }
            1 if !position.is_amended => position.is_amended = true,
            _ => (position.version, position.is_amended) = (position.version + 1, false),
        }
        // Half of the versions keep the state.
        let state = if draw & 16 > 0 { state } else { (draw >> 5) % 3 };
        self.states.push((position, state));
    }

    fn index_of(&self, position: &Position) -> usize {
        self.states.iter().position(|(p, _)| p == position).expect("a position in the history")
    }
}

struct Node {
    feed: EventFeed,
    known_counts: [usize; 4],
}

impl Node {
    fn new() -> Self {
        Node {
            feed: EventFeed::new(Limits { max_keys: 8, max_older_events: 3, max_dropped: 64 }),
            known_counts: [0; 4],
        }
    }
}

/// Checks the entries that a reader gets against the histories.
#[derive(Default)]
struct Model {
    last: BTreeMap<String, usize>,
    dropped_budget: BTreeMap<String, u64>,
    entries: usize,
}

impl Model {
    fn check_entry(&mut self, histories: &[History; 4], entry: &FeedEntry) {
        self.entries += 1;
        match entry {
            FeedEntry::Gap { kind, count, has_more, reason } => {
                if *reason == GapReason::Dropped {
                    *self.dropped_budget.entry(kind.clone()).or_default() +=
                        if *has_more { 1 << 40 } else { *count };
                }
            }
            FeedEntry::Event { event, after, missed, .. } => {
                let key = &event.content.key;
                let n = KEYS.iter().position(|k| k == key).expect("a key");
                let history = &histories[n];
                let at = history.index_of(&event.content.position);
                assert_eq!(event.content.state, history.states[at].1.to_string());
                if let Some(last) = self.last.insert(key.clone(), at) {
                    assert!(at > last, "{key}: delivered {last}, then {at}");
                    assert!(
                        after.is_some() || self.dropped_budget.contains_key(key_kind(key)),
                        "{key}: an event without a predecessor after an earlier delivery"
                    );
                    let changes = (last + 1..at)
                        .filter(|i| history.states[*i].1 != history.states[i - 1].1)
                        .count() as u64;
                    let undelivered =
                        missed.map_or(0, |n| changes.saturating_sub(n + amendments(history, last, at)));
                    if undelivered > 0 {
                        let budget = self
                            .dropped_budget
                            .get_mut(key_kind(key))
                            .expect("undelivered changes without a gap");
                        assert!(
                            *budget >= undelivered,
                            "{key}: {undelivered} undelivered, {budget} counted as dropped"
                        );
                        *budget -= undelivered;
                    }
                    let changed = (last + 1..=at).any(|i| history.states[i].1 != history.states[i - 1].1);
                    assert!(changed || *missed != Some(0), "{key}: delivered twice");
                }
            }
        }
    }
}

/// Amendments are not counted as versions, but each makes up to two changes: the amendment and its reversion.
fn amendments(history: &History, last: usize, at: usize) -> u64 {
    (last + 1..at).filter(|i| history.states[*i].0.is_amended).count() as u64 * 2
}

fn reader(node: &Node, cursor: &Cursor) -> Reader {
    // Through the text form, as on the wire.
    let cursor = Cursor::parse(&cursor.to_text()).expect("a text written by to_text");
    node.feed.open(cursor, Filter::default())
}

fn run_schedule(draws: &[(u8, u8, u8)]) {
    let mut histories: [History; 4] = Default::default();
    let mut nodes = [Node::new(), Node::new(), Node::new()];
    let (mut current, mut cursor) = (0, Cursor::default());
    let mut open = reader(&nodes[0], &cursor);
    let mut model = Model::default();
    for (operation, a, b) in draws {
        let (k, n) = (usize::from(a % 4), usize::from(a / 4 % 3));
        match operation % 8 {
            0 | 1 => histories[k].step(*b),
            2..=4 => {
                let node = &mut nodes[n];
                let remaining_count = histories[k].states.len() - node.known_counts[k];
                if remaining_count > 0 {
                    // Mostly the next version, sometimes a later one.
                    let step_count = if b % 4 == 0 { 1 + usize::from(b / 4) % remaining_count } else { 1 };
                    node.known_counts[k] += step_count;
                    let (position, state) = histories[k].states[node.known_counts[k] - 1];
                    let (key, state) = (KEYS[k].to_string(), state.to_string());
                    node.feed.publish(EventContent { key, position, state, ..EventContent::default() });
                }
            }
            5 => {
                let entries = nodes[current].feed.read(&mut open, 1 + usize::from(b % 4));
                entries.iter().for_each(|entry| model.check_entry(&histories, entry));
                cursor = nodes[current].feed.cursor(&open);
            }
            6 => {
                // The connection breaks during a response: the entries received are merged into the last cursor.
                let entries = nodes[current].feed.read(&mut open, 4);
                let received_count = usize::from(b % 5).min(entries.len());
                for entry in &entries[..received_count] {
                    model.check_entry(&histories, entry);
                    if let FeedEntry::Event { event, watermark, .. } = entry {
                        cursor.merge(Cursor::for_key(&event.content.key, *watermark));
                    }
                }
                current = n;
                open = reader(&nodes[current], &cursor);
            }
            _ => {
                if b % 4 == 0 {
                    nodes[n] = Node::new();
                }
                if b % 4 == 0 && n == current || b % 2 == 1 {
                    current = n;
                    open = reader(&nodes[current], &cursor);
                }
            }
        }
    }
    // After reading to the end, the reader knows at least what the node knows.
    loop {
        let entries = nodes[current].feed.read(&mut open, 2);
        if entries.is_empty() {
            break;
        }
        entries.iter().for_each(|entry| model.check_entry(&histories, entry));
    }
    let end = nodes[current].feed.cursor(&open);
    for (k, key) in KEYS.iter().enumerate() {
        let known = nodes[current].known_counts[k];
        if known > 0 {
            let (last, cursor_index) =
                (model.last[*key], histories[k].index_of(&end.watermarks[*key].position));
            assert!(cursor_index + 1 >= known, "{key}: cursor at {cursor_index}, {known} known");
            assert_eq!(
                histories[k].states[last].1, histories[k].states[cursor_index].1,
                "{key}: {last} delivered last, but cursor at {cursor_index}"
            );
        }
    }
}

#[test]
fn every_gap_is_reported_and_no_event_is_delivered_twice() {
    bolero::check!()
        .with_type::<Vec<(u8, u8, u8)>>()
        .with_iterations(2_000)
        .for_each(|draws| run_schedule(draws));
    // Longer schedules than bolero generates, from a linear congruential generator.
    let mut n = 1u64;
    for _ in 0..3_000 {
        let mut draw = || {
            n = n.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            (n >> 33) as u8
        };
        let draws: Vec<(u8, u8, u8)> = (0..300).map(|_| (draw(), draw(), draw())).collect();
        run_schedule(&draws);
    }
}
