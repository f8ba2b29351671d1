//! The configuration of a member. All times follow from one figure, the protocol period, as in SWIM; the factors are in
//! [`crate::limits`].
use crate::time::Micros;
use crate::wire::Fleet;

/// What a member is configured with.
#[derive(Clone, Debug)]
pub struct Config {
    /// Its fleet, distinguished from others by [`crate::wire::Fleet::new`].
    pub fleet: Fleet,
    /// The protocol period, in microseconds: 10 ms to 60 s.
    pub period: Micros,
    /// A failed member is forgotten after this, in microseconds, by those who see most of the fleet.
    pub forget_after: Micros,
    /// How the member is broken on purpose, to show that the checker sees it; without the feature `mutants` nothing heeds it.
    pub mutant: Option<Mutant>,
}

/// Ways to break a member on purpose, each caught by a script (`crates/tools/scenario-runner/tests/fleet.rs`).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutant {
    /// It does not refute what is said of it.
    NoRefutation,
    /// Its start is not counted: it says what it said before.
    IncarnationNotKept,
    /// Who it is follows from its name.
    IdentityByName,
    /// Nobody else is asked to probe.
    NoIndirectProbes,
    /// Its local health multiplier stays 0.
    NoLocalHealth,
    /// Drains heard from others are forgotten in time.
    DrainsExpire,
    /// Only the living count as sending.
    FailedNotCounted,
}

impl Config {
    pub(crate) fn has_mutant(&self, by: Mutant) -> bool {
        cfg!(feature = "mutants") && self.mutant == Some(by)
    }

    /// How long an acknowledgement is waited for before others are asked to probe.
    pub fn ping_timeout(&self) -> Micros {
        self.period * 3 / 10
    }
}
