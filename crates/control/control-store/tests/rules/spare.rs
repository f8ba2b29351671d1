//! Three replicas and a spare node, before and after a replacement.

use crate::common::cluster::{others, Cluster};
use silvercross_control_store::Mutation;
use silvercross_time::Duration;

/// Three replicas with an owner, and a spare node; the indices of the owner and the two others.
pub fn with_spare() -> (Cluster, usize, usize, usize) {
    let mut cluster = Cluster::with_spares(3, 1);
    cluster.advance(Duration::from_secs(1));
    let owner = cluster.owner().expect("an owner");
    let (x, y) = others(owner);
    cluster.call(owner, 1, &[(1, 1, 7)]);
    assert!(cluster.is_committed(1));
    (cluster, owner, x, y)
}

/// Replaces `x` while its links are cut, without its knowledge.
pub fn after_replacement(mutation: Option<Mutation>) -> (Cluster, usize, usize, usize) {
    let (mut cluster, owner, x, y) = with_spare();
    cluster.set_mutation(mutation);
    cluster.isolate(x);
    cluster.announce_candidates();
    cluster.advance(Duration::from_secs(7));
    assert!(!cluster.members(y).contains(&(x as u32)) && cluster.stores[3].is_voter());
    // Waits for an ownership with a later epoch than the removed replica has claimed alone and will claim
    // next.
    let claimed = cluster.key_state(x).promised.round;
    loop {
        let owner = cluster.owner().unwrap_or(owner);
        if cluster.owned(owner).epoch.round > claimed + 1 {
            return (cluster, owner, x, y);
        }
        cluster.restart(owner);
        cluster.set_mutation(mutation);
        cluster.advance(Duration::from_secs(4));
    }
}
