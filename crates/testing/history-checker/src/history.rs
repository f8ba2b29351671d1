//! What happened to a fleet and what was seen of it, in order of time. The only input of the checkers.
//!
//! Instants are of the driver's one clock; in JSON they are microseconds. The names in JSON are those of recorded histories
//! and stay, also where they differ from the names here.

use crate::operation::{Answer, Invocation};
use serde::{Deserialize, Serialize};
use silvercross_time::Instant;

/// A process of the fleet, counted by its start: a restart is another one.
pub type Process = usize;

/// How a member is listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MemberState {
    /// There.
    Alive,
    /// In doubt.
    Suspect,
    /// Gone without a notice.
    Failed,
    /// Gone after it said so.
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
    #[serde(rename = "id")]
    pub identity: String,
    /// How it is listed.
    pub state: MemberState,
    /// The incarnation that this is of.
    pub incarnation: u64,
}

/// One process' list, as it was asked for and answered.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberList {
    /// Whose list.
    #[serde(rename = "by")]
    pub process: Process,
    /// The identity that the process says it has.
    #[serde(rename = "id")]
    pub identity: String,
    /// The view that it reports; `out`: it has stood down and takes no part.
    pub view: String,
    /// How many members it says send.
    pub senders: Option<usize>,
    /// All others in its list.
    #[serde(rename = "others")]
    pub members: Vec<ListedMember>,
    /// Upstreams that it holds to be draining.
    #[serde(default, rename = "drains")]
    pub draining: Vec<String>,
}

impl MemberList {
    /// Whether the process takes part in the fleet.
    pub fn takes_part(&self) -> bool {
        self.view != "out"
    }
}

/// A direction between two machines; a pair in JSON.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(from = "(usize, usize)", into = "(usize, usize)")]
pub struct DirectedLink {
    /// The sending machine.
    pub from: usize,
    /// The receiving machine.
    pub to: usize,
}

impl From<(usize, usize)> for DirectedLink {
    fn from((from, to): (usize, usize)) -> DirectedLink {
        DirectedLink { from, to }
    }
}

impl From<DirectedLink> for (usize, usize) {
    fn from(link: DirectedLink) -> (usize, usize) {
        (link.from, link.to)
    }
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
        /// With an empty folder: it has to have a new identity.
        fresh: bool,
    },
    /// A process is no more.
    Ended {
        /// Which.
        process: Process,
        /// Whether it was asked to end, and could leave the fleet.
        #[serde(rename = "told")]
        graceful: bool,
    },
    /// A process was stopped, slowed or otherwise kept from its work.
    #[serde(rename = "hampered")]
    Impaired {
        /// Which.
        process: Process,
    },
    /// A process is no longer impaired.
    #[serde(rename = "free")]
    Recovered {
        /// Which.
        process: Process,
    },
    /// Datagrams and connections over these links don't get through; those over all others do.
    #[serde(rename = "cut")]
    Partitioned {
        /// All links that are closed, in place of those that were before.
        #[serde(rename = "pairs")]
        links: Vec<DirectedLink>,
    },
    /// All links are well and no process is impaired from now on.
    #[serde(rename = "calm")]
    Healed,
    /// An upstream's drain was announced to a process by its own list.
    #[serde(rename = "drain_told")]
    DrainAnnounced {
        /// The upstream.
        host: String,
        /// The machines whose lists said so.
        machines: Vec<usize>,
    },
    /// A process reported its list.
    #[serde(rename = "look")]
    MemberList(MemberList),
    /// A client's request.
    Request {
        /// The process that it went to.
        process: Process,
        /// The answer's status; 0: none.
        status: u16,
    },
    /// Something was asked of a key of the idempotency store, and answered or not.
    Operation {
        /// The process that was asked.
        process: Process,
        /// The key.
        key: String,
        /// What was asked.
        #[serde(rename = "call")]
        invocation: Invocation,
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
    /// A client got an answer that was marked as the kept one.
    #[serde(rename = "marked")]
    MarkedAnswer {
        /// The key.
        key: String,
        /// The answer, or a digest of it.
        answer: String,
    },
    /// A client got an answer to a keyed request without the mark that claims to be its outcome.
    #[serde(rename = "unmarked")]
    UnmarkedAnswer {
        /// The key.
        key: String,
        /// The answer, or a digest of it.
        answer: String,
    },
}

impl EventKind {
    /// A partition of these pairs of machines, from and to.
    pub fn partitioned(pairs: impl IntoIterator<Item = (usize, usize)>) -> EventKind {
        EventKind::Partitioned { links: pairs.into_iter().map(DirectedLink::from).collect() }
    }
}

/// An instant as the microseconds of recorded histories.
mod micros {
    use serde::{Deserialize, Deserializer, Serializer};
    use silvercross_time::Instant;

    pub(super) fn serialize<S: Serializer>(at: &Instant, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_i64(at.as_micros())
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Instant, D::Error> {
        i64::deserialize(deserializer).map(Instant::from_micros)
    }
}

/// One entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Event {
    /// When it began, or was asked.
    #[serde(rename = "at", with = "micros")]
    pub began: Instant,
    /// When it was over, or answered; the same for what takes no time.
    #[serde(rename = "end", with = "micros")]
    pub ended: Instant,
    /// What it was.
    #[serde(rename = "what")]
    pub kind: EventKind,
}

/// All of it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct History {
    /// In order of their beginning.
    pub events: Vec<Event>,
}

impl History {
    /// Adds something that took no time.
    pub fn record(&mut self, at: Instant, kind: EventKind) {
        self.record_span(at, at, kind);
    }

    /// Adds something that was asked and answered.
    pub fn record_span(&mut self, began: Instant, ended: Instant, kind: EventKind) {
        self.events.push(Event { began, ended, kind });
    }

    /// In order, as the checkers need it: drivers may have noted an answer after what came later.
    pub fn sorted(mut self) -> Self {
        self.events.sort_by_key(|event| event.began);
        self
    }
}
