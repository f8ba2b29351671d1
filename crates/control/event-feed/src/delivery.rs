//! Delivery to readers: which events are due, which gaps are reported, and the cursor to continue from. What is kept is
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

/// The gaps found in one read, counted by kind and reason.
#[derive(Default)]
struct Gaps {
    counts: BTreeMap<(String, GapReason), u64>,
    /// Kinds with dropped events that stand for an unknown number of versions.
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

/// What precedes a due event in its key's history.
struct Predecessor {
    /// The history was delivered or had no changes up to this position; `None`: nothing was delivered before.
    after: Option<Position>,
    /// The number of versions in between; `None`: unknown.
    missed: Option<u64>,
}

impl EventFeed {
    /// Opens a reader that continues after a cursor. With an empty cursor it starts with the kept events.
    pub fn open(&self, cursor: Cursor, filter: Filter) -> Reader {
        // For a reader with an empty cursor, keys that were forgotten earlier are no gap.
        let reported_over_limit =
            if cursor.watermarks.is_empty() { self.keys_over_limit.clone() } else { BTreeMap::new() };
        let watermarks: BTreeMap<String, Watermark> =
            cursor.watermarks.into_iter().filter(|(key, _)| filter.matches_kind_of(key)).collect();
        let mut matching_keys = BTreeSet::new();
        if filter.checks_content() {
            let matching = watermarks.iter().filter(|(_, watermark)| !watermark.is_filtered_out);
            matching_keys = matching.map(|(key, _)| key.clone()).collect();
        }
        let dropped = self.metrics.dropped;
        Reader {
            filter,
            watermarks,
            matching_keys,
            next_serial: 0,
            dropped_at_open: dropped,
            dropped_at_read: dropped,
            reported_over_limit,
            has_begun: false,
        }
    }

    /// Whether there is anything that the reader has not read yet.
    pub fn has_more(&self, reader: &Reader) -> bool {
        reader.next_serial < self.next_serial && self.log.range(reader.next_serial..).next().is_some()
            || reader
                .watermarks
                .iter()
                .any(|(key, watermark)| self.reverted_amendment(key, watermark).is_some())
    }

    /// The present state of a key, if the reader knows an amendment of it that never arrived here and has been reverted.
    fn reverted_amendment(&self, key: &str, watermark: &Watermark) -> Option<Event> {
        let history = self.histories.get(key)?;
        let newest = history.events.back()?;
        let is_reverted = watermark.position.is_amended
            && newest.content.position < watermark.position
            && watermark.position < history.last_position
            && newest.state_hash != watermark.state_hash;
        is_reverted.then(|| {
            let content = EventContent { position: history.last_position, ..newest.content.clone() };
            let seen_before = Some(watermark.position);
            Event { content, state_hash: newest.state_hash, serial: newest.serial, seen_before }
        })
    }

    /// Reads the next entries, at most about `limit`, gaps first. Empty: everything is delivered.
    pub fn read(&self, reader: &mut Reader, limit: usize) -> Vec<FeedEntry> {
        let (mut gaps, first_serial) = (Gaps::default(), reader.next_serial);
        if !std::mem::replace(&mut reader.has_begun, true) {
            for (key, watermark) in &reader.watermarks {
                let is_expected = !watermark.ended && !watermark.is_filtered_out;
                if is_expected && !self.histories.contains_key(key) {
                    gaps.add(key_kind(key), GapReason::UnknownKeys, 1);
                }
            }
        }
        let mut events = self.due_events(reader, limit, &mut gaps);
        self.count_dropped(reader, first_serial, &mut gaps);
        self.report_keys_over_limit(reader, &mut gaps);
        if reader.next_serial == self.next_serial {
            self.append_reverted_amendments(reader, &mut events, &mut gaps);
            // Everything is read: from here on, serial numbers tell what was delivered, except for keys in which the cursor is
            // ahead of this node.
            let is_ahead = |key: &str, watermark: &Watermark| {
                self.histories.get(key).is_none_or(|history| history.last_position < watermark.position)
            };
            reader.watermarks.retain(|key, watermark| is_ahead(key, watermark));
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
            if !reader.filter.matches_kind_of(key) {
                continue;
            }
            let Some(history) = self.histories.get(key) else { continue };
            let Some(Predecessor { after, missed }) = Self::due(reader, history, event) else { continue };
            let mut is_filtered_out = false;
            if reader.filter.checks_content() {
                is_filtered_out = !reader.filter.matches_content(&event.content);
                let matched_before = reader.matching_keys.contains(key);
                if is_filtered_out {
                    reader.matching_keys.remove(key);
                } else {
                    reader.matching_keys.insert(key.clone());
                }
                // A key that stops matching is delivered once more.
                if is_filtered_out && !matched_before {
                    continue;
                }
            }
            if after.is_some() {
                gaps.add(key_kind(key), GapReason::Unseen, missed.unwrap_or(0));
            }
            let watermark = Watermark { is_filtered_out, ..event.watermark() };
            if let Some(known) = reader.watermarks.get_mut(key) {
                *known = watermark;
            }
            events.push(FeedEntry::Event { event: event.clone(), after, missed, watermark });
        }
        if events.len() < limit {
            reader.next_serial = self.next_serial;
        }
        events
    }

    /// Counts the events that were dropped unread since the reader was opened. Earlier drops show in the positions
    /// of the events.
    fn count_dropped(&self, reader: &mut Reader, first_serial: u64, gaps: &mut Gaps) {
        let counted = std::mem::replace(&mut reader.dropped_at_read, self.metrics.dropped);
        for dropped in self.dropped.iter().rev().take_while(|dropped| dropped.dropped_before >= counted) {
            if dropped.serial >= first_serial && reader.filter.matches_kind_of(&dropped.kind) {
                gaps.add(&dropped.kind, GapReason::Dropped, dropped.versions.unwrap_or(1));
                if dropped.versions.is_none() {
                    gaps.dropped_uncounted.insert(dropped.kind.clone());
                }
            }
        }
    }

    fn report_keys_over_limit(&self, reader: &mut Reader, gaps: &mut Gaps) {
        for (kind, count) in
            self.keys_over_limit.iter().filter(|(kind, _)| reader.filter.matches_kind_of(kind))
        {
            let reported = reader.reported_over_limit.insert(kind.clone(), *count).unwrap_or(0);
            gaps.add(kind, GapReason::TooManyKeys, count.saturating_sub(reported));
        }
    }

    fn append_reverted_amendments(&self, reader: &Reader, events: &mut Vec<FeedEntry>, gaps: &mut Gaps) {
        for (key, known) in &reader.watermarks {
            let Some(event) = self.reverted_amendment(key, known) else { continue };
            let missed = known.position.versions_between(&event.content.position);
            gaps.add(key_kind(key), GapReason::Unseen, missed.unwrap_or(0));
            let (event, after) = (Rc::new(event), Some(known.position));
            let watermark = Watermark { is_filtered_out: known.is_filtered_out, ..event.watermark() };
            events.push(FeedEntry::Event { event, after, missed, watermark });
        }
    }

    /// What precedes an event, if the event is to be delivered.
    fn due(reader: &Reader, history: &KeyHistory, event: &Event) -> Option<Predecessor> {
        let position = event.content.position;
        let index = history.events.partition_point(|earlier| earlier.serial < event.serial);
        let last = index.checked_sub(1).and_then(|i| history.events.get(i));
        let dropped = history.last_dropped.filter(|_| index == 0);
        let prior = last.map(|last| last.watermark()).or(dropped.map(|dropped| dropped.watermark));
        // An event that was dropped since the reader was opened was delivered before that, or is counted as dropped.
        let is_reported =
            last.is_some() || dropped.is_some_and(|dropped| dropped.dropped_before >= reader.dropped_at_open);
        let delivered = match (reader.watermarks.get(&event.content.key), prior.filter(|_| is_reported)) {
            (Some(known), _) if known.position >= position => return None,
            // The reader has passed the previous event, whether that was delivered or left out.
            (Some(known), Some(prior)) if last.is_some() && prior.position > known.position => Some(prior),
            (Some(known), _) => Some(*known),
            (None, prior) => prior,
        };
        let Some(delivered) = delivered else { return Some(Predecessor { after: None, missed: None }) };
        // From the previous event up to `seen_before`, this node missed nothing and saw no change. So if the previous event is
        // not above the delivered position, the history is delivered up to `seen_before`. The exception is an amendment that
        // never arrived here: it was reverted somewhere in between.
        let is_covered = prior.is_some_and(|prior| {
            prior.position <= delivered.position
                && !(delivered.position.is_amended && prior.state_hash != delivered.state_hash)
        });
        let after = match event.seen_before {
            Some(seen) if is_covered => seen.max(delivered.position),
            _ => delivered.position,
        };
        let missed = after.versions_between(&position);
        let has_nothing_between = missed == Some(0) || event.content.is_monotonic;
        let is_unchanged = delivered.state_hash == event.state_hash && delivered.ended == event.content.ended;
        (!(has_nothing_between && is_unchanged)).then_some(Predecessor { after: Some(after), missed })
    }

    /// The reader's cursor, to continue at any node. To be called right after [`EventFeed::read`].
    pub fn cursor(&self, reader: &Reader) -> Cursor {
        let mut cursor = Cursor::default();
        for (key, history) in self.histories.iter().filter(|(key, _)| reader.filter.matches_kind_of(key)) {
            let is_filtered_out = reader.filter.checks_content() && !reader.matching_keys.contains(key);
            let last = history.events.iter().rev().find(|event| event.serial < reader.next_serial);
            let newest = history.events.back().map(|newest| newest.serial);
            let watermark = match last {
                Some(last) if Some(last.serial) == newest => {
                    Some(Watermark { position: history.last_position, ..last.watermark() })
                }
                Some(last) => Some(last.watermark()),
                // Events that were dropped unread are counted later from the cursor's position, if there is one.
                None if reader.watermarks.contains_key(key) => None,
                None => {
                    let since_open = reader.dropped_at_open..reader.dropped_at_read;
                    let dropped_since_open =
                        history.last_dropped.filter(|dropped| since_open.contains(&dropped.dropped_before));
                    dropped_since_open.map(|dropped| dropped.watermark)
                }
            };
            if let Some(watermark) = watermark {
                cursor.watermarks.insert(key.clone(), Watermark { is_filtered_out, ..watermark });
            }
        }
        for (key, watermark) in &reader.watermarks {
            if self.reverted_amendment(key, watermark).is_some() {
                cursor.watermarks.insert(key.clone(), *watermark);
            }
        }
        cursor.merge(Cursor { watermarks: reader.watermarks.clone() });
        cursor
    }
}
