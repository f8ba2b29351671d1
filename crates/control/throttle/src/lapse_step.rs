//! The next change of a lapse, and whether it is due.

use silvercross_time::{Duration, Instant};

use crate::lapse::{LapseChange, LapseState};
use crate::member::{LapseTime, Member};
use crate::timer_decision::{TimerDecision, WaitingFor};
use crate::trusted_clock::TrustedClock;
use crate::unix_time::UnixTime;

/// Time after which the clock is checked again if it has no trusted time.
pub const CLOCK_RECHECK_INTERVAL: Duration = Duration::from_secs(5);
/// Longest wait for the time of a lapse before it is checked again, because the wall clock may be set meanwhile.
pub const MAX_SLEEP: Duration = Duration::from_secs(600);

/// Inputs of the decision on the next change.
pub(crate) struct StepContext<'a> {
    pub(crate) now: Instant,
    /// The key's committed state.
    pub(crate) state: &'a LapseState,
    /// The member's current item.
    pub(crate) member: &'a Member,
    pub(crate) clock: &'a TrustedClock,
    /// When the state was first seen.
    pub(crate) since: Instant,
    /// Step count used by a mutation in place of the committed one.
    pub(crate) steps_seen: Option<u32>,
}

impl StepContext<'_> {
    /// Waits for a wall clock time; `None` once it is reached.
    fn wait_until(&self, at: UnixTime) -> Option<TimerDecision> {
        match self.clock.wall_time(self.now) {
            Some(time) if time >= at => None,
            Some(time) => {
                let sleep = at.saturating_since(time).min(MAX_SLEEP);
                Some(TimerDecision::rest_until(self.now.saturating_add(sleep), WaitingFor::LapseTime))
            }
            None => Some(self.wait_for_clock()),
        }
    }

    fn wait_for_clock(&self) -> TimerDecision {
        let recheck = self.now.saturating_add(CLOCK_RECHECK_INTERVAL);
        TimerDecision::rest_until(recheck, WaitingFor::TrustedTime)
    }
}

/// Decides the next change, or what to wait for.
pub(crate) fn decide_step(context: &StepContext<'_>) -> TimerDecision {
    let StepContext { state, member, .. } = context;
    let version = member.version;
    if state.version > Some(version) {
        return TimerDecision::rest(WaitingFor::Item);
    }
    if state.version < Some(version) {
        return decide_renewal(context);
    }
    let Some(lapse_time) = member.lapse_time else { return TimerDecision::rest(WaitingFor::Nothing) };
    if !state.begun {
        return decide_begin(context, lapse_time);
    }
    if state.step >= state.total_steps {
        return TimerDecision::rest(WaitingFor::Nothing);
    }
    let step_length = member.throttle.ramp / i64::from(state.total_steps.max(1));
    let step_ends = context.since.saturating_add(step_length);
    if context.now < step_ends {
        return TimerDecision::rest_until(step_ends, WaitingFor::Step);
    }
    let step = context.steps_seen.unwrap_or(state.step);
    TimerDecision::propose(LapseChange::Step { version, to: step + 1 })
}

/// Decides for an item that is newer than the key's state.
fn decide_renewal(context: &StepContext<'_>) -> TimerDecision {
    let StepContext { state, member, .. } = context;
    let renew = LapseChange::Renew { version: member.version, total_steps: member.throttle.steps };
    // A key that was never written stays unwritten until the member lapses, so that most members use no space in the
    // control store.
    match member.lapse_time {
        _ if state.version.is_some() => TimerDecision::propose(renew),
        None => TimerDecision::rest(WaitingFor::Nothing),
        Some(LapseTime::In(_)) => TimerDecision::propose(renew),
        Some(LapseTime::At(at)) => context.wait_until(at).unwrap_or_else(|| TimerDecision::propose(renew)),
    }
}

fn decide_begin(context: &StepContext<'_>, lapse_time: LapseTime) -> TimerDecision {
    let version = context.member.version;
    let at = match (lapse_time, context.state.due) {
        (LapseTime::At(at), _) | (LapseTime::In(_), Some(at)) => at,
        (LapseTime::In(span), None) => {
            return match context.clock.wall_time(context.now) {
                Some(time) => {
                    TimerDecision::propose(LapseChange::Due { version, at: time.saturating_add(span) })
                }
                None => context.wait_for_clock(),
            }
        }
    };
    context.wait_until(at).unwrap_or_else(|| TimerDecision::propose(LapseChange::Begin { version }))
}
