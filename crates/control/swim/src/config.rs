//! What a member keeps to. Times follow from one figure, the protocol period, as in SWIM.
use crate::Micros;

/// Members of a fleet that are known at once, left and failed ones included; at it a new one is not taken in, and counted.
pub const MEMBERS_MOST: usize = 2_048;
/// A member's name is no longer, in bytes.
pub const NAME_MOST: usize = 64;
/// Drains that are held at once; at it the oldest by its list's version makes room.
pub const DRAINS_MOST: usize = 4_096;
/// Rumours that still have to be told; at it the most told one makes room.
pub const RUMOURS_MOST: usize = 4_096;
/// Probes made on behalf of others at once; at it another's is not made.
pub const RELAYED_MOST: usize = 64;
/// Datagrams that wait to be sent; at it a further one is dropped, as a network would.
pub const WAITING_MOST: usize = 256;
/// Messages of one member that are heard in a period; a healthy one sends a tenth of that to all others together.
pub const TALK_MOST: u32 = 256;
/// Members asked to probe another one (SWIM's k).
pub const INDIRECT: usize = 3;
/// Members told of a rumour in one round of gossip.
pub const FANOUT: usize = 3;
/// Rounds of gossip in a period, while there is something to tell.
pub const ROUNDS: Micros = 5;
/// A rumour is told so often for each doubling of the fleet (SWIM's lambda).
pub const RETELL: u32 = 4;
/// Least time of a suspicion, in periods, for each tenfold of the fleet (Lifeguard's alpha).
pub const ALPHA: f64 = 4.0;
/// Longest time of a suspicion, in least times (Lifeguard's beta).
pub const BETA: f64 = 6.0;
/// Independent suspicions that bring a suspicion down to its least time (Lifeguard's K).
pub const CONFIRMATIONS: usize = 3;
/// Most that a member doubts itself (Lifeguard's S).
pub const DOUBT_MOST: u32 = 8;
/// Whoever was heard of so many periods ago at most surely runs: two of one name are two.
pub const FIRST_HAND: Micros = 2;
/// A wait longer than meant by this part of a period was no wait: the process was stopped or starved.
pub const OVERSLEPT: Micros = 2;
/// A digest that differs in so many messages running asks for an exchange.
pub const APART: u32 = 8;
/// A drain is told again after so many periods, for as long as it is held.
pub const DRAIN_AGAIN: Micros = 10;
/// Seeds are asked again after so many periods while nobody else is known to live.
pub const SEEDS_AGAIN: Micros = 2;

/// And after so many otherwise, where nobody is known to live at their address.
pub const SEEDS_SELDOM: Micros = 20;

/// What a member is told of its fleet.
#[derive(Clone, Debug)]
pub struct Config {
    /// Its fleet, told from others by [`crate::wire::Fleet::new`].
    pub fleet: crate::wire::Fleet,
    /// The protocol period, in microseconds: 10 ms to 60 s.
    pub period: Micros,
    /// A failed member is forgotten after this, in microseconds, by those who see most of the fleet.
    pub forget: Micros,
    /// How the member is broken on purpose, to show that the judge sees it; without the feature `mutants` nothing heeds it.
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
    NoIndirect,
    /// It never doubts itself.
    NoDoubt,
    /// Drains heard from others are forgotten in time.
    DrainsExpire,
    /// Only the living count as sending.
    Halved,
}

impl Config {
    pub(crate) fn is_broken(&self, by: Mutant) -> bool {
        cfg!(feature = "mutants") && self.mutant == Some(by)
    }

    /// How long an acknowledgement is waited for before others are asked to probe.
    pub fn direct(&self) -> Micros {
        self.period * 3 / 10
    }
}
