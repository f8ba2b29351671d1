//! Everything that ends a command early: what went wrong and, in brackets, the mend.
//!
//! Each kind of error has its exit code here, so that the code can't differ from command to command.
use crate::exit_code::ExitCode;
use crate::http_client::CallError;
use crate::items::ItemFault;
use crate::usage::UsageError;
use silvercross_event_feed::CursorError;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Why a command ended early.
#[derive(Debug)]
pub(crate) enum Error {
    /// The command line can't be used.
    Usage(UsageError),
    /// A file can't be read.
    ReadFile {
        /// The file.
        path: PathBuf,
        /// Why.
        cause: io::Error,
    },
    /// A file can't be written.
    WriteFile {
        /// The file.
        path: PathBuf,
        /// Why.
        cause: io::Error,
    },
    /// A file of items is larger than any that is read.
    FileTooLarge {
        /// The file.
        path: PathBuf,
        /// The limit, in bytes.
        limit: u64,
    },
    /// A file's items are faulty; nothing was sent.
    FaultyItems {
        /// The file.
        path: PathBuf,
        /// All faults found, in the file's order.
        faults: Vec<ItemFault>,
    },
    /// A file is no backup that this program wrote.
    NoBackup {
        /// The file.
        path: PathBuf,
        /// Where it stops being JSON, if it does.
        syntax: Option<serde_json::Error>,
    },
    /// The cursor kept from the last run can't be read.
    KeptCursor(CursorError),
    /// A cursor that a node sent can't be read.
    SentCursor(CursorError),
    /// The feed rejected the query itself.
    QueryRejected {
        /// The answer's status.
        status: u16,
        /// The reason in the answer.
        reason: String,
    },
    /// Standard output can't be written.
    Output(io::Error),
    /// A call to one node failed.
    Call(CallError),
    /// A node answered with a status that is not the one of success.
    Status {
        /// What was called.
        called: String,
        /// The answer's status.
        status: u16,
        /// The reason in the answer.
        reason: String,
    },
    /// A node answered with something other than JSON.
    NotJson {
        /// What was called.
        called: String,
        /// Where it stops being JSON.
        cause: serde_json::Error,
    },
    /// None of the nodes named answers.
    NoAnswer {
        /// Why the last one did not.
        last: Option<Box<Error>>,
    },
    /// An operator's call was not settled in time; it may or may not be in force.
    NotSettled {
        /// How long it was sent again.
        waited: Duration,
        /// How the last attempt ended.
        last: String,
    },
    /// None of the nodes named serves the event feed.
    NoFeed {
        /// How the last attempt ended.
        last: Box<Error>,
    },
    /// The mesh rejected an operator's call; nothing of it is in force.
    Rejected {
        /// The answer's status.
        status: u16,
        /// The reason in the answer.
        reason: String,
        /// Whether another operator's change of the same items came first.
        is_conflict: bool,
    },
}

impl Error {
    /// A file that can't be read.
    pub(crate) fn read_file(path: &Path) -> impl FnOnce(io::Error) -> Self + '_ {
        |cause| Error::ReadFile { path: path.to_path_buf(), cause }
    }

    /// A file that can't be written.
    pub(crate) fn write_file(path: &Path) -> impl FnOnce(io::Error) -> Self + '_ {
        |cause| Error::WriteFile { path: path.to_path_buf(), cause }
    }

    /// An answer that is no JSON, by the node and path that were called.
    pub(crate) fn not_json(node: SocketAddr, path: &str) -> impl FnOnce(serde_json::Error) -> Self {
        let called = format!("{node}{path}");
        |cause| Error::NotJson { called, cause }
    }

    /// The code that the program ends with.
    pub(crate) fn exit_code(&self) -> ExitCode {
        match self {
            Error::Usage(_)
            | Error::ReadFile { .. }
            | Error::WriteFile { .. }
            | Error::FileTooLarge { .. }
            | Error::FaultyItems { .. }
            | Error::NoBackup { .. }
            | Error::KeptCursor(_)
            | Error::QueryRejected { .. } => ExitCode::Unusable,
            Error::SentCursor(_)
            | Error::Output(_)
            | Error::Call(_)
            | Error::Status { .. }
            | Error::NotJson { .. }
            | Error::NoAnswer { .. }
            | Error::NotSettled { .. }
            | Error::NoFeed { .. } => ExitCode::Unreachable,
            Error::Rejected { .. } => ExitCode::Rejected,
        }
    }
}

fn write_faults(f: &mut fmt::Formatter<'_>, path: &Path, faults: &[ItemFault]) -> fmt::Result {
    let plural = if faults.len() == 1 { "" } else { "s" };
    write!(f, "{} fault{plural}, nothing was sent", faults.len())?;
    for fault in faults {
        write!(f, "\n{}:{}: {}", path.display(), fault.position, fault.reason)?;
    }
    Ok(())
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Usage(error) => error.fmt(f),
            Error::ReadFile { path, cause } => {
                write!(f, "{}: {cause} (name a readable file)", path.display())
            }
            Error::WriteFile { path, cause } => {
                write!(f, "{}: {cause} (name a file that can be written)", path.display())
            }
            Error::FileTooLarge { path, limit } => {
                write!(f, "{}: above {limit} bytes (part it into more files)", path.display())
            }
            Error::FaultyItems { path, faults } => write_faults(f, path, faults),
            Error::NoBackup { path, syntax: Some(error) } => {
                let (line, column) = (error.line(), error.column());
                write!(f, "{}:{line}:{column}: {error} (is it a backup?)", path.display())
            }
            Error::NoBackup { path, syntax: None } => write!(
                f,
                "{}: no backup of form 1 (use a file that `silvercrossctl backup` wrote)",
                path.display()
            ),
            Error::KeptCursor(error) | Error::SentCursor(error) => error.fmt(f),
            Error::Output(cause) => write!(f, "standard output: {cause}"),
            Error::Call(error) => error.fmt(f),
            Error::Status { called, status, reason } => write!(f, "{called}: {status} {reason}"),
            Error::NotJson { called, cause } => write!(f, "{called}: no JSON: {cause}"),
            Error::NoAnswer { last: None } => f.write_str("no node answers"),
            Error::NoAnswer { last: Some(last) } => write!(
                f,
                "no node answers: {last} (give the control address of a node that is up)"
            ),
            Error::NotSettled { waited, last } => write!(
                f,
                "not settled within {} s, it may or may not be in force: {last} (two of three control nodes have to be up; \
                 `silvercrossctl control-state`, then the same again)",
                waited.as_secs()
            ),
            Error::NoFeed { last } => {
                write!(f, "no node serves the feed: {last} (start a role with --feed, name it with --at)")
            }
            Error::QueryRejected { status, reason } => write!(f, "{status} {reason}"),
            Error::Rejected { status, reason, is_conflict } => {
                let mend = if *is_conflict {
                    " (another operator was first: look at the diff with --dry-run, then again)"
                } else {
                    ""
                };
                write!(f, "{status} {reason}{mend}")
            }
        }
    }
}

impl std::error::Error for Error {}

impl From<UsageError> for Error {
    fn from(error: UsageError) -> Self {
        Error::Usage(error)
    }
}

impl From<CallError> for Error {
    fn from(error: CallError) -> Self {
        Error::Call(error)
    }
}
