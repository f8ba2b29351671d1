//! What the owner of counts has to propose by its clock.

use crate::config::QuotaConfig;
use crate::protocol::{Change, OperationId};
use crate::state::QuotaState;
use silvercross_time::{Duration, Instant};
use std::collections::{BTreeMap, BTreeSet};

/// How often in a window the owner records how much of it has gone by. An owner's end makes the window longer by one such step
/// at most, and by the time without an owner; never shorter.
pub const ELAPSED_REPORTS_PER_WINDOW: i64 = 32;
/// What was proposed and did not show in the count is proposed again after this.
pub const PROPOSAL_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// A change that the owner is to propose.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Proposal {
    /// Of whose count.
    pub member: String,
    /// What to change.
    pub change: Change,
}

/// One member's window.
#[derive(Debug)]
struct Watch {
    window: u64,
    /// When the window had `base` behind it, by the guarded clock; `None` while nobody uses it.
    since: Option<Duration>,
    base: Duration,
    recorded: Duration,
    length: Duration,
    /// When each open lease was first seen, by the guarded clock. At most [`crate::MAX_LEASES`].
    leases: BTreeMap<OperationId, Duration>,
    due: Duration,
}

impl Watch {
    fn elapsed(&self, clock: Duration) -> Duration {
        self.since.map_or(self.base, |since| self.base.saturating_add(clock - since))
    }

    fn report_interval(&self) -> Duration {
        (self.length / ELAPSED_REPORTS_PER_WINDOW).max(Duration::from_micros(1))
    }
}

/// Ends the windows and expires the leases of the counts that this node owns. What it proposes is a change like any other: one
/// that no longer owns the key is rejected by the control store. At most as many members as that has keys.
///
/// Its time is the sum of what passes between two steps, each counted up to the configuration's `max_step`: a clock that leaps,
/// or a process that was frozen, ends no window early and expires no lease early.
#[derive(Debug)]
pub struct WindowTimer {
    config: QuotaConfig,
    last_step: Instant,
    /// The guarded clock: what has passed since the beginning.
    clock: Duration,
    members: BTreeMap<String, Watch>,
    due: BTreeSet<(Duration, String)>,
}

impl WindowTimer {
    /// Owns nothing yet.
    pub fn new(now: Instant, config: QuotaConfig) -> WindowTimer {
        WindowTimer {
            config,
            last_step: now,
            clock: Duration::ZERO,
            members: BTreeMap::new(),
            due: BTreeSet::new(),
        }
    }

    /// A count that this node owns, as it is committed: at the taking over and after every change. Each lease's time is counted
    /// from when it is first seen here, which is never before it was asked for.
    pub fn observe(&mut self, now: Instant, member: &str, state: &QuotaState) {
        self.step(now);
        let clock = self.clock;
        let length = state.allowance().map_or(Duration::MAX, |allowance| allowance.window_length);
        let new_watch = |leases| Watch {
            window: state.window(),
            since: None,
            base: state.elapsed(),
            recorded: state.elapsed(),
            length,
            leases,
            due: Duration::MAX,
        };
        let watch = self.members.entry(member.to_string()).or_insert_with(|| new_watch(BTreeMap::new()));
        if watch.window != state.window() {
            let leases = std::mem::take(&mut watch.leases);
            self.due.remove(&(watch.due, member.to_string()));
            *watch = new_watch(leases);
        }
        (watch.length, watch.recorded) = (length, watch.recorded.max(state.elapsed()));
        if watch.since.is_none() && state.is_used() {
            watch.since = Some(clock);
        }
        let open: BTreeSet<OperationId> =
            state.leases().filter(|(_, lease)| !lease.is_lost).map(|(id, _)| id).collect();
        watch.leases.retain(|id, _| open.contains(id));
        for id in open {
            watch.leases.entry(id).or_insert(clock);
        }
        self.schedule(member, clock);
    }

    /// A count that this node owns no more.
    pub fn forget(&mut self, member: &str) {
        if let Some(watch) = self.members.remove(member) {
            self.due.remove(&(watch.due, member.to_string()));
        }
    }

    /// How long the member's window still runs.
    pub fn ends_in(&self, member: &str) -> Option<Duration> {
        let watch = self.members.get(member)?;
        Some((watch.length - watch.elapsed(self.clock)).max(Duration::ZERO))
    }

    /// What is to be proposed now.
    pub fn tick(&mut self, now: Instant) -> Vec<Proposal> {
        self.step(now);
        let clock = self.clock;
        let mut proposals = Vec::new();
        while let Some((due, member)) = self.due.first().cloned() {
            if due > clock {
                break;
            }
            self.due.pop_first();
            let Some(watch) = self.members.get(&member) else { continue };
            let mut propose = |change| proposals.push(Proposal { member: member.clone(), change });
            for (lease, seen_at) in &watch.leases {
                if clock - *seen_at >= self.expiry() {
                    propose(Change::ExpireLease { lease: *lease });
                }
            }
            let (elapsed, window) = (watch.elapsed(clock), watch.window);
            if elapsed >= watch.length {
                propose(Change::EndWindow { window });
            } else if elapsed - watch.recorded >= watch.report_interval() {
                propose(Change::RecordElapsed { window, elapsed });
            }
            self.schedule(&member, clock + PROPOSAL_RETRY_INTERVAL);
        }
        proposals
    }

    fn step(&mut self, now: Instant) {
        self.clock += (now - self.last_step).max(Duration::ZERO).min(self.config.max_step);
        self.last_step = now;
    }

    /// A lease is held for lost so long after it was first seen.
    fn expiry(&self) -> Duration {
        self.config.lease_duration + self.config.expiry_margin
    }

    /// The next moment, not before `from`, at which something is to be proposed.
    fn schedule(&mut self, member: &str, from: Duration) {
        let expiry = self.expiry();
        let Some(watch) = self.members.get_mut(member) else { return };
        self.due.remove(&(watch.due, member.to_string()));
        let lease_due = watch.leases.values().min().map(|seen_at| *seen_at + expiry);
        let window_due = watch.since.map(|since| {
            let at = watch.length.min(watch.recorded.saturating_add(watch.report_interval()));
            since.saturating_add(at.saturating_add(-watch.base))
        });
        let next = lease_due.into_iter().chain(window_due).min();
        watch.due = next.map_or(Duration::MAX, |due| due.max(from));
        if watch.due < Duration::MAX {
            self.due.insert((watch.due, member.to_string()));
        }
    }
}
