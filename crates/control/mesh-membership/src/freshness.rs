//! Whether this node has what a majority of the control replicas had acknowledged before it started.
//!
//! A node that started asks its parent; relays pass one request at a time up the tree, and a core node has the control
//! store confirm its revisions with a majority. The answer goes down the same way, and the node is current once its own
//! pages are at least at the revisions that were told. A request that comes while one is under way waits for the next
//! one: the one under way may have read before it was asked. Nothing is sent at rest: only nodes that started ask.
use crate::membership::Membership;
use crate::{Effect, MembershipMessage, Micros, Node, Revision, MAX_CONTROL_ENTRIES};
use std::collections::BTreeMap;
use std::fmt::Debug;

/// A node that started is not called current for longer than this: then it serves what it has.
pub const READINESS_TIMEOUT: Micros = 8_000_000;
/// Nor does the bound end the check before the node has had a page for so long, or has gone on after standing still for
/// so long: what it gets from one that was cut off for all that time is not served unseen.
pub const READINESS_GRACE: Micros = 2_000_000;
/// A request that was not answered is sent again after so long; a core node gives a read up after it.
pub const FRESHNESS_REQUEST_TIMEOUT: Micros = 2_000_000;
/// After an answer that no majority was reached the node asks again so much later.
pub const FRESHNESS_RETRY_DELAY: Micros = 300_000;
/// Between the beginnings of two reads at a core node, so that many starts share few reads.
pub const FRESHNESS_READ_INTERVAL: Micros = 20_000;

/// What is known of a node's pages against those that a majority had acknowledged before it started. Times are counted
/// from its start.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Freshness {
    /// Not yet known.
    Waiting,
    /// It has them, since then.
    Current {
        /// How long it took.
        after: Micros,
    },
    /// It could not be found out within [`READINESS_TIMEOUT`], or [`READINESS_GRACE`] after the first page.
    TimedOut {
        /// How long it took.
        after: Micros,
    },
}

/// How the check is broken on purpose; without the feature `mutants` nothing heeds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// A core node answers from its own pages, and asks no majority.
    AnswersWithoutMajority,
    /// A request joins the one that is under way already.
    JoinsReadInFlight,
}

/// A request under way: to the parent, or at a core node to the control store.
struct UnderWay {
    number: u64,
    /// `None`: the one it was sent to is lost.
    to: Option<Node>,
    sent: Micros,
    /// For whom, and the number that each gave its own request. Linked nodes, and this one.
    askers: BTreeMap<Node, u64>,
}

/// The check of this node, and those of its children.
pub(crate) struct Check {
    state: Freshness,
    /// What a majority had; the own pages lack some of it.
    wanted: Option<Vec<(String, Revision)>>,
    /// Since when there has been a page, and the node hasn't stood still.
    paged: Option<Micros>,
    /// This node's own request is not made before this.
    ask_at: Micros,
    /// No read is begun before this.
    read_at: Micros,
    /// The next request's. Begins at a drawn number, so that an answer to a former life fits nothing.
    number: u64,
    /// Who waits for the next request: at most one for each link, and this node.
    waiting: BTreeMap<Node, u64>,
    under_way: Option<UnderWay>,
    mutation: Option<Mutation>,
}

impl Check {
    /// A core node is asked, and has its state from the control store: it doesn't ask itself.
    pub fn new(now: Micros, is_control: bool, number: u64) -> Self {
        Check {
            state: if is_control { Freshness::Current { after: 0 } } else { Freshness::Waiting },
            wanted: None,
            paged: None,
            ask_at: now,
            read_at: now,
            number,
            waiting: BTreeMap::new(),
            under_way: None,
            mutation: None,
        }
    }

    fn is(&self, mutation: Mutation) -> bool {
        cfg!(feature = "mutants") && self.mutation == Some(mutation)
    }

    fn asks(&self, node: Node) -> bool {
        self.waiting.contains_key(&node)
            || self.under_way.as_ref().is_some_and(|request| request.askers.contains_key(&node))
    }

    /// Whether the node's own answer is still to be asked for.
    fn unasked(&self, local_node: Node) -> bool {
        self.state == Freshness::Waiting && self.wanted.is_none() && !self.asks(local_node)
    }

    /// After standing still for so long.
    pub fn stood_still(&mut self, now: Micros, span: Micros) {
        if span >= READINESS_GRACE && self.paged.is_some() {
            self.paged = Some(now);
        }
    }

    /// When the bound ends the check, if nothing else does; not before there is a page.
    fn bound(&self, began: Micros) -> Option<Micros> {
        Some((self.paged? + READINESS_GRACE).max(began + READINESS_TIMEOUT))
    }

    /// The link to a node is lost: it asks again over the next one.
    pub fn lost(&mut self, node: Node) {
        self.waiting.remove(&node);
        if let Some(request) = &mut self.under_way {
            request.askers.remove(&node);
            if request.to == Some(node) {
                request.to = None;
            }
        }
    }
}

impl<T: Clone + PartialEq + Debug> Membership<T> {
    /// Whether this node has what a majority had acknowledged before it started. Never goes back to waiting.
    pub fn freshness(&self) -> Freshness {
        self.check.state
    }

    /// What a majority of the control replicas had at some time after [`Effect::ConfirmRevisions`] was given out with
    /// this ticket: each key that was ever written. `None`: no majority was reached.
    pub fn revisions_confirmed(
        &mut self,
        now: Micros,
        request_id: u64,
        revisions: Option<Vec<(String, Revision)>>,
    ) {
        self.at(now);
        self.freshness_answered(now, request_id, revisions);
        self.settle(now);
    }

    /// Breaks a rule on purpose.
    #[cfg(feature = "mutants")]
    #[doc(hidden)]
    pub fn set_mutation(&mut self, mutation: Mutation) {
        self.check.mutation = Some(mutation);
    }

    /// A neighbour asks. The same request again changes nothing.
    pub(crate) fn freshness_asked(&mut self, from: Node, number: u64) {
        let joins = self.check.is(Mutation::JoinsReadInFlight);
        if let Some(request) = &mut self.check.under_way {
            if joins {
                request.askers.insert(from, number);
            }
            if request.askers.get(&from) == Some(&number) {
                return;
            }
        }
        self.check.waiting.insert(from, number);
    }

    /// The answer to the request under way; one to another request is too late.
    pub(crate) fn freshness_answered(
        &mut self,
        now: Micros,
        number: u64,
        revisions: Option<Vec<(String, Revision)>>,
    ) {
        let Some(request) = self.check.under_way.take_if(|request| request.number == number) else { return };
        let most = revisions.as_ref().is_some_and(|revisions| revisions.len() > MAX_CONTROL_ENTRIES);
        self.metrics.rejected_items += u64::from(most);
        // Reads that take long, for there are many keys or no majority, take up half of the time at most.
        self.check.read_at = self.check.read_at.max(now + (now - request.sent).min(FRESHNESS_RETRY_DELAY));
        let revisions = revisions.filter(|_| !most);
        for (node, number) in request.askers {
            if node != self.start.local_node {
                self.send(node, MembershipMessage::FreshnessReply { number, revisions: revisions.clone() });
            } else if self.check.state == Freshness::Waiting {
                self.check.wanted.clone_from(&revisions);
                self.check.ask_at = now + FRESHNESS_RETRY_DELAY;
            }
        }
    }

    /// Does what is due for this node and its children.
    pub(crate) fn tend_freshness(&mut self, now: Micros) {
        self.judge_freshness(now);
        let local_node = self.start.local_node;
        if self.check.unasked(local_node) && now >= self.check.ask_at {
            self.check.waiting.insert(local_node, 0);
        }
        self.tend_request(now);
        if self.check.under_way.is_none() && !self.check.waiting.is_empty() {
            self.next_request(now);
        }
    }

    /// Whether the node is current by now, or has waited for long enough.
    fn judge_freshness(&mut self, now: Micros) {
        if self.check.state != Freshness::Waiting {
            return;
        }
        if self.check.paged.is_none() && !self.table.entries.is_empty() {
            self.check.paged = Some(now);
        }
        let after = now - self.began;
        let has = |(key, revision): &(String, Revision)| {
            self.table.entries.get(key).is_some_and(|page| page.0 >= *revision)
        };
        if self.check.wanted.as_ref().is_some_and(|wanted| wanted.iter().all(has)) {
            self.check.state = Freshness::Current { after };
        } else if self.check.bound(self.began).is_some_and(|bound| now >= bound) {
            self.check.state = Freshness::TimedOut { after };
        } else {
            return;
        }
        self.check.wanted = None;
        self.check.lost(self.start.local_node);
    }

    /// Where requests go: at a core node to the control store, told by its own name.
    fn freshness_way(&self) -> Option<Node> {
        if self.start.is_control {
            Some(self.start.local_node)
        } else {
            self.parent
        }
    }

    /// Sends the request under way again to another parent, or after a while; a core node gives it up.
    fn tend_request(&mut self, now: Micros) {
        let way = self.freshness_way();
        let Some(request) = &mut self.check.under_way else { return };
        if request.askers.is_empty() {
            self.check.under_way = None;
            return;
        }
        let (number, late) = (request.number, now >= request.sent + FRESHNESS_REQUEST_TIMEOUT);
        if self.start.is_control {
            if late {
                self.freshness_answered(now, number, None);
            }
        } else if let Some(to) = way.filter(|to| late || request.to != Some(*to)) {
            (request.to, request.sent) = (Some(to), now);
            self.send(to, MembershipMessage::FreshnessRequest { number });
        }
    }

    /// One request for all that wait.
    fn next_request(&mut self, now: Micros) {
        let Some(to) = self.freshness_way() else { return };
        if self.start.is_control && now < self.check.read_at {
            return;
        }
        let number = self.check.number;
        self.check.number = number.wrapping_add(1);
        let askers = std::mem::take(&mut self.check.waiting);
        self.check.under_way = Some(UnderWay { number, to: Some(to), sent: now, askers });
        self.metrics.freshness_requests += 1;
        if !self.start.is_control {
            return self.send(to, MembershipMessage::FreshnessRequest { number });
        }
        self.check.read_at = now + FRESHNESS_READ_INTERVAL;
        if self.check.is(Mutation::AnswersWithoutMajority) {
            let own = self.table.entries.iter().map(|(key, page)| (key.clone(), page.0)).collect();
            return self.freshness_answered(now, number, Some(own));
        }
        self.out.push(Effect::ConfirmRevisions { request_id: number });
    }

    /// When something is due.
    pub(crate) fn freshness_due(&self) -> Micros {
        let mut due = Micros::MAX;
        if self.check.state == Freshness::Waiting {
            due = self.check.bound(self.began).unwrap_or(due);
        }
        if self.check.unasked(self.start.local_node) {
            due = due.min(self.check.ask_at);
        }
        if self.freshness_way().is_some() {
            match &self.check.under_way {
                Some(request) => due = due.min(request.sent + FRESHNESS_REQUEST_TIMEOUT),
                None if !self.check.waiting.is_empty() => due = due.min(self.check.read_at),
                None => (),
            }
        }
        due
    }
}
