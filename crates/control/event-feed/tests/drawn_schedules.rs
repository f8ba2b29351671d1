//! Drawn schedules: keys change, nodes learn of it late and in jumps, lose their memory, and a reader goes from one to the other.
//! A plain model knows every state of every key and holds against it what the reader gets.
use silvercross_event_feed::{
    key_kind, Cursor, EventContent, EventFeed, FeedEntry, Filter, GapReason, Limits, Position, Reader,
};
use std::collections::BTreeMap;

const KEYS: [&str; 4] = ["node/1", "node/2", "item/a", "item/b"];

/// Every state that a key ever had.
#[derive(Default)]
struct Truth {
    states: Vec<(Position, u8)>,
}

impl Truth {
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
        // Half of the changes are of something that this key does not show.
        let state = if draw & 16 > 0 { state } else { (draw >> 5) % 3 };
        self.states.push((position, state));
    }

    fn index_of(&self, position: &Position) -> usize {
        self.states.iter().position(|(p, _)| p == position).expect("a position of the history")
    }
}

struct Node {
    event_feed: EventFeed,
    knows: [usize; 4],
}

impl Node {
    fn new() -> Self {
        Node {
            event_feed: EventFeed::new(Limits { max_keys: 8, max_older_events: 3, max_dropped: 64 }),
            knows: [0; 4],
        }
    }
}

/// What a reader got, against the truth.
#[derive(Default)]
struct Model {
    last: BTreeMap<String, usize>,
    dropped: BTreeMap<String, u64>,
    entries: usize,
}

impl Model {
    fn take(&mut self, truths: &[Truth; 4], entry: &FeedEntry) {
        self.entries += 1;
        match entry {
            FeedEntry::Gap { kind, count, has_more, reason } => {
                if *reason == GapReason::Dropped {
                    *self.dropped.entry(kind.clone()).or_default() +=
                        if *has_more { 1 << 40 } else { *count };
                }
            }
            FeedEntry::Event { event, after, missed, .. } => {
                let key = &event.content.key;
                let n = KEYS.iter().position(|k| k == key).expect("a key");
                let truth = &truths[n];
                let at = truth.index_of(&event.content.position);
                assert_eq!(event.content.state, truth.states[at].1.to_string());
                if let Some(last) = self.last.insert(key.clone(), at) {
                    assert!(at > last, "{key}: delivered {last}, then {at}");
                    assert!(
                        after.is_some() || self.dropped.contains_key(key_kind(key)),
                        "{key}: as if nothing had been delivered"
                    );
                    let changes =
                        (last + 1..at).filter(|i| truth.states[*i].1 != truth.states[i - 1].1).count() as u64;
                    let undelivered =
                        missed.map_or(0, |n| changes.saturating_sub(n + amendments(truth, last, at)));
                    if undelivered > 0 {
                        let budget =
                            self.dropped.get_mut(key_kind(key)).expect("undelivered changes without a gap");
                        assert!(
                            *budget >= undelivered,
                            "{key}: {undelivered} undelivered, {budget} counted as dropped"
                        );
                        *budget -= undelivered;
                    }
                    let changed = (last + 1..=at).any(|i| truth.states[i].1 != truth.states[i - 1].1);
                    assert!(changed || *missed != Some(0), "{key}: delivered twice");
                }
            }
        }
    }
}

/// What others add to a version is no version of its own, and not counted: there and back are two changes.
fn amendments(truth: &Truth, last: usize, at: usize) -> u64 {
    (last + 1..at).filter(|i| truth.states[*i].0.is_amended).count() as u64 * 2
}

fn reader(node: &Node, cursor: &Cursor) -> Reader {
    // By its text, as it travels.
    let cursor = Cursor::parse(&cursor.to_text()).expect("its own text");
    node.event_feed.open(cursor, Filter::default())
}

fn play(draws: &[(u8, u8, u8)]) {
    let mut truths: [Truth; 4] = Default::default();
    let mut nodes = [Node::new(), Node::new(), Node::new()];
    let (mut at, mut cursor) = (0, Cursor::default());
    let mut open = reader(&nodes[0], &cursor);
    let mut model = Model::default();
    for (what, a, b) in draws {
        let (k, n) = (usize::from(a % 4), usize::from(a / 4 % 3));
        match what % 8 {
            0 | 1 => truths[k].step(*b),
            2..=4 => {
                let node = &mut nodes[n];
                let left = truths[k].states.len() - node.knows[k];
                if left > 0 {
                    // Mostly one version, sometimes a jump.
                    let by = if b % 4 == 0 { 1 + usize::from(b / 4) % left } else { 1 };
                    node.knows[k] += by;
                    let (position, state) = truths[k].states[node.knows[k] - 1];
                    let (key, state) = (KEYS[k].to_string(), state.to_string());
                    node.event_feed.publish(EventContent { key, position, state, ..EventContent::default() });
                }
            }
            5 => {
                let entries = nodes[at].event_feed.read(&mut open, 1 + usize::from(b % 4));
                entries.iter().for_each(|entry| model.take(&truths, entry));
                cursor = nodes[at].event_feed.cursor(&open);
            }
            6 => {
                // The connection breaks within a response: what came is folded into the last cursor.
                let entries = nodes[at].event_feed.read(&mut open, 4);
                let came = usize::from(b % 5).min(entries.len());
                for entry in &entries[..came] {
                    model.take(&truths, entry);
                    if let FeedEntry::Event { event, watermark, .. } = entry {
                        cursor.merge(Cursor::for_key(&event.content.key, *watermark));
                    }
                }
                at = n;
                open = reader(&nodes[at], &cursor);
            }
            _ => {
                if b % 4 == 0 {
                    nodes[n] = Node::new();
                }
                if b % 4 == 0 && n == at || b % 2 == 1 {
                    at = n;
                    open = reader(&nodes[at], &cursor);
                }
            }
        }
    }
    // Read to the end, the reader knows what the node knows, or more.
    loop {
        let entries = nodes[at].event_feed.read(&mut open, 2);
        if entries.is_empty() {
            break;
        }
        entries.iter().for_each(|entry| model.take(&truths, entry));
    }
    let end = nodes[at].event_feed.cursor(&open);
    for (k, key) in KEYS.iter().enumerate() {
        let known = nodes[at].knows[k];
        if known > 0 {
            let (last, upto) = (model.last[*key], truths[k].index_of(&end.watermarks[*key].position));
            assert!(upto + 1 >= known, "{key}: {upto} of {known}");
            assert_eq!(
                truths[k].states[last].1, truths[k].states[upto].1,
                "{key}: delivered {last}, silent up to {upto}"
            );
        }
    }
}

#[test]
fn every_gap_is_reported_and_no_event_is_delivered_twice() {
    bolero::check!().with_type::<Vec<(u8, u8, u8)>>().with_iterations(2_000).for_each(|draws| play(draws));
    // Longer ones than are drawn above, by a plain generator.
    let mut n = 1u64;
    for _ in 0..3_000 {
        let mut draw = || {
            n = n.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            (n >> 33) as u8
        };
        let draws: Vec<(u8, u8, u8)> = (0..300).map(|_| (draw(), draw(), draw())).collect();
        play(&draws);
    }
}
