//! What can be played, and the member whose trial lapses.
use serde_json::{json, Value};
use std::path::PathBuf;

/// The member's name.
pub(crate) const MEMBER: &str = "workshop";
/// The header that names a member by its key.
pub(crate) const HEADER: &str = "Club";
/// The member's key.
pub(crate) const KEY: &str = "club-7";
/// Steps until reads are slowed in full.
pub(crate) const STEPS: u32 = 8;
/// How long the steps take together, in seconds.
pub(crate) const SPAN_S: f64 = 12.0;
/// A change is in force everywhere within this, in seconds: `editionS` of the settings.
pub(crate) const IN_FORCE_S: f64 = 2.5;

/// A play.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LapsePlay {
    /// Nothing breaks.
    Calm,
    /// The owner of the lapse is killed at each step.
    OwnerKilled,
    /// The owner is killed and loses its disk.
    ControlWiped,
    /// The owner stands still.
    ControlFrozen,
    /// A sidecar stands still.
    SideFrozen,
    /// Machines are stopped and started, one after another.
    RollingRestart,
    /// The trial is renewed half-way.
    Renewed,
    /// Two operators renew it at once.
    TwoOperators,
}

impl LapsePlay {
    /// All, in the order of the table.
    pub const ALL: [LapsePlay; 8] = [
        LapsePlay::Calm,
        LapsePlay::OwnerKilled,
        LapsePlay::ControlWiped,
        LapsePlay::ControlFrozen,
        LapsePlay::SideFrozen,
        LapsePlay::RollingRestart,
        LapsePlay::Renewed,
        LapsePlay::TwoOperators,
    ];

    /// Its name on the command line, in the table and in the names of plots.
    pub fn name(self) -> &'static str {
        match self {
            LapsePlay::Calm => "calm",
            LapsePlay::OwnerKilled => "owner-killed",
            LapsePlay::ControlWiped => "core-wiped",
            LapsePlay::ControlFrozen => "core-frozen",
            LapsePlay::SideFrozen => "side-frozen",
            LapsePlay::RollingRestart => "rolling-term",
            LapsePlay::Renewed => "renewed",
            LapsePlay::TwoOperators => "two-operators",
        }
    }
}

/// What is played.
#[derive(Clone, Debug)]
pub struct LapseOptions {
    /// The plays.
    pub plays: Vec<LapsePlay>,
    /// Where plots go, if any are drawn.
    pub plot_folder: Option<PathBuf>,
    /// Machines with an upstream.
    pub side_count: usize,
}

/// The call that makes the member one whose trial lapses in a second; the names in it are the wire's.
pub(crate) fn member_call() -> Value {
    let member = json!({ "name": MEMBER, "key": KEY, "plan": "trial", "lapsesInS": 1.0, "edition": 1,
        "slowing": { "fullShare": 0.5, "spanS": SPAN_S, "steps": STEPS } });
    json!({ "deliver": { "membership": { "header": HEADER, "edition": 1 }, "members": [member] } })
}
