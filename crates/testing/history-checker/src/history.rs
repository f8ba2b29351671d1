//! What happened, in order of time. Times are microseconds on the driver's one clock.
use crate::idempotency::{Answer, Invocation};
use serde::{Deserialize, Serialize};

/// A process of the fleet, counted by its start: a restart is another one.
pub type Process = usize;
/// Microseconds on the driver's clock.
pub type Micros = i64;

/// How somebody holds a member to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MemberState {
    /// There.
    Alive,
    /// In doubt.
    Suspect,
    /// Gone without a word.
    Failed,
    /// Gone by its own word.
    Left,
}

impl MemberState {
    /// Whether it counts as there.
    pub fn is_live(self) -> bool {
        matches!(self, MemberState::Alive | MemberState::Suspect)
    }
}

/// A member in somebody's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedMember {
    /// Its identity, as it is shown.
    pub id: String,
    /// How it is held to be.
    pub state: MemberState,
    /// How new that is.
    pub incarnation: u64,
}

/// One process' list, as it was asked for and told.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberList {
    /// Whose.
    pub by: Process,
    /// The identity it says it has.
    pub id: String,
    /// The view it tells.
    pub view: String,
    /// How many it says send.
    pub senders: Option<usize>,
    /// All others in its list.
    pub others: Vec<ListedMember>,
    /// Upstreams that it holds to be draining.
    #[serde(default)]
    pub drains: Vec<String>,
}

/// What was done, or seen.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EventKind {
    /// A process was started on a machine.
    Started {
        /// Which.
        process: Process,
        /// On which machine.
        machine: usize,
        /// With an empty folder: it has to be somebody new.
        fresh: bool,
    },
    /// A process is no more; `told`: it was asked to end, and could say so.
    Ended {
        /// Which.
        process: Process,
        /// Whether it left by its own word.
        told: bool,
    },
    /// A process was stopped, slowed or otherwise kept from its work.
    Hampered {
        /// Which.
        process: Process,
    },
    /// It is let alone again.
    Free {
        /// Which.
        process: Process,
    },
    /// Datagrams and connections from the first machine's processes to the second's get through, or not. `pairs` holds
    /// all that don't, in place of what held before.
    Cut {
        /// Machines, from and to.
        pairs: Vec<(usize, usize)>,
    },
    /// All links have been well, and all processes let alone, since now.
    Calm,
    /// An upstream's drain was told to a process by its own list.
    DrainTold {
        /// The upstream.
        host: String,
        /// The machines whose lists said so.
        machines: Vec<usize>,
    },
    /// A process told its list. Asked at the event's time, answered by `end`.
    #[serde(rename = "look")]
    MemberList(MemberList),
    /// A client's request: asked at the event's time, answered by `end`.
    Request {
        /// Which process it went to.
        process: Process,
        /// The answer's status; 0: none.
        status: u16,
    },
    /// Something was asked of a key of the records, and answered or not.
    Operation {
        /// Which process was asked.
        process: Process,
        /// The key.
        key: String,
        /// What was asked.
        call: Invocation,
        /// The answer.
        answer: Option<Answer>,
    },
    /// A keyed request had its effect at an upstream, or at one of a group that drops repeats.
    Effect {
        /// Its key.
        key: String,
        /// Where.
        by: String,
    },
    /// A client got an answer that was marked as held.
    Marked {
        /// The key.
        key: String,
        /// The answer, or a digest of it.
        answer: String,
    },
    /// A client got an answer to a keyed request without the mark that claims to be its outcome.
    Unmarked {
        /// The key.
        key: String,
        /// The answer, or a digest of it.
        answer: String,
    },
}

/// One entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Event {
    /// When it began.
    pub at: Micros,
    /// When it was over; the same for what takes no time.
    pub end: Micros,
    /// What it was.
    pub what: EventKind,
}

/// All of it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct History {
    /// In order of their beginning.
    pub events: Vec<Event>,
}

impl History {
    /// Something that took no time.
    pub fn now(&mut self, at: Micros, what: EventKind) {
        self.events.push(Event { at, end: at, what });
    }

    /// Something that was asked and answered.
    pub fn took(&mut self, at: Micros, end: Micros, what: EventKind) {
        self.events.push(Event { at, end, what });
    }

    /// In order, as checkers want it: drivers may have noted an answer after what came later.
    pub fn sorted(mut self) -> Self {
        self.events.sort_by_key(|e| e.at);
        self
    }
}
