//! The faults that are drawn. How each ends is written in `fault_end`.

use crate::event::{Event, FaultEnd};
use crate::report::FaultKind;
use crate::world::World;
use silvercross_time::Duration;

/// The next fault strikes before this where faults come close together.
const MAX_SHORT_FAULT_PAUSE: Duration = Duration::from_millis(50);
/// Or before this.
const MAX_FAULT_PAUSE: Duration = Duration::from_millis(1_200);
/// After a power loss of all, each starts again before this.
const MAX_POWER_LOSS: Duration = Duration::from_secs(1);
/// After the loss of its disk a node starts again before this.
const MAX_WIPE_DOWNTIME: Duration = Duration::from_millis(300);
/// The grace period of a graceful stop, at least and less than.
const GRACE_PERIOD: [Duration; 2] = [Duration::from_millis(200), Duration::from_millis(3_500)];
/// A node that stopped gracefully starts again no sooner than this after its end.
const RESTART_MARGIN: Duration = Duration::from_millis(100);
/// The grace period of a sidecar's graceful stop.
const SIDECAR_GRACE_PERIOD: Duration = Duration::from_millis(500);
/// A sidecar that stopped gracefully starts again no sooner than this after it began to stop.
const SIDECAR_RESTART_DELAY: Duration = Duration::from_millis(700);

/// Nodes on the two sides of a drawn partition.
struct Sides {
    these: Vec<usize>,
    those: Vec<usize>,
    kind: FaultKind,
}

impl World {
    /// Draws how long a fault lasts.
    fn draw_fault_span(&mut self) -> Duration {
        let (low, high) = match self.rng.below(6) {
            0 => (2_000, 9_000),
            1 => (10, 100),
            _ => (100, 2_500),
        };
        self.rng.duration(Duration::from_millis(low), Duration::from_millis(high))
    }

    /// The next fault strikes, and the one after it is drawn.
    pub(crate) fn strike(&mut self) {
        if self.now >= self.stop_at {
            return;
        }
        let has_open_calls = self.has_open_calls();
        if let Some(kind) = self.draw_fault() {
            self.note(|| format!("that was: {kind}"));
            *self.report.faults.entry(kind).or_default() += 1;
            self.report.faults_during_calls += u64::from(has_open_calls);
            let is_joint = self.newest_replica_set().is_some_and(|set| set.is_joint());
            self.report.faults_in_joint_sets += u64::from(is_joint);
        }
        let most = if self.rng.one_in(3) { MAX_SHORT_FAULT_PAUSE } else { MAX_FAULT_PAUSE };
        let pause = self.rng.duration(Duration::ZERO, most);
        self.after(pause, Event::FaultStrikes);
    }

    /// Draws a fault; none where it could not strike.
    fn draw_fault(&mut self) -> Option<FaultKind> {
        match self.rng.below(21) {
            20 => self.fill_disk(),
            0..=2 => self.crash_one(),
            3 => self.cut_power(),
            4 | 5 => self.wipe_one(),
            6 | 7 => self.freeze_one(),
            8..=12 => self.partition(),
            13 => self.lose_for_good(),
            14 => self.stop_one(),
            15 => self.point_seeds_at_unreachable(),
            _ => self.disturb_sidecar(),
        }
    }

    fn draw_control_node(&mut self) -> usize {
        self.rng.index(self.control_node_count())
    }

    fn draw_sidecar(&mut self) -> usize {
        let control_nodes = self.control_node_count();
        control_nodes + self.rng.index(self.nodes.len() - control_nodes)
    }

    fn crash_one(&mut self) -> Option<FaultKind> {
        let node = self.draw_control_node();
        let power_lost = self.rng.one_in(3);
        let span = self.draw_fault_span();
        self.crash(node, power_lost);
        self.end_fault_after(span, FaultEnd::Start(node));
        Some(if power_lost { FaultKind::PowerLost } else { FaultKind::Crash })
    }

    fn cut_power(&mut self) -> Option<FaultKind> {
        let is_one_spared = self.rng.one_in(2);
        let spared = is_one_spared.then(|| self.draw_control_node());
        for node in (0..self.control_node_count()).filter(|node| Some(*node) != spared) {
            self.crash(node, true);
            let span = self.rng.duration(Duration::ZERO, MAX_POWER_LOSS);
            self.end_fault_after(span, FaultEnd::Start(node));
        }
        Some(if is_one_spared { FaultKind::AllOtherPowerLost } else { FaultKind::AllPowerLost })
    }

    fn wipe_one(&mut self) -> Option<FaultKind> {
        let node = self.draw_control_node();
        if !self.is_loss_bearable(node) {
            return None;
        }
        self.crash(node, true);
        self.note(|| format!("wipe {node}"));
        self.nodes[node].storage.wipe();
        let span = self.rng.duration(Duration::ZERO, MAX_WIPE_DOWNTIME);
        self.end_fault_after(span, FaultEnd::Start(node));
        Some(FaultKind::DiskWiped)
    }

    fn freeze_one(&mut self) -> Option<FaultKind> {
        let node = self.rng.index(self.nodes.len());
        if self.nodes[node].is_frozen || !self.nodes[node].is_running() {
            return None;
        }
        let span = self.draw_fault_span();
        self.freeze(node);
        self.end_fault_after(span, FaultEnd::Unfreeze(node));
        Some(FaultKind::Freeze)
    }

    fn partition(&mut self) -> Option<FaultKind> {
        let both_ways = !self.rng.one_in(3);
        let (span, node) = (self.draw_fault_span(), self.draw_control_node());
        let Sides { these, those, kind } = self.draw_sides(node);
        let (these, those) = if self.rng.one_in(2) { (these, those) } else { (those, these) };
        let directions = self.cut_between(&these, &those, both_ways);
        if self.rng.one_in(6) {
            self.freeze(node);
            self.end_fault_after(span, FaultEnd::Unfreeze(node));
        }
        self.end_fault_after(span, FaultEnd::Heal(directions));
        Some(kind)
    }

    /// Draws who is partitioned from whom; `node` is the control node it is about.
    fn draw_sides(&mut self, node: usize) -> Sides {
        let (control_nodes, count) = (self.control_node_count(), self.nodes.len());
        let sides = |these, those, kind| Sides { these, those, kind };
        match self.rng.below(5) {
            0 => sides(vec![node], (0..control_nodes).collect(), FaultKind::CutFromControlNodes),
            1 => sides(vec![node], (0..count).collect(), FaultKind::CutFromAll),
            2 => {
                let mut these = vec![node];
                these.extend((control_nodes..count).filter(|_| self.rng.one_in(2)));
                let those = (0..count).filter(|other| !these.contains(other)).collect();
                sides(these, those, FaultKind::CutTogetherWithSidecars)
            }
            3 => sides(vec![node], vec![self.rng.index(count)], FaultKind::CutOfPair),
            _ => {
                let sidecar = self.draw_sidecar();
                let those = (0..control_nodes).filter(|_| self.rng.one_in(2)).collect();
                sides(vec![sidecar], those, FaultKind::SidecarCut)
            }
        }
    }

    fn fill_disk(&mut self) -> Option<FaultKind> {
        let node = self.draw_control_node();
        let span = self.draw_fault_span();
        self.note(|| format!("the disk of {node} is full"));
        self.nodes[node].storage.is_full = true;
        self.end_fault_after(span, FaultEnd::FreeDisk(node));
        Some(FaultKind::DiskFull)
    }

    fn lose_for_good(&mut self) -> Option<FaultKind> {
        let node = self.draw_control_node();
        if !self.is_replaceable(node) || !self.is_loss_bearable(node) {
            return None;
        }
        self.crash(node, true);
        self.nodes[node].storage.wipe();
        self.nodes[node].is_destroyed = true;
        Some(FaultKind::LostForGood)
    }

    fn stop_one(&mut self) -> Option<FaultKind> {
        let node = self.draw_control_node();
        let grace = self.rng.duration(GRACE_PERIOD[0], GRACE_PERIOD[1]);
        let for_good = self.rng.one_in(2) && self.is_replaceable(node) && self.is_loss_bearable(node);
        self.stop_gracefully(node, grace, for_good);
        if !for_good {
            let span = self.draw_fault_span();
            self.end_fault_after(grace + RESTART_MARGIN + span, FaultEnd::Start(node));
        }
        Some(FaultKind::GracefulStop)
    }

    fn point_seeds_at_unreachable(&mut self) -> Option<FaultKind> {
        let node = self.rng.index(self.nodes.len());
        let is_unreachable =
            |index: &usize| self.blocked[*index].contains(&true) || self.nodes[*index].is_frozen;
        let unreachable: Vec<usize> = (0..self.control_node_count()).filter(is_unreachable).collect();
        if unreachable.is_empty() {
            return None;
        }
        let seed = unreachable[self.rng.index(unreachable.len())];
        self.set_seeds(node, vec![seed]);
        let span = self.draw_fault_span();
        self.end_fault_after(span, FaultEnd::RestoreSeeds(node));
        Some(FaultKind::UnreachableSeeds)
    }

    fn disturb_sidecar(&mut self) -> Option<FaultKind> {
        let node = self.draw_sidecar();
        let seed_count = 1 + self.rng.index(2);
        let span = self.draw_fault_span();
        let seeds = (0..seed_count).map(|_| self.draw_control_node()).collect();
        self.nodes[node].seeds = seeds;
        if self.rng.one_in(4) {
            self.stop_gracefully(node, SIDECAR_GRACE_PERIOD, false);
            self.end_fault_after(SIDECAR_RESTART_DELAY + span, FaultEnd::Start(node));
            return Some(FaultKind::SidecarStop);
        }
        let power_lost = self.rng.one_in(4);
        self.crash(node, power_lost);
        self.end_fault_after(span, FaultEnd::Start(node));
        Some(FaultKind::SidecarRestart)
    }
}
