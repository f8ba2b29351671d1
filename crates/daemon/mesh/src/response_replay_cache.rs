//! A gate's record of non-idempotent attempts, from which an origin whose connection broke can query the outcome of
//! an attempt: in progress, its response, or that it never began here. An attempt that is queried before it arrives
//! is barred from beginning.
//!
//! Independent of connections and upstreams: `upstream_gate` reports events to it and answers queries from it.
use crate::mutation::{self, Mutation};
use rand_core::RngCore;
use silvercross_facade::Clock;
use silvercross_time::{Duration, Instant};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::rc::Rc;
use tokio::sync::Notify;

/// Maximum number of attempts recorded, including those in progress. At the limit further attempts are not recorded.
/// Queries about unknown attempts are then answered with [`AttemptOutcome::MayHaveRun`], until [`RETENTION`] after
/// the last attempt that was not recorded.
const MAX_ENTRIES: usize = 65_536;
/// How long an attempt is kept after its end.
pub(crate) const RETENTION: Duration = Duration::from_secs(60);
/// How long a response is stored, unless its origin acknowledges it before.
const RESPONSE_RETENTION: Duration = Duration::from_secs(10);
/// Maximum number of stored responses. The oldest is evicted first.
const MAX_STORED_RESPONSES: usize = 4096;
/// The share of the process's memory, as a divisor, that stored responses may use.
pub(crate) const MEMORY_DIVISOR: u64 = 32;

/// A response as it was sent to the origin.
#[derive(Clone)]
pub(crate) struct StoredResponse {
    /// The encoded response.
    pub(crate) bytes: Rc<Vec<u8>>,
    /// Whether it states this process's incarnation.
    pub(crate) states_incarnation: bool,
}

enum EntryState {
    /// The attempt is pending or at the upstream.
    InProgress,
    /// The attempt was answered with this response.
    Responded(StoredResponse),
    /// The attempt may have run, and no response is stored, or no longer.
    MayHaveRun,
    /// The attempt did not begin and will not.
    NotRun,
}

/// The outcome of an attempt, as far as it is known.
#[derive(Clone)]
pub(crate) enum AttemptOutcome {
    /// The attempt was answered with this response.
    Responded(StoredResponse),
    /// The attempt may have run.
    MayHaveRun,
    /// The attempt arrived, did not begin, and will not.
    NotRun,
    /// The attempt has not arrived at this process, and will be rejected if it does.
    NeverReceived,
}

/// An attempt must not begin, because it was queried before it arrived or its key is already known. Its origin no
/// longer expects it to run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct AttemptBarred;

impl fmt::Display for AttemptBarred {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the attempt is already known (send it with another replay key)")
    }
}

impl std::error::Error for AttemptBarred {}

/// The size of the cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ReplayCacheLoad {
    /// The number of recorded attempts.
    pub(crate) entries: usize,
    /// The size of the stored responses in bytes.
    pub(crate) response_bytes: u64,
}

/// An attempt and the time of an event.
struct TimedKey {
    at: Instant,
    replay_key: u64,
}

struct Entries {
    states: BTreeMap<u64, EntryState>,
    /// Attempts that ended, in order of their end.
    ended: VecDeque<TimedKey>,
    /// Attempts whose response was stored, in order. Some responses may have been released since.
    stored: VecDeque<TimedKey>,
    stored_bytes: u64,
    /// Until this time an unknown attempt may have been one that was not recorded.
    incomplete_until: Instant,
}

/// The cache of the attempts at one gate.
pub(crate) struct ResponseReplayCache {
    /// Distinguishes this process from earlier ones at the same address.
    pub(crate) incarnation: u64,
    clock: Clock,
    max_stored_bytes: u64,
    entries: RefCell<Entries>,
    attempt_ended: Notify,
}

impl ResponseReplayCache {
    /// Creates an empty cache for a process with this many bytes of memory.
    pub(crate) fn new(clock: Clock, rng: &mut impl RngCore, memory_bytes: u64) -> Rc<Self> {
        let entries = Entries {
            states: BTreeMap::new(),
            ended: VecDeque::new(),
            stored: VecDeque::new(),
            stored_bytes: 0,
            incomplete_until: Instant::MIN,
        };
        Rc::new(ResponseReplayCache {
            incarnation: rng.next_u64(),
            clock,
            max_stored_bytes: memory_bytes / MEMORY_DIVISOR,
            entries: RefCell::new(entries),
            attempt_ended: Notify::new(),
        })
    }

    /// Records the arrival of an attempt.
    ///
    /// # Errors
    /// [`AttemptBarred`] if it must not begin.
    pub(crate) fn begin(self: &Rc<Self>, replay_key: u64) -> Result<ReplayEntry, AttemptBarred> {
        let now = self.expire();
        let mut entries = self.entries.borrow_mut();
        if entries.states.contains_key(&replay_key) {
            return Err(AttemptBarred);
        }
        let is_remembered = entries.states.len() < MAX_ENTRIES;
        if is_remembered {
            entries.states.insert(replay_key, EntryState::InProgress);
        } else {
            entries.incomplete_until = now + RETENTION;
        }
        Ok(ReplayEntry { cache: self.clone(), replay_key, is_remembered, has_begun: Cell::new(false) })
    }

    /// Returns the outcome of an attempt. Waits for its end while it is in progress.
    pub(crate) async fn query(&self, replay_key: u64) -> AttemptOutcome {
        loop {
            let ended = self.attempt_ended.notified();
            tokio::pin!(ended);
            // Registered before the state is checked, so that no notification is missed.
            ended.as_mut().enable();
            if let Some(outcome) = self.outcome(replay_key) {
                return outcome;
            }
            ended.await;
        }
    }

    /// Returns the outcome of an attempt; `None` while it is in progress. An unknown attempt is barred from now on,
    /// since it may still arrive.
    fn outcome(&self, replay_key: u64) -> Option<AttemptOutcome> {
        let now = self.expire();
        let mut entries = self.entries.borrow_mut();
        match entries.states.get(&replay_key) {
            Some(EntryState::InProgress) => return None,
            Some(EntryState::Responded(stored)) => return Some(AttemptOutcome::Responded(stored.clone())),
            Some(EntryState::MayHaveRun) => return Some(AttemptOutcome::MayHaveRun),
            Some(EntryState::NotRun) => return Some(AttemptOutcome::NotRun),
            None if now < entries.incomplete_until || entries.states.len() >= MAX_ENTRIES => {
                return Some(AttemptOutcome::MayHaveRun);
            }
            None => {}
        }
        if !mutation::is_active(Mutation::LateStartAllowed) {
            entries.states.insert(replay_key, EntryState::NotRun);
            entries.ended.push_back(TimedKey { at: now, replay_key });
        }
        Some(AttemptOutcome::NeverReceived)
    }

    /// Releases a response that its origin has received.
    pub(crate) fn acknowledge(&self, replay_key: u64) {
        self.entries.borrow_mut().release_response(replay_key);
    }

    /// Returns the size of the cache.
    pub(crate) fn load(&self) -> ReplayCacheLoad {
        let entries = self.entries.borrow();
        ReplayCacheLoad { entries: entries.states.len(), response_bytes: entries.stored_bytes }
    }

    /// Removes what is past its retention.
    pub(crate) fn remove_expired(&self) {
        self.expire();
    }

    fn end(&self, replay_key: u64, state: EntryState) {
        let at = self.now();
        {
            let mut entries = self.entries.borrow_mut();
            if let EntryState::Responded(stored) = &state {
                entries.stored_bytes += stored.bytes.len() as u64;
                entries.stored.push_back(TimedKey { at, replay_key });
            }
            entries.states.insert(replay_key, state);
            entries.ended.push_back(TimedKey { at, replay_key });
            while entries.stored_bytes > self.max_stored_bytes || entries.stored.len() > MAX_STORED_RESPONSES
            {
                let Some(oldest) = entries.stored.pop_front() else { break };
                entries.release_response(oldest.replay_key);
            }
        }
        self.attempt_ended.notify_waiters();
    }

    /// Removes what is past its retention. Returns the current time.
    fn expire(&self) -> Instant {
        let now = self.now();
        let mut entries = self.entries.borrow_mut();
        while let Some(stored) = entries.stored.pop_front_if(|s| s.at + RESPONSE_RETENTION <= now) {
            entries.release_response(stored.replay_key);
        }
        let retention = match mutation::is_active(Mutation::ReplayEntryForgotten) {
            true => Duration::ZERO,
            false => RETENTION,
        };
        while let Some(ended) = entries.ended.pop_front_if(|e| e.at + retention <= now) {
            entries.release_response(ended.replay_key);
            entries.states.remove(&ended.replay_key);
        }
        now
    }

    fn now(&self) -> Instant {
        Instant::from_micros(self.clock.now())
    }
}

impl Entries {
    fn release_response(&mut self, replay_key: u64) {
        if let Some(state @ EntryState::Responded(_)) = self.states.get_mut(&replay_key) {
            if let EntryState::Responded(stored) = std::mem::replace(state, EntryState::MayHaveRun) {
                self.stored_bytes -= stored.bytes.len() as u64;
            }
        }
    }
}

/// The entry of one attempt. If it is dropped without a response, it records whether the attempt may have run.
pub(crate) struct ReplayEntry {
    cache: Rc<ResponseReplayCache>,
    replay_key: u64,
    is_remembered: bool,
    has_begun: Cell<bool>,
}

impl ReplayEntry {
    /// Returns the attempt's replay key.
    pub(crate) fn replay_key(&self) -> u64 {
        self.replay_key
    }

    /// Records that the attempt may have run from now on.
    pub(crate) fn set_begun(&self) {
        self.has_begun.set(true);
    }

    /// Records the response that is sent.
    pub(crate) fn set_response(mut self, response: StoredResponse) {
        if std::mem::take(&mut self.is_remembered) {
            self.cache.end(self.replay_key, EntryState::Responded(response));
        }
    }
}

impl Drop for ReplayEntry {
    fn drop(&mut self) {
        if self.is_remembered {
            let state = match self.has_begun.get() {
                true => EntryState::MayHaveRun,
                false => EntryState::NotRun,
            };
            self.cache.end(self.replay_key, state);
        }
    }
}
