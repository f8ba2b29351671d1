//! Reads of all keys with a majority, which a control node makes for processes that start.

use crate::content::Items;
use crate::convert::{observed, update};
use crate::node::{ConfirmedKey, MajorityRead};
use crate::orders::FIRST_ORDER_READ_TOKEN;
use crate::plan::key_name;
use crate::world::World;
use silvercross_control_store::CallOutcome;
use silvercross_mesh_membership::EntryRevision;

/// Tokens of these reads; operators' are below.
const FIRST_MAJORITY_READ_TOKEN: u64 = 1 << 40;

/// Whether a control store's token is that of such a read.
pub(crate) fn is_majority_read(token: u64) -> bool {
    (FIRST_MAJORITY_READ_TOKEN..FIRST_ORDER_READ_TOKEN).contains(&token)
}

impl World {
    /// Begins to read all keys; a node that is no replica reads at those that are.
    pub(crate) fn begin_majority_read(&mut self, node: usize, request_id: u64) {
        let now = self.local_now(node);
        if self.nodes[node].store.is_none() {
            return;
        }
        let mut read = MajorityRead::default();
        for key in 0..self.plan.keys {
            let token = FIRST_MAJORITY_READ_TOKEN + self.next_number();
            read.open.insert(token, key);
            if let Some(store) = &mut self.nodes[node].store {
                store.read(now, token, &key_name(key));
            }
        }
        self.nodes[node].majority_reads.insert(request_id, read);
    }

    /// One key was read, or not: membership hears when all are read, or one is not.
    pub(crate) fn finish_majority_read(&mut self, node: usize, token: u64, outcome: CallOutcome<Items>) {
        let now = self.local_now(node);
        let machine = &mut self.nodes[node];
        let mut reads = machine.majority_reads.iter_mut();
        let Some((request_id, read)) = reads.find(|(_, read)| read.open.contains_key(&token)) else { return };
        let request_id = *request_id;
        let key = read.open.remove(&token).unwrap_or_default();
        let is_read = match outcome {
            CallOutcome::Value { revision, value } => {
                if value != Items::default() {
                    read.confirmed.push(ConfirmedKey { key: key_name(key), revision: observed(revision) });
                }
                true
            }
            _ => false,
        };
        if is_read && !read.open.is_empty() {
            return;
        }
        let Some(read) = machine.majority_reads.remove(&request_id) else { return };
        if let Some(membership) = &mut machine.membership {
            let confirmed = read
                .confirmed
                .into_iter()
                .map(|confirmed| EntryRevision { key: confirmed.key, revision: update(confirmed.revision) });
            membership.revisions_confirmed(now, request_id, is_read.then(|| confirmed.collect()));
        }
    }
}
