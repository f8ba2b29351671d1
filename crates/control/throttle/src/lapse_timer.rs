//! The duty of the owner of a member's key: which change to ask for next, and when to look again.

use std::collections::{BTreeMap, BTreeSet};

use silvercross_control_store::{Epoch, Micros};

use crate::item::{LapseTime, Member, MAX_MEMBERS};
use crate::lapse::{LapseChange, LapseState};
use crate::mutation::Mutation;
use crate::trusted_clock::TrustedClock;

/// A change that was asked for and does not show is asked for again after this long.
pub const PROPOSAL_RETRY_INTERVAL: Micros = 1_000_000;
/// Where the time of day is not to be believed, it is looked at again after this long.
pub const CLOCK_RECHECK_INTERVAL: Micros = 5_000_000;
/// A lapse that is further off is looked at again after this long: the time of day may be set in between.
pub const MAX_SLEEP: Micros = 600_000_000;

/// What a lapse waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitingFor {
    /// For nothing: it is over, or the member has no trial.
    Nothing,
    /// For a newer item to arrive here.
    Item,
    /// For the instant of its lapse.
    LapseTime,
    /// For a time of day that can be believed.
    TrustedTime,
    /// For the span of the step in force.
    Step,
    /// For a change that was asked for.
    Answer,
}

/// What the owner is to do for one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TimerDecision {
    /// The change to ask the ledger for, under the epoch that was handed in.
    pub proposal: Option<LapseChange>,
    /// When to look again at the latest; earlier when page, item or epoch change.
    pub next_deadline: Option<Micros>,
    /// Why.
    pub waiting_for: WaitingFor,
}

#[derive(Clone, Debug)]
struct Seen {
    epoch: Epoch,
    page: LapseState,
    /// When this page was first seen under this epoch.
    at: Micros,
    asked: Option<(LapseChange, Micros)>,
    next_deadline: Option<Micros>,
    /// Steps seen under this epoch; only a broken clerk counts by it.
    steps: u32,
}

/// The owner's memory of the lapses it looks after. At most [`MAX_MEMBERS`] keys; beyond it a key is not looked after
/// (its member stays as it is), which [`TimerDecision::waiting_for`] tells as waiting for its item.
///
/// The instant of a lapse is by the time of day that [`TrustedClock`] believes. From then on each step follows a span after the
/// owner saw the one before, on its monotonic clock. A new owner, or the same one under a new epoch or after a restart,
/// begins the span of the step in force anew: a step may last longer for that, at most a span for each change of owner,
/// and never less.
#[derive(Clone, Debug, Default)]
pub struct LapseTimer {
    seen: BTreeMap<String, Seen>,
    queue: BTreeSet<(Micros, String)>,
    mutant: Option<Mutation>,
}

impl LapseTimer {
    /// A clerk that has seen nothing.
    pub fn new() -> LapseTimer {
        LapseTimer::default()
    }

    /// Breaks a rule on purpose.
    #[cfg(feature = "mutants")]
    #[doc(hidden)]
    pub fn set_mutation(&mut self, mutant: Mutation) {
        self.mutant = Some(mutant);
    }

    fn is(&self, mutant: Mutation) -> bool {
        cfg!(feature = "mutants") && self.mutant == Some(mutant)
    }

    /// What to do for the member `name`, of whose key this node is the owner under `epoch`. `page` is the key's committed
    /// content, `member` the item in force, `clock` has been read just now. To be called when any of them changes, when
    /// [`LapseTimer::due`] names the key, and after a refusal; calling it more often does no harm.
    pub fn decide(
        &mut self,
        now: Micros,
        name: &str,
        epoch: Epoch,
        page: &LapseState,
        member: Option<&Member>,
        clock: &TrustedClock,
    ) -> TimerDecision {
        let Some(member) = member else {
            self.forget(name);
            return TimerDecision { proposal: None, next_deadline: None, waiting_for: WaitingFor::Nothing };
        };
        if !self.seen.contains_key(name) && self.seen.len() >= MAX_MEMBERS {
            return TimerDecision { proposal: None, next_deadline: None, waiting_for: WaitingFor::Item };
        }
        let before = self.seen.remove(name);
        if let Some(at) = before.as_ref().and_then(|seen| seen.next_deadline) {
            self.queue.remove(&(at, name.to_string()));
        }
        let mut seen = before.filter(|seen| seen.epoch == epoch);
        if let Some(seen) = seen.as_mut().filter(|seen| seen.page != *page) {
            seen.steps += u32::from(seen.page.step < page.step);
            (seen.page, seen.at, seen.asked) = (page.clone(), now, None);
        }
        let doubled = self.is(Mutation::StepDoubledAtHandOver);
        let mut seen = seen.unwrap_or_else(|| Seen {
            epoch,
            page: page.clone(),
            at: if doubled { Micros::MIN / 2 } else { now },
            asked: None,
            next_deadline: None,
            steps: 0,
        });
        let own = self.is(Mutation::StepLostAtHandOver).then_some(seen.steps);
        let mut advice = advise(now, page, member, clock, seen.at, own);
        if let Some(change) = advice.proposal.take() {
            // An instant that was asked for is asked for again as it was, however late it is by now.
            let same = |asked: &LapseChange| std::mem::discriminant(asked) == std::mem::discriminant(&change);
            let asked =
                seen.asked.take().filter(|(asked, _)| same(asked) && asked.version() == change.version());
            let (change, at) = asked.unwrap_or((change, Micros::MIN / 2));
            let again = at.saturating_add(PROPOSAL_RETRY_INTERVAL);
            if now < again {
                advice.next_deadline = Some(again);
                seen.asked = Some((change, at));
            } else {
                advice.next_deadline = Some(now.saturating_add(PROPOSAL_RETRY_INTERVAL));
                seen.asked = Some((change.clone(), now));
                advice.proposal = Some(change);
            }
        }
        seen.next_deadline = advice.next_deadline;
        if let Some(at) = advice.next_deadline {
            self.queue.insert((at, name.to_string()));
        }
        self.seen.insert(name.to_string(), seen);
        advice
    }

    /// The key is another's now, or its member is gone.
    pub fn forget(&mut self, name: &str) {
        if let Some(seen) = self.seen.remove(name) {
            if let Some(at) = seen.next_deadline {
                self.queue.remove(&(at, name.to_string()));
            }
        }
    }

    /// When to ask for [`LapseTimer::due`] next.
    pub fn next_deadline(&self) -> Option<Micros> {
        self.queue.first().map(|(at, _)| *at)
    }

    /// Up to `most` members to decide for now, the longest due first. Each stays due until decided for or forgotten.
    pub fn due(&self, now: Micros, most: usize) -> Vec<String> {
        self.queue.iter().take_while(|(at, _)| *at <= now).take(most).map(|(_, name)| name.clone()).collect()
    }

    /// How many members are looked after.
    pub fn len(&self) -> usize {
        self.seen.len()
    }

    /// Whether none is looked after.
    pub fn is_empty(&self) -> bool {
        self.seen.is_empty()
    }
}

/// The next change, if it is time for it. `since` is when the page was first seen; `own` is a broken clerk's count.
fn advise(
    now: Micros,
    page: &LapseState,
    member: &Member,
    clock: &TrustedClock,
    since: Micros,
    own: Option<u32>,
) -> TimerDecision {
    let version = member.version;
    let proposal = |change| TimerDecision {
        proposal: Some(change),
        next_deadline: None,
        waiting_for: WaitingFor::Answer,
    };
    let rest = |waiting_for| TimerDecision { proposal: None, next_deadline: None, waiting_for };
    let until = |at: i64| match clock.wall_time(now) {
        Some(time) if time >= at => None,
        Some(time) => {
            let next_deadline = now.saturating_add(at.saturating_sub(time).min(MAX_SLEEP));
            Some(TimerDecision {
                proposal: None,
                next_deadline: Some(next_deadline),
                waiting_for: WaitingFor::LapseTime,
            })
        }
        None => Some(TimerDecision {
            proposal: None,
            next_deadline: Some(now.saturating_add(CLOCK_RECHECK_INTERVAL)),
            waiting_for: WaitingFor::TrustedTime,
        }),
    };
    if page.version > Some(version) {
        return rest(WaitingFor::Item);
    }
    let renew = LapseChange::Renew { version, total_steps: member.throttle.steps };
    if page.version < Some(version) {
        // A key that nobody ever wrote is left so until it matters: most members cost the ledger nothing.
        return match member.lapse_time {
            _ if page.version.is_some() => proposal(renew),
            None => rest(WaitingFor::Nothing),
            Some(LapseTime::In(_)) => proposal(renew),
            Some(LapseTime::At(at)) => until(at).unwrap_or_else(|| proposal(renew)),
        };
    }
    let Some(lapse_time) = member.lapse_time else { return rest(WaitingFor::Nothing) };
    if !page.begun {
        let at = match (lapse_time, page.due) {
            (LapseTime::At(at), _) | (LapseTime::In(_), Some(at)) => at,
            (LapseTime::In(span), None) => {
                return match clock.wall_time(now) {
                    Some(time) => proposal(LapseChange::Due { version, at: time.saturating_add(span) }),
                    None => until(i64::MAX).unwrap_or_else(|| rest(WaitingFor::TrustedTime)),
                }
            }
        };
        return until(at).unwrap_or_else(|| proposal(LapseChange::Begin { version }));
    }
    if page.step >= page.total_steps {
        return rest(WaitingFor::Nothing);
    }
    let over = since.saturating_add(member.throttle.ramp / i64::from(page.total_steps.max(1)));
    if now < over {
        return TimerDecision { proposal: None, next_deadline: Some(over), waiting_for: WaitingFor::Step };
    }
    proposal(LapseChange::Step { version, to: own.unwrap_or(page.step) + 1 })
}
