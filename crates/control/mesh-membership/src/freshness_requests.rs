//! Whether this node has what a majority of the control replicas had acknowledged before it started.
//!
//! A node that started asks its parent; relays forward one request at a time up the tree, and a control node has the control
//! store confirm its revisions with a majority. The answer goes down the same way, and the node is current once its own
//! entries are at least at the revisions in the answer. A request that comes while one is in flight waits for the next one:
//! the one in flight may have read before it was asked. Nothing is sent at rest: only nodes that started ask.
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
    /// What a majority of the control replicas had at some time after [`Effect::ConfirmRevisions`] was given out with this
    /// `request_id`: each key that was ever written. `None`: no majority was reached.
    pub fn revisions_confirmed(
        &mut self,
        now: Instant,
        request_id: u64,
        revisions: Option<Vec<EntryRevision>>,
    ) {
        self.note_time(now);
        self.finish_freshness_request(now, request_id, revisions);
        self.settle(now);
    }

    /// A neighbour asks. The same request again changes nothing.
    pub(crate) fn receive_freshness_request(&mut self, from: Node, number: u64) {
        let joins = self.check.has_mutation(Mutation::JoinsReadInFlight);
        if let Some(request) = &mut self.check.in_flight {
            if joins {
                request.askers.insert(from, number);
            }
            if request.askers.get(&from) == Some(&number) {
                return;
            }
        }
        self.check.waiting.insert(from, number);
    }

    /// The answer to the request in flight; one to another request is too late.
    pub(crate) fn finish_freshness_request(
        &mut self,
        now: Instant,
        number: u64,
        revisions: Option<Vec<EntryRevision>>,
    ) {
        let Some(request) = self.check.in_flight.take_if(|request| request.number == number) else { return };
        let too_many = revisions.as_ref().is_some_and(|revisions| revisions.len() > MAX_CONTROL_ENTRIES);
        self.metrics.rejected_items += u64::from(too_many);
        // Reads that take long, for there are many keys or no majority, take up half of the time at most.
        let pause = (now - request.sent_at).min(FRESHNESS_RETRY_DELAY);
        self.check.read_at = self.check.read_at.max(now + pause);
        let revisions = revisions.filter(|_| !too_many);
        for (node, number) in request.askers {
            if node != self.config.local_node {
                let revisions = revisions.clone();
                self.send(node, MembershipMessage::FreshnessReply { number, revisions });
            } else if self.check.state == Freshness::Waiting {
                self.check.wanted.clone_from(&revisions);
                self.check.ask_at = now + FRESHNESS_RETRY_DELAY;
            }
        }
    }

    /// Does what is due for this node and its children.
    pub(crate) fn tend_freshness(&mut self, now: Instant) {
        self.update_freshness(now);
        let local_node = self.config.local_node;
        if self.check.has_to_ask(local_node) && now >= self.check.ask_at {
            self.check.waiting.insert(local_node, 0);
        }
        self.tend_request(now);
        if self.check.in_flight.is_none() && !self.check.waiting.is_empty() {
            self.begin_request(now);
        }
    }

    /// Whether the node is current by now, or has waited for long enough.
    fn update_freshness(&mut self, now: Instant) {
        if self.check.state != Freshness::Waiting {
            return;
        }
        if self.check.entries_since.is_none() && !self.table.has_no_entries() {
            self.check.entries_since = Some(now);
        }
        let after = now - self.started_at;
        let has = |wanted: &EntryRevision| {
            self.table.entry(&wanted.key).is_some_and(|entry| entry.revision >= wanted.revision)
        };
        if self.check.wanted.as_ref().is_some_and(|wanted| wanted.iter().all(has)) {
            self.check.state = Freshness::Current { after };
        } else if self.check.timeout_at(self.started_at).is_some_and(|timeout| now >= timeout) {
            self.check.state = Freshness::TimedOut { after };
        } else {
            return;
        }
        self.check.wanted = None;
        self.check.link_lost(self.config.local_node);
    }

    /// Where requests go: at a control node to the control store, given by its own name.
    fn freshness_target(&self) -> Option<Node> {
        if self.config.is_control {
            Some(self.config.local_node)
        } else {
            self.links.parent
        }
    }

    /// Sends the request in flight again to another parent, or after a while; a control node gives it up.
    fn tend_request(&mut self, now: Instant) {
        let target = self.freshness_target();
        let Some(request) = &mut self.check.in_flight else { return };
        if request.askers.is_empty() {
            self.check.in_flight = None;
            return;
        }
        let (number, late) = (request.number, now >= request.sent_at + FRESHNESS_REQUEST_TIMEOUT);
        if self.config.is_control {
            if late {
                self.finish_freshness_request(now, number, None);
            }
        } else if let Some(to) = target.filter(|to| late || request.to != Some(*to)) {
            (request.to, request.sent_at) = (Some(to), now);
            self.send(to, MembershipMessage::FreshnessRequest { number });
        }
    }

    /// One request for all that wait.
    fn begin_request(&mut self, now: Instant) {
        let Some(to) = self.freshness_target() else { return };
        if self.config.is_control && now < self.check.read_at {
            return;
        }
        let number = self.check.next_number;
        self.check.next_number = number.wrapping_add(1);
        let askers = std::mem::take(&mut self.check.waiting);
        self.check.in_flight = Some(InFlightRequest { number, to: Some(to), sent_at: now, askers });
        self.metrics.freshness_requests += 1;
        if !self.config.is_control {
            return self.send(to, MembershipMessage::FreshnessRequest { number });
        }
        self.check.read_at = now + FRESHNESS_READ_INTERVAL;
        if self.check.has_mutation(Mutation::AnswersWithoutMajority) {
            let own = self.table.entry_revisions();
            return self.finish_freshness_request(now, number, Some(own));
        }
        self.effects.push(Effect::ConfirmRevisions { request_id: number });
    }

    /// When something is due.
    pub(crate) fn freshness_deadline(&self) -> Instant {
        let mut deadline = Instant::MAX;
        if self.check.state == Freshness::Waiting {
            deadline = self.check.timeout_at(self.started_at).unwrap_or(deadline);
        }
        if self.check.has_to_ask(self.config.local_node) {
            deadline = deadline.min(self.check.ask_at);
        }
        if self.freshness_target().is_some() {
            match &self.check.in_flight {
                Some(request) => deadline = deadline.min(request.sent_at + FRESHNESS_REQUEST_TIMEOUT),
                None if !self.check.waiting.is_empty() => deadline = deadline.min(self.check.read_at),
                None => (),
            }
        }
        deadline
    }
}
