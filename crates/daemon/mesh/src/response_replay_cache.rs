//! What a gate remembers of requests that may run once, so that an origin whose connection broke can ask what became of an
//! attempt: in progress, its response, or that it was never begun here. An attempt that was asked for before it came is
//! barred.
//!
//! Knows neither connections nor upstreams; `upstream_gate` tells it what happens, and answers queries from it.
use crate::mutation::{self, Mutation};
use rand_core::RngCore;
use silvercross_facade::Clock;
use silvercross_time::{Duration, Instant};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::rc::Rc;
use tokio::sync::Notify;

/// Attempts remembered, those in progress too. While there are as many, others are not remembered, and for [`RETENTION`]
/// from then on nothing is said of unknown attempts.
const MAX_ENTRIES: usize = 65_536;
/// An attempt is remembered for this long after its end.
pub(crate) const RETENTION: Duration = Duration::from_secs(60);
/// A response is stored for this long, or until the origin has shown that it has it.
const RESPONSE_RETENTION: Duration = Duration::from_secs(10);
/// Responses stored; the oldest goes first.
const MAX_STORED_RESPONSES: usize = 4096;
/// Stored responses may take this part of the process's memory.
pub(crate) const MEMORY_DIVISOR: u64 = 32;

/// A response as it was sent to the origin.
#[derive(Clone)]
pub(crate) struct StoredResponse {
    /// Its bytes.
    pub(crate) bytes: Rc<Vec<u8>>,
    /// They state this process's incarnation.
    pub(crate) states_incarnation: bool,
}

enum EntryState {
    /// It is pending or at the upstream.
    InProgress,
    /// It was answered with this.
    Responded(StoredResponse),
    /// It may have run, and there is no response (any more).
    MayHaveRun,
    /// It was not begun, and will not be.
    NotRun,
}

/// What is known of an attempt.
#[derive(Clone)]
pub(crate) enum AttemptOutcome {
    /// It was answered with this.
    Responded(StoredResponse),
    /// It may have run.
    MayHaveRun,
    /// It came, was not begun, and will not be.
    NotRun,
    /// It has not come to this process, and will be rejected if it does.
    NeverReceived,
}

/// An attempt must not begin: it was asked for before it came, or is known already. Its origin has gone elsewhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct AttemptBarred;

impl fmt::Display for AttemptBarred {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the attempt is known here already (send it under another replay key)")
    }
}

impl std::error::Error for AttemptBarred {}

/// How much is remembered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ReplayCacheLoad {
    /// Attempts.
    pub(crate) entries: usize,
    /// Bytes of stored responses.
    pub(crate) response_bytes: u64,
}

/// When something happened to an attempt.
struct TimedKey {
    at: Instant,
    replay_key: u64,
}

struct Entries {
    states: BTreeMap<u64, EntryState>,
    /// Those that ended, in order.
    ended: VecDeque<TimedKey>,
    /// Those whose response was stored, in order; some responses may be released already.
    stored: VecDeque<TimedKey>,
    stored_bytes: u64,
    /// Until then an unknown attempt may have been here.
    incomplete_until: Instant,
}

/// The attempts that one gate remembers.
pub(crate) struct ResponseReplayCache {
    /// Tells this process from those before it at its address.
    pub(crate) incarnation: u64,
    clock: Clock,
    max_stored_bytes: u64,
    entries: RefCell<Entries>,
    attempt_ended: Notify,
}

impl ResponseReplayCache {
    /// With nothing remembered, for a process of this many bytes of memory.
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

    /// An attempt has come.
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

    /// What became of an attempt; waits for its end while it is in progress.
    pub(crate) async fn query(&self, replay_key: u64) -> AttemptOutcome {
        loop {
            let ended = self.attempt_ended.notified();
            tokio::pin!(ended);
            // Registered before the state is looked at, so that no end is missed.
            ended.as_mut().enable();
            if let Some(outcome) = self.outcome(replay_key) {
                return outcome;
            }
            ended.await;
        }
    }

    /// What became of an attempt; `None` while it is in progress. An attempt that is unknown is barred from here on, for it
    /// may still be on its way.
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

    /// The origin has shown that it has the response.
    pub(crate) fn acknowledge(&self, replay_key: u64) {
        self.entries.borrow_mut().release_response(replay_key);
    }

    /// How much is remembered.
    pub(crate) fn load(&self) -> ReplayCacheLoad {
        let entries = self.entries.borrow();
        ReplayCacheLoad { entries: entries.states.len(), response_bytes: entries.stored_bytes }
    }

    /// Forget what is past its retention.
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

    /// Forget what is past its retention; the present instant.
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

/// One attempt's entry. Dropped without a response it records whether the attempt may have run.
pub(crate) struct ReplayEntry {
    cache: Rc<ResponseReplayCache>,
    replay_key: u64,
    is_remembered: bool,
    has_begun: Cell<bool>,
}

impl ReplayEntry {
    /// The attempt's replay key.
    pub(crate) fn replay_key(&self) -> u64 {
        self.replay_key
    }

    /// From now on the attempt may have run.
    pub(crate) fn set_begun(&self) {
        self.has_begun.set(true);
    }

    /// Record the response that is sent.
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
