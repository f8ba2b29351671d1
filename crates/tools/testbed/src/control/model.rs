//! What can be played, at which size, and what a play showed.
use crate::checker::Verdict;
use crate::mesh::MeshPlan;
use std::collections::BTreeMap;
use std::time::Duration;

/// The grace of a planned replacement, in seconds: a leaver goes as soon as it is replaced.
const GRACE_S: f64 = 6.0;
/// Machines with an upstream.
const SIDE_COUNT: usize = 3;

/// A play.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ControlPlay {
    /// The owner of the configuration is cut off.
    Cut,
    /// A control machine is replaced in plan and another one is lost meanwhile.
    Replace,
    /// The same, but the other one is lost once the leaver has gone.
    ReplaceThenLoss,
    /// A control machine restarts after many changes.
    Restart,
}

impl ControlPlay {
    /// All, in the order of the table.
    pub const ALL: [ControlPlay; 4] =
        [ControlPlay::Cut, ControlPlay::Replace, ControlPlay::ReplaceThenLoss, ControlPlay::Restart];

    /// Its name on the command line and in the table.
    pub fn name(self) -> &'static str {
        match self {
            ControlPlay::Cut => "cut",
            ControlPlay::Replace => "replace",
            ControlPlay::ReplaceThenLoss => "replace-then-loss",
            ControlPlay::Restart => "restart",
        }
    }

    /// The mesh that it is played on.
    pub(crate) fn plan(self) -> MeshPlan {
        let plan = MeshPlan { side_count: SIDE_COUNT, ..MeshPlan::default() };
        match self {
            ControlPlay::Cut => MeshPlan { has_links: true, ..plan },
            ControlPlay::Replace | ControlPlay::ReplaceThenLoss => {
                MeshPlan { spare_count: 1, ..plan }.with_bound("graceS", GRACE_S)
            }
            ControlPlay::Restart => plan,
        }
    }
}

/// Load during a play.
#[derive(Clone, Copy, Debug)]
pub struct PlayLoad {
    /// Clients on each side.
    pub clients_per_side: usize,
    /// Between two requests of a client.
    pub request_interval: Duration,
    /// Between two changes of the operator.
    pub change_interval: Duration,
}

/// How long a play goes on.
#[derive(Clone, Copy, Debug)]
pub struct PlayExtent {
    /// A cut lasts until so many changes were acknowledged by the others, and at least for the span `cut`.
    pub changes: u64,
    /// See `changes`.
    pub cut: Duration,
    /// Changes before a restart.
    pub changes_before_restart: u64,
    /// Load meanwhile.
    pub load: PlayLoad,
}

impl PlayExtent {
    /// The full size.
    pub const FULL: PlayExtent = PlayExtent {
        changes: 300,
        cut: Duration::from_secs(20),
        changes_before_restart: 300,
        load: PlayLoad {
            clients_per_side: 4,
            request_interval: Duration::from_millis(8),
            change_interval: Duration::from_millis(5),
        },
    };
    /// As CI plays it.
    pub const SHORT: PlayExtent = PlayExtent {
        changes: 20,
        cut: Duration::ZERO,
        changes_before_restart: 60,
        load: PlayLoad {
            clients_per_side: 1,
            request_interval: Duration::from_millis(40),
            change_interval: Duration::from_millis(20),
        },
    };
}

/// What a play showed.
#[derive(Debug, Default)]
pub struct PlayResult {
    /// What clients saw, and all faults.
    pub verdict: Verdict,
    /// Changes that were acknowledged.
    pub changes: u64,
    /// What a machine that was cut off answered, and how often.
    pub cut_off: BTreeMap<String, u64>,
    /// Figures to be reported, in words; nothing goes by them.
    pub figures: Vec<String>,
}
