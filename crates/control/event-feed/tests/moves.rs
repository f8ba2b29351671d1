//! Drawn schedules: keys change, nodes learn of it late and in jumps, lose their memory, and a reader goes from one to the other.
//! A plain model knows every state of every key and holds the reader's lines against it.
use silvercross_event_feed::{kind, Bounds, Cursor, EventFeed, Filter, Line, Place, Reader, Told, Why};
use std::collections::BTreeMap;

const KEYS: [&str; 4] = ["node/1", "node/2", "item/a", "item/b"];

/// Every state that a key ever had.
#[derive(Default)]
struct Truth {
    states: Vec<(Place, u8)>,
}

impl Truth {
    fn step(&mut self, draw: u8) {
        let (mut place, state) =
            self.states.last().copied().unwrap_or((Place { epoch: 1, ..Place::default() }, 0));
        match draw % 16 {
            0 => {
                place = Place { epoch: place.epoch + 1, owner: u64::from(draw / 16), version: 7, mark: false }
            }
            1 if !place.mark => place.mark = true,
            _ => (place.version, place.mark) = (place.version + 1, false),
        }
        // Half of the changes are of something that this key does not show.
        let state = if draw & 16 > 0 { state } else { (draw >> 5) % 3 };
        self.states.push((place, state));
    }

    fn at(&self, place: &Place) -> usize {
        self.states.iter().position(|(p, _)| p == place).expect("a place of the history")
    }
}

struct Node {
    event_feed: EventFeed,
    knows: [usize; 4],
}

impl Node {
    fn new() -> Self {
        Node { event_feed: EventFeed::new(Bounds { keys: 8, events: 3, dropped: 64 }), knows: [0; 4] }
    }
}

/// What a reader was told, against the truth.
#[derive(Default)]
struct Model {
    last: BTreeMap<String, usize>,
    dropped: BTreeMap<String, u64>,
    lines: usize,
}

impl Model {
    fn take(&mut self, truths: &[Truth; 4], line: &Line) {
        self.lines += 1;
        match line {
            Line::Gap { kind, count, more, why } => {
                if *why == Why::Dropped {
                    *self.dropped.entry(kind.clone()).or_default() += if *more { 1 << 40 } else { *count };
                }
            }
            Line::Event { event, after, missed, .. } => {
                let key = &event.told.key;
                let n = KEYS.iter().position(|k| k == key).expect("a key");
                let truth = &truths[n];
                let at = truth.at(&event.told.place);
                assert_eq!(event.told.state, truth.states[at].1.to_string());
                if let Some(last) = self.last.insert(key.clone(), at) {
                    assert!(at > last, "{key}: told {last}, then {at}");
                    assert!(
                        after.is_some() || self.dropped.contains_key(kind(key)),
                        "{key}: as if nothing had been told"
                    );
                    let changes =
                        (last + 1..at).filter(|i| truth.states[*i].1 != truth.states[i - 1].1).count() as u64;
                    let untold = missed.map_or(0, |n| changes.saturating_sub(n + marks(truth, last, at)));
                    if untold > 0 {
                        let budget = self.dropped.get_mut(kind(key)).expect("untold changes without a gap");
                        assert!(*budget >= untold, "{key}: {untold} untold, {budget} told as dropped");
                        *budget -= untold;
                    }
                    let changed = (last + 1..=at).any(|i| truth.states[i].1 != truth.states[i - 1].1);
                    assert!(changed || *missed != Some(0), "{key}: told twice");
                }
            }
        }
    }
}

/// What others add to a version is no version of its own, and not counted: there and back are two changes.
fn marks(truth: &Truth, last: usize, at: usize) -> u64 {
    (last + 1..at).filter(|i| truth.states[*i].0.mark).count() as u64 * 2
}

fn reader(node: &Node, cursor: &Cursor) -> Reader {
    // By its text, as it travels.
    let cursor = Cursor::read(&cursor.write()).expect("its own text");
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
                    let (place, state) = truths[k].states[node.knows[k] - 1];
                    let (key, state) = (KEYS[k].to_string(), state.to_string());
                    node.event_feed.tell(Told { key, place, state, ..Told::default() });
                }
            }
            5 => {
                let lines = nodes[at].event_feed.read(&mut open, 1 + usize::from(b % 4));
                lines.iter().for_each(|l| model.take(&truths, l));
                cursor = nodes[at].event_feed.cursor(&open);
            }
            6 => {
                // The connection breaks within a page: what came is folded into the last cursor.
                let lines = nodes[at].event_feed.read(&mut open, 4);
                let came = usize::from(b % 5).min(lines.len());
                for line in &lines[..came] {
                    model.take(&truths, line);
                    if let Line::Event { event, mark, .. } = line {
                        cursor.merge(Cursor::of(&event.told.key, *mark));
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
        let lines = nodes[at].event_feed.read(&mut open, 2);
        if lines.is_empty() {
            break;
        }
        lines.iter().for_each(|l| model.take(&truths, l));
    }
    let end = nodes[at].event_feed.cursor(&open);
    for (k, key) in KEYS.iter().enumerate() {
        let known = nodes[at].knows[k];
        if known > 0 {
            let (last, upto) = (model.last[*key], truths[k].at(&end.marks[*key].place));
            assert!(upto + 1 >= known, "{key}: {upto} of {known}");
            assert_eq!(
                truths[k].states[last].1, truths[k].states[upto].1,
                "{key}: told {last}, silent up to {upto}"
            );
        }
    }
}

#[test]
fn no_gap_is_untold_and_nothing_is_told_twice() {
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

#[test]
fn any_text_is_a_cursor_or_a_fault() {
    bolero::check!().with_type::<String>().with_iterations(5_000).for_each(|text| drop(Cursor::read(text)));
    let mut cursor = Cursor::default();
    for n in 0..200u64 {
        let place = Place { epoch: n << 40, owner: 7, version: n, mark: n % 2 == 0 };
        let mark = silvercross_event_feed::Mark { place, hash: n as u32, ended: n % 3 == 0, out: n % 5 == 0 };
        cursor.merge(Cursor::of(&format!("node/10.0.0.{n}"), mark));
    }
    let text = cursor.write();
    assert_eq!(Cursor::read(&text), Ok(cursor));
    assert!(text.len() < 200 * 32, "{} bytes", text.len());
    for cut in [1, text.len() / 2, text.len() - 1] {
        assert!(Cursor::read(&text[..cut]).is_err());
    }
}

fn told(key: &str, version: u64, service: &str) -> Told {
    let place = Place { epoch: 1, owner: 1, version, mark: false };
    let state = format!("{version} {service}");
    Told { key: key.to_string(), place, service: service.to_string(), state, ..Told::default() }
}

fn states(lines: &[Line]) -> Vec<String> {
    let state = |l: &Line| match l {
        Line::Event { event, .. } => event.told.state.clone(),
        Line::Gap { kind, count, why, .. } => format!("{kind} {count} {}", why.word()),
    };
    lines.iter().map(state).collect()
}

#[test]
fn a_filter_tells_once_when_a_key_leaves_it() {
    let mut g = EventFeed::new(Bounds::default());
    let filter = Filter { kinds: vec!["upstream".into()], services: vec!["a".into()], ..Filter::default() };
    let mut r = g.open(Cursor::default(), filter.clone());
    for (v, service) in ["b", "a", "b", "b", "a"].iter().enumerate() {
        g.tell(told("upstream/1", v as u64 + 1, service));
    }
    g.tell(told("node/1", 1, "a"));
    assert_eq!(states(&g.read(&mut r, 9)), ["2 a", "3 b", "5 a"]);
    // Another reader goes on with the cursor, at another place.
    g.tell(told("upstream/1", 6, "b"));
    g.tell(told("upstream/1", 7, "b"));
    let cursor = g.cursor(&r);
    assert!(!cursor.marks.contains_key("node/1"));
    let mut other = g.open(cursor, filter);
    assert_eq!(states(&g.read(&mut other, 9)), ["6 b"]);
    assert!(g.read(&mut other, 9).is_empty() && !g.has_more(&other));
}

#[test]
fn a_slow_reader_is_told_how_many_were_dropped_and_memory_is_bounded() {
    let mut g = EventFeed::new(Bounds { keys: 3, events: 2, dropped: 16 });
    g.tell(told("node/1", 1, ""));
    let mut r = g.open(Cursor::default(), Filter::default());
    assert_eq!(g.read(&mut r, 9).len(), 1);
    (2..=9).for_each(|v| assert!(g.tell(told("node/1", v, ""))));
    assert_eq!(states(&g.read(&mut r, 9)), ["node 5 the reader was too slow", "7 ", "8 ", "9 "]);
    // Keys beyond the bound: those that ended go first.
    g.tell(Told { ended: true, ..told("node/2", 1, "") });
    g.tell(told("item/x", 1, ""));
    assert!(g.tell(told("item/y", 1, "")) && !g.tell(told("item/z", 1, "")));
    assert_eq!((g.figures().keys, g.figures().events), (3, 5));
    let lines = states(&g.read(&mut r, 9));
    assert_eq!(lines, ["item 1 more keys than are kept", "node 1 more keys than are kept", "1 ", "1 "]);
    assert!(g.read(&mut r, 9).is_empty());
}
