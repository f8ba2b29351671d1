//! What the sidecar beside an upstream (a station) lets through to it.
//!
//! The only way to a station leads through this process, so the rules about what reaches it are kept here exactly,
//! whatever the rest of the mesh believes: its id and service, its leaving, the evacuation of its zone, the rate it
//! bears while cold, the work it takes at a time, and that nothing that may run once is written twice.
//!
//! There is no clock, no thread and no I/O here: time comes with each call, and what is decided goes back as values.

mod cold;
mod controller;
mod seen;

pub use controller::AdmissionController;

/// A moment or a span in microseconds, by a clock that never steps.
pub type Micros = i64;

/// How many requests a station may hold beyond its slots.
pub const STATION_QUEUE: u32 = 2;
/// Slots beyond this count as this many, so that every queue here stays bounded.
pub const SLOTS_MOST: u32 = 4096;
/// The longest that a request waits here, however patient it is.
pub const WAIT_MOST: Micros = 10_000_000;
/// The most ids of requests that may run once and were begun here, kept to know them again. While as many are
/// younger than [`IDS_SPAN`], further requests that may run once are turned away as `Full`.
pub const IDS_MOST: usize = 65_536;
/// How long the id of such a request is kept after its end.
pub const IDS_SPAN: Micros = 60_000_000;

/// What the present life of the station says of itself in its beat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Facts {
    /// The id of this life.
    pub id: String,
    /// The service that it is of.
    pub service: String,
    /// How many requests it works on at a time.
    pub slots: u32,
}

/// Bounds that come from the settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// How long a leaving station may still be sent requests after the acknowledgement.
    pub drain: Micros,
    /// The factor on the cold rate that the rule allows.
    pub cold_overrun: f64,
    /// What the rule allows on top of that.
    pub cold_slack: f64,
}

/// The operator's item of the service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// The connections that the station accepts; 0: none known.
    pub line_cap: u32,
    /// The requests a second that it bears while cold; 0: none known.
    pub cold_rate: f64,
    /// How long it stays cold.
    pub cold_span: Micros,
}

/// A request that asks to be let through.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// The caller's handle; not in use by another that waits or is out.
    pub number: u64,
    /// The id of the try. Its length is the caller's to bound.
    pub id: String,
    /// The life that it is meant for, if it names one.
    pub expects: Option<String>,
    /// The service that it is meant for.
    pub service: String,
    /// Its rank; 0 goes first.
    pub priority: u32,
    /// It may run more than once.
    pub repeatable: bool,
    /// It is not the first send of its request.
    pub further: bool,
    /// The time left until its aim; may be negative.
    pub aim: Micros,
    /// How long it may wait here at most.
    pub patience: Micros,
    /// The time left until its deadline.
    pub deadline: Micros,
}

/// Why a request was turned away. Each but `Twice` is a promise that it was not begun here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Turned {
    /// There is no station, or it is silent or has signed off.
    NoStation,
    /// Another life or another service was asked for.
    Another,
    /// The station leaves and its time for new requests is over.
    Draining,
    /// The zone is evacuated.
    Evacuated,
    /// The station is cold and bears no more in time.
    Cold,
    /// The station has no place in time.
    Full,
    /// The id may run once, by its own word or that of the one before, and waits here, is out, or was written. No
    /// promise: it may have run.
    Twice,
    /// Its deadline has passed.
    Late,
}

/// What happens to an arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It may be written now.
    Go,
    /// It waits; an [`Effect`] with its number follows, unless the caller says that it is gone.
    Wait,
    /// It is turned away.
    Turn {
        /// For what reason.
        why: Turned,
        /// When to try here again at the earliest, if that is known.
        retry_after: Option<Micros>,
    },
}

/// What happens to one that waited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// The one with this number may be written now.
    Go(u64),
    /// It is turned away.
    Turn {
        /// The caller's handle.
        number: u64,
        /// For what reason.
        why: Turned,
        /// When to try here again at the earliest, if that is known.
        retry_after: Option<Micros>,
    },
}

/// Whether the station is there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Its last beat said so.
    Ready,
    /// It leaves; it may be sent requests until this moment.
    Draining(Micros),
    /// It has signed off.
    SignedOff,
    /// Nothing is heard of it.
    Silent,
}

/// The station as it is known here.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Station {
    /// What its last beat said.
    pub facts: Facts,
    /// Whether it is there.
    pub state: State,
    /// Whether its zone is evacuated.
    pub evacuated: bool,
    /// It counts as cold until this moment.
    pub cold_until: Micros,
}

/// Counts since the start, and what was learned.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Figures {
    /// Requests that asked.
    pub arrived: u64,
    /// Requests that were let through, at once or later.
    pub went: u64,
    /// Of these, those that were not the first send of their request.
    pub went_further: u64,
    /// Requests let through while the station counted as cold.
    pub went_cold: u64,
    /// Requests that had to wait.
    pub waited: u64,
    /// Requests that were given up by the caller while they waited.
    pub gone: u64,
    /// Requests turned away, in the order of [`Turned`].
    pub turned: [u64; 8],
    /// Requests that the station itself turned away.
    pub turned_by_station: u64,
    /// The smoothed time that a place is held; 0: none known.
    pub held: Micros,
    /// The most at the station at a time, as of the last call.
    pub limit: u32,
}
