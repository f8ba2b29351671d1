//! Management connections from operators, with their own listener, descriptors and buffers, which applications cannot use up.
use super::records_side::NO_RECORDS;
use super::EventLoop;
use crate::wire::operator::{Conn, Heard};
use silvercross_core::interface::Micros;
use silvercross_idempotency_store::Command;
use silvercross_management::{response, Call, Gauges, Metrics};
use silvercross_net::http::MessageError;
use silvercross_net::registry::{Interest, Registry, Watched};
use slog::debug;
use std::io;
use std::net::TcpListener;

/// Poller key of the management listener; the keys of the connections are below it.
pub(super) const MANAGEMENT_KEY: usize = usize::MAX - 4;
const FIRST_SLOT_KEY: usize = usize::MAX - 64;
/// Maximum number of connections at a time, out of the descriptors that `memory/connections.rs` keeps in reserve.
const MAX_SLOTS: usize = 12;
/// A connection whose call is not complete or whose response is not read within this time is closed.
const CALL_TIMEOUT: Micros = 5_000_000;

/// The management listener, its connections and the metrics.
pub struct Management {
    listener: Option<Watched<TcpListener>>,
    slots: [Option<Conn>; MAX_SLOTS],
    /// The metrics that operators can read.
    pub metrics: Metrics,
}

impl Management {
    /// Without a listener metrics are counted all the same, and cannot be read.
    pub fn new(listener: Option<TcpListener>, registry: &Registry, classes: &[String]) -> io::Result<Self> {
        let listener = listener.map(|l| registry.watch(l, MANAGEMENT_KEY, Interest::Read)).transpose()?;
        Ok(Management { listener, slots: Default::default(), metrics: Metrics::new(classes) })
    }

    /// Whether a poller key belongs to the listener or to one of the connections.
    pub fn is_key(key: usize) -> bool {
        key == MANAGEMENT_KEY || (FIRST_SLOT_KEY..FIRST_SLOT_KEY + MAX_SLOTS).contains(&key)
    }

    /// The slot for a new connection: a free one, or the one that has been in use for longest.
    fn slot(&self) -> usize {
        let longest = |(i, s): (usize, &Option<Conn>)| (s.as_ref().map_or(Micros::MIN, |c| c.since), i);
        self.slots.iter().enumerate().map(longest).min().map_or(0, |(_, i)| i)
    }

    /// Closes connections that have been open for too long.
    pub fn close_expired(&mut self, now: Micros) {
        for slot in &mut self.slots {
            *slot = slot.take().filter(|c| c.since + CALL_TIMEOUT > now);
        }
    }
}

impl EventLoop {
    pub(super) fn management_ready(&mut self, key: usize) {
        match key {
            MANAGEMENT_KEY => self.accept_operators(),
            key => self.operator_ready(key - FIRST_SLOT_KEY),
        }
    }

    fn accept_operators(&mut self) {
        let now = self.balancer.now();
        for _ in 0..MAX_SLOTS {
            let Some(listener) = &self.management.listener else { return };
            let socket = match listener.get().accept() {
                Ok((socket, _)) => socket,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                Err(e) => {
                    debug!(self.log, "accepting a management connection failed"; "error" => e.to_string());
                    // Probably no descriptor is left: an idle upstream connection is closed, and the listener becomes
                    // ready again.
                    self.close_idle_upstream();
                    return;
                }
            };
            let slot = self.management.slot();
            // The slot's old connection is closed first: a slot has only one poller key.
            self.management.slots[slot] = None;
            let watched = socket
                .set_nonblocking(true)
                .and_then(|()| self.registry.watch(socket, FIRST_SLOT_KEY + slot, Interest::Read));
            self.management.slots[slot] = watched.ok().map(|s| Conn::new(s, now));
            // Usually the call has arrived together with the connection.
            self.operator_ready(slot);
        }
    }

    fn operator_ready(&mut self, slot: usize) {
        let Some(Some(c)) = self.management.slots.get_mut(slot) else { return };
        let stays = if c.is_writing() {
            c.write()
        } else {
            match c.read() {
                Heard::Nothing => true,
                Heard::Ended => false,
                Heard::Call(call) => {
                    // `None`: a command that takes time, answered when it is done.
                    let Some(bytes) = self.handle_call(slot, call) else { return };
                    self.management.slots[slot].as_mut().is_some_and(|c| c.answer(bytes))
                }
            }
        };
        if !stays {
            self.management.slots[slot] = None;
        }
    }

    /// A command that took time is done: sends its response.
    pub(super) fn send_command_response(&mut self, slot: usize, bytes: Vec<u8>) {
        let Some(Some(c)) = self.management.slots.get_mut(slot) else { return };
        if !c.is_answered() && !c.answer(bytes) {
            self.management.slots[slot] = None;
        }
    }

    /// The response to a call; `None` if the call began a command whose response follows later.
    fn handle_call(&mut self, slot: usize, call: Result<Call, MessageError>) -> Option<Vec<u8>> {
        match call {
            Ok(Call::Found) => Some(self.found_records()),
            Ok(Call::Recover(group)) => Some(self.recover_records(group)),
            Ok(Call::Drain(name, on)) => self.submit_command(slot, Command::Drain { name, on }),
            Ok(Call::Document { name, above, wait_ms }) => self.read_document(slot, name, above, wait_ms),
            Ok(Call::Put { name, expect, value }) => {
                self.submit_command(slot, Command::Put { name, expect, bytes: Some(value.into_bytes()) })
            }
            call => Some(self.respond(call)),
        }
    }

    fn respond(&self, call: Result<Call, MessageError>) -> Vec<u8> {
        match call {
            Ok(Call::Health) if self.can_serve() => response(200, "ready\n"),
            Ok(Call::Health) => response(503, if self.stop.is_some() { "stopping\n" } else { "not ready\n" }),
            Ok(Call::Stats) => response(
                200,
                &(self.management.metrics.render(&self.gauges())
                    + &self.fleet_metrics()
                    + &self.records_metrics()),
            ),
            Ok(Call::Members) => match self.fleet_json() {
                Some(json) => response(200, &json),
                None => response(404, "this sidecar is in no fleet: it was started without --fleet\n"),
            },
            Ok(Call::Records) => match self.records_json() {
                Some(json) => response(200, &json),
                None => response(404, NO_RECORDS),
            },
            Ok(Call::NotFound) => {
                response(404, "here are /admin/health, /admin/stats, /admin/members and /admin/records\n")
            }
            Ok(_) => response(405, "not by this method\n"),
            Err(MessageError::HeadTooLarge | MessageError::BodyTooLarge) => {
                response(431, "the call is too large\n")
            }
            Err(MessageError::Malformed(why)) => response(400, &format!("{why}\n")),
            Err(MessageError::IdInUse | MessageError::TooManyAhead) => response(400, "not a call\n"),
        }
    }

    /// Whether this process can serve: it listens, has a list with an upstream, and is not stopping.
    fn can_serve(&self) -> bool {
        self.stop.is_none() && self.listener.is_some() && self.has_list() && self.balancer.ready()
    }

    fn gauges(&self) -> Gauges {
        let (registry_entries, out_of_rotation) = self.balancer.rotation();
        Gauges { open_requests: self.balancer.unanswered(), registry_entries, out_of_rotation }
    }
}
