//! How a command ends, for scripts: the program's exit codes.

/// The exit code of a command that ran or could not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ExitCode {
    /// Everything is as it was asked for.
    Done = 0,
    /// It was done, or looked at, and something is not as it should be: not in force everywhere, findings, overtaken.
    Incomplete = 1,
    /// The command line or a file can't be used; nothing was sent.
    Unusable = 2,
    /// No node answered, or none could settle it: it may or may not be in force.
    Unreachable = 3,
    /// The mesh rejected it; nothing of it is in force.
    Rejected = 4,
}

impl ExitCode {
    /// [`ExitCode::Done`] if it holds, else [`ExitCode::Incomplete`].
    pub(crate) fn complete_if(holds: bool) -> Self {
        if holds {
            ExitCode::Done
        } else {
            ExitCode::Incomplete
        }
    }
}

impl From<ExitCode> for std::process::ExitCode {
    fn from(code: ExitCode) -> Self {
        std::process::ExitCode::from(code as u8)
    }
}
