//! The loop of the two deciders: their time passes, what the disk and datagrams bring is handed to them, and their effects are
//! carried out until they want nothing more.
use super::state::Peers;
use crate::disk::{DiskError, DiskEvent};
use crate::node_state::NodeState;
use silvercross_mesh_membership::{Datagram, Node};
use silvercross_time::{Duration, Instant};
use slog::{info, warn};
use std::net::IpAddr;
use std::rc::Rc;
use tokio::sync::mpsc;

/// The longest sleep between two looks at the deciders' deadlines.
const MAX_SLEEP: Duration = Duration::from_secs(1);
/// No datagram is longer, in bytes.
const MAX_DATAGRAM_BYTES: usize = 2048;
/// After a failed receive the next one is tried after this.
const RECEIVE_RETRY: std::time::Duration = std::time::Duration::from_millis(20);

impl Peers {
    /// Do what the deciders want done, until they want nothing more.
    pub(super) fn carry_out_effects(&self, node_state: &Rc<NodeState>) {
        loop {
            let of_membership = self.membership.borrow_mut().take_effects();
            let of_store = match &self.control_store {
                Some(store) => store.borrow_mut().take_effects(),
                None => Vec::new(),
            };
            if of_membership.is_empty() && of_store.is_empty() {
                break;
            }
            for effect in of_membership {
                self.carry_out_membership_effect(node_state, effect);
            }
            for effect in of_store {
                self.carry_out_store_effect(node_state, effect);
            }
        }
        node_state.log_readiness();
        self.deadline_changed.notify_one();
    }

    /// When the deciders want to be ticked next.
    fn next_deadline(&self) -> Instant {
        let of_membership = self.membership.borrow().next_deadline();
        let of_store = self.control_store.as_ref().and_then(|store| store.borrow().next_deadline());
        of_store.map_or(of_membership, |at| at.min(of_membership))
    }
}

/// Let the deciders' time pass, for as long as the process lives.
pub(crate) async fn run_deciders(node_state: Rc<NodeState>) {
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

/// Hand on what the disk reports, for as long as the process lives, or until the disk has failed: why.
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
                warn!(node_state.log, "disk full: this node promises nothing and gives up its keys until there is space";
                    "why" => error.to_string(), "mend" => "free space on the disk of dataDir");
                *peers.disk_full.borrow_mut() = Some(error);
                store.borrow_mut().set_disk_has_space(now, false);
            }
            DiskEvent::SpaceAvailable => {
                info!(node_state.log, "disk has space again");
                *peers.disk_full.borrow_mut() = None;
                store.borrow_mut().set_disk_has_space(now, true);
            }
            DiskEvent::Failed(error) => return error,
        }
        peers.carry_out_effects(&node_state);
    }
    DiskError::ThreadEnded { cause: "it sends nothing more".to_string() }
}

/// Take datagrams, for as long as the process lives.
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
