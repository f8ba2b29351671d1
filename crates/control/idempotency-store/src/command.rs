//! The commands of the store and their outcomes.
use serde::{Deserialize, Serialize};

/// Maximum length of a key or name, in bytes.
pub const MAX_KEY_BYTES: usize = 512;
/// Maximum length of a stored response body, of its header lines, and of a document, in bytes.
pub const MAX_VALUE_BYTES: usize = 64 * 1024;
/// Maximum lifetime of a key, in milliseconds: one day.
pub const MAX_WINDOW_MS: u64 = 86_400_000;

/// A stored response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredResponse {
    /// Status code.
    pub status: u16,
    /// Header lines that describe the content, each terminated by CR LF.
    pub lines: Vec<u8>,
    /// Body; `None` if it was longer than [`MAX_VALUE_BYTES`], so that only status and header lines are stored.
    pub body: Option<Vec<u8>>,
}

/// A command, applied at most once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Opens a client session, within which commands are numbered (Raft dissertation, 6.3).
    Open,
    /// Claims a key before its request is first sent.
    Take {
        /// Class and key.
        key: String,
        /// Lifetime of the record in milliseconds of log time; it starts again when the response is stored.
        window_ms: u64,
    },
    /// Stores the response of a key; only by the client that claimed it.
    Hold {
        /// Class and key.
        key: String,
        /// Lifetime of the record, as in `Take`.
        window_ms: u64,
        /// The response.
        answer: StoredResponse,
    },
    /// Ends a claim without a response; only by the client that made it.
    Give {
        /// Class and key.
        key: String,
        /// Whether the request may have been executed. If not, the key is released.
        may_have_run: bool,
    },
    /// Starts or ends a drain of an upstream, ordered by an operator.
    Drain {
        /// Name of the upstream.
        name: String,
        /// Whether it is to drain.
        on: bool,
    },
    /// Writes or removes a document.
    Put {
        /// Its name.
        name: String,
        /// Expected version: 0 requires that the document does not exist, `None` accepts any state.
        expect: Option<u64>,
        /// New content; `None` removes the document.
        bytes: Option<Vec<u8>>,
    },
    /// Reads a document, linearizably.
    Get {
        /// Its name.
        name: String,
    },
}

impl Command {
    /// Checks the limits. The error names the one that is exceeded.
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

/// Outcome of [`Command::Take`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TakeOutcome {
    /// The key was free and is now claimed by the client.
    Yours,
    /// The key has this stored response.
    Held(StoredResponse),
    /// The key is claimed, without a stored response.
    Busy {
        /// The process that claimed it.
        by: u64,
        /// Upper bound of the time since the claim in milliseconds, except for clock drift; `None` if the claim was logged
        /// by an earlier leader, so that its age is unknown.
        passed_ms: Option<u64>,
        /// The claim has ended without a response, and the request may have been executed.
        over: bool,
    },
}

/// Outcome of a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The session that was opened.
    Session(u64),
    /// Outcome of `Take`.
    Take(TakeOutcome),
    /// Done; the resulting version of the document or of the drains, 0 for a key.
    Done(u64),
    /// Version and content of a document; version 0 if it does not exist.
    Document(u64, Option<Vec<u8>>),
    /// Not done: the document is at this version, not at the expected one.
    Other(u64),
    /// Not done: the key is not claimed by this client, or its record has expired or has a response already.
    NotYours,
    /// Not done: the store is full.
    Full,
    /// Not done: the session is over or full. Whether the command was applied earlier is unknown.
    NoSession,
    /// Not done: the command exceeds a limit.
    Bad,
}
