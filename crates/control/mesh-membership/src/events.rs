//! Entry points for the caller: messages, datagrams, link events, outcomes and time. Each call records the
//! time, delegates to the role concerned and lets the roles react. The protocol rules are in the files of
//! the roles.
use crate::control_quorum::ControlQuorum;
use crate::datagram::Datagram;
use crate::effect::Effect;
use crate::limits::MAX_NODES;
use crate::membership::Membership;
use crate::message::MembershipMessage;
use crate::node::Node;
use crate::timing::{FORGET_INTERVAL, GONE_RECORD_RETENTION, STALL_THRESHOLD};
use crate::watch::Watch;
use silvercross_time::Instant;
use std::fmt::Debug;

impl<T: Clone + PartialEq + Debug> Membership<T> {
    /// Replaces the seeds; nodes learned in the meantime stay known.
    pub fn set_seeds(&mut self, now: Instant, seeds: &[Node]) {
        self.config.seeds = self.config.shuffled_seeds(seeds);
        self.links.placement_changed = true;
        self.tick(now);
    }

    /// Replaces what makes a majority of the replicas, called on a control node whenever its control store has
    /// another replica set.
    pub fn set_control_quorum(&mut self, now: Instant, quorum: ControlQuorum) {
        self.note_time(now);
        self.control_quorum = quorum;
        self.react_to_changes(now);
    }

    /// Handles a message received over a link. Messages of a node without a link are dropped.
    pub fn receive(&mut self, now: Instant, from: Node, message: MembershipMessage<T>) {
        self.note_time(now);
        let Some(link) = self.links.up.get_mut(&from) else { return };
        link.heard_at = now;
        match message {
            MembershipMessage::Hello { record, digest, known_items, position } => {
                link.set_position(position);
                link.has_hello = true;
                self.receive_hello(now, from, record, digest, known_items);
                self.choose_links(now);
            }
            MembershipMessage::KeepAlive { digest, wants_reply, position } => {
                let position_changed = link.set_position(position);
                self.receive_keepalive(now, from, digest, wants_reply);
                if position_changed {
                    self.choose_links(now);
                }
            }
            MembershipMessage::BucketDigests { digests } => self.receive_bucket_digests(from, &digests),
            MembershipMessage::VersionIndex { buckets, records, entries } => {
                self.receive_version_index(now, from, &buckets, records, entries);
            }
            MembershipMessage::Fetch { nodes, keys } => {
                self.send_records(from, nodes.into_iter().collect());
                self.receive_entry_request(from, keys);
            }
            MembershipMessage::Update { records, entries }
            | MembershipMessage::Snapshot { records, entries } => {
                records.into_iter().for_each(|record| self.receive_record(now, from, record));
                entries.into_iter().for_each(|entry| self.receive_entry(now, from, entry));
            }
            MembershipMessage::FreshnessRequest { number } => self.receive_freshness_request(from, number),
            MembershipMessage::FreshnessReply { number, revisions } => {
                self.finish_freshness_request(now, number, revisions);
            }
        }
        self.react_to_changes(now);
    }

    /// Reports that part of a message arrived over a link, which shows that the other side is alive.
    pub fn chunk_received(&mut self, now: Instant, from: Node) {
        self.note_time(now);
        if let Some(link) = self.links.up.get_mut(&from) {
            link.heard_at = now;
            link.requests.record_progress(now);
        }
    }

    /// Handles a received datagram.
    pub fn receive_datagram(&mut self, now: Instant, from: Node, datagram: Datagram) {
        self.note_time(now);
        self.handle_datagram(now, from, datagram);
        self.react_to_changes(now);
    }

    /// Reports that a link is up, whichever side opened it.
    pub fn link_up(&mut self, now: Instant, node: Node) {
        self.note_time(now);
        let full = self.links.up.len() >= MAX_NODES && !self.links.up.contains_key(&node);
        if node == self.config.local_node || full {
            self.effects.push(Effect::CloseLink { to: node });
            return;
        }
        self.add_link(now, node);
        self.send_hello(node);
        self.react_to_changes(now);
    }

    /// Reports that a link went down or could not be opened.
    pub fn link_down(&mut self, now: Instant, node: Node) {
        self.note_time(now);
        self.handle_link_down(now, node);
        self.react_to_changes(now);
    }

    /// Reports the outcome of [`Effect::Probe`]: whether the node's machine accepted a connection.
    pub fn probe_finished(&mut self, now: Instant, node: Node, reachable: bool) {
        self.note_time(now);
        self.handle_probe_outcome(now, node, reachable);
        self.react_to_changes(now);
    }

    /// Performs the work that is due at this time.
    pub fn tick(&mut self, now: Instant) {
        self.note_time(now);
        self.maintain_links(now);
        self.maintain_watches(now);
        if now >= self.next_forget_at {
            self.next_forget_at = now + FORGET_INTERVAL;
            self.table.forget_gone(now, self.config.local_node);
            self.links.failed.retain(|_, failed| failed.retry_at + GONE_RECORD_RETENTION > now);
        }
        if now >= self.links.next_choice_at {
            self.choose_links(now);
        }
        self.react_to_changes(now);
    }

    /// When the next tick is due.
    pub fn next_deadline(&self) -> Instant {
        let own = self.watches.next_heartbeat_at.min(self.next_forget_at).min(self.links.next_choice_at);
        own.min(self.links_deadline()).min(self.watches_deadline()).min(self.freshness_deadline())
    }

    /// Returns the effects since the last call. Updates are batched into as few messages as possible for
    /// each link.
    pub fn take_effects(&mut self) -> Vec<Effect<T>> {
        self.flush_updates();
        std::mem::take(&mut self.effects)
    }

    /// Records the time. After a stall, links and monitored nodes are treated as just heard, because
    /// silence during the stall proves nothing.
    pub(crate) fn note_time(&mut self, now: Instant) {
        let since = now - self.last_call_at;
        if since > STALL_THRESHOLD {
            self.check.handle_stall(now, since);
            self.links.up.values_mut().for_each(|link| link.heard_at = now);
            self.watches.watched.values_mut().for_each(|watch| *watch = Watch::new(now));
        }
        self.last_call_at = self.last_call_at.max(now);
    }

    /// Lets the roles react to what an event has changed.
    pub(crate) fn react_to_changes(&mut self, now: Instant) {
        if self.links.placement_changed {
            self.choose_links(now);
        }
        self.announce_position();
        self.advance_freshness_check(now);
    }

    pub(crate) fn send(&mut self, to: Node, message: MembershipMessage<T>) {
        self.metrics.messages_sent += 1;
        self.effects.push(Effect::SendMessage { to, message });
    }
}
