//! Member state of one node: the members, the progress of each lapse, the delayed requests, and the state of the lapse owner.
//! Independent of the rest of the process.
use super::wall_clock::{wall_micros, WallClock};
use serde_json::{json, Value};
use silvercross_control_store::Epoch;
use silvercross_mesh_membership::Revision;
use silvercross_throttle::{
    member_of_lapse_key, ClockSettings, DelayQueue, LapseState, LapseTimer, LapseTransition, LapseView,
    MemberIndex, MemberList, PeerClockReading, TrustedClock,
};
use silvercross_time::Instant;
use slog::{info, Logger};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use tokio::sync::{oneshot, Notify};

/// Most requests that are delayed at a time; further ones proceed at once.
const MAX_DELAYED_REQUESTS: usize = 1024;
/// Most bytes of delayed requests' bodies, in total.
const MAX_DELAYED_BYTES: usize = 8 << 20;
/// Number of counters of delayed requests, one for each tenth of the step in force, 0 to 10.
pub(super) const STEP_TENTHS: usize = 11;

/// A lapse as read from its control entry.
pub(super) struct ObservedLapse {
    /// The epoch of the owner that wrote it.
    pub(super) epoch: Epoch,
    pub(super) lapse: LapseState,
}

/// The members and their lapses as this node knows them.
pub(crate) struct MemberThrottle {
    /// Whether the configuration names a header that identifies members.
    is_enabled: Cell<bool>,
    index: RefCell<Rc<MemberIndex>>,
    pub(super) lapses: RefCell<LapseView>,
    /// Every lapse read from a control entry, by member; bounded by the number of control entries.
    pub(super) observed: RefCell<BTreeMap<String, ObservedLapse>>,
    pub(super) delayed: RefCell<DelayQueue<oneshot::Sender<()>>>,
    pub(super) owner: RefCell<LapseOwner>,
    /// Notified when members or lapses have changed.
    pub(super) changed: Notify,
    pub(super) delays_by_tenth: [Cell<u64>; STEP_TENTHS],
    pub(super) rejected: Cell<u64>,
}

/// State of the lapse owner.
pub(super) struct LapseOwner {
    pub(super) timer: LapseTimer,
    pub(super) clock: TrustedClock,
    /// When the wall clock was last read.
    pub(super) clock_read_at: Option<Instant>,
    /// When the other replicas were last asked for their wall clocks.
    pub(super) peer_clocks_requested_at: Option<Instant>,
    /// Whether the wall-clock time was known at the last check.
    pub(super) is_time_known: bool,
    /// The lapses that this node owns, with the epoch of the ownership.
    pub(super) owned: BTreeMap<String, Epoch>,
    /// Lapses to evaluate at the next check though their timer is not due.
    pub(super) marked: BTreeSet<String>,
}

impl MemberThrottle {
    /// Creates a throttle without members. `is_only_replica`: there is no other replica to compare wall clocks with.
    pub(crate) fn new(is_only_replica: bool) -> Self {
        let owner = LapseOwner {
            timer: LapseTimer::new(),
            clock: TrustedClock::new(ClockSettings::default(), is_only_replica),
            clock_read_at: None,
            peer_clocks_requested_at: None,
            is_time_known: false,
            owned: BTreeMap::new(),
            marked: BTreeSet::new(),
        };
        MemberThrottle {
            is_enabled: Cell::new(false),
            index: RefCell::default(),
            lapses: RefCell::new(LapseView::new()),
            observed: RefCell::default(),
            delayed: RefCell::new(DelayQueue::new(MAX_DELAYED_REQUESTS, MAX_DELAYED_BYTES)),
            owner: RefCell::new(owner),
            changed: Notify::new(),
            delays_by_tenth: Default::default(),
            rejected: Cell::new(0),
        }
    }

    /// Whether requests are throttled. They are not until the configuration names the members' header.
    pub(crate) fn is_enabled(&self) -> bool {
        self.is_enabled.get()
    }

    /// Whether there is any member.
    pub(super) fn has_members(&self) -> bool {
        self.index.borrow().members().next().is_some()
    }

    /// The index of the members by key.
    pub(super) fn index(&self) -> Rc<MemberIndex> {
        self.index.borrow().clone()
    }

    /// Replaces the members.
    pub(crate) fn set_members(&self, now: Instant, log: &Logger, list: &MemberList) {
        let index = Rc::new(MemberIndex::new(list));
        self.is_enabled.set(index.header().is_some());
        {
            let mut lapses = self.lapses.borrow_mut();
            lapses.retain_members(|name| index.member(name).is_some());
            for (name, observed) in self.observed.borrow().iter() {
                if index.member(name).is_some() {
                    log_transition(log, name, lapses.observe(now, name, &observed.lapse));
                }
            }
        }
        self.owner.borrow_mut().marked.extend(index.members().map(|member| member.name.clone()));
        *self.index.borrow_mut() = index;
        self.changed.notify_one();
    }

    /// Applies the control entry of a lapse; `None`: nothing was written to it yet. Ignores other keys.
    pub(crate) fn apply_lapse(
        &self,
        now: Instant,
        log: &Logger,
        key: &str,
        revision: Revision,
        lapse: Option<LapseState>,
    ) {
        let Some(name) = member_of_lapse_key(key) else { return };
        let lapse = lapse.unwrap_or_default();
        log_transition(log, name, self.lapses.borrow_mut().observe(now, name, &lapse));
        let epoch = Epoch { round: revision.epoch, owner: revision.owner as u32 };
        self.observed.borrow_mut().insert(name.to_string(), ObservedLapse { epoch, lapse });
        self.owner.borrow_mut().marked.insert(name.to_string());
        self.changed.notify_one();
    }

    /// This replica's wall clock; `None` if there is no member or the clock was never read.
    pub(crate) fn wall_clock(&self, now: Instant) -> Option<WallClock> {
        let owner = self.owner.borrow();
        (self.has_members() && owner.clock_read_at.is_some())
            .then(|| WallClock { wall_micros: wall_micros(), stepped: owner.clock.stepped(now) })
    }

    /// Records the wall clock that another replica reported.
    pub(crate) fn wall_clock_reported(&self, reading: PeerClockReading) {
        self.owner.borrow_mut().clock.observe_peer(reading);
    }

    /// Releases all delayed requests when the process stops; later ones are not delayed.
    pub(crate) fn release_waiting(&self) {
        for waiting in self.delayed.borrow_mut().release_all() {
            // The request may have ended meanwhile.
            let _ = waiting.send(());
        }
    }

    /// The counters, with the keys of the metrics page; `None` if members are neither enabled nor present.
    pub(crate) fn metrics(&self) -> Option<Value> {
        if !self.is_enabled() && !self.has_members() {
            return None;
        }
        let index = self.index();
        let delayed = self.delayed.borrow();
        let waits: Vec<u64> = self.delays_by_tenth.iter().map(Cell::get).collect();
        let tenths = self.lapses.borrow().count_by_tenth(index.members());
        Some(json!({
            "standing": index.members().count(), "tenths": tenths, "waits": waits, "turned": self.rejected.get(),
            "passed": delayed.bypassed(), "waiting": delayed.len(), "bytes": delayed.bytes(),
        }))
    }
}

/// Logs one line for each transition of a lapse.
fn log_transition(log: &Logger, name: &str, transition: Option<LapseTransition>) {
    let Some(LapseTransition { to, .. }) = transition else { return };
    info!(log, "member"; "name" => name, "step" => to.step, "of" => to.total_steps, "lapsed" => to.begun, "edition" => to.version);
}
