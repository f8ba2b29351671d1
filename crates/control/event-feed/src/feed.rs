//! What a node keeps of events, and how readers take them.
use crate::{hash, kind, Cursor, Mark, Place};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

/// How much is kept.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Keys; at the bound the key that ended longest ago is forgotten, and where none has ended the new one is not kept. Both
    /// are told to readers as gaps.
    pub keys: usize,
    /// Events besides the newest of each key; at the bound the oldest goes.
    pub events: usize,
    /// Dropped events that are remembered by kind, to be counted for slow readers; beyond it, counts are too low.
    pub dropped: usize,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds { keys: 32_768, events: 8_192, dropped: 65_536 }
    }
}

/// What happened, as the caller tells it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Told {
    /// Whose history: its kind, a slash, its name.
    pub key: String,
    /// Where in it.
    pub place: Place,
    /// The service it is about, or empty.
    pub service: String,
    /// The zone it is about, or empty.
    pub zone: String,
    /// The state there, as JSON. It has to be the same at every node for the same place.
    pub state: String,
    /// Nothing follows unless it begins anew.
    pub ended: bool,
    /// The state never returns to an earlier one: an equal one means that nothing happened in between.
    pub rises: bool,
}

/// An event.
#[derive(Debug)]
pub struct Event {
    /// What happened.
    pub told: Told,
    /// Of its state.
    pub hash: u32,
    serial: u64,
    /// The last place seen here before it; up to there, from the event before, nothing changed and nothing was missed.
    from: Option<Place>,
}

impl Event {
    /// What a reader that was told this keeps of it.
    pub fn mark(&self) -> Mark {
        Mark { place: self.told.place, hash: self.hash, ended: self.told.ended, out: false }
    }
}

/// What is remembered of a dropped event, to be counted.
struct Dropped {
    serial: u64,
    kind: String,
    /// How many had been dropped before it.
    before: u64,
    /// Itself and the versions before it that were not seen here; `None`: not known how many.
    versions: Option<u64>,
}

/// An event that is no longer kept.
#[derive(Clone, Copy)]
struct Floor {
    mark: Mark,
    /// How many had been dropped before it.
    dropped: u64,
}

#[derive(Default)]
struct Track {
    seen: Place,
    /// In the order of their places; never empty.
    events: VecDeque<Rc<Event>>,
    /// The newest that was dropped.
    floor: Option<Floor>,
}

/// What a reader wants; empty lists let everything through.
#[derive(Clone, Debug, Default)]
pub struct Filter {
    /// Kinds.
    pub kinds: Vec<String>,
    /// Services. What is about no service is left out.
    pub services: Vec<String>,
    /// Zones. What is about no zone is left out.
    pub zones: Vec<String>,
}

impl Filter {
    fn kind(&self, key: &str) -> bool {
        self.kinds.is_empty() || self.kinds.iter().any(|k| k == kind(key))
    }

    fn narrow(&self) -> bool {
        !self.services.is_empty() || !self.zones.is_empty()
    }

    fn about(&self, told: &Told) -> bool {
        let has = |list: &[String], one: &String| list.is_empty() || list.contains(one);
        has(&self.services, &told.service) && has(&self.zones, &told.zone)
    }
}

/// Why something is not told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Why {
    /// This node did not see it: it was overtaken on its way.
    Unseen,
    /// The reader came too late: it is no longer kept.
    Dropped,
    /// This node knows nothing of keys that the cursor has.
    Unknown,
    /// More keys than are kept.
    Full,
}

impl Why {
    /// For the line.
    pub fn word(self) -> &'static str {
        match self {
            Why::Unseen => "not seen here",
            Why::Dropped => "the reader was too slow",
            Why::Unknown => "keys of the cursor are not known here",
            Why::Full => "more keys than are kept",
        }
    }
}

/// What a reader is told.
#[derive(Clone, Debug)]
pub enum Line {
    /// Something is not told; a snapshot has the present state.
    Gap {
        /// Of which kind.
        kind: String,
        /// How many: versions where unseen (at most) or dropped, keys otherwise.
        count: u64,
        /// And some more whose number is not known.
        more: bool,
        /// Why.
        why: Why,
    },
    /// An event.
    Event {
        /// What happened.
        event: Rc<Event>,
        /// Up to here its history was told or brought nothing; `None`: nothing of it was told before.
        after: Option<Place>,
        /// How many versions at most lie between that are not told; `None`: not known, for the term is another.
        missed: Option<u64>,
        /// What the reader keeps of it, for its cursor.
        mark: Mark,
    },
}

/// A reader's progress. It holds a few words, and of the cursor it came with only what this node is behind of.
#[derive(Debug)]
pub struct Reader {
    filter: Filter,
    base: BTreeMap<String, Mark>,
    /// Keys that the filter last let through; empty unless it is narrow. At most [`Bounds::keys`].
    inside: BTreeSet<String>,
    next: u64,
    /// How many had been dropped when it came, and when it last read.
    dropped: (u64, u64),
    full: BTreeMap<String, u64>,
    begun: bool,
}

/// Counters.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Figures {
    /// Keys kept.
    pub keys: usize,
    /// Events kept.
    pub events: usize,
    /// Events dropped.
    pub dropped: u64,
    /// Keys forgotten, or not kept for want of room.
    pub forgotten: u64,
}

/// The events of a node.
pub struct EventFeed {
    bounds: Bounds,
    tracks: BTreeMap<String, Track>,
    log: BTreeMap<u64, Rc<Event>>,
    older: BTreeSet<u64>,
    ended: BTreeSet<u64>,
    dropped: VecDeque<Dropped>,
    full: BTreeMap<String, u64>,
    serial: u64,
    figures: Figures,
}

impl EventFeed {
    /// Nothing yet.
    pub fn new(bounds: Bounds) -> Self {
        EventFeed {
            bounds,
            tracks: BTreeMap::new(),
            log: BTreeMap::new(),
            older: BTreeSet::new(),
            ended: BTreeSet::new(),
            dropped: VecDeque::new(),
            full: BTreeMap::new(),
            serial: 1,
            figures: Figures::default(),
        }
    }

    /// What is kept.
    pub fn figures(&self) -> Figures {
        Figures { keys: self.tracks.len(), events: self.log.len(), ..self.figures }
    }

    /// The number that the next event gets: a reader that has it is told all.
    pub fn next(&self) -> u64 {
        self.serial
    }

    /// The last place seen of a key.
    pub fn seen(&self, key: &str) -> Option<Place> {
        self.tracks.get(key).map(|t| t.seen)
    }

    /// Something happened. What is not above the last place seen of its key is known already. Whether it became an event.
    pub fn tell(&mut self, told: Told) -> bool {
        let hash = hash(told.state.as_bytes());
        let mut from = None;
        if let Some(track) = self.tracks.get_mut(&told.key) {
            if told.place <= track.seen {
                return false;
            }
            from = Some(track.seen);
            let head = track.events.back();
            let nothing = track.seen.between(&told.place) == Some(0) || told.rises;
            if nothing && head.is_some_and(|h| h.hash == hash && h.told.ended == told.ended) {
                track.seen = told.place;
                return false;
            }
        } else if self.tracks.len() >= self.bounds.keys && !self.forget() {
            self.count_full(kind(&told.key).to_string());
            return false;
        }
        let serial = self.serial;
        self.serial += 1;
        let (key, place, ended) = (told.key.clone(), told.place, told.ended);
        let event = Rc::new(Event { told, hash, serial, from });
        let track = self.tracks.entry(key).or_default();
        track.seen = place;
        if let Some(head) = track.events.back() {
            self.older.insert(head.serial);
            self.ended.remove(&head.serial);
        }
        track.events.push_back(event.clone());
        self.log.insert(serial, event);
        if ended {
            self.ended.insert(serial);
        }
        while self.older.len() > self.bounds.events {
            self.drop_oldest();
        }
        true
    }

    fn drop_oldest(&mut self) {
        let Some(serial) = self.older.pop_first() else { return };
        let Some(event) = self.log.remove(&serial) else { return };
        let before = self.figures.dropped;
        self.figures.dropped += 1;
        if self.dropped.len() >= self.bounds.dropped {
            self.dropped.pop_front();
        }
        let unseen = event.from.map_or(Some(0), |from| from.between(&event.told.place));
        let kind = kind(&event.told.key).to_string();
        self.dropped.push_back(Dropped { serial, kind, before, versions: unseen.map(|n| n + 1) });
        if let Some(track) = self.tracks.get_mut(&event.told.key) {
            // Events of a key are dropped in their order, for that is the order of their serials.
            track.events.pop_front();
            track.floor = Some(Floor { mark: event.mark(), dropped: before });
        }
    }

    fn forget(&mut self) -> bool {
        let Some(serial) = self.ended.pop_first() else { return false };
        let Some(event) = self.log.get(&serial).cloned() else { return false };
        if let Some(track) = self.tracks.remove(&event.told.key) {
            for e in track.events {
                self.log.remove(&e.serial);
                self.older.remove(&e.serial);
            }
        }
        self.count_full(kind(&event.told.key).to_string());
        true
    }

    fn count_full(&mut self, kind: String) {
        self.figures.forgotten += 1;
        *self.full.entry(kind).or_default() += 1;
    }

    /// A reader that goes on after a cursor; an empty one: from what is kept.
    pub fn open(&self, cursor: Cursor, filter: Filter) -> Reader {
        // An empty cursor begins with what is kept and lacks nothing that it knew.
        let full = if cursor.marks.is_empty() { self.full.clone() } else { BTreeMap::new() };
        let base: BTreeMap<String, Mark> =
            cursor.marks.into_iter().filter(|(key, _)| filter.kind(key)).collect();
        let mut inside = BTreeSet::new();
        if filter.narrow() {
            inside = base.iter().filter(|(_, m)| !m.out).map(|(key, _)| key.clone()).collect();
        }
        let dropped = (self.figures.dropped, self.figures.dropped);
        Reader { filter, base, inside, next: 0, dropped, full, begun: false }
    }

    /// Whether there is anything that the reader was not given yet.
    pub fn has_more(&self, reader: &Reader) -> bool {
        reader.next < self.serial && self.log.range(reader.next..).next().is_some()
            || reader.base.iter().any(|(key, mark)| self.taken_back(key, mark).is_some())
    }

    /// The present state of a key of which a reader knows a mark that never came here and was taken back.
    fn taken_back(&self, key: &str, mark: &Mark) -> Option<Event> {
        let track = self.tracks.get(key)?;
        let head = track.events.back()?;
        let so = mark.place.mark
            && head.told.place < mark.place
            && mark.place < track.seen
            && head.hash != mark.hash;
        so.then(|| {
            let told = Told { place: track.seen, ..head.told.clone() };
            Event { told, hash: head.hash, serial: head.serial, from: Some(mark.place) }
        })
    }

    /// The next lines, at most about `limit` of them; none: all is told.
    pub fn read(&self, reader: &mut Reader, limit: usize) -> Vec<Line> {
        let mut gaps: BTreeMap<(String, Why), u64> = BTreeMap::new();
        let (mut lines, begin) = (Vec::new(), reader.next);
        if !std::mem::replace(&mut reader.begun, true) {
            for (key, mark) in &reader.base {
                if !mark.ended && !mark.out && !self.tracks.contains_key(key) {
                    *gaps.entry((kind(key).to_string(), Why::Unknown)).or_default() += 1;
                }
            }
        }
        for (serial, event) in self.log.range(begin..) {
            if lines.len() >= limit {
                break;
            }
            reader.next = serial + 1;
            let key = &event.told.key;
            if !reader.filter.kind(key) {
                continue;
            }
            let Some(track) = self.tracks.get(key) else { continue };
            let Some((after, missed)) = self.due(reader, track, event) else { continue };
            let mut out = false;
            if reader.filter.narrow() {
                let about = reader.filter.about(&event.told);
                // One that goes out of what the reader wants is told of that once.
                out = !about;
                let was = reader.inside.contains(key);
                if about {
                    reader.inside.insert(key.clone());
                } else {
                    reader.inside.remove(key);
                }
                if !about && !was {
                    continue;
                }
            }
            if let Some(missed) = missed.filter(|n| *n > 0 && after.is_some()) {
                *gaps.entry((kind(key).to_string(), Why::Unseen)).or_default() += missed;
            }
            let mark = Mark { out, ..event.mark() };
            if let Some(base) = reader.base.get_mut(key) {
                *base = mark;
            }
            lines.push(Line::Event { event: event.clone(), after, missed, mark });
        }
        if lines.len() < limit {
            reader.next = self.serial;
        }
        // What was dropped before the reader came shows in the places; what was dropped since, here.
        let seen = std::mem::replace(&mut reader.dropped.1, self.figures.dropped);
        let mut unknown: BTreeSet<String> = BTreeSet::new();
        for d in self.dropped.iter().rev().take_while(|d| d.before >= seen) {
            if d.serial >= begin && reader.filter.kind(&d.kind) {
                *gaps.entry((d.kind.clone(), Why::Dropped)).or_default() += d.versions.unwrap_or(1);
                if d.versions.is_none() {
                    unknown.insert(d.kind.clone());
                }
            }
        }
        for (kind, count) in self.full.iter().filter(|(kind, _)| reader.filter.kind(kind)) {
            let more = count.saturating_sub(reader.full.insert(kind.clone(), *count).unwrap_or(0));
            if more > 0 {
                *gaps.entry((kind.clone(), Why::Full)).or_default() += more;
            }
        }
        if reader.next == self.serial {
            for (key, mark) in &reader.base {
                let Some(event) = self.taken_back(key, mark) else { continue };
                let missed = mark.place.between(&event.told.place);
                if let Some(n) = missed.filter(|n| *n > 0) {
                    *gaps.entry((kind(key).to_string(), Why::Unseen)).or_default() += n;
                }
                let (event, after) = (Rc::new(event), Some(mark.place));
                let mark = Mark { out: mark.out, ..event.mark() };
                lines.push(Line::Event { event, after, missed, mark });
            }
            // All is passed: from here on the node's own order says what was told, but for keys that the node is behind of.
            let ahead = |key: &str, m: &Mark| self.tracks.get(key).is_none_or(|t| t.seen < m.place);
            reader.base.retain(|key, mark| ahead(key, mark));
        }
        let mut all: Vec<Line> = gaps
            .into_iter()
            .map(|((kind, why), count)| {
                let more = why == Why::Dropped && unknown.contains(&kind);
                Line::Gap { kind, count, more, why }
            })
            .collect();
        all.append(&mut lines);
        all
    }

    /// Whether an event is to be told: after which place, and how much was missed.
    fn due(&self, reader: &Reader, track: &Track, event: &Rc<Event>) -> Option<(Option<Place>, Option<u64>)> {
        let place = event.told.place;
        let at = track.events.partition_point(|e| e.serial < event.serial);
        let last = at.checked_sub(1).and_then(|i| track.events.get(i));
        let floor = track.floor.filter(|_| at == 0);
        let before = last.map(|e| e.mark()).or(floor.map(|f| f.mark));
        // What was dropped since the reader came was given before, or is counted as dropped.
        let given = last.is_some() || floor.is_some_and(|f| f.dropped >= reader.dropped.0);
        let told = match (reader.base.get(&event.told.key), before.filter(|_| given)) {
            (Some(mark), _) if mark.place >= place => return None,
            // It was given an event since its cursor, or was told all along that nothing changed.
            (Some(mark), Some(b)) if last.is_some() && b.place > mark.place => Some(b),
            (Some(mark), _) => Some(*mark),
            (None, b) => b,
        };
        let Some(told) = told else { return Some((None, None)) };
        // What the node had seen when the reader's place was passed, it saw without a break up to `from`.
        // But for a mark that never came here: it was taken back somewhere in between.
        let covered =
            before.is_some_and(|b| b.place <= told.place && !(told.place.mark && b.hash != told.hash));
        let after = match event.from {
            Some(from) if covered => from.max(told.place),
            _ => told.place,
        };
        let missed = after.between(&place);
        let nothing = missed == Some(0) || event.told.rises;
        (!(nothing && told.hash == event.hash && told.ended == event.told.ended))
            .then_some((Some(after), missed))
    }

    /// How far a reader was told, to go on at any node. To be asked for right after [`EventFeed::read`].
    pub fn cursor(&self, reader: &Reader) -> Cursor {
        let mut cursor = Cursor::default();
        for (key, track) in self.tracks.iter().filter(|(key, _)| reader.filter.kind(key)) {
            let out = reader.filter.narrow() && !reader.inside.contains(key);
            let last = track.events.iter().rev().find(|e| e.serial < reader.next);
            let mark = match last {
                Some(e) if Some(e.serial) == track.events.back().map(|b| b.serial) => {
                    Some(Mark { place: track.seen, out, ..e.mark() })
                }
                Some(e) => Some(Mark { out, ..e.mark() }),
                // What was dropped unread is counted from the cursor's place later, where that is known.
                None if reader.base.contains_key(key) => None,
                None => {
                    let given =
                        track.floor.filter(|f| (reader.dropped.0..reader.dropped.1).contains(&f.dropped));
                    given.map(|f| Mark { out, ..f.mark })
                }
            };
            if let Some(mark) = mark {
                cursor.marks.insert(key.clone(), mark);
            }
        }
        for (key, mark) in &reader.base {
            if self.taken_back(key, mark).is_some() {
                cursor.marks.insert(key.clone(), *mark);
            }
        }
        cursor.merge(Cursor { marks: reader.base.clone() });
        cursor
    }
}
