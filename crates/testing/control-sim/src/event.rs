//! What happens at some time, and the queue of it.

use crate::link::{ConnectionId, Direction, Frame};
use crate::operator_state::CallToken;
use silvercross_control_store::Epoch;
use silvercross_mesh_membership::Datagram;
use silvercross_time::Instant;
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

/// How a fault ends.
#[derive(Clone, Debug)]
pub(crate) enum FaultEnd {
    /// The node's process starts (again).
    Start(usize),
    /// The node's process goes on.
    Unfreeze(usize),
    /// These directions are open again.
    Heal(Vec<Direction>),
    /// The process that stops gracefully leaves membership; no sooner than at `deadline` while it is still needed as a
    /// replica.
    SignOff { node: usize, generation: u64, deadline: Instant },
    /// The process that stops gracefully ends, and if so the node is lost for good.
    Exit { node: usize, generation: u64, for_good: bool },
    /// The node may ask all control nodes again.
    RestoreSeeds(usize),
    /// The node's disk has space again.
    FreeDisk(usize),
}

/// What happens at some time. `generation` is that of the process it is for: it is dropped once that has ended.
pub(crate) enum Event {
    Dial {
        from: usize,
        generation: u64,
        to: usize,
    },
    ConnectFailed {
        node: usize,
        generation: u64,
        peer: usize,
    },
    Connected {
        node: usize,
        generation: u64,
        peer: usize,
        connection: ConnectionId,
    },
    FrameArrived {
        from: usize,
        to: usize,
        connection: ConnectionId,
        frame: Box<Frame>,
    },
    DatagramArrived {
        from: usize,
        to: usize,
        datagram: Datagram,
    },
    EntriesLeft {
        node: usize,
        generation: u64,
        to: usize,
    },
    ProbeEnded {
        node: usize,
        generation: u64,
        about: usize,
        is_reachable: bool,
    },
    WriteSynced {
        node: usize,
        generation: u64,
        write: u64,
    },
    Wakeup {
        node: usize,
        generation: u64,
    },
    /// An operator's call reaches a control node.
    CallArrived {
        node: usize,
        generation: u64,
        token: CallToken,
        /// The only epoch under which it is to be carried out: its operator was asked again.
        under: Option<Epoch>,
    },
    /// A control node sees that the operator has closed the connection of a call.
    CallerLeft {
        node: usize,
        generation: u64,
        token: CallToken,
    },
    /// An operator does something.
    OperatorActs(usize),
    /// An operator stops waiting for an answer.
    CallTimeout(CallToken),
    /// The next fault strikes.
    FaultStrikes,
    /// A fault ends.
    FaultEnds(FaultEnd),
}

impl Event {
    /// The node whose process has to run for it.
    pub(crate) fn node(&self) -> Option<usize> {
        match self {
            Event::ConnectFailed { node, .. }
            | Event::Connected { node, .. }
            | Event::EntriesLeft { node, .. }
            | Event::ProbeEnded { node, .. }
            | Event::WriteSynced { node, .. }
            | Event::Wakeup { node, .. }
            | Event::CallArrived { node, .. }
            | Event::CallerLeft { node, .. } => Some(*node),
            Event::FrameArrived { to, .. } | Event::DatagramArrived { to, .. } => Some(*to),
            _ => None,
        }
    }
}

/// An event in the queue. Of one instant's events the one that was put there first comes first.
struct Entry {
    at: Instant,
    number: u64,
    event: Event,
}

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.number) == (other.at, other.number)
    }
}
impl Eq for Entry {}
impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Entry {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

/// Events that are still to happen.
#[derive(Default)]
pub(crate) struct EventQueue(BinaryHeap<Reverse<Entry>>);

impl EventQueue {
    /// Adds one; `number` orders those of one instant.
    pub(crate) fn push(&mut self, at: Instant, number: u64, event: Event) {
        self.0.push(Reverse(Entry { at, number, event }));
    }

    /// Takes the next one out, if it happens no later than that.
    pub(crate) fn pop_until(&mut self, limit: Instant) -> Option<(Instant, Event)> {
        if self.0.peek().is_some_and(|first| first.0.at <= limit) {
            return self.0.pop().map(|Reverse(entry)| (entry.at, entry.event));
        }
        None
    }
}
