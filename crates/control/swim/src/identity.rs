//! Member identities and incarnations. An identity is generated at the first start and stored in the member's data folder. Names
//! and addresses may be reused; an identity whose folder was lost is never used again.
use serde::{Deserialize, Serialize};
use std::fmt;

/// Identity of a member: 64 random bits, generated once, never 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Identity(pub u64);

impl fmt::Display for Identity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Parse error of [`Identity`]: expected 16 hexadecimal digits, not all 0.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidIdentity {
    /// The rejected text.
    pub text: String,
}

impl fmt::Display for InvalidIdentity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "invalid identity {:?}: expected 16 hexadecimal digits, not all 0", self.text)
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

/// Incarnation number of a member (SWIM, 4.2). The upper 32 bits count the starts of the process from its folder, the lower 32
/// bits the refutations since that start. Incarnations of a later start are greater than all earlier ones, so a refutation
/// needs no write to disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

impl Incarnation {
    /// The first incarnation of a start of the process; starts are numbered from 1.
    pub fn at_start(start_number: u32) -> Self {
        Incarnation(u64::from(start_number) << 32)
    }

    /// Number of the start that this incarnation belongs to.
    pub fn start_number(self) -> u32 {
        (self.0 >> 32) as u32
    }

    /// An incarnation of the same start whose refutation count is greater than that of `self` and `seen`. The count saturates
    /// at its maximum, so it never overflows into the next start.
    pub fn above(self, seen: Incarnation) -> Self {
        let low = (self.0.max(seen.0) & 0xffff_ffff).saturating_add(1).min(0xffff_ffff);
        Incarnation((self.0 & !0xffff_ffff) | low)
    }
}
