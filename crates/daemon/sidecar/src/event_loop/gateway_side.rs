//! The loop's side of a gateway. Each half of a gateway is a loop of its own: the outward one takes what home's sidecars send
//! over and has the far gateways as upstreams, the inward one takes what comes over the link and has home's servers. What
//! they decide beside the module is `silvercross_gateway`'s; here it is asked and carried out.
use super::EventLoop;
use crate::lifecycle::logging::Paced;
use crate::lifecycle::start;
use crate::memory::connections::Connection;
use crate::memory::requests::Guest;
use crate::wire::application::Call;
use crate::wire::peer;
use silvercross_core::interface::Micros;
use silvercross_facade::{DiscoveryEvent, Health, Host, Report};
use silvercross_gateway::hops::{self, Hops};
use silvercross_gateway::offer::{Offer, RemoteOutcome};
use silvercross_gateway::peers::{CrossingRefused, Peers};
use silvercross_gateway::statement;
use silvercross_net::registry::Interest;
use silvercross_net::table::Handle;
use slog::{info, warn};
use std::net::SocketAddr;

/// An offer that was asked for is waited for so long; then the link counts as down until it is heard again.
const OFFER_LIMIT: Micros = 1_000_000;

/// The outward half.
pub struct Outward {
    /// This site.
    pub home: String,
    /// The site of the far gateways.
    pub far_site: String,
    /// What is known of them.
    pub peers: Peers,
    /// Where they are.
    pub addresses: Vec<SocketAddr>,
    /// The longest aim of a class: what takes longer over there is of no use.
    pub latency_target: Micros,
    /// How often they are asked.
    pub offer_interval: Micros,
    /// Which of them the module was told it may use.
    pub reported_open: Vec<bool>,
    /// The connections on which they are asked.
    pub offer_connections: Vec<Option<Handle>>,
    /// When they are to be asked next.
    pub next_offer_at: Micros,
    /// Lets a line about statements through now and then.
    pub log_pacing: Paced,
}

/// The inward half.
pub struct Inward {
    /// This site.
    pub home: String,
    /// What home can spare.
    pub offer: Offer,
    /// Among how many far gateways it is parted.
    pub far_gateways: u32,
}

/// What a loop is of a gateway.
pub enum GatewayHalf {
    /// Its outward half.
    Out(Outward),
    /// Its inward half.
    In(Inward),
}

impl Outward {
    /// The far gateways as the module is to know them: those with room as running, the others as draining.
    pub fn hosts(&self, open: &[bool]) -> Vec<Host> {
        let host = |(i, at): (usize, &SocketAddr)| Host {
            name: format!("peer-{i}"),
            address: Some(*at),
            zone: self.far_site.clone(),
            kind: "gateway".into(),
            // A cell of its own: a key's group never takes in two of them.
            cell: 1_000_000 + i as u32,
            health: if open.get(i).copied().unwrap_or(false) { Health::Ready } else { Health::Draining },
            size: 1.0,
            started_ms: 0,
        };
        self.addresses.iter().enumerate().map(host).collect()
    }
}

impl EventLoop {
    /// Whether a call may come in here: how its head goes on, or why it is sent back unseen.
    pub(super) fn admit(
        &mut self,
        call: &mut Call,
        left: Option<Micros>,
    ) -> Result<Option<Guest>, &'static str> {
        let now = self.balancer.now();
        let Some(gateway) = self.gateway.as_mut() else { return Ok(None) };
        let mark = Hops::read(call.hops.as_deref()).map_err(hops::HopError::reason)?;
        let (left, expected) = (left.unwrap_or(Micros::MAX), call.cost_hint.map_or(0.0, |h| h as f64));
        let (mark, guest) = match gateway {
            GatewayHalf::Out(o) => {
                let mark = mark.leave(&o.home).map_err(hops::HopError::reason)?;
                o.peers.may_cross(now, left, 1.0).map_err(|why| match why {
                    CrossingRefused::NoRoom => "the other side has no room",
                    CrossingRefused::NoTime => "there is no time left for the way",
                })?;
                (mark, None)
            }
            GatewayHalf::In(i) => {
                mark.arrive(&i.home).map_err(hops::HopError::reason)?;
                if !i.offer.admit(now) {
                    return Err("this side has no room");
                }
                let expected = if expected > 0.0 { expected } else { 1_000.0 };
                (mark, Some(Guest { began: now, expected, left }))
            }
        };
        call.head = with_mark(&call.head, &mark);
        Ok(guest)
    }

    /// A call that came in has its final answer, or its sender is gone.
    pub(super) fn guest_ended(&mut self, request: Handle, how: RemoteOutcome) {
        let now = self.balancer.now();
        let guest = self.requests.get_mut(request).and_then(|r| r.guest.take());
        if let (Some(GatewayHalf::In(i)), Some(g)) = (self.gateway.as_mut(), guest) {
            i.offer.ended(now, how, now - g.began, g.expected, g.left);
        }
    }

    /// The header lines that a gateway adds to an answer: on the link, what it offers.
    pub(super) fn gate_lines(&mut self) -> String {
        let (stopping, now) = (self.stop.is_some(), self.balancer.now());
        match self.gateway.as_mut() {
            Some(GatewayHalf::In(i)) => {
                if stopping {
                    i.offer.drain();
                }
                format!("{}: {}\r\n", statement::HEADER, i.offer.next_statement(now, i.far_gateways).value())
            }
            _ => String::new(),
        }
    }

    /// The far gateway at an address.
    fn peer_at(&self, to: SocketAddr) -> Option<usize> {
        match self.gateway.as_ref() {
            Some(GatewayHalf::Out(o)) => o.addresses.iter().position(|a| *a == to),
            _ => None,
        }
    }

    /// An attempt is about to be sent to an address; `false`: that far gateway's room ended as it was picked.
    pub(super) fn peer_sent(&mut self, to: SocketAddr) -> bool {
        let (now, peer) = (self.balancer.now(), self.peer_at(to));
        match (self.gateway.as_mut(), peer) {
            (Some(GatewayHalf::Out(o)), Some(peer)) => {
                let room = o.peers.has_room(now, peer);
                if room {
                    o.peers.sent(peer);
                    // With the last of its room it takes no more.
                    self.mind_gate();
                }
                room
            }
            _ => true,
        }
    }

    /// An attempt at a far gateway has ended, `took` long where it was served; `offer` came with its answer.
    pub(super) fn peer_ended(
        &mut self,
        to: SocketAddr,
        report: Option<Report>,
        took: Micros,
        offer: Option<&str>,
    ) {
        let (now, peer) = (self.balancer.now(), self.peer_at(to));
        let (Some(GatewayHalf::Out(o)), Some(peer)) = (self.gateway.as_mut(), peer) else { return };
        o.peers.ended(now, peer, (report == Some(Report::Served)).then_some(took as f64));
        if matches!(report, Some(Report::NotDelivered | Report::Reset)) {
            o.peers.link_lost(peer);
        }
        if let Some(value) = offer {
            self.heard(peer, value);
        }
        self.mind_gate();
    }

    fn heard(&mut self, peer: usize, value: &str) {
        let now = self.balancer.now();
        let Some(GatewayHalf::Out(o)) = self.gateway.as_mut() else { return };
        if let Err(why) = o.peers.receive_header(now, peer, value) {
            if let Some(before) = o.log_pacing.pass(now) {
                warn!(self.log, "a far gateway's statement was ignored"; "peer" => peer, "why" => why,
                    "times" => before + 1, "ignored" => o.peers.ignored);
            }
        }
    }

    /// Do what has become of offers: tell the module, ask the far gateways again, take connections or take none.
    pub(super) fn mind_gate(&mut self) {
        let now = self.balancer.now();
        let Some(GatewayHalf::Out(o)) = self.gateway.as_mut() else { return };
        let open: Vec<bool> = (0..o.addresses.len()).map(|p| o.peers.has_room(now, p)).collect();
        let takes = o.peers.is_open(now, o.latency_target);
        let changed = open != o.reported_open;
        o.reported_open.clone_from(&open);
        let hosts = changed.then(|| o.hosts(&open));
        if let Some(hosts) = hosts {
            info!(self.log, "far gateways with room"; "open" => open.iter().filter(|o| **o).count(), "of" => open.len());
            self.tell(&DiscoveryEvent::List { whole: true, hosts });
        }
        // A planned restart has its own way with the door.
        if self.stop.is_none() {
            self.take_connections(takes);
        }
    }

    /// Take connections from home's sidecars, or none: refused, their modules know that nothing ran, and leave the gateway
    /// out by its liveness. Idle ones are closed with it, so that no request is written to them only to be sent back.
    fn take_connections(&mut self, takes: bool) {
        if takes == self.listener.is_some() {
            return;
        }
        if takes {
            let made = start::listen(self.listen_at, false)
                .and_then(|l| self.registry.watch(l, super::LISTENER, Interest::Read));
            match made {
                Ok(listener) => self.listener = Some(listener),
                // The next look tries again.
                Err(e) => warn!(self.log, "cannot listen again"; "error" => e.to_string()),
            }
            return;
        }
        let _ = self.accept();
        self.listener = None;
        for handle in self.connections.from_applications() {
            // One that has just come may be written to already, and is answered whatever there is room for.
            if self.connections.application(handle).is_some_and(|c| c.is_idle() && c.used) {
                self.spare(handle);
            }
        }
    }

    /// Ask the far gateways for their offers, when that is due.
    pub(super) fn ask_peers(&mut self) {
        let now = self.balancer.now();
        let Some(GatewayHalf::Out(o)) = self.gateway.as_mut() else { return };
        if now < o.next_offer_at {
            return;
        }
        o.next_offer_at = now + o.offer_interval;
        let asks: Vec<(usize, SocketAddr, Option<Handle>)> = o
            .addresses
            .iter()
            .zip(&o.offer_connections)
            .enumerate()
            .map(|(i, (at, h))| (i, *at, *h))
            .collect();
        for (peer, at, handle) in asks {
            match handle.and_then(|h| self.connections.peer(h)).map(|c| c.asked) {
                // Still on its way; for too long, and the link is down.
                Some(Some(since)) if now - since < OFFER_LIMIT => {}
                Some(Some(_)) => self.peer_lost(peer),
                Some(None) => self.ask_peer(peer, now),
                None => {
                    let registry = self.registry.clone();
                    let made = self.open(at).ok().and_then(|socket| {
                        let made = self.connections.insert_with(|h| {
                            let socket = registry.watch(socket, h.number() as usize, Interest::Both)?;
                            Ok::<_, std::io::Error>(Connection::Peer(peer::Conn::new(socket, peer)))
                        });
                        made.ok().flatten()
                    });
                    if let Some(GatewayHalf::Out(o)) = self.gateway.as_mut() {
                        o.offer_connections[peer] = made;
                    }
                    self.ask_peer(peer, now);
                }
            }
        }
        self.mind_gate();
    }

    fn ask_peer(&mut self, peer: usize, now: Micros) {
        let handle = match self.gateway.as_ref() {
            Some(GatewayHalf::Out(o)) => o.offer_connections[peer],
            _ => None,
        };
        let asked = handle.and_then(|h| self.connections.peer(h)).map(|c| c.ask(now));
        if !matches!(asked, Some(Ok(()))) {
            self.peer_lost(peer);
        }
    }

    /// The connection on which a far gateway is asked has ended: what it offered went with the link.
    fn peer_lost(&mut self, peer: usize) {
        let Some(GatewayHalf::Out(o)) = self.gateway.as_mut() else { return };
        o.peers.link_lost(peer);
        let handle = o.offer_connections[peer].take();
        handle.into_iter().for_each(|h| drop(self.connections.remove(h)));
    }

    pub(super) fn peer_ready(&mut self, handle: Handle) {
        let Some(c) = self.connections.peer(handle) else { return };
        let peer = c.peer;
        match c.advance() {
            Ok(None) => {}
            Ok(Some(value)) => self.heard(peer, &value),
            Err(_) => self.peer_lost(peer),
        }
        self.mind_gate();
    }
}

/// A request's head with its hops, and with no others than these.
fn with_mark(head: &[u8], mark: &Hops) -> Vec<u8> {
    let line = |l: &&[u8]| {
        let name = l.split(|b| *b == b':').next().unwrap_or(&[]);
        !name.eq_ignore_ascii_case(hops::HEADER.as_bytes())
    };
    let mut out: Vec<u8> = head.split_inclusive(|b| *b == b'\n').filter(line).flatten().copied().collect();
    out.extend_from_slice(format!("{}: {}\r\n", hops::HEADER, mark.value()).as_bytes());
    out
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_head_goes_on_with_one_mark_and_all_else_of_it() {
        let mark = Hops::read(Some("home")).expect("a mark");
        let head = b"POST /api HTTP/1.1\r\nHost: a\r\nx-gateway-hops: forged\r\nX-Gateway-Hops: twice\r\nX-Other: 1\r\n";
        let text = String::from_utf8(with_mark(head, &mark)).expect("text");
        assert_eq!(text, "POST /api HTTP/1.1\r\nHost: a\r\nX-Other: 1\r\nX-Gateway-Hops: home\r\n");
    }
}
