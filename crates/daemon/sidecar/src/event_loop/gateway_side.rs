//! The event loop as a half of a gateway between two sites. Each half is a loop of its own. The outward half accepts requests
//! from the home site's sidecars and has the far gateways as upstreams; the inward half accepts requests from the far gateways
//! and has the home site's servers as upstreams. What a gateway decides besides the decision module is in
//! `silvercross_gateway`; this file calls it and carries out the result.
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

/// An offer that is not received within this time after its request means that the link is down until the next offer.
const OFFER_TIMEOUT: Micros = 1_000_000;

/// State of an outward half.
pub struct Outward {
    /// Name of this site.
    pub home: String,
    /// Name of the far gateways' site.
    pub far_site: String,
    /// The far gateways' offers and response times.
    pub peers: Peers,
    /// Their addresses.
    pub addresses: Vec<SocketAddr>,
    /// The longest latency target of a class: a far response that takes longer is of no use.
    pub latency_target: Micros,
    /// Interval at which their offers are requested.
    pub offer_interval: Micros,
    /// For each of them, whether it had free capacity when last reported to the balancer.
    pub reported_open: Vec<bool>,
    /// For each of them, the connection on which its offer is requested.
    pub offer_connections: Vec<Option<Handle>>,
    /// When offers are requested next.
    pub next_offer_at: Micros,
    /// Limits the rate of log lines about ignored offers.
    pub log_pacing: Paced,
}

/// State of an inward half.
pub struct Inward {
    /// Name of this site.
    pub home: String,
    /// What the home site offers to the far site.
    pub offer: Offer,
    /// Number of far gateways that share the offer.
    pub far_gateways: u32,
}

/// One half of a gateway.
pub enum GatewayHalf {
    /// The outward half.
    Out(Outward),
    /// The inward half.
    In(Inward),
}

impl Outward {
    /// The far gateways as entries of the balancer's list: those with free capacity as ready, the others as draining.
    pub fn hosts(&self, open: &[bool]) -> Vec<Host> {
        let host = |(i, at): (usize, &SocketAddr)| Host {
            name: format!("peer-{i}"),
            address: Some(*at),
            zone: self.far_site.clone(),
            kind: "gateway".into(),
            // Each has a cell of its own: far gateways do not drop each other's duplicates, as the upstreams of one cell may
            // do (`DedupGroup::Cell`).
            cell: 1_000_000 + i as u32,
            health: if open.get(i).copied().unwrap_or(false) { Health::Ready } else { Health::Draining },
            size: 1.0,
            started_ms: 0,
        };
        self.addresses.iter().enumerate().map(host).collect()
    }
}

impl EventLoop {
    /// Decides whether a gateway half admits a request, and puts its hops into its head. On error it is rejected unprocessed,
    /// with this reason.
    pub(super) fn admit(
        &mut self,
        call: &mut Call,
        left: Option<Micros>,
    ) -> Result<Option<Guest>, &'static str> {
        let now = self.balancer.now();
        let Some(gateway) = self.gateway.as_mut() else { return Ok(None) };
        let hops_so_far = Hops::read(call.hops.as_deref()).map_err(hops::HopError::reason)?;
        let (left, expected) = (left.unwrap_or(Micros::MAX), call.cost_hint.map_or(0.0, |h| h as f64));
        let (hops_so_far, guest) = match gateway {
            GatewayHalf::Out(o) => {
                let hops_so_far = hops_so_far.leave(&o.home).map_err(hops::HopError::reason)?;
                o.peers.may_cross(now, left, 1.0).map_err(|why| match why {
                    CrossingRefused::NoRoom => "the other side has no room",
                    CrossingRefused::NoTime => "there is no time left for the way",
                })?;
                (hops_so_far, None)
            }
            GatewayHalf::In(i) => {
                hops_so_far.arrive(&i.home).map_err(hops::HopError::reason)?;
                if !i.offer.admit(now) {
                    return Err("this side has no room");
                }
                let expected = if expected > 0.0 { expected } else { 1_000.0 };
                (hops_so_far, Some(Guest { began: now, expected, left }))
            }
        };
        call.head = with_hops(&call.head, &hops_so_far);
        Ok(guest)
    }

    /// A request from the far site has its final response, or its sender has disconnected.
    pub(super) fn remote_request_ended(&mut self, request: Handle, how: RemoteOutcome) {
        let now = self.balancer.now();
        let guest = self.requests.get_mut(request).and_then(|r| r.guest.take());
        if let (Some(GatewayHalf::In(i)), Some(g)) = (self.gateway.as_mut(), guest) {
            i.offer.ended(now, how, now - g.began, g.expected, g.left);
        }
    }

    /// Header lines that a gateway adds to a response: towards the far site, its present offer.
    pub(super) fn gateway_lines(&mut self) -> String {
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

    /// Index of the far gateway at an address.
    fn peer_at(&self, to: SocketAddr) -> Option<usize> {
        match self.gateway.as_ref() {
            Some(GatewayHalf::Out(o)) => o.addresses.iter().position(|a| *a == to),
            _ => None,
        }
    }

    /// An attempt is about to be sent to an address; `false` if that is a far gateway whose capacity has been used up since
    /// the balancer picked it.
    pub(super) fn peer_attempt_started(&mut self, to: SocketAddr) -> bool {
        let (now, peer) = (self.balancer.now(), self.peer_at(to));
        match (self.gateway.as_mut(), peer) {
            (Some(GatewayHalf::Out(o)), Some(peer)) => {
                let room = o.peers.has_room(now, peer);
                if room {
                    o.peers.sent(peer);
                    // If that was the last of its capacity it is reported as draining.
                    self.update_gateway();
                }
                room
            }
            _ => true,
        }
    }

    /// An attempt has ended, with this report to the balancer, or `None` if it was cancelled. If it went to a far gateway:
    /// `took` is its duration if it was served, `offer` the offer in its response.
    pub(super) fn peer_attempt_ended(
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
            self.receive_offer(peer, value);
        }
        self.update_gateway();
    }

    fn receive_offer(&mut self, peer: usize, value: &str) {
        let now = self.balancer.now();
        let Some(GatewayHalf::Out(o)) = self.gateway.as_mut() else { return };
        if let Err(why) = o.peers.receive_header(now, peer, value) {
            if let Some(before) = o.log_pacing.pass(now) {
                warn!(self.log, "an offer of a far gateway was ignored"; "peer" => peer, "why" => why,
                    "times" => before + 1, "ignored" => o.peers.ignored);
            }
        }
    }

    /// Acts on changed offers: reports the far gateways to the balancer, and begins or stops to accept connections.
    pub(super) fn update_gateway(&mut self) {
        let now = self.balancer.now();
        let Some(GatewayHalf::Out(o)) = self.gateway.as_mut() else { return };
        let open: Vec<bool> = (0..o.addresses.len()).map(|p| o.peers.has_room(now, p)).collect();
        let accepting = o.peers.is_open(now, o.latency_target);
        let changed = open != o.reported_open;
        o.reported_open.clone_from(&open);
        let hosts = changed.then(|| o.hosts(&open));
        if let Some(hosts) = hosts {
            info!(self.log, "far gateways with free capacity changed"; "open" => open.iter().filter(|o| **o).count(), "of" => open.len());
            self.pass_to_balancer(&DiscoveryEvent::List { whole: true, hosts });
        }
        // While the process stops, the listener is handled by the stop.
        if self.stop.is_none() {
            self.set_accepting(accepting);
        }
    }

    /// Begins or stops to accept connections from the home site's sidecars. From a refused connection their decision modules
    /// know that nothing was executed, and they avoid this gateway as not reachable. Idle connections are closed too, so
    /// that no request is sent on them only to be rejected.
    fn set_accepting(&mut self, accepting: bool) {
        if accepting == self.listener.is_some() {
            return;
        }
        if accepting {
            let made = start::listen(self.listen_at, false)
                .and_then(|l| self.registry.watch(l, super::LISTENER_KEY, Interest::Read));
            match made {
                Ok(listener) => self.listener = Some(listener),
                // Tried again with the next request for offers.
                Err(e) => warn!(self.log, "cannot listen again"; "error" => e.to_string()),
            }
            return;
        }
        let _ = self.accept();
        self.listener = None;
        for handle in self.connections.from_applications() {
            // A request may already be on its way on a new connection, which is therefore kept and answered.
            if self.connections.application(handle).is_some_and(|c| c.is_idle() && c.used) {
                self.close_if_idle(handle);
            }
        }
    }

    /// Requests the far gateways' offers, if that is due.
    pub(super) fn request_offers(&mut self) {
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
            match handle.and_then(|h| self.connections.peer(h)).map(|c| c.requested_at) {
                // The response is awaited; after the limit the link counts as down.
                Some(Some(since)) if now - since < OFFER_TIMEOUT => {}
                Some(Some(_)) => self.offer_connection_lost(peer),
                Some(None) => self.request_offer(peer, now),
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
                    self.request_offer(peer, now);
                }
            }
        }
        self.update_gateway();
    }

    fn request_offer(&mut self, peer: usize, now: Micros) {
        let handle = match self.gateway.as_ref() {
            Some(GatewayHalf::Out(o)) => o.offer_connections[peer],
            _ => None,
        };
        let asked = handle.and_then(|h| self.connections.peer(h)).map(|c| c.request_offer(now));
        if !matches!(asked, Some(Ok(()))) {
            self.offer_connection_lost(peer);
        }
    }

    /// The connection on which a far gateway's offer is requested has failed: its offer is void.
    fn offer_connection_lost(&mut self, peer: usize) {
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
            Ok(Some(value)) => self.receive_offer(peer, &value),
            Err(_) => self.offer_connection_lost(peer),
        }
        self.update_gateway();
    }
}

/// A request's head with exactly these hops: lines with others are removed.
fn with_hops(head: &[u8], hops_so_far: &Hops) -> Vec<u8> {
    let line = |l: &&[u8]| {
        let name = l.split(|b| *b == b':').next().unwrap_or(&[]);
        !name.eq_ignore_ascii_case(hops::HEADER.as_bytes())
    };
    let mut out: Vec<u8> = head.split_inclusive(|b| *b == b'\n').filter(line).flatten().copied().collect();
    out.extend_from_slice(format!("{}: {}\r\n", hops::HEADER, hops_so_far.value()).as_bytes());
    out
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_head_is_sent_with_one_hops_line_and_its_other_lines() {
        let hops_so_far = Hops::read(Some("home")).expect("hops");
        let head = b"POST /api HTTP/1.1\r\nHost: a\r\nx-gateway-hops: forged\r\nX-Gateway-Hops: twice\r\nX-Other: 1\r\n";
        let text = String::from_utf8(with_hops(head, &hops_so_far)).expect("text");
        assert_eq!(text, "POST /api HTTP/1.1\r\nHost: a\r\nX-Other: 1\r\nX-Gateway-Hops: home\r\n");
    }
}
