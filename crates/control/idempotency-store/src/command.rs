//! What can be asked of the records, and what comes of it.
use serde::{Deserialize, Serialize};

/// The longest key or name, in bytes.
pub const MAX_KEY_BYTES: usize = 512;
/// The longest body that is held whole, and the longest document, in bytes.
pub const MAX_VALUE_BYTES: usize = 64 * 1024;
/// The longest window, in milliseconds: a day.
pub const MAX_WINDOW_MS: u64 = 86_400_000;

/// An answer that is held.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredResponse {
    /// Its status.
    pub status: u16,
    /// Its header lines that belong to the content, each ended by CR LF.
    pub lines: Vec<u8>,
    /// Its body; `None`: it was longer than [`MAX_VALUE_BYTES`], and only its outcome is held.
    pub body: Option<Vec<u8>>,
}

/// Something to be done, once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Begin to ask under a number of one's own; the outcome is a session (D 6.3).
    Open,
    /// A keyed request is about to be sent for the first time.
    Take {
        /// Class and key.
        key: String,
        /// How long the record stands, in milliseconds of the log's time, counted anew when its answer is held.
        window_ms: u64,
    },
    /// Its answer, from whoever took it.
    Hold {
        /// Class and key.
        key: String,
        /// As in `Take`.
        window_ms: u64,
        /// The answer.
        answer: StoredResponse,
    },
    /// It ended without an answer, from whoever took it.
    Give {
        /// Class and key.
        key: String,
        /// Whether it may have run.
        may_have_run: bool,
    },
    /// An upstream drains, or no longer, by an operator's order.
    Drain {
        /// The upstream's name.
        name: String,
        /// It does.
        on: bool,
    },
    /// A document.
    Put {
        /// Its name.
        name: String,
        /// Only if this is its version; 0: only if there is none; `None`: whatever there is.
        expect: Option<u64>,
        /// Its content; `None`: it is removed.
        bytes: Option<Vec<u8>>,
    },
    /// What a document is, in the order of all else.
    Get {
        /// Its name.
        name: String,
    },
}

impl Command {
    /// Whether it keeps to the bounds; else which one it breaks.
    pub fn validate(&self) -> Result<(), &'static str> {
        let (name, bytes, window) = match self {
            Command::Open => return Ok(()),
            Command::Take { key, window_ms } => (key, 0, *window_ms),
            Command::Hold { key, window_ms, answer } => {
                (key, answer.lines.len().max(answer.body.as_ref().map_or(0, Vec::len)), *window_ms)
            }
            Command::Give { key, .. } => (key, 0, 1),
            Command::Drain { name, .. } | Command::Get { name } => (name, 0, 1),
            Command::Put { name, bytes, .. } => (name, bytes.as_ref().map_or(0, Vec::len), 1),
        };
        match () {
            () if name.is_empty() || name.len() > MAX_KEY_BYTES => Err("a key or name has 1 to 512 bytes"),
            () if bytes > MAX_VALUE_BYTES => Err("65536 bytes at most are held under one key"),
            () if window == 0 || window > MAX_WINDOW_MS => Err("a window is 1 ms to a day"),
            () => Ok(()),
        }
    }
}

/// What a take found.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TakeOutcome {
    /// Nothing: it is the asker's now.
    Yours,
    /// Its answer.
    Held(StoredResponse),
    /// Somebody took it, and no answer is held.
    Busy {
        /// Whose take it is.
        by: u64,
        /// The longest time that can have passed since, in milliseconds, but for the drift of clocks; `None`: another leader
        /// noted it, and nobody knows.
        passed_ms: Option<u64>,
        /// Whoever took it has said that it ended, and may have run.
        over: bool,
    },
}

/// What came of a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// A session.
    Session(u64),
    /// Of `Take`.
    Take(TakeOutcome),
    /// Done, and what it was about is at this version.
    Done(u64),
    /// A document: its version, and its content; version 0: there is none.
    Document(u64, Option<Vec<u8>>),
    /// Not done: what is there is at another version, which is this one.
    Other(u64),
    /// Not done: the record is not the asker's, or its window is over.
    NotYours,
    /// Not done: there is no room.
    Full,
    /// Not done, now or ever: the session is over, and whether the command was done before is not known.
    NoSession,
    /// Not done: a bound was passed.
    Bad,
}
