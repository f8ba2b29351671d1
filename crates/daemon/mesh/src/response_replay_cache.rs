//! What a gate remembers of requests that may run once, so that an origin whose hop broke can ask what became of one: at work, its
//! answer, or that it was never begun here. A request that was asked for before it came is barred.
use crate::mutation::{self, Mutation};
use rand_core::RngCore;
use silvercross_facade::Clock;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use tokio::sync::Notify;

/// Requests remembered, those at work too. While there are as many, others are not remembered, and for [`SPAN`] from then on
/// nothing is said of what is not known.
const MOST: usize = 65_536;
/// A request is remembered so long after its end, in microseconds.
pub const SPAN: i64 = 60_000_000;
/// Its answer is kept so long, in microseconds, or until the origin has shown that it has it.
const KEPT: i64 = 10_000_000;
/// Answers kept; the oldest goes first.
const ANSWERS: usize = 4096;
/// Their bytes, as a part of the process's memory.
pub(crate) const PART: u64 = 32;

/// An answer's bytes as they went on the hop.
#[derive(Clone)]
pub struct Kept {
    /// The bytes.
    pub bytes: Rc<Vec<u8>>,
    /// They name this process's life.
    pub lived: bool,
}

enum State {
    /// It waits or is at the upstream.
    Working,
    /// This was answered.
    Answered(Kept),
    /// It may have run, and there is no answer (any more).
    Begun,
    /// It was not begun, and will not be.
    Off,
}

/// What is known of a request.
#[derive(Clone)]
pub enum Known {
    /// It was answered so.
    Answered(Kept),
    /// It may have run.
    Begun,
    /// It came, was not begun, and will not be.
    Off,
    /// It has not come to this process, and will be turned away if it does.
    Unseen,
}

struct Inner {
    states: BTreeMap<u64, State>,
    /// Those that ended, in order.
    ended: VecDeque<(i64, u64)>,
    /// Those whose answer is kept, in order; some may have let go of it.
    kept: VecDeque<(i64, u64)>,
    bytes: u64,
    blind_until: i64,
}

/// The receipts of one gate.
pub struct ResponseReplayCache {
    /// Tells this process from those before it.
    pub life: u64,
    clock: Clock,
    most: u64,
    inner: RefCell<Inner>,
    ends: Notify,
}

impl ResponseReplayCache {
    /// With nothing remembered, for a process of so many bytes of memory.
    pub fn new(clock: Clock, chance: &mut impl RngCore, memory: u64) -> Rc<Self> {
        let inner = Inner {
            states: BTreeMap::new(),
            ended: VecDeque::new(),
            kept: VecDeque::new(),
            bytes: 0,
            blind_until: i64::MIN,
        };
        let ends = Notify::new();
        let (life, most, inner) = (chance.next_u64(), memory / PART, RefCell::new(inner));
        Rc::new(ResponseReplayCache { life, clock, most, inner, ends })
    }

    /// A request has come; `Err` if it was asked for before, or is known already: it must not begin.
    pub fn enter(self: &Rc<Self>, ticket: u64) -> Result<ReplayEntry, ()> {
        let now = self.remove_expired();
        let mut inner = self.inner.borrow_mut();
        if inner.states.contains_key(&ticket) {
            return Err(());
        }
        let written = inner.states.len() < MOST;
        if written {
            inner.states.insert(ticket, State::Working);
        } else {
            inner.blind_until = now + SPAN;
        }
        Ok(ReplayEntry { all: self.clone(), ticket, written, begun: Cell::new(false) })
    }

    /// What became of a request; waits for its end while it is at work.
    pub async fn ask(&self, ticket: u64) -> Known {
        loop {
            let ends = self.ends.notified();
            tokio::pin!(ends);
            // In line before it is looked at, so that no end is missed.
            ends.as_mut().enable();
            let now = self.remove_expired();
            {
                let mut inner = self.inner.borrow_mut();
                match inner.states.get(&ticket) {
                    Some(State::Working) => {}
                    Some(State::Answered(kept)) => return Known::Answered(kept.clone()),
                    Some(State::Begun) => return Known::Begun,
                    Some(State::Off) => return Known::Off,
                    None if now < inner.blind_until || inner.states.len() >= MOST => return Known::Begun,
                    None => {
                        if mutation::is_active(Mutation::LateStartAllowed) {
                            return Known::Unseen;
                        }
                        // It may still be on its way.
                        inner.states.insert(ticket, State::Off);
                        inner.ended.push_back((now, ticket));
                        return Known::Unseen;
                    }
                }
            }
            ends.await;
        }
    }

    /// The origin has shown that it has the answer.
    pub fn taken(&self, ticket: u64) {
        self.inner.borrow_mut().let_go(ticket);
    }

    /// How many are remembered, and the bytes of their answers.
    pub fn load(&self) -> (usize, u64) {
        let inner = self.inner.borrow();
        (inner.states.len(), inner.bytes)
    }

    fn end(&self, ticket: u64, state: State) {
        let now = self.clock.now();
        {
            let mut inner = self.inner.borrow_mut();
            if let State::Answered(kept) = &state {
                inner.bytes += kept.bytes.len() as u64;
                inner.kept.push_back((now, ticket));
            }
            inner.states.insert(ticket, state);
            inner.ended.push_back((now, ticket));
            while inner.bytes > self.most || inner.kept.len() > ANSWERS {
                let Some((_, oldest)) = inner.kept.pop_front() else { break };
                inner.let_go(oldest);
            }
        }
        self.ends.notify_waiters();
    }

    /// Forget what is old enough; the time it is.
    pub fn remove_expired(&self) -> i64 {
        let now = self.clock.now();
        let mut inner = self.inner.borrow_mut();
        while let Some((_, ticket)) = inner.kept.pop_front_if(|k| k.0 + KEPT <= now) {
            inner.let_go(ticket);
        }
        let span = if mutation::is_active(Mutation::ReplayEntryForgotten) { 0 } else { SPAN };
        while let Some((_, ticket)) = inner.ended.pop_front_if(|e| e.0 + span <= now) {
            inner.let_go(ticket);
            inner.states.remove(&ticket);
        }
        now
    }
}

impl Inner {
    fn let_go(&mut self, ticket: u64) {
        if let Some(state @ State::Answered(_)) = self.states.get_mut(&ticket) {
            if let State::Answered(kept) = std::mem::replace(state, State::Begun) {
                self.bytes -= kept.bytes.len() as u64;
            }
        }
    }
}

/// One request's entry. Dropped without an answer it says whether it may have run.
pub struct ReplayEntry {
    all: Rc<ResponseReplayCache>,
    /// The request's ticket.
    pub ticket: u64,
    written: bool,
    begun: Cell<bool>,
}

impl ReplayEntry {
    /// From now on it may have run.
    pub fn begun(&self) {
        self.begun.set(true);
    }

    /// It was answered so.
    pub fn answered(mut self, kept: Kept) {
        if std::mem::take(&mut self.written) {
            self.all.end(self.ticket, State::Answered(kept));
        }
    }
}

impl Drop for ReplayEntry {
    fn drop(&mut self) {
        if self.written {
            let state = if self.begun.get() { State::Begun } else { State::Off };
            self.all.end(self.ticket, state);
        }
    }
}
