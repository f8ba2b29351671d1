//! The loop of the decision modules: calls their timers, passes them disk events and datagrams, and carries
//! out their effects until there are none left.
use super::state::Peers;
use crate::disk::{DiskError, DiskEvent};
use crate::node_state::NodeState;
use silvercross_control_store::{Node as StoreNode, ReplicaSet};
use silvercross_mesh_membership::{ControlQuorum, Datagram, Node};
use silvercross_time::{Duration, Instant};
use slog::{info, warn};
use std::net::IpAddr;
use std::rc::Rc;
use tokio::sync::mpsc;

/// The longest time between two checks of the deadlines.
const MAX_SLEEP: Duration = Duration::from_secs(1);
/// The maximum length of a datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 2048;
/// Delay after a failed receive.
const RECEIVE_RETRY: std::time::Duration = std::time::Duration::from_millis(20);

impl Peers {
    /// Carries out the effects of the decision modules until there are none left.
    pub(super) fn carry_out_effects(&self, node_state: &Rc<NodeState>) {
        loop {
            self.update_control_quorum(node_state);
            let membership_effects = self.membership.borrow_mut().take_effects();
            let store_effects = match &self.control_store {
                Some(store) => store.borrow_mut().take_effects(),
                None => Vec::new(),
            };
            if membership_effects.is_empty() && store_effects.is_empty() {
                break;
            }
            for effect in membership_effects {
                self.carry_out_membership_effect(node_state, effect);
            }
            for effect in store_effects {
                self.carry_out_store_effect(node_state, effect);
            }
        }
        node_state.log_readiness();
        self.deadline_changed.notify_one();
    }

    /// Hands the replica set of the control store to membership if it has changed.
    fn update_control_quorum(&self, node_state: &NodeState) {
        let Some(store) = &self.control_store else { return };
        let store = store.borrow();
        let mut membership = self.membership.borrow_mut();
        let replica_set = store.replica_set();
        if replica_set.version != membership.control_quorum().version {
            membership.set_control_quorum(node_state.now(), control_quorum(replica_set));
        }
    }

    /// Returns the earliest deadline of the decision modules.
    fn next_deadline(&self) -> Instant {
        let membership_deadline = self.membership.borrow().next_deadline();
        let store_deadline = self.control_store.as_ref().and_then(|store| store.borrow().next_deadline());
        store_deadline.map_or(membership_deadline, |at| at.min(membership_deadline))
    }
}

/// The quorum of a replica set, for membership.
fn control_quorum(replica_set: &ReplicaSet) -> ControlQuorum {
    let nodes = |group: Vec<StoreNode>| group.into_iter().map(|node| Node(node.0)).collect();
    let groups = replica_set.quorum_groups().into_iter().map(nodes).collect();
    ControlQuorum { version: replica_set.version, groups }
}

/// Calls the timers of the decision modules. Runs as long as the process.
pub(crate) async fn run_decision_modules(node_state: Rc<NodeState>) {
    let peers = &node_state.peers;
    loop {
        let sleep = peers.next_deadline().saturating_since(node_state.now()).min(MAX_SLEEP);
        tokio::select! {
            _ = tokio::time::sleep(sleep.to_std()) => {
                let now = node_state.now();
                peers.membership.borrow_mut().tick(now);
                if let Some(store) = &peers.control_store {
                    store.borrow_mut().tick(now);
                }
                peers.carry_out_effects(&node_state);
            }
            _ = peers.deadline_changed.notified() => {}
        }
    }
}

/// Passes disk events to the control store. Returns the error when the disk has failed.
pub(crate) async fn follow_disk(
    node_state: Rc<NodeState>,
    mut events: mpsc::UnboundedReceiver<DiskEvent>,
) -> DiskError {
    let peers = &node_state.peers;
    while let Some(event) = events.recv().await {
        let Some(store) = &peers.control_store else { continue };
        let now = node_state.now();
        match event {
            DiskEvent::Synced(write) => store.borrow_mut().write_completed(now, write),
            DiskEvent::OutOfSpace(error) => {
                warn!(node_state.log, "disk full: this node makes no promises and gives up ownership of its keys until space is available";
                    "why" => error.to_string(), "mend" => "free space on the disk of dataDir");
                *peers.disk_full.borrow_mut() = Some(error);
                store.borrow_mut().set_disk_has_space(now, false);
            }
            DiskEvent::SpaceAvailable => {
                info!(node_state.log, "disk has space again");
                *peers.disk_full.borrow_mut() = None;
                store.borrow_mut().set_disk_has_space(now, true);
            }
            DiskEvent::DeparturesSynced(number) => peers.departures_synced(number),
            DiskEvent::Failed(error) => return error,
        }
        peers.carry_out_effects(&node_state);
    }
    DiskError::ThreadEnded { cause: "its event channel is closed".to_string() }
}

/// Receives datagrams. Runs as long as the process.
pub(crate) async fn receive_datagrams(node_state: Rc<NodeState>) {
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    let peers = &node_state.peers;
    loop {
        let Ok((length, from)) = peers.udp.recv_from(&mut buffer).await else {
            tokio::time::sleep(RECEIVE_RETRY).await;
            continue;
        };
        let IpAddr::V4(from) = from.ip() else { continue };
        match bitcode::decode::<Datagram>(&buffer[..length]) {
            Ok(datagram) => {
                let now = node_state.now();
                peers.membership.borrow_mut().receive_datagram(now, Node(from.to_bits()), datagram);
                peers.carry_out_effects(&node_state);
            }
            Err(_) => node_state.counters.count_foreign_message(),
        }
    }
}
