//! Checks of the workspace's own sources: what may import what, and how things are named.
//!
//! Each check is a function from source text to the violations it finds, so that a test can hand it a deliberately bad
//! snippet. The checks must not know what a package does; which package has to pass which check is said in [`packages`] alone.
//! Go on reading at [`packages`], then [`source`], then the check that failed: [`imports`], [`circles`], [`errors`], [`layers`] or
//! [`words`].
#![forbid(unsafe_code)]
#![deny(missing_docs, unreachable_pub)]
#![deny(clippy::too_many_lines, clippy::too_many_arguments)]

pub mod circles;
pub mod errors;
pub mod imports;
pub mod layers;
pub mod packages;
pub mod source;
pub mod tokens;
pub mod words;

use std::fmt;

/// One place in a source file that breaks a rule.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Violation {
    /// The file, relative to its package.
    pub file: String,
    /// The line, from 1 on; 0 where the rule is about the file as a whole.
    pub line: usize,
    /// What was found and what to do about it.
    pub what: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.file, self.line, self.what)
    }
}
