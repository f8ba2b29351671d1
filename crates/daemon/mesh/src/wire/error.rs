//! Why a message could not be read from a connection.
use silvercross_net::http::MessageError;
use std::fmt;
use std::io;

/// Why a message could not be read.
#[derive(Debug)]
pub(crate) enum ReadError {
    /// The connection ended between two messages.
    Closed,
    /// The connection ended or broke within a message.
    Interrupted,
    /// What was received is not a message within the limits.
    Invalid(MessageError),
    /// The message was not complete in time.
    TimedOut,
    /// The memory budget for buffered bodies is exhausted.
    BodyBudgetExhausted,
}

impl fmt::Display for ReadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ReadError::Closed => {
                write!(f, "the connection was closed between two messages (open another one)")
            }
            ReadError::Interrupted => {
                write!(f, "the connection ended within a message (it may have been processed)")
            }
            ReadError::Invalid(error) => {
                write!(f, "the message is not valid HTTP/1.1 within the limits: {error:?}")
            }
            ReadError::TimedOut => {
                write!(f, "the message was not complete in time (send it faster or raise the limit)")
            }
            ReadError::BodyBudgetExhausted => write!(f, "too many bodies are buffered (retry later)"),
        }
    }
}

impl std::error::Error for ReadError {}

impl From<io::Error> for ReadError {
    fn from(_: io::Error) -> Self {
        ReadError::Interrupted
    }
}

impl From<MessageError> for ReadError {
    fn from(error: MessageError) -> Self {
        ReadError::Invalid(error)
    }
}
