//! Changes that the owner of quota states proposes as time passes.

use crate::config::QuotaConfig;
use crate::protocol::{Change, OperationId};
use crate::state::QuotaState;
use silvercross_time::{Duration, Instant};
use std::collections::{BTreeMap, BTreeSet};

/// How often per window the owner records the elapsed time. A change of owner lengthens the window by at most one
/// such interval plus the time without an owner, and never shortens it.
pub const ELAPSED_REPORTS_PER_WINDOW: i64 = 32;
/// Time after which a proposal that did not take effect is repeated.
pub const PROPOSAL_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// A change for the owner to propose.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Proposal {
    /// The member whose quota state changes.
    pub member: String,
    /// The change.
    pub change: Change,
}

/// The current window of a member.
#[derive(Debug)]
struct TrackedWindow {
    window: u64,
    /// The timer's clock when `initial_elapsed` of the window had passed; `None` while the window is unused.
    since: Option<Duration>,
    initial_elapsed: Duration,
    recorded: Duration,
    length: Duration,
    /// The timer's clock when each open lease was first seen. At most [`crate::MAX_LEASES`].
    leases: BTreeMap<OperationId, Duration>,
    due: Duration,
}

impl TrackedWindow {
    fn elapsed(&self, clock: Duration) -> Duration {
        self.since.map_or(self.initial_elapsed, |since| self.initial_elapsed.saturating_add(clock - since))
    }

    fn report_interval(&self) -> Duration {
        (self.length / ELAPSED_REPORTS_PER_WINDOW).max(Duration::from_micros(1))
    }
}

/// Ends windows and expires leases of the quota states that this node owns. Its proposals are ordinary changes, so
/// the control store rejects those of a node that no longer owns the key. Tracks at most as many members as the
/// control store has keys.
///
/// The timer's clock is the sum of the times between steps, each counted up to the configuration's `max_step`: a jump
/// of the system clock, or a process that was frozen, neither ends a window nor expires a lease early.
#[derive(Debug)]
pub struct WindowTimer {
    config: QuotaConfig,
    last_step: Instant,
    /// Time passed since the timer was created, at most `max_step` for each step.
    clock: Duration,
    members: BTreeMap<String, TrackedWindow>,
    due: BTreeSet<(Duration, String)>,
}

impl WindowTimer {
    /// A timer without members.
    pub fn new(now: Instant, config: QuotaConfig) -> WindowTimer {
        WindowTimer {
            config,
            last_step: now,
            clock: Duration::ZERO,
            members: BTreeMap::new(),
            due: BTreeSet::new(),
        }
    }

    /// Observes a committed quota state that this node owns; to be called on taking ownership and after every change.
    /// A lease's time counts from when it is first seen here, which is never before its node asked for it.
    pub fn observe(&mut self, now: Instant, member: &str, state: &QuotaState) {
        self.step(now);
        let clock = self.clock;
        let length = state.allowance().map_or(Duration::MAX, |allowance| allowance.window_length);
        let new_window = |leases| TrackedWindow {
            window: state.window(),
            since: None,
            initial_elapsed: state.elapsed(),
            recorded: state.elapsed(),
            length,
            leases,
            due: Duration::MAX,
        };
        let tracked = self.members.entry(member.to_string()).or_insert_with(|| new_window(BTreeMap::new()));
        if tracked.window != state.window() {
            let leases = std::mem::take(&mut tracked.leases);
            self.due.remove(&(tracked.due, member.to_string()));
            *tracked = new_window(leases);
        }
        (tracked.length, tracked.recorded) = (length, tracked.recorded.max(state.elapsed()));
        if tracked.since.is_none() && state.is_used() {
            tracked.since = Some(clock);
        }
        let open: BTreeSet<OperationId> =
            state.leases().filter(|(_, lease)| !lease.is_lost).map(|(id, _)| id).collect();
        tracked.leases.retain(|id, _| open.contains(id));
        for id in open {
            tracked.leases.entry(id).or_insert(clock);
        }
        self.schedule(member, clock);
    }

    /// Stops tracking a member whose quota state this node no longer owns.
    pub fn forget(&mut self, member: &str) {
        if let Some(tracked) = self.members.remove(member) {
            self.due.remove(&(tracked.due, member.to_string()));
        }
    }

    /// Time left in the member's window.
    pub fn ends_in(&self, member: &str) -> Option<Duration> {
        let tracked = self.members.get(member)?;
        Some((tracked.length - tracked.elapsed(self.clock)).max(Duration::ZERO))
    }

    /// The changes to propose now.
    pub fn tick(&mut self, now: Instant) -> Vec<Proposal> {
        self.step(now);
        let clock = self.clock;
        let mut proposals = Vec::new();
        while let Some((due, member)) = self.due.first().cloned() {
            if due > clock {
                break;
            }
            self.due.pop_first();
            let Some(tracked) = self.members.get(&member) else { continue };
            let mut propose = |change| proposals.push(Proposal { member: member.clone(), change });
            for (lease, seen_at) in &tracked.leases {
                if clock - *seen_at >= self.expiry() {
                    propose(Change::ExpireLease { lease: *lease });
                }
            }
            let (elapsed, window) = (tracked.elapsed(clock), tracked.window);
            if elapsed >= tracked.length {
                propose(Change::EndWindow { window });
            } else if elapsed - tracked.recorded >= tracked.report_interval() {
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

    /// Time after which an unsettled lease is marked as lost.
    fn expiry(&self) -> Duration {
        self.config.lease_duration + self.config.expiry_margin
    }

    /// Schedules the member's next proposal, not before `from`.
    fn schedule(&mut self, member: &str, from: Duration) {
        let expiry = self.expiry();
        let Some(tracked) = self.members.get_mut(member) else { return };
        self.due.remove(&(tracked.due, member.to_string()));
        let lease_due = tracked.leases.values().min().map(|seen_at| *seen_at + expiry);
        let window_due = tracked.since.map(|since| {
            let at = tracked.length.min(tracked.recorded.saturating_add(tracked.report_interval()));
            since.saturating_add(at.saturating_add(-tracked.initial_elapsed))
        });
        let next = lease_due.into_iter().chain(window_due).min();
        tracked.due = next.map_or(Duration::MAX, |due| due.max(from));
        if tracked.due < Duration::MAX {
            self.due.insert((tracked.due, member.to_string()));
        }
    }
}
