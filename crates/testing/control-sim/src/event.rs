//! What happens at some time.

use crate::faults::Undo;
use crate::network::Parcel;
use crate::world::Micros;
use silvercross_mesh_membership::Datagram;

/// What happens at some time.
pub enum Event {
    #[allow(missing_docs)]
    Dial { from: usize, incarnation: u64, to: usize },
    #[allow(missing_docs)]
    Failed { node: usize, incarnation: u64, peer: usize },
    #[allow(missing_docs)]
    Up { node: usize, incarnation: u64, peer: usize, connection: u64 },
    #[allow(missing_docs)]
    Arrive { from: usize, to: usize, connection: u64, parcel: Box<Parcel> },
    #[allow(missing_docs)]
    Datagram { from: usize, to: usize, datagram: Datagram },
    #[allow(missing_docs)]
    Tried { node: usize, incarnation: u64, about: usize, ok: bool },
    #[allow(missing_docs)]
    Synced { node: usize, incarnation: u64, write: u64 },
    #[allow(missing_docs)]
    Wake { node: usize, incarnation: u64 },
    /// An operator's call reaches a control machine.
    #[allow(missing_docs)]
    Call { node: usize, incarnation: u64, token: u64 },
    /// An operator does something.
    Operator(usize),
    /// An operator waits no longer for an answer.
    Patience(u64),
    /// The next fault.
    Fault,
    /// A fault's end.
    Undo(Undo),
}

impl Event {
    /// The machine whose process has to run for it.
    pub(crate) fn at_machine(&self) -> Option<usize> {
        match self {
            Event::Failed { node, .. }
            | Event::Up { node, .. }
            | Event::Tried { node, .. }
            | Event::Synced { node, .. }
            | Event::Wake { node, .. }
            | Event::Call { node, .. } => Some(*node),
            Event::Arrive { to, .. } | Event::Datagram { to, .. } => Some(*to),
            _ => None,
        }
    }
}

/// An event in the queue: when, and in which order among those of one time.
pub(crate) struct Entry(pub Micros, pub u64, pub Event);
impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}
impl Eq for Entry {}
impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Entry {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}
