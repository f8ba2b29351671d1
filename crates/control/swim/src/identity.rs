//! What a member is, apart from what it is called and where it is. An identity is drawn at the first start and kept in the
//! member's folder: name and address may come back, an identity whose folder was lost never does.
use serde::{Deserialize, Serialize};
use std::fmt;

/// A member's identity: 64 bits, drawn once, never 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Identity(pub u64);

impl fmt::Display for Identity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// A text that is no [`Identity`]: write 16 hexadecimal digits, not all 0.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidIdentity {
    /// What was read.
    pub text: String,
}

impl fmt::Display for InvalidIdentity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} is no identity: 16 hexadecimal digits, not all 0", self.text)
    }
}

impl std::error::Error for InvalidIdentity {}

impl std::str::FromStr for Identity {
    type Err = InvalidIdentity;
    fn from_str(text: &str) -> Result<Self, InvalidIdentity> {
        match u64::from_str_radix(text, 16) {
            Ok(n) if n != 0 && text.len() == 16 => Ok(Identity(n)),
            _ => Err(InvalidIdentity { text: text.to_string() }),
        }
    }
}

/// How new a member's record is (SWIM, 4.2). The upper half counts the starts of the process from its folder, the
/// lower half its refutations since: what a process says is newer than all that any start before it said, without anything
/// being written when it refutes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

impl Incarnation {
    /// The first of a start of the process, counted from 1.
    pub fn at_start(start_number: u32) -> Self {
        Incarnation(u64::from(start_number) << 32)
    }

    /// Which start of the process it belongs to.
    pub fn start_number(self) -> u32 {
        (self.0 >> 32) as u32
    }

    /// One that is newer than `seen`, within the same start. A lower half that is used up stays at its end: four thousand
    /// million refutations are no fleet's.
    pub fn above(self, seen: Incarnation) -> Self {
        let low = (self.0.max(seen.0) & 0xffff_ffff).saturating_add(1).min(0xffff_ffff);
        Incarnation((self.0 & !0xffff_ffff) | low)
    }
}
