//! The duty of the owner of a member's key: which change to ask for next, and when to look again.

use std::collections::{BTreeMap, BTreeSet};

use silvercross_control_store::{Epoch, Micros};

use crate::clock::Clock;
use crate::items::{Lapses, Member, MAX_MEMBERS};
use crate::lapse::{Change, Lapse};
use crate::mutant::Mutant;

/// A change that was asked for and does not show is asked for again after this long.
pub const AGAIN_US: Micros = 1_000_000;
/// Where the time of day is not to be believed, it is looked at again after this long.
pub const RECHECK_US: Micros = 5_000_000;
/// A lapse that is further off is looked at again after this long: the time of day may be set in between.
pub const REST_US: Micros = 600_000_000;

/// What a lapse waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Waits {
    /// For nothing: it is over, or the member has no trial.
    Nothing,
    /// For a newer item to arrive here.
    Item,
    /// For the instant of its lapse.
    Instant,
    /// For a time of day that can be believed.
    Clock,
    /// For the span of the step in force.
    Step,
    /// For a change that was asked for.
    Answer,
}

/// What the owner is to do for one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Advice {
    /// The change to ask the ledger for, under the epoch that was handed in.
    pub ask: Option<Change>,
    /// When to look again at the latest; earlier when page, item or epoch change.
    pub wake: Option<Micros>,
    /// Why.
    pub waits: Waits,
}

#[derive(Clone, Debug)]
struct Seen {
    epoch: Epoch,
    page: Lapse,
    /// When this page was first seen under this epoch.
    at: Micros,
    asked: Option<(Change, Micros)>,
    wake: Option<Micros>,
    /// Steps seen under this epoch; only a broken clerk counts by it.
    steps: u32,
}

/// The owner's memory of the lapses it looks after. At most [`MAX_MEMBERS`] keys; beyond it a key is not looked after
/// (its member stays as it is), which [`Advice::waits`] tells as waiting for its item.
///
/// The instant of a lapse is by the time of day that [`Clock`] believes. From then on each step follows a span after the
/// owner saw the one before, on its monotonic clock. A new owner, or the same one under a new epoch or after a restart,
/// begins the span of the step in force anew: a step may last longer for that, at most a span for each change of owner,
/// and never less.
#[derive(Clone, Debug, Default)]
pub struct Clerk {
    seen: BTreeMap<String, Seen>,
    queue: BTreeSet<(Micros, String)>,
    mutant: Option<Mutant>,
}

impl Clerk {
    /// A clerk that has seen nothing.
    pub fn new() -> Clerk {
        Clerk::default()
    }

    /// Breaks a rule on purpose.
    #[cfg(feature = "mutants")]
    #[doc(hidden)]
    pub fn break_it(&mut self, mutant: Mutant) {
        self.mutant = Some(mutant);
    }

    fn is(&self, mutant: Mutant) -> bool {
        cfg!(feature = "mutants") && self.mutant == Some(mutant)
    }

    /// What to do for the member `name`, of whose key this node is the owner under `epoch`. `page` is the key's committed
    /// content, `member` the item in force, `clock` has been read just now. To be called when any of them changes, when
    /// [`Clerk::due`] names the key, and after a refusal; calling it more often does no harm.
    pub fn decide(
        &mut self,
        now: Micros,
        name: &str,
        epoch: Epoch,
        page: &Lapse,
        member: Option<&Member>,
        clock: &Clock,
    ) -> Advice {
        let Some(member) = member else {
            self.forget(name);
            return Advice { ask: None, wake: None, waits: Waits::Nothing };
        };
        if !self.seen.contains_key(name) && self.seen.len() >= MAX_MEMBERS {
            return Advice { ask: None, wake: None, waits: Waits::Item };
        }
        let before = self.seen.remove(name);
        if let Some(at) = before.as_ref().and_then(|seen| seen.wake) {
            self.queue.remove(&(at, name.to_string()));
        }
        let mut seen = before.filter(|seen| seen.epoch == epoch);
        if let Some(seen) = seen.as_mut().filter(|seen| seen.page != *page) {
            seen.steps += u32::from(seen.page.step < page.step);
            (seen.page, seen.at, seen.asked) = (page.clone(), now, None);
        }
        let doubled = self.is(Mutant::StepDoubledAtHandOver);
        let mut seen = seen.unwrap_or_else(|| Seen {
            epoch,
            page: page.clone(),
            at: if doubled { Micros::MIN / 2 } else { now },
            asked: None,
            wake: None,
            steps: 0,
        });
        let own = self.is(Mutant::StepLostAtHandOver).then_some(seen.steps);
        let mut advice = advise(now, page, member, clock, seen.at, own);
        if let Some(change) = advice.ask.take() {
            // An instant that was asked for is asked for again as it was, however late it is by now.
            let same = |asked: &Change| std::mem::discriminant(asked) == std::mem::discriminant(&change);
            let asked =
                seen.asked.take().filter(|(asked, _)| same(asked) && asked.edition() == change.edition());
            let (change, at) = asked.unwrap_or((change, Micros::MIN / 2));
            let again = at.saturating_add(AGAIN_US);
            if now < again {
                advice.wake = Some(again);
                seen.asked = Some((change, at));
            } else {
                advice.wake = Some(now.saturating_add(AGAIN_US));
                seen.asked = Some((change.clone(), now));
                advice.ask = Some(change);
            }
        }
        seen.wake = advice.wake;
        if let Some(at) = advice.wake {
            self.queue.insert((at, name.to_string()));
        }
        self.seen.insert(name.to_string(), seen);
        advice
    }

    /// The key is another's now, or its member is gone.
    pub fn forget(&mut self, name: &str) {
        if let Some(seen) = self.seen.remove(name) {
            if let Some(at) = seen.wake {
                self.queue.remove(&(at, name.to_string()));
            }
        }
    }

    /// When to ask for [`Clerk::due`] next.
    pub fn next(&self) -> Option<Micros> {
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
    page: &Lapse,
    member: &Member,
    clock: &Clock,
    since: Micros,
    own: Option<u32>,
) -> Advice {
    let edition = member.edition;
    let ask = |change| Advice { ask: Some(change), wake: None, waits: Waits::Answer };
    let rest = |waits| Advice { ask: None, wake: None, waits };
    let until = |at: i64| match clock.time(now) {
        Some(time) if time >= at => None,
        Some(time) => {
            let wake = now.saturating_add(at.saturating_sub(time).min(REST_US));
            Some(Advice { ask: None, wake: Some(wake), waits: Waits::Instant })
        }
        None => Some(Advice { ask: None, wake: Some(now.saturating_add(RECHECK_US)), waits: Waits::Clock }),
    };
    if page.edition > Some(edition) {
        return rest(Waits::Item);
    }
    let renew = Change::Renew { edition, of: member.slowing.steps };
    if page.edition < Some(edition) {
        // A key that nobody ever wrote is left so until it matters: most members cost the ledger nothing.
        return match member.lapses {
            _ if page.edition.is_some() => ask(renew),
            None => rest(Waits::Nothing),
            Some(Lapses::In(_)) => ask(renew),
            Some(Lapses::At(at)) => until(at).unwrap_or_else(|| ask(renew)),
        };
    }
    let Some(lapses) = member.lapses else { return rest(Waits::Nothing) };
    if !page.begun {
        let at = match (lapses, page.due) {
            (Lapses::At(at), _) | (Lapses::In(_), Some(at)) => at,
            (Lapses::In(span), None) => {
                return match clock.time(now) {
                    Some(time) => ask(Change::Due { edition, at: time.saturating_add(span) }),
                    None => until(i64::MAX).unwrap_or_else(|| rest(Waits::Clock)),
                }
            }
        };
        return until(at).unwrap_or_else(|| ask(Change::Begin { edition }));
    }
    if page.step >= page.of {
        return rest(Waits::Nothing);
    }
    let over = since.saturating_add(member.slowing.span_us / i64::from(page.of.max(1)));
    if now < over {
        return Advice { ask: None, wake: Some(over), waits: Waits::Step };
    }
    ask(Change::Step { edition, to: own.unwrap_or(page.step) + 1 })
}
