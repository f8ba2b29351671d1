//! The configuration of a member. All timeouts derive from the protocol period, as in SWIM; the factors are in
//! [`crate::limits`].
use crate::time::Micros;
use crate::wire::Fleet;

/// Configuration of a member.
#[derive(Clone, Debug)]
pub struct Config {
    /// The fleet that the member belongs to; datagrams of other fleets are rejected.
    pub fleet: Fleet,
    /// The protocol period, in microseconds: 10 ms to 60 s.
    pub period: Micros,
    /// How long a failed or departed member stays in the table, in microseconds. Failed members are removed only by members
    /// that see a majority of the fleet.
    pub forget_after: Micros,
    /// Injected defect, to verify that the checker detects it; ignored without the feature `mutants`.
    pub mutant: Option<Mutant>,
}

/// Injected defects, each detected by a scenario (`crates/tools/scenario-runner/tests/mutants.rs`).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutant {
    /// Suspicions of this member are not refuted.
    NoRefutation,
    /// Every start uses the incarnations of the first one.
    IncarnationNotKept,
    /// The identity is derived from the name.
    IdentityByName,
    /// No ping-req is sent.
    NoIndirectProbes,
    /// The local health multiplier stays 0, and pauses of the process are not detected.
    NoLocalHealth,
    /// Reported drains expire.
    DrainsExpire,
    /// Failed members are left out of the number of senders.
    FailedNotCounted,
}

impl Config {
    pub(crate) fn has_mutant(&self, by: Mutant) -> bool {
        cfg!(feature = "mutants") && self.mutant == Some(by)
    }

    /// How long to wait for the ack of a direct ping before sending ping-reqs.
    pub fn ping_timeout(&self) -> Micros {
        self.period * 3 / 10
    }
}
