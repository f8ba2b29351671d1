//! How a command ends, for people and for scripts.
use std::fmt;

/// Everything is as it was asked for.
pub const DONE: u8 = 0;
/// It was done, or looked at, and something is not as it should be: not in force everywhere, findings, overtaken.
pub const NOT_SO: u8 = 1;
/// The command line or a file can't be used; nothing was sent.
pub const UNUSABLE: u8 = 2;
/// Nobody answered, or nobody could settle it: it may or may not be in force.
pub const UNREACHED: u8 = 3;
/// The mesh refused it; nothing of it is in force.
pub const REFUSED: u8 = 4;

/// An end that is not the one asked for, with its code.
#[derive(Debug)]
pub struct End {
    /// One of the codes above.
    pub code: u8,
    /// What is wrong and, in brackets, the mend.
    pub why: String,
}

impl fmt::Display for End {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.why)
    }
}

impl std::error::Error for End {}

/// An end with this code.
pub fn end(code: u8, why: impl Into<String>) -> anyhow::Error {
    End { code, why: why.into() }.into()
}
