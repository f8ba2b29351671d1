//! Connections to discovery: calls and watches started, the lists received passed to the balancer.
use super::{EventLoop, Wake};
use crate::memory::connections::Connection;
use crate::wire::discovery::{self, Purpose};
use crate::wire::upstream::Cause;
use silvercross_facade::DiscoveryEvent;
use silvercross_net::registry::Interest;
use silvercross_net::table::Handle;
use slog::{debug, warn};
use std::net::SocketAddr;

impl EventLoop {
    pub(super) fn set_discovery_watch(&mut self, on: bool) {
        if let Some(old) = self.discovery_watch.take() {
            self.connections.remove(old);
        }
        if on {
            self.call_discovery(Purpose::Watch);
        }
    }

    pub(super) fn call_discovery(&mut self, purpose: Purpose) {
        // A gateway's outward half has no discovery: its upstreams are the far gateways.
        let Some(to) = self.discovery else { return };
        let (seq, now, registry) = (self.seq, self.balancer.now(), self.registry.clone());
        let made = self.open(to).and_then(|socket| {
            let made = self.connections.insert_with(|h| {
                let socket = registry.watch(socket, h.number() as usize, Interest::Write)?;
                Ok(Connection::Discovery(discovery::Conn::new(socket, purpose, to, seq, now)))
            });
            made.map_err(Cause::Socket)
        });
        match made {
            Ok(Some(handle)) => {
                self.balancer.set_timer(now + discovery::SILENCE, Wake::DiscoveryTimeout(handle));
                if purpose == Purpose::Watch {
                    self.discovery_watch = Some(handle);
                }
            }
            Ok(None) => self.pass_to_balancer(&DiscoveryEvent::Broken),
            Err(e) => {
                warn!(self.log, "discovery cannot be reached"; "why" => ?e);
                self.pass_to_balancer(&DiscoveryEvent::Broken);
            }
        }
    }

    /// Discovery is at another address from now on: connections to the old one are closed, and the decision module has the
    /// new one called. Its versions need not continue the old one's, so the complete list is requested.
    pub(super) fn discovery_moved(&mut self, to: SocketAddr) {
        (self.discovery, self.seq, self.discovery_watch) = (Some(to), 0, None);
        for handle in self.connections.to_discovery() {
            self.connections.remove(handle);
        }
        self.pass_to_balancer(&DiscoveryEvent::Moved);
    }

    pub(super) fn discovery_ready(&mut self, handle: Handle) {
        let now = self.balancer.now();
        let Some(c) = self.connections.discovery(handle) else { return };
        if c.is_writing() {
            if let Err(fault) = c.write() {
                return self.discovery_broken(handle, &format!("{fault:?}"));
            }
            return;
        }
        let purpose = c.purpose;
        let (updates, fault) = c.read(now);
        let has_updates = !updates.is_empty();
        for mut t in updates {
            let entries = if let DiscoveryEvent::List { hosts, .. } = &t.news { hosts.len() } else { 0 };
            debug!(self.log, "list received"; "seq" => t.seq, "entries" => entries);
            self.seq = t.seq;
            self.has_received_list = true;
            self.apply_reported_drains(t.seq, &mut t.news);
            self.pass_to_balancer(&t.news);
        }
        if has_updates {
            self.advance_membership();
            self.start_serving();
        }
        match (fault, purpose) {
            (None, Purpose::Call) if has_updates => drop(self.connections.remove(handle)),
            (Some(_), Purpose::Call) if has_updates => drop(self.connections.remove(handle)),
            (Some(fault), _) => self.discovery_broken(handle, &format!("{fault:?}")),
            (None, _) => {}
        }
    }

    pub(super) fn discovery_broken(&mut self, handle: Handle, why: &str) {
        warn!(self.log, "discovery broke off; the last list stays in use"; "why" => why);
        self.connections.remove(handle);
        if self.discovery_watch == Some(handle) {
            self.discovery_watch = None;
        }
        self.pass_to_balancer(&DiscoveryEvent::Broken);
    }

    pub(super) fn pass_to_balancer(&mut self, news: &DiscoveryEvent) {
        let decision = self.balancer.discovery_event(news);
        self.queue_steps(decision);
    }
}
