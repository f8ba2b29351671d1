//! One machine, and the process on it.

use crate::disk::Storage;
use crate::event::Event;
use crate::items::Items;
use crate::judge::At;
use crate::wiring::Confirm;
use crate::world::{Body, Micros};
use silvercross_control_store::ControlStore;
use silvercross_mesh_membership::Membership;
use std::collections::BTreeMap;

/// One machine and the process on it.
pub struct Machine {
    /// Its address.
    pub id: u32,
    /// Its zone.
    pub zone: usize,
    /// Whether it is a control machine.
    pub core: bool,
    /// Whether it has power.
    pub on: bool,
    /// Lost for good.
    pub destroyed: bool,
    /// It stands still.
    pub frozen: bool,
    /// Its process, if it runs.
    pub membership: Option<Membership<Body>>,
    /// Of a control machine.
    pub store: Option<ControlStore<Items>>,
    /// Of a control machine.
    pub storage: Storage,
    /// Rises with every start and end.
    pub incarnation: u64,
    /// Connections, by the machine at the other end.
    pub links: BTreeMap<usize, Vec<u64>>,
    /// Where its process asks first.
    pub seeds: Vec<usize>,
    /// It signs off.
    pub leaving: bool,
    /// What it has taken, as the mesh's program does: newer revisions only.
    pub revisions: BTreeMap<usize, At>,
    /// When it last stood still.
    pub woken: Micros,
    /// Reads of all keys for a sidecar that started, by ticket.
    pub(crate) confirms: BTreeMap<u64, Confirm>,
    pub(crate) held: Vec<Event>,
    pub(crate) offset: Micros,
    pub(crate) wake: Micros,
    pub(crate) looked: Micros,
    pub(crate) life: usize,
    /// As the trace told it last.
    pub(crate) stands: String,
}

impl Machine {
    pub(crate) fn new(id: u32, zone: usize, core: bool, offset: Micros) -> Machine {
        Machine {
            id,
            zone,
            core,
            on: true,
            destroyed: false,
            frozen: false,
            membership: None,
            store: None,
            storage: Storage::default(),
            incarnation: 0,
            links: BTreeMap::new(),
            seeds: Vec::new(),
            leaving: false,
            revisions: BTreeMap::new(),
            woken: Micros::MIN,
            confirms: BTreeMap::new(),
            held: Vec::new(),
            offset,
            wake: Micros::MAX,
            looked: 0,
            life: 0,
            stands: String::new(),
        }
    }

    /// Whether its process runs, be it that it stands still.
    pub fn runs(&self) -> bool {
        self.membership.is_some()
    }
}
