//! The singleton that advances lapses: it runs on the node that owns a lapse's key, by the wall-clock time that the replicas
//! agree on.
use super::state::{LapseOwner, MemberThrottle};
use super::wall_clock::wall_micros;
use crate::control_value::{ControlChange, CONFIGURATION_KEY};
use crate::node_state::NodeState;
use silvercross_control_store::{CallOutcome, Epoch, OwnedKey};
use silvercross_throttle::{lapse_key, member_of_lapse_key, LapseState, UnixTime};
use silvercross_time::{Duration, Instant};
use slog::{debug, info};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Interval at which an owner evaluates due lapses.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Most due lapses evaluated at each check, and as many that were marked for evaluation; the rest follow at the next one.
const MAX_LAPSES_PER_CHECK: usize = 128;
/// Interval at which the machine's wall clock is read.
const CLOCK_READ_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which the other replicas are asked for their wall clocks while the time is known; while it is not, they are
/// asked as often as the local clock is read.
const PEER_CLOCKS_INTERVAL: Duration = Duration::from_secs(10);

fn is_due(last: Option<Instant>, now: Instant, interval: Duration) -> bool {
    last.is_none_or(|last| now - last >= interval)
}

/// Advances lapses until the process ends; sleeps while there is no member.
pub(crate) async fn run_lapse_owner(node_state: Rc<NodeState>) {
    let members = &node_state.member_throttle;
    loop {
        if members.has_members() {
            refresh_clocks(&node_state);
            evaluate_lapses(&node_state);
            tokio::time::sleep(CHECK_INTERVAL.to_std()).await;
        } else {
            members.changed.notified().await;
        }
    }
}

/// Reads this machine's wall clock, and asks the other replicas for theirs.
fn refresh_clocks(node_state: &Rc<NodeState>) {
    let now = node_state.now();
    let mut owner = node_state.member_throttle.owner.borrow_mut();
    let owner = &mut *owner;
    if is_due(owner.clock_read_at, now, CLOCK_READ_INTERVAL) {
        owner.clock_read_at = Some(now);
        if owner.clock.observe_local(now, UnixTime::from_micros(wall_micros())) {
            info!(node_state.log, "the wall clock stepped");
        }
    }
    let is_known = owner.clock.wall_time(now).is_some();
    if is_known && !owner.is_time_known {
        // Lapses that waited for the time to be known are evaluated at once.
        owner.marked.extend(owner.owned.keys().cloned());
    }
    owner.is_time_known = is_known;
    let interval = if is_known { PEER_CLOCKS_INTERVAL } else { CLOCK_READ_INTERVAL };
    if is_due(owner.peer_clocks_requested_at, now, interval) {
        owner.peer_clocks_requested_at = Some(now);
        node_state.peers.request_wall_clocks(node_state);
    }
}

/// The lapses whose keys this node owns, and, if it owns the configuration, those that have no key yet.
fn owned_lapses(node_state: &NodeState, members: &MemberThrottle) -> BTreeMap<String, Epoch> {
    let index = members.index();
    let observed = members.observed.borrow();
    let owned_keys = node_state.peers.control_store(|store| store.owned_keys()).unwrap_or_default();
    let mut owned = BTreeMap::new();
    for OwnedKey { key, epoch, .. } in owned_keys {
        if key == CONFIGURATION_KEY {
            let unwritten = index
                .members()
                .filter(|member| member.lapse_time.is_some() && !observed.contains_key(&member.name));
            owned.extend(unwritten.map(|member| (member.name.clone(), epoch)));
        } else if let Some(name) = member_of_lapse_key(&key) {
            owned.insert(name.to_string(), epoch);
        }
    }
    owned
}

impl LapseOwner {
    /// Replaces the owned lapses: new ones are marked for evaluation, those no longer owned are removed.
    fn set_owned(&mut self, owned: BTreeMap<String, Epoch>) {
        for name in self.owned.keys().filter(|name| !owned.contains_key(*name)) {
            self.timer.forget(name);
        }
        for (name, epoch) in &owned {
            if self.owned.get(name) != Some(epoch) {
                self.marked.insert(name.clone());
            }
        }
        self.owned = owned;
        self.marked.retain(|name| self.owned.contains_key(name));
    }

    /// The lapses to evaluate now.
    fn due(&mut self, now: Instant) -> BTreeSet<String> {
        let due = self.timer.due(now, MAX_LAPSES_PER_CHECK).into_iter();
        due.chain(self.marked.iter().take(MAX_LAPSES_PER_CHECK).cloned()).collect()
    }
}

/// Evaluates the due lapses and proposes the resulting changes.
fn evaluate_lapses(node_state: &Rc<NodeState>) {
    let now = node_state.now();
    let members = &node_state.member_throttle;
    let owned = owned_lapses(node_state, members);
    let (index, observed) = (members.index(), members.observed.borrow());
    let mut owner = members.owner.borrow_mut();
    let owner = &mut *owner;
    owner.set_owned(owned);
    for name in owner.due(now) {
        let Some(epoch) = owner.owned.get(&name).copied() else { continue };
        let default_lapse = LapseState::default();
        let lapse = match observed.get(&name) {
            // The owner rewrites the value under its own epoch, and that has not arrived here yet.
            Some(observed) if observed.epoch != epoch => continue,
            Some(observed) => &observed.lapse,
            None => &default_lapse,
        };
        owner.marked.remove(&name);
        let member = index.member(&name);
        let decision = owner.timer.decide(now, &name, epoch, lapse, member, &owner.clock);
        if let Some(change) = decision.proposal {
            propose(node_state.clone(), name, ControlChange::Lapse(change));
        }
    }
}

fn propose(node_state: Rc<NodeState>, member: String, change: ControlChange) {
    tokio::task::spawn_local(async move {
        let proposed = format!("{change:?}");
        let outcome = node_state.peers.change_key(&node_state, &lapse_key(&member), change).await;
        if let Some(CallOutcome::Rejected(rejection)) = outcome {
            debug!(node_state.log, "lapse change rejected"; "member" => &member, "change" => proposed,
                "why" => rejection.reason);
        }
    });
}
