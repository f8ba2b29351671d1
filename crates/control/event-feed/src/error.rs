//! Errors of cursor texts.
use std::fmt;

/// Why the text of a cursor is invalid. The remedy is the same for all: start without a cursor, from a snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CursorError {
    /// The text is longer than the limit.
    TooLong,
    /// A character is outside the alphabet of base64url (RFC 4648, section 5).
    BadCharacter,
    /// The text is too short to contain a checksum.
    TooShort,
    /// The checksum does not match.
    BadChecksum,
    /// The format version is not supported.
    UnknownFormat,
    /// The checksum matches, but the content is malformed.
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
