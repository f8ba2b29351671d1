//! What can be wrong with a command line, with the mend.
use std::fmt;
use std::net::AddrParseError;

/// The environment variable that holds control addresses where the command line names none.
pub(crate) const ADDRESSES_VARIABLE: &str = "SILVERCROSSCTL_AT";
/// The longest `--wait`, in seconds.
pub(crate) const MAX_WAIT_S: f64 = 86_400.0;
/// The longest `--seconds`.
pub(crate) const MAX_SPAN_S: f64 = 604_800.0;

/// Why a command line can't be used.
#[derive(Debug)]
pub(crate) enum UsageError {
    /// An option is malformed.
    Option(pico_args::Error),
    /// An address in the environment is none.
    Address {
        /// What stands there.
        text: String,
        /// Why it is none.
        cause: AddrParseError,
    },
    /// There is no address at all.
    NoAddress,
    /// There is no command.
    NoCommand {
        /// The help text.
        help: &'static str,
    },
    /// The command is not known.
    UnknownCommand(String),
    /// More is given than the command takes.
    Unexpected(String),
    /// A file or zone has to follow the command, and does not.
    NoOperand {
        /// The command.
        command: String,
        /// What stands in the operand's place.
        given: String,
    },
    /// Something follows a command that takes nothing.
    Operand {
        /// The command.
        command: String,
        /// What follows it.
        given: String,
    },
    /// `--wait` is out of range.
    Wait(f64),
    /// `--seconds` is out of range.
    Span,
}

impl fmt::Display for UsageError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            UsageError::Option(cause) => write!(f, "{cause}")?,
            UsageError::Address { text, cause } => write!(f, "{ADDRESSES_VARIABLE} {text:?}: {cause}")?,
            UsageError::NoAddress => {
                return write!(
                    f,
                    "no address (give --at ADDRESS:PORT of any node's control, or set {ADDRESSES_VARIABLE})"
                );
            }
            UsageError::NoCommand { help } => return write!(f, "say what is to be done\n{help}"),
            UsageError::UnknownCommand(command) => write!(f, "{command}: no such command")?,
            UsageError::Unexpected(text) => write!(f, "{text}: not understood")?,
            UsageError::NoOperand { command, given } => {
                write!(f, "{command} {given}: name the file or zone after it")?;
            }
            UsageError::Operand { command, given } => write!(f, "{command} {given}: it takes nothing more")?,
            UsageError::Wait(seconds) => {
                return write!(f, "--wait {seconds}: not between 0 and {MAX_WAIT_S} seconds");
            }
            UsageError::Span => return write!(f, "--seconds: not between 0 and {MAX_SPAN_S}"),
        }
        f.write_str(" (`silvercrossctl --help`)")
    }
}

impl From<pico_args::Error> for UsageError {
    fn from(cause: pico_args::Error) -> Self {
        UsageError::Option(cause)
    }
}
