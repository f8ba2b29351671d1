//! What happened in a schedule, counted.

use silvercross_time::{Duration, Instant};
use std::collections::BTreeMap;
use std::fmt;

/// A fault as it is drawn.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FaultKind {
    /// A control node's process ends.
    Crash,
    /// A control node loses power.
    PowerLost,
    /// All control nodes lose power.
    AllPowerLost,
    /// All control nodes but one lose power.
    AllOtherPowerLost,
    /// A control node loses its disk and starts again.
    DiskWiped,
    /// A control node's disk has no space.
    DiskFull,
    /// A process freezes.
    Freeze,
    /// A control node is partitioned from the others.
    CutFromControlNodes,
    /// A control node is partitioned from all.
    CutFromAll,
    /// A control node and some sidecars are partitioned from all others.
    CutTogetherWithSidecars,
    /// A control node and one other node are partitioned from each other.
    CutOfPair,
    /// A sidecar is partitioned from some control nodes.
    SidecarCut,
    /// A control node is lost for good.
    LostForGood,
    /// A control node stops gracefully.
    GracefulStop,
    /// A node knows only control nodes that are partitioned or frozen.
    UnreachableSeeds,
    /// A sidecar stops gracefully.
    SidecarStop,
    /// A sidecar restarts.
    SidecarRestart,
}

impl fmt::Display for FaultKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            FaultKind::Crash => "crash",
            FaultKind::PowerLost => "power lost",
            FaultKind::AllPowerLost => "power of all",
            FaultKind::AllOtherPowerLost => "power of all others",
            FaultKind::DiskWiped => "wipe",
            FaultKind::DiskFull => "disk full",
            FaultKind::Freeze => "freeze",
            FaultKind::CutFromControlNodes => "cut from the control nodes",
            FaultKind::CutFromAll => "cut from all",
            FaultKind::CutTogetherWithSidecars => "cut off together with sidecars",
            FaultKind::CutOfPair => "cut of a pair",
            FaultKind::SidecarCut => "sidecar cut",
            FaultKind::LostForGood => "lost for good",
            FaultKind::GracefulStop => "graceful stop",
            FaultKind::UnreachableSeeds => "seeds that are cut off",
            FaultKind::SidecarStop => "sidecar leaves",
            FaultKind::SidecarRestart => "sidecar restart",
        })
    }
}

/// What happened in a schedule.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Calls and reads sent.
    pub calls: u64,
    /// Of these, calls that were sent before.
    pub repeats: u64,
    /// Acknowledged.
    pub committed: u64,
    /// Acknowledged again.
    pub repeats_after_commit: u64,
    /// Rejected as conflicts.
    pub conflicts: u64,
    /// Rejected as invalid.
    pub invalid: u64,
    /// Answered that the outcome is not known.
    pub outcome_unknown: u64,
    /// Orders whose operators were asked again.
    pub orders_asked_again: u64,
    /// Not answered.
    pub unanswered: u64,
    /// Reads answered.
    pub reads: u64,
    /// Faults by kind.
    pub faults: BTreeMap<FaultKind, u64>,
    /// Faults that struck while a call was open.
    pub faults_during_calls: u64,
    /// Faults that struck while a replica was being replaced.
    pub faults_in_joint_sets: u64,
    /// Processes started on control nodes.
    pub control_starts: u64,
    /// Processes of sidecars started.
    pub sidecar_starts: u64,
    /// Processes that reported ready as current.
    pub ready_current: u64,
    /// Processes that reported ready by the wait limit.
    pub ready_wait_limit: u64,
    /// Processes that reported ready as configured.
    pub ready_configured: u64,
    /// Calls acknowledged while a running control node was partitioned from the others.
    pub acknowledged_past_a_cut: u64,
    /// Replica sets beyond the first.
    pub replica_set_changes: u64,
    /// The longest from a heal until all was at rest.
    pub rested_in: Duration,
    /// When it ended.
    pub ended_at: Instant,
}
