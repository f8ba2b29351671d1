//! The events kept at a node: publishing, dropping and forgetting. Delivery to readers is in `delivery`.
use crate::cursor::Watermark;
use crate::event::{Event, EventContent};
use crate::key::{key_kind, short_hash};
use crate::limits::{Limits, Metrics};
use crate::position::Position;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

/// A dropped event, remembered to be counted for slow readers.
pub(crate) struct DroppedEvent {
    pub(crate) serial: u64,
    pub(crate) kind: String,
    /// How many events had been dropped before it.
    pub(crate) dropped_before: u64,
    /// The event itself and the versions right before it that were not seen here; `None`: unknown.
    pub(crate) versions: Option<u64>,
}

/// The newest dropped event of a key.
#[derive(Clone, Copy)]
pub(crate) struct LastDropped {
    pub(crate) watermark: Watermark,
    /// How many events had been dropped before it.
    pub(crate) dropped_before: u64,
}

/// The history of a key, as far as it is kept.
#[derive(Default)]
pub(crate) struct KeyHistory {
    pub(crate) last_position: Position,
    /// The kept events in ascending order of position; never empty.
    pub(crate) events: VecDeque<Rc<Event>>,
    pub(crate) last_dropped: Option<LastDropped>,
}

/// The event feed of a node.
pub struct EventFeed {
    limits: Limits,
    pub(crate) histories: BTreeMap<String, KeyHistory>,
    /// All kept events, by serial number.
    pub(crate) log: BTreeMap<u64, Rc<Event>>,
    /// Serial numbers of events that are not the newest of their key.
    older: BTreeSet<u64>,
    /// Serial numbers of the newest events of keys that have ended.
    ended: BTreeSet<u64>,
    pub(crate) dropped: VecDeque<DroppedEvent>,
    /// The number of keys that were forgotten or not kept because of the limit, by kind.
    pub(crate) keys_over_limit: BTreeMap<String, u64>,
    pub(crate) next_serial: u64,
    pub(crate) metrics: Metrics,
}

impl EventFeed {
    /// An empty feed.
    pub fn new(limits: Limits) -> Self {
        EventFeed {
            limits,
            histories: BTreeMap::new(),
            log: BTreeMap::new(),
            older: BTreeSet::new(),
            ended: BTreeSet::new(),
            dropped: VecDeque::new(),
            keys_over_limit: BTreeMap::new(),
            next_serial: 1,
            metrics: Metrics::default(),
        }
    }

    /// Counters of the feed.
    pub fn metrics(&self) -> Metrics {
        Metrics { keys: self.histories.len(), events: self.log.len(), ..self.metrics }
    }

    /// The serial number that the next event gets. A reader that has reached it has read everything.
    pub fn next_serial(&self) -> u64 {
        self.next_serial
    }

    /// The last position of a key that was seen here.
    pub fn last_position(&self, key: &str) -> Option<Position> {
        self.histories.get(key).map(|history| history.last_position)
    }

    /// Publishes a change of a key. It is ignored if its position is not above the last one seen. Returns whether it became an
    /// event.
    pub fn publish(&mut self, content: EventContent) -> bool {
        let state_hash = short_hash(content.state.as_bytes());
        let mut seen_before = None;
        if let Some(history) = self.histories.get_mut(&content.key) {
            if content.position <= history.last_position {
                return false;
            }
            seen_before = Some(history.last_position);
            let is_next = history.last_position.versions_between(&content.position) == Some(0);
            let is_unchanged =
                |newest: &Rc<Event>| newest.state_hash == state_hash && newest.content.ended == content.ended;
            if (is_next || content.is_monotonic) && history.events.back().is_some_and(is_unchanged) {
                history.last_position = content.position;
                return false;
            }
        } else if self.histories.len() >= self.limits.max_keys && !self.forget_ended_key() {
            self.count_key_over_limit(key_kind(&content.key).to_string());
            return false;
        }
        let serial = self.next_serial;
        self.next_serial += 1;
        self.append(Rc::new(Event { content, state_hash, serial, seen_before }));
        while self.older.len() > self.limits.max_older_events {
            self.drop_oldest();
        }
        true
    }

    fn append(&mut self, event: Rc<Event>) {
        let history = self.histories.entry(event.content.key.clone()).or_default();
        history.last_position = event.content.position;
        if let Some(newest) = history.events.back() {
            self.older.insert(newest.serial);
            self.ended.remove(&newest.serial);
        }
        history.events.push_back(event.clone());
        if event.content.ended {
            self.ended.insert(event.serial);
        }
        self.log.insert(event.serial, event);
    }

    fn drop_oldest(&mut self) {
        let Some(serial) = self.older.pop_first() else { return };
        let Some(event) = self.log.remove(&serial) else { return };
        let dropped_before = self.metrics.dropped;
        self.metrics.dropped += 1;
        if self.dropped.len() >= self.limits.max_dropped {
            self.dropped.pop_front();
        }
        let unseen = event.seen_before.map_or(Some(0), |seen| seen.versions_between(&event.content.position));
        let versions = unseen.map(|unseen| unseen + 1);
        let kind = key_kind(&event.content.key).to_string();
        self.dropped.push_back(DroppedEvent { serial, kind, dropped_before, versions });
        if let Some(history) = self.histories.get_mut(&event.content.key) {
            // Events are dropped in order of serial numbers, which for a key is the order of its history.
            history.events.pop_front();
            history.last_dropped = Some(LastDropped { watermark: event.watermark(), dropped_before });
        }
    }

    /// Forgets the key that ended longest ago. Returns whether there was one.
    fn forget_ended_key(&mut self) -> bool {
        let Some(serial) = self.ended.pop_first() else { return false };
        let Some(event) = self.log.get(&serial).cloned() else { return false };
        if let Some(history) = self.histories.remove(&event.content.key) {
            for event in history.events {
                self.log.remove(&event.serial);
                self.older.remove(&event.serial);
            }
        }
        self.count_key_over_limit(key_kind(&event.content.key).to_string());
        true
    }

    fn count_key_over_limit(&mut self, kind: String) {
        self.metrics.forgotten += 1;
        *self.keys_over_limit.entry(kind).or_default() += 1;
    }
}
