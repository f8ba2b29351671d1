//! Sending datagrams: selection of recipients and piggybacked updates (SWIM, 4.1).
use super::state::Members;
use crate::identity::Identity;
use crate::limits::{GOSSIP_FANOUT, MAX_QUEUED_DATAGRAMS};
use crate::wire::{Message, Packet, Sender, MAX_DATAGRAM_BYTES, PACKET_OVERHEAD_BYTES};
use rand_core::RngCore;
use std::net::SocketAddr;

impl Members {
    /// Up to `most` random live members, excluding `but`.
    pub(super) fn random_live_members(
        &mut self,
        most: usize,
        but: Option<Identity>,
    ) -> Vec<(Identity, SocketAddr)> {
        let mut chosen: Vec<(Identity, SocketAddr)> = Vec::new();
        if self.table.is_empty() || most == 0 {
            return chosen;
        }
        // Random draws first, since most members are live; if none of them hits, the first live one in the table.
        for _ in 0..most * 4 {
            let index = self.rng.next_u32() as usize % self.table.len();
            let Some(s) = self.table.by_index(index) else { continue };
            let id = s.record.id;
            if s.state.is_live() && Some(id) != but && !chosen.iter().any(|c| c.0 == id) {
                chosen.push((id, s.record.at));
            }
            if chosen.len() == most {
                return chosen;
            }
        }
        if chosen.is_empty() {
            let any_live = self.table.all().find(|s| s.state.is_live() && Some(s.record.id) != but);
            chosen.extend(any_live.map(|s| (s.record.id, s.record.at)));
        }
        chosen
    }

    /// Sends one round of gossip.
    pub(super) fn gossip(&mut self) {
        if self.updates.is_empty() {
            return;
        }
        for (_, at) in self.random_live_members(GOSSIP_FANOUT, None) {
            if self.updates.is_empty() {
                return;
            }
            self.send(at, Message::Gossip, None);
        }
    }

    pub(super) fn next_sender(&mut self) -> Sender {
        self.last_message_number += 1;
        Sender {
            id: self.me.id,
            incarnation: self.me.incarnation,
            nonce: self.me.nonce,
            number: self.last_message_number,
        }
    }

    /// Queues a datagram and fills it with updates, those about `first` first.
    pub(super) fn send(&mut self, to: SocketAddr, message: Message, first: Option<Identity>) {
        if self.datagrams.len() >= MAX_QUEUED_DATAGRAMS {
            self.metrics.send_queue_full += 1;
            return;
        }
        let from = self.next_sender();
        let fleet = self.table.live() + 1;
        let updates = self.updates.take(MAX_DATAGRAM_BYTES - PACKET_OVERHEAD_BYTES, fleet, first);
        let bytes = self.config.fleet.encode_packet(&Packet { from, message, updates });
        self.metrics.sent += 1;
        self.metrics.sent_bytes += bytes.len() as u64;
        self.datagrams.push_back((to, bytes));
    }

    /// Starts an exchange with the next seed whose address belongs to no live member. This goes on at a low rate after the start,
    /// because two parts of a fleet that restarted at new addresses may know nothing of each other.
    pub(super) fn ask_seed(&mut self) {
        for _ in 0..self.seeds.len() {
            let at = self.seeds[self.next_seed % self.seeds.len()];
            self.next_seed += 1;
            if !self.table.all().any(|s| s.state.is_live() && s.record.at == at) {
                return self.queue_exchange(at);
            }
        }
    }
}
