//! The memory budget shared by all buffered bodies of this process.
//!
//! Independent of bodies and connections: a reader takes a [`BodyReservation`], grows it as bytes are buffered, and
//! drops it together with them.
use std::cell::Cell;
use std::rc::Rc;

/// The share of the process's memory, as a divisor, that buffered bodies may use.
const MEMORY_DIVISOR: u64 = 4;

/// The memory budget of all buffered bodies.
#[derive(Debug, Default)]
pub(crate) struct BodyBudget {
    max_bytes: Cell<u64>,
    reserved_bytes: Cell<u64>,
}

impl BodyBudget {
    /// Creates the budget of a process with this many bytes of memory.
    pub(crate) fn new(memory_bytes: u64) -> Rc<Self> {
        Rc::new(BodyBudget {
            max_bytes: Cell::new(memory_bytes / MEMORY_DIVISOR),
            reserved_bytes: Cell::new(0),
        })
    }

    /// Returns the number of bytes reserved.
    pub(crate) fn reserved_bytes(&self) -> u64 {
        self.reserved_bytes.get()
    }

    /// Creates an empty reservation for one body.
    pub(crate) fn reservation(self: &Rc<Self>) -> BodyReservation {
        BodyReservation { budget: self.clone(), bytes: 0 }
    }
}

/// The share of the budget that one body uses. It is returned on drop.
#[derive(Debug)]
pub(crate) struct BodyReservation {
    budget: Rc<BodyBudget>,
    bytes: u64,
}

impl BodyReservation {
    /// Reserves this many further bytes. Returns `false`, and reserves nothing, if the budget is exhausted.
    pub(crate) fn grow(&mut self, bytes: u64) -> bool {
        let reserved = self.budget.reserved_bytes.get() + bytes;
        if reserved > self.budget.max_bytes.get() {
            return false;
        }
        self.budget.reserved_bytes.set(reserved);
        self.bytes += bytes;
        true
    }

    /// Returns all reserved bytes to the budget.
    pub(crate) fn release(&mut self) {
        self.budget.reserved_bytes.set(self.budget.reserved_bytes.get() - self.bytes);
        self.bytes = 0;
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.release();
    }
}
