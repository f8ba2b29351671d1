//! What a reader gets of a feed: which events are due, which gaps lie between, and the cursor to go on from. What is kept is
//! decided in `feed`.
use crate::cursor::{Cursor, Watermark};
use crate::entry::{FeedEntry, GapReason};
use crate::event::{Event, EventContent};
use crate::feed::{EventFeed, KeyHistory};
use crate::filter::Filter;
use crate::key::key_kind;
use crate::position::Position;
use crate::reader::Reader;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Gaps found in one read, counted by kind and reason.
#[derive(Default)]
struct Gaps {
    counts: BTreeMap<(String, GapReason), u64>,
    /// Kinds of which events were dropped that stand for an unknown number of versions.
    dropped_uncounted: BTreeSet<String>,
}

impl Gaps {
    fn add(&mut self, kind: &str, reason: GapReason, count: u64) {
        if count > 0 {
            *self.counts.entry((kind.to_string(), reason)).or_default() += count;
        }
    }

    fn into_entries(self) -> Vec<FeedEntry> {
        let Gaps { counts, dropped_uncounted } = self;
        let entry = |((kind, reason), count)| {
            let has_more = reason == GapReason::Dropped && dropped_uncounted.contains(&kind);
            FeedEntry::Gap { kind, count, has_more, reason }
        };
        counts.into_iter().map(entry).collect()
    }
}

/// What a due event follows.
struct Due {
    /// Up to here its history was delivered or brought nothing; `None`: nothing of it was delivered before.
    after: Option<Position>,
    /// How many versions lie between; `None`: not known.
    missed: Option<u64>,
}

impl EventFeed {
    /// A reader that goes on after a cursor; an empty one: from what is kept.
    pub fn open(&self, cursor: Cursor, filter: Filter) -> Reader {
        // An empty cursor begins with what is kept and lacks nothing that it knew.
        let reported_full = if cursor.watermarks.is_empty() { self.full.clone() } else { BTreeMap::new() };
        let base: BTreeMap<String, Watermark> =
            cursor.watermarks.into_iter().filter(|(key, _)| filter.has_kind_of(key)).collect();
        let mut inside = BTreeSet::new();
        if filter.is_by_content() {
            let is_inside = base.iter().filter(|(_, watermark)| !watermark.is_filtered_out);
            inside = is_inside.map(|(key, _)| key.clone()).collect();
        }
        let dropped = self.metrics.dropped;
        Reader {
            filter,
            base,
            inside,
            next_serial: 0,
            dropped_at_open: dropped,
            dropped_at_read: dropped,
            reported_full,
            has_begun: false,
        }
    }

    /// Whether there is anything that the reader was not given yet.
    pub fn has_more(&self, reader: &Reader) -> bool {
        reader.next_serial < self.next_serial && self.log.range(reader.next_serial..).next().is_some()
            || reader.base.iter().any(|(key, watermark)| self.taken_back(key, watermark).is_some())
    }

    /// The present state of a key of which a reader knows an amendment that never came here and was taken back.
    fn taken_back(&self, key: &str, watermark: &Watermark) -> Option<Event> {
        let history = self.histories.get(key)?;
        let newest = history.events.back()?;
        let is_taken_back = watermark.position.is_amended
            && newest.content.position < watermark.position
            && watermark.position < history.last_position
            && newest.state_hash != watermark.state_hash;
        is_taken_back.then(|| {
            let content = EventContent { position: history.last_position, ..newest.content.clone() };
            let seen_before = Some(watermark.position);
            Event { content, state_hash: newest.state_hash, serial: newest.serial, seen_before }
        })
    }

    /// The next entries, at most about `limit` of them, gaps first; none: all is delivered.
    pub fn read(&self, reader: &mut Reader, limit: usize) -> Vec<FeedEntry> {
        let (mut gaps, begin) = (Gaps::default(), reader.next_serial);
        if !std::mem::replace(&mut reader.has_begun, true) {
            for (key, watermark) in &reader.base {
                let is_expected = !watermark.ended && !watermark.is_filtered_out;
                if is_expected && !self.histories.contains_key(key) {
                    gaps.add(key_kind(key), GapReason::UnknownKeys, 1);
                }
            }
        }
        let mut events = self.due_events(reader, limit, &mut gaps);
        self.count_dropped(reader, begin, &mut gaps);
        self.count_keys_without_room(reader, &mut gaps);
        if reader.next_serial == self.next_serial {
            self.restore_taken_back(reader, &mut events, &mut gaps);
            // All is passed: from here on the node's own order says what was delivered, but for keys that the node is behind of.
            let is_ahead = |key: &str, watermark: &Watermark| {
                self.histories.get(key).is_none_or(|history| history.last_position < watermark.position)
            };
            reader.base.retain(|key, watermark| is_ahead(key, watermark));
        }
        let mut entries = gaps.into_entries();
        entries.append(&mut events);
        entries
    }

    fn due_events(&self, reader: &mut Reader, limit: usize, gaps: &mut Gaps) -> Vec<FeedEntry> {
        let mut events = Vec::new();
        for (serial, event) in self.log.range(reader.next_serial..) {
            if events.len() >= limit {
                break;
            }
            reader.next_serial = serial + 1;
            let key = &event.content.key;
            if !reader.filter.has_kind_of(key) {
                continue;
            }
            let Some(history) = self.histories.get(key) else { continue };
            let Some(Due { after, missed }) = Self::due(reader, history, event) else { continue };
            let mut is_filtered_out = false;
            if reader.filter.is_by_content() {
                is_filtered_out = !reader.filter.has_content(&event.content);
                let was_inside = reader.inside.contains(key);
                if is_filtered_out {
                    reader.inside.remove(key);
                } else {
                    reader.inside.insert(key.clone());
                }
                // A key that leaves what the reader wants is delivered once more.
                if is_filtered_out && !was_inside {
                    continue;
                }
            }
            if after.is_some() {
                gaps.add(key_kind(key), GapReason::Unseen, missed.unwrap_or(0));
            }
            let watermark = Watermark { is_filtered_out, ..event.watermark() };
            if let Some(base) = reader.base.get_mut(key) {
                *base = watermark;
            }
            events.push(FeedEntry::Event { event: event.clone(), after, missed, watermark });
        }
        if events.len() < limit {
            reader.next_serial = self.next_serial;
        }
        events
    }

    /// What was dropped before the reader came shows in the positions; what was dropped since, unread, is counted here.
    fn count_dropped(&self, reader: &mut Reader, begin: u64, gaps: &mut Gaps) {
        let counted = std::mem::replace(&mut reader.dropped_at_read, self.metrics.dropped);
        for dropped in self.dropped.iter().rev().take_while(|dropped| dropped.dropped_before >= counted) {
            if dropped.serial >= begin && reader.filter.has_kind_of(&dropped.kind) {
                gaps.add(&dropped.kind, GapReason::Dropped, dropped.versions.unwrap_or(1));
                if dropped.versions.is_none() {
                    gaps.dropped_uncounted.insert(dropped.kind.clone());
                }
            }
        }
    }

    fn count_keys_without_room(&self, reader: &mut Reader, gaps: &mut Gaps) {
        for (kind, count) in self.full.iter().filter(|(kind, _)| reader.filter.has_kind_of(kind)) {
            let reported = reader.reported_full.insert(kind.clone(), *count).unwrap_or(0);
            gaps.add(kind, GapReason::TooManyKeys, count.saturating_sub(reported));
        }
    }

    fn restore_taken_back(&self, reader: &Reader, events: &mut Vec<FeedEntry>, gaps: &mut Gaps) {
        for (key, known) in &reader.base {
            let Some(event) = self.taken_back(key, known) else { continue };
            let missed = known.position.versions_between(&event.content.position);
            gaps.add(key_kind(key), GapReason::Unseen, missed.unwrap_or(0));
            let (event, after) = (Rc::new(event), Some(known.position));
            let watermark = Watermark { is_filtered_out: known.is_filtered_out, ..event.watermark() };
            events.push(FeedEntry::Event { event, after, missed, watermark });
        }
    }

    /// Whether an event is to be delivered, and what it follows.
    fn due(reader: &Reader, history: &KeyHistory, event: &Event) -> Option<Due> {
        let position = event.content.position;
        let at = history.events.partition_point(|earlier| earlier.serial < event.serial);
        let last = at.checked_sub(1).and_then(|i| history.events.get(i));
        let dropped = history.last_dropped.filter(|_| at == 0);
        let before = last.map(|last| last.watermark()).or(dropped.map(|dropped| dropped.watermark));
        // What was dropped since the reader came was given before, or is counted as dropped.
        let is_given =
            last.is_some() || dropped.is_some_and(|dropped| dropped.dropped_before >= reader.dropped_at_open);
        let delivered = match (reader.base.get(&event.content.key), before.filter(|_| is_given)) {
            (Some(base), _) if base.position >= position => return None,
            // It was given an event since its cursor, or had it all along that nothing changed.
            (Some(base), Some(before)) if last.is_some() && before.position > base.position => Some(before),
            (Some(base), _) => Some(*base),
            (None, before) => before,
        };
        let Some(delivered) = delivered else { return Some(Due { after: None, missed: None }) };
        // What the node had seen when the reader's position was passed, it saw without a break up to `seen_before`.
        // But for an amendment that never came here: it was taken back somewhere in between.
        let is_covered = before.is_some_and(|before| {
            before.position <= delivered.position
                && !(delivered.position.is_amended && before.state_hash != delivered.state_hash)
        });
        let after = match event.seen_before {
            Some(seen) if is_covered => seen.max(delivered.position),
            _ => delivered.position,
        };
        let missed = after.versions_between(&position);
        let has_nothing_between = missed == Some(0) || event.content.is_monotonic;
        let is_same = delivered.state_hash == event.state_hash && delivered.ended == event.content.ended;
        (!(has_nothing_between && is_same)).then_some(Due { after: Some(after), missed })
    }

    /// How far a reader has read, to go on at any node. To be asked for right after [`EventFeed::read`].
    pub fn cursor(&self, reader: &Reader) -> Cursor {
        let mut cursor = Cursor::default();
        for (key, history) in self.histories.iter().filter(|(key, _)| reader.filter.has_kind_of(key)) {
            let is_filtered_out = reader.filter.is_by_content() && !reader.inside.contains(key);
            let last = history.events.iter().rev().find(|event| event.serial < reader.next_serial);
            let newest = history.events.back().map(|newest| newest.serial);
            let watermark = match last {
                Some(last) if Some(last.serial) == newest => {
                    Some(Watermark { position: history.last_position, ..last.watermark() })
                }
                Some(last) => Some(last.watermark()),
                // What was dropped unread is counted from the cursor's position later, where that is known.
                None if reader.base.contains_key(key) => None,
                None => {
                    let since_open = reader.dropped_at_open..reader.dropped_at_read;
                    let given =
                        history.last_dropped.filter(|dropped| since_open.contains(&dropped.dropped_before));
                    given.map(|dropped| dropped.watermark)
                }
            };
            if let Some(watermark) = watermark {
                cursor.watermarks.insert(key.clone(), Watermark { is_filtered_out, ..watermark });
            }
        }
        for (key, watermark) in &reader.base {
            if self.taken_back(key, watermark).is_some() {
                cursor.watermarks.insert(key.clone(), *watermark);
            }
        }
        cursor.merge(Cursor { watermarks: reader.base.clone() });
        cursor
    }
}
