//! Freshness requests: whether this node has everything that a majority of the control replicas had
//! acknowledged before it started.
//!
//! A starting node asks its parent; relays forward one request at a time up the tree, and a control node
//! has the control store confirm its revisions with a majority. The reply goes down the same way, and the
//! node is current once its own entries are at least at the revisions in the reply. A request that arrives
//! while another is in flight waits for the next one, because the read for the one in flight may have
//! happened earlier. Only starting nodes ask; there is no traffic at rest.
//!
//! The state is in `freshness_check`.
use crate::control_entry::EntryRevision;
use crate::effect::Effect;
use crate::freshness::{Freshness, Mutation};
use crate::freshness_check::InFlightRequest;
use crate::limits::MAX_CONTROL_ENTRIES;
use crate::membership::Membership;
use crate::message::MembershipMessage;
use crate::node::Node;
use crate::timing::{FRESHNESS_READ_INTERVAL, FRESHNESS_REQUEST_TIMEOUT, FRESHNESS_RETRY_DELAY};
use silvercross_time::Instant;
use std::fmt::Debug;

impl<T: Clone + PartialEq + Debug> Membership<T> {
    /// Reports the revisions that a majority of the control replicas had at some time after
    /// [`Effect::ConfirmRevisions`] was returned with this `request_id`, one for each key that was ever
    /// written; `None` if no majority was reached.
    pub fn revisions_confirmed(
        &mut self,
        now: Instant,
        request_id: u64,
        revisions: Option<Vec<EntryRevision>>,
    ) {
        self.note_time(now);
        self.finish_freshness_request(now, request_id, revisions);
        self.react_to_changes(now);
    }

    /// Handles a request from a neighbour. A repeated request has no effect.
    pub(crate) fn receive_freshness_request(&mut self, from: Node, number: u64) {
        let joins = self.check.has_mutation(Mutation::JoinsReadInFlight);
        if let Some(request) = &mut self.check.in_flight {
            if joins {
                request.requesters.insert(from, number);
            }
            if request.requesters.get(&from) == Some(&number) {
                return;
            }
        }
        self.check.waiting.insert(from, number);
    }

    /// Handles the reply to the request in flight; replies to other requests are ignored.
    pub(crate) fn finish_freshness_request(
        &mut self,
        now: Instant,
        number: u64,
        revisions: Option<Vec<EntryRevision>>,
    ) {
        let Some(request) = self.check.in_flight.take_if(|request| request.number == number) else { return };
        let too_many = revisions.as_ref().is_some_and(|revisions| revisions.len() > MAX_CONTROL_ENTRIES);
        self.metrics.rejected_items += u64::from(too_many);
        // After a slow read, because of many keys or a missing majority, the next one is delayed by the time
        // that it took, up to the retry delay.
        let pause = (now - request.sent_at).min(FRESHNESS_RETRY_DELAY);
        self.check.next_read_at = self.check.next_read_at.max(now + pause);
        let revisions = revisions.filter(|_| !too_many);
        for (node, number) in request.requesters {
            if node != self.config.local_node {
                let revisions = revisions.clone();
                self.send(node, MembershipMessage::FreshnessReply { number, revisions });
            } else if self.check.state == Freshness::Waiting {
                self.check.required.clone_from(&revisions);
                self.check.next_request_at = now + FRESHNESS_RETRY_DELAY;
            }
        }
    }

    /// Performs what is due for this node and its children.
    pub(crate) fn advance_freshness_check(&mut self, now: Instant) {
        self.update_freshness(now);
        let local_node = self.config.local_node;
        if self.check.needs_request(local_node) && now >= self.check.next_request_at {
            self.check.waiting.insert(local_node, 0);
        }
        self.advance_request(now);
        if self.check.in_flight.is_none() && !self.check.waiting.is_empty() {
            self.start_request(now);
        }
    }

    /// Checks whether the node has become current, or the check has timed out.
    fn update_freshness(&mut self, now: Instant) {
        if self.check.state != Freshness::Waiting {
            return;
        }
        if self.check.entries_since.is_none() && !self.table.has_no_entries() {
            self.check.entries_since = Some(now);
        }
        let after = now - self.started_at;
        let has = |required: &EntryRevision| {
            self.table.entry(&required.key).is_some_and(|entry| entry.revision >= required.revision)
        };
        if self.check.required.as_ref().is_some_and(|required| required.iter().all(has)) {
            self.check.state = Freshness::Current { after };
        } else if self.check.timeout_at(self.started_at).is_some_and(|timeout| now >= timeout) {
            self.check.state = Freshness::TimedOut { after };
        } else {
            return;
        }
        self.check.required = None;
        self.check.link_lost(self.config.local_node);
    }

    /// The node that requests are sent to; a control node itself stands for its control store.
    fn freshness_target(&self) -> Option<Node> {
        if self.config.is_control {
            Some(self.config.local_node)
        } else {
            self.links.parent
        }
    }

    /// Sends the request in flight again after a change of parent or a time-out; a control node gives it up
    /// after the time-out.
    fn advance_request(&mut self, now: Instant) {
        let target = self.freshness_target();
        let Some(request) = &mut self.check.in_flight else { return };
        if request.requesters.is_empty() {
            self.check.in_flight = None;
            return;
        }
        let (number, timed_out) = (request.number, now >= request.sent_at + FRESHNESS_REQUEST_TIMEOUT);
        if self.config.is_control {
            if timed_out {
                self.finish_freshness_request(now, number, None);
            }
        } else if let Some(to) = target.filter(|to| timed_out || request.to != Some(*to)) {
            (request.to, request.sent_at) = (Some(to), now);
            self.send(to, MembershipMessage::FreshnessRequest { number });
        }
    }

    /// Starts one request for all waiting requesters.
    fn start_request(&mut self, now: Instant) {
        let Some(to) = self.freshness_target() else { return };
        if self.config.is_control && now < self.check.next_read_at {
            return;
        }
        let number = self.check.next_request_number;
        self.check.next_request_number = number.wrapping_add(1);
        let requesters = std::mem::take(&mut self.check.waiting);
        self.check.in_flight = Some(InFlightRequest { number, to: Some(to), sent_at: now, requesters });
        self.metrics.freshness_requests += 1;
        if !self.config.is_control {
            return self.send(to, MembershipMessage::FreshnessRequest { number });
        }
        self.check.next_read_at = now + FRESHNESS_READ_INTERVAL;
        if self.check.has_mutation(Mutation::AnswersWithoutMajority) {
            let own = self.table.entry_revisions();
            return self.finish_freshness_request(now, number, Some(own));
        }
        self.effects.push(Effect::ConfirmRevisions { request_id: number });
    }

    /// When the next action is due.
    pub(crate) fn freshness_deadline(&self) -> Instant {
        let mut deadline = Instant::MAX;
        if self.check.state == Freshness::Waiting {
            deadline = self.check.timeout_at(self.started_at).unwrap_or(deadline);
        }
        if self.check.needs_request(self.config.local_node) {
            deadline = deadline.min(self.check.next_request_at);
        }
        if self.freshness_target().is_some() {
            match &self.check.in_flight {
                Some(request) => deadline = deadline.min(request.sent_at + FRESHNESS_REQUEST_TIMEOUT),
                None if !self.check.waiting.is_empty() => deadline = deadline.min(self.check.next_read_at),
                None => (),
            }
        }
        deadline
    }
}
