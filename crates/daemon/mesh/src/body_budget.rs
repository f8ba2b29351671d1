//! The memory that all buffered bodies of this process may take together.
//!
//! Knows no body and no connection: a reader takes a [`BodyReservation`], lets it grow as bytes are buffered, and drops it
//! with them.
use std::cell::Cell;
use std::rc::Rc;

/// Buffered bodies may take this part of the process's memory.
const MEMORY_DIVISOR: u64 = 4;

/// What all buffered bodies take together.
#[derive(Debug, Default)]
pub(crate) struct BodyBudget {
    max_bytes: Cell<u64>,
    reserved_bytes: Cell<u64>,
}

impl BodyBudget {
    /// For a process of this many bytes of memory.
    pub(crate) fn new(memory_bytes: u64) -> Rc<Self> {
        Rc::new(BodyBudget {
            max_bytes: Cell::new(memory_bytes / MEMORY_DIVISOR),
            reserved_bytes: Cell::new(0),
        })
    }

    /// Bytes reserved now.
    pub(crate) fn reserved_bytes(&self) -> u64 {
        self.reserved_bytes.get()
    }

    /// A reservation for one body, of no bytes yet.
    pub(crate) fn reservation(self: &Rc<Self>) -> BodyReservation {
        BodyReservation { budget: self.clone(), bytes: 0 }
    }
}

/// One body's part of the budget; returned when it is dropped.
#[derive(Debug)]
pub(crate) struct BodyReservation {
    budget: Rc<BodyBudget>,
    bytes: u64,
}

impl BodyReservation {
    /// Reserve this many bytes more; `false`, and nothing reserved, if the budget is exhausted.
    pub(crate) fn grow(&mut self, bytes: u64) -> bool {
        let reserved = self.budget.reserved_bytes.get() + bytes;
        if reserved > self.budget.max_bytes.get() {
            return false;
        }
        self.budget.reserved_bytes.set(reserved);
        self.bytes += bytes;
        true
    }

    /// Return all that is reserved.
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
