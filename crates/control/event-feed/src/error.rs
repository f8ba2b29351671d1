//! Why the text of a cursor can't be read.
use std::fmt;

/// Why the text of a cursor can't be read. The reader's mend is the same for all: begin without a cursor, from a snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CursorError {
    /// Longer than any cursor that is written.
    TooLong,
    /// A character outside of the alphabet of base64url (RFC 4648, section 5).
    BadCharacter,
    /// Too short to hold its check sum.
    TooShort,
    /// The check sum is of another text.
    BadChecksum,
    /// Written in a format that this version does not know.
    UnknownFormat,
    /// The check sum is right, and the content contradicts itself.
    Malformed,
}

impl CursorError {
    fn cause(self) -> &'static str {
        match self {
            CursorError::TooLong => "it is too long",
            CursorError::BadCharacter => "a letter is foreign",
            CursorError::TooShort => "it is cut short",
            CursorError::BadChecksum => "it is cut short or changed",
            CursorError::UnknownFormat => "it is of another version",
            CursorError::Malformed => "it does not hold together",
        }
    }
}

impl fmt::Display for CursorError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the cursor can't be read: {} (begin without one, from a snapshot)", self.cause())
    }
}

impl std::error::Error for CursorError {}
