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

impl std::str::FromStr for Identity {
    type Err = String;
    fn from_str(text: &str) -> Result<Self, String> {
        match u64::from_str_radix(text, 16) {
            Ok(n) if n != 0 && text.len() == 16 => Ok(Identity(n)),
            _ => Err(format!("{text:?} is no identity: 16 hexadecimal digits, not all 0")),
        }
    }
}

/// How new a member's word of itself is (SWIM, 4.2). The upper half counts the starts of the process from its folder, the
/// lower half its refutations since: what a process says is newer than all that any start before it said, without anything
/// being written when it refutes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

impl Incarnation {
    /// The first of a start of the process, counted from 1.
    pub fn of_life(life: u32) -> Self {
        Incarnation(u64::from(life) << 32)
    }

    /// Which start of the process it belongs to.
    pub fn life(self) -> u32 {
        (self.0 >> 32) as u32
    }

    /// One that is newer than `seen`, within the same start. A lower half that is used up stays at its end: four thousand
    /// million refutations are no fleet's.
    pub fn above(self, seen: Incarnation) -> Self {
        let low = (self.0.max(seen.0) & 0xffff_ffff).saturating_add(1).min(0xffff_ffff);
        Incarnation((self.0 & !0xffff_ffff) | low)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_later_start_is_newer_than_all_refutations_before_it() {
        let mut i = Incarnation::of_life(3);
        for _ in 0..1000 {
            i = i.above(i);
        }
        assert_eq!(i.life(), 3);
        assert!(Incarnation::of_life(4) > i && i > Incarnation::of_life(3));
        let at_end = Incarnation((3 << 32) | 0xffff_ffff);
        assert_eq!(i.above(at_end).life(), 3, "it never runs over into the next start");
    }

    #[test]
    fn an_identity_is_read_as_it_is_written() {
        let i = Identity(0xab);
        assert_eq!(i.to_string().parse(), Ok(i));
        for bad in ["", "0", "0000000000000000", "xyz", "1", "11112222333344445"] {
            assert!(bad.parse::<Identity>().is_err(), "{bad:?}");
        }
    }
}
