//! Inputs of a member: datagrams and the local endpoint list. Replay check, rate limit, ping, ack, ping-req, nack, and refutation
//! of reports about this member (SWIM, 4.2). Changes of the member table are in `reports.rs`.
use super::event::Event;
use super::state::{Members, RelayedProbe};
use crate::config::Mutant;
use crate::drains::Drain;
use crate::identity::{Identity, Incarnation};
use crate::limits::{DIGEST_MISMATCHES, MAX_LOCAL_HEALTH_MULTIPLIER, MAX_RELAYED_PROBES};
use crate::table::State;
use crate::time::Micros;
use crate::updates::MembershipUpdate;
use crate::wire::{DecodeError, Message, Sender};
use rand_core::RngCore;
use std::net::SocketAddr;

impl Members {
    /// Updates the local endpoint list to a version, with each upstream's name, last start and whether it is draining; `whole`
    /// means that the list was replaced and not patched. Returns the reports of other members that it supersedes.
    pub fn update_endpoint_list<'a>(
        &mut self,
        seq: u64,
        whole: bool,
        entries: impl Iterator<Item = (&'a str, u64, bool)>,
    ) -> Vec<Drain> {
        let superseded = self.drains.set_list_version(seq, whole);
        for (host, born_ms, draining) in entries {
            if !draining {
                self.drains.remove_own(host);
                continue;
            }
            let drain = Drain { host: host.to_string(), born_ms, seq };
            if self.drains.add_own(&drain) && !self.stood_down {
                self.updates.add(MembershipUpdate::Drain(drain));
            }
        }
        superseded
    }

    /// Handles a received datagram.
    pub fn handle_datagram(&mut self, now: Micros, bytes: &[u8]) {
        self.metrics.received_bytes += bytes.len() as u64;
        let packet = match self.config.fleet.decode_packet(bytes) {
            Ok(packet) => packet,
            Err(DecodeError::Foreign) => return self.metrics.foreign += 1,
            Err(DecodeError::Corrupt) => return self.metrics.corrupt += 1,
            Err(DecodeError::Version(_)) => return self.metrics.unsupported_version += 1,
        };
        if self.stood_down {
            return;
        }
        if !self.admit(now, &packet.from) {
            self.metrics.replayed += 1;
            return;
        }
        // Messages that pass the checksum and the replay check count towards their sender's limit, which bounds the load that
        // one member can cause.
        let (period, member) = (self.config.period, self.table.get_mut(packet.from.id));
        if member.is_some_and(|m| m.exceeds_message_limit(now, period)) {
            self.metrics.rate_limited += 1;
            return;
        }
        self.metrics.accepted += 1;
        for update in packet.updates {
            self.handle_update(now, update, packet.from.id, false);
        }
        self.handle_message(now, packet.from, packet.message);
        self.notify_view_change();
    }

    /// Whether to accept a message: it is from the current process of a member and not a replay. Messages of unknown members
    /// are accepted; their record is then requested with an exchange.
    pub(super) fn admit(&mut self, now: Micros, from: &Sender) -> bool {
        if from.id == self.me.id {
            // Either an echo of this process's own message or a message of another process with this identity. The latter is
            // resolved when its record arrives as an update.
            return from.nonce != self.me.nonce;
        }
        let Some(member) = self.table.get_mut(from.id) else { return true };
        if member.record.nonce != from.nonce {
            // Messages of a replaced process are rejected. One with a newer incarnation is accepted, also if a restored folder
            // gave it the same start number; its record arrives as an update.
            return from.incarnation > member.record.incarnation;
        }
        if !member.window.accept(from.number) {
            return false;
        }
        member.heard_at = Some(now);
        self.last_heard = Some(from.id);
        true
    }

    pub(super) fn handle_message(&mut self, now: Micros, from: Sender, message: Message) {
        match message {
            Message::Ping { probe, to, at, held, digest } if to == self.me.id => {
                self.refute_if_needed(held);
                self.compare_digests(from.id, at, digest);
                let ack = Message::Ack { probe, digest: self.digest() };
                let me = held.is_some().then_some(self.me.id);
                self.send(at, ack, me);
            }
            Message::Ping { at, .. } => {
                // The ping is for a member that had this address before. Its sender may know members that this one does not.
                if self.table.get(from.id).is_none_or(|s| !s.state.is_live()) {
                    self.queue_exchange(at);
                }
            }
            Message::Ack { probe, digest } => self.handle_ack(from.id, probe, digest),
            Message::PingReq { probe, target, target_at, at, held } => {
                if self.relayed_probes.len() >= MAX_RELAYED_PROBES {
                    return;
                }
                let ping_number = self.next_probe_number();
                self.relayed_probes.push(RelayedProbe {
                    own_number: ping_number,
                    origin_number: probe,
                    at,
                    nack_at: now + self.config.ping_timeout(),
                    until: now + self.config.period * Micros::from(1 + MAX_LOCAL_HEALTH_MULTIPLIER),
                    nacked: false,
                });
                let held = held.or_else(|| self.held_state(target));
                let ping = self.ping(ping_number, target, held);
                self.send(target_at, ping, Some(target));
            }
            Message::Nack { probe } => {
                if let Some(p) = self.probe.as_mut().filter(|p| p.number == probe) {
                    p.nacks += 1;
                }
            }
            Message::Gossip => {}
        }
    }

    /// Handles an ack of this member's probe, or of an indirect probe, whose ack is forwarded to the requesting member.
    fn handle_ack(&mut self, sender: Identity, probe: u64, digest: u64) {
        if let Some(i) = self.relayed_probes.iter().position(|r| r.own_number == probe) {
            let r = self.relayed_probes.swap_remove(i);
            return self.send(r.at, Message::Ack { probe: r.origin_number, digest }, Some(sender));
        }
        let Some(p) = self.probe.as_mut().filter(|p| p.number == probe) else { return };
        if !p.answered {
            p.answered = true;
            self.local_health_multiplier = self.local_health_multiplier.saturating_sub(1);
        }
        let at = self.table.get(sender).map(|s| s.record.at);
        at.into_iter().for_each(|at| self.compare_digests(sender, at, digest));
    }

    /// Refutes at once if another member's state of this one is not alive.
    pub(super) fn refute_if_needed(&mut self, held: Option<(State, Incarnation)>) {
        match held {
            Some((state, i)) if state != State::Alive && i >= self.me.incarnation => self.refute(state, i),
            _ => {}
        }
    }

    pub(super) fn refute(&mut self, state: State, seen: Incarnation) {
        if self.leaving || self.stood_down || self.config.has_mutant(Mutant::NoRefutation) {
            return;
        }
        if seen.start_number() > self.me.incarnation.start_number() {
            // A later start of this identity exists: this process runs on an older state of the data folder, or on a copy.
            let other = self.me.at;
            return self.stand_down(true, other);
        }
        self.me.incarnation = self.me.incarnation.above(seen);
        self.metrics.refutations += 1;
        if state == State::Suspect {
            self.local_health_multiplier =
                (self.local_health_multiplier + 1).min(MAX_LOCAL_HEALTH_MULTIPLIER);
        }
        self.updates.add(MembershipUpdate::Alive(self.me.clone()));
        self.events.push_back(Event::Refuted(state));
    }

    /// Starts an exchange when other members' digests keep differing for longer than gossip needs to converge, or at once with a
    /// member that is not known as live.
    pub(super) fn compare_digests(&mut self, id: Identity, at: SocketAddr, digest: u64) {
        let unknown = self.table.get(id).is_none_or(|s| !s.state.is_live());
        if digest == self.digest() && !unknown {
            self.digest_mismatches = 0;
            return;
        }
        self.digest_mismatches += 1;
        let threshold = DIGEST_MISMATCHES + (self.rng.next_u32() % DIGEST_MISMATCHES);
        if unknown
            || (self.digest_mismatches > threshold && self.updates.is_empty())
            || self.digest_mismatches > 4 * threshold
        {
            self.digest_mismatches = 0;
            self.queue_exchange(at);
        }
    }

    pub(super) fn queue_exchange(&mut self, at: SocketAddr) {
        if self.exchanges.len() < 4 && !self.exchanges.contains(&at) && at != self.me.at {
            self.exchanges.push_back(at);
        }
    }
}
