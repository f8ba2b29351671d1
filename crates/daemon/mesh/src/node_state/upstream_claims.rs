//! Heartbeats of an incarnation other than the current one on this machine: which of the two has the address.
//! A heartbeat of an earlier incarnation may come late, so the address itself is asked.
use super::local_upstream::UpstreamClaim;
use super::state::NodeState;
use super::tombstones::{Departure, TOMBSTONE_RETENTION};
use slog::info;
use std::rc::Rc;

/// If the address does not state who has it, another incarnation replaces the current one after this number of
/// heartbeats without one of the current one in between.
const MAX_UNSETTLED_CLAIMS: u32 = 3;

/// Which of two incarnations has the address of the upstream on this machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ClaimOutcome {
    /// The one that sent the heartbeat, or there is no other.
    Accepted,
    /// The other one.
    Refuted,
    /// Not known.
    Unsettled,
}

impl NodeState {
    /// Determines whether a heartbeat of this incarnation is one of the upstream on this machine. If it is, any
    /// other incarnation has ended.
    pub(crate) async fn settle_claim(self: &Rc<Self>, id: &str) -> ClaimOutcome {
        if self.departure(id).is_some() || self.other_local_upstream(id).is_none() {
            return ClaimOutcome::Accepted;
        }
        let present = self.check_local_health().await.map(|report| report.id);
        // The current incarnation may have changed meanwhile.
        let Some(current) = self.other_local_upstream(id) else { return ClaimOutcome::Accepted };
        let is_claimant = present.as_deref() == Some(id);
        info!(self.log, "another upstream"; "id" => id, "current" => &current, "present" => &present);
        if is_claimant || (present.as_ref() != Some(&current) && self.is_last_claim(id)) {
            self.end_local_upstream(&current);
            return ClaimOutcome::Accepted;
        }
        if present == Some(current) {
            ClaimOutcome::Refuted
        } else {
            ClaimOutcome::Unsettled
        }
    }

    /// The upstream on this machine, if it is another incarnation.
    fn other_local_upstream(&self, id: &str) -> Option<String> {
        let local = self.local_upstream.borrow();
        local.as_ref().map(|upstream| upstream.record.id.clone()).filter(|current| current != id)
    }

    /// Counts a claim that could not be settled. Returns whether it counts as settled from now on.
    fn is_last_claim(&self, id: &str) -> bool {
        let mut claim = self.upstream_claim.borrow_mut();
        let heartbeats =
            claim.as_ref().filter(|claim| claim.id == id).map_or(1, |claim| claim.heartbeats + 1);
        *claim = Some(UpstreamClaim { id: id.to_string(), heartbeats });
        heartbeats >= MAX_UNSETTLED_CLAIMS
    }

    /// The upstream on this machine has ended without signing off.
    fn end_local_upstream(self: &Rc<Self>, id: &str) {
        let tombstone = self.remember_departure(id, Departure::Ended);
        self.peers.send_tombstone(self, &tombstone, TOMBSTONE_RETENTION);
        self.remove_local_upstream(id);
    }
}
