//! The loop's side towards operators: a door of its own, with descriptors and buffers that applications cannot take.
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

/// The door's listener, as the poller knows it; its seats lie below.
pub(super) const DOOR: usize = usize::MAX - 4;
const SEAT_0: usize = usize::MAX - 64;
/// So many callers at a time, out of the descriptors that `memory/connections.rs` keeps in reserve.
const SEATS: usize = 12;
/// A caller that has finished no call, or not taken its answer, is let go after this.
const CALL: Micros = 5_000_000;

/// Who stands at the door, and what they are told.
pub struct Door {
    listener: Option<Watched<TcpListener>>,
    seats: [Option<Conn>; SEATS],
    /// What the process has done.
    pub figures: Metrics,
}

impl Door {
    /// With no listener there are figures all the same, and nobody to ask for them.
    pub fn new(listener: Option<TcpListener>, registry: &Registry, classes: &[String]) -> io::Result<Self> {
        let listener = listener.map(|l| registry.watch(l, DOOR, Interest::Read)).transpose()?;
        Ok(Door { listener, seats: Default::default(), figures: Metrics::new(classes) })
    }

    /// Whether a readiness is the door's: the listener's, or a seat's.
    pub fn is_key(key: usize) -> bool {
        key == DOOR || (SEAT_0..SEAT_0 + SEATS).contains(&key)
    }

    /// The seat for a new caller: a free one, or that of whoever has sat longest.
    fn seat(&self) -> usize {
        let longest = |(i, s): (usize, &Option<Conn>)| (s.as_ref().map_or(Micros::MIN, |c| c.since), i);
        self.seats.iter().enumerate().map(longest).min().map_or(0, |(_, i)| i)
    }

    /// Let those go who have sat too long.
    pub fn sweep(&mut self, now: Micros) {
        for seat in &mut self.seats {
            *seat = seat.take().filter(|c| c.since + CALL > now);
        }
    }
}

impl EventLoop {
    pub(super) fn door_ready(&mut self, key: usize) {
        match key {
            DOOR => self.accept_operators(),
            key => self.operator_ready(key - SEAT_0),
        }
    }

    fn accept_operators(&mut self) {
        let now = self.balancer.now();
        for _ in 0..SEATS {
            let Some(listener) = &self.door.listener else { return };
            let socket = match listener.get().accept() {
                Ok((socket, _)) => socket,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                Err(e) => {
                    debug!(self.log, "the door could not accept"; "error" => e.to_string());
                    // For want of a descriptor: one of upstreams' idle connections goes, and readiness comes again.
                    self.spare_upstream();
                    return;
                }
            };
            let seat = self.door.seat();
            // The one who sits there goes first: the poller knows each seat by one key.
            self.door.seats[seat] = None;
            let watched = socket
                .set_nonblocking(true)
                .and_then(|()| self.registry.watch(socket, SEAT_0 + seat, Interest::Read));
            self.door.seats[seat] = watched.ok().map(|s| Conn::new(s, now));
            // Most have sent their call with the connection.
            self.operator_ready(seat);
        }
    }

    fn operator_ready(&mut self, seat: usize) {
        let Some(Some(c)) = self.door.seats.get_mut(seat) else { return };
        let stays = if c.is_writing() {
            c.write()
        } else {
            match c.read() {
                Heard::Nothing => true,
                Heard::Ended => false,
                Heard::Call(call) => {
                    // One that takes its time is answered when it is done; until then its seat waits.
                    let Some(bytes) = self.ordered_or_told(seat, call) else { return };
                    self.door.seats[seat].as_mut().is_some_and(|c| c.answer(bytes))
                }
            }
        };
        if !stays {
            self.door.seats[seat] = None;
        }
    }

    /// An order that took its time is done.
    pub(super) fn operator_answered(&mut self, seat: usize, bytes: Vec<u8>) {
        let Some(Some(c)) = self.door.seats.get_mut(seat) else { return };
        if !c.is_answered() && !c.answer(bytes) {
            self.door.seats[seat] = None;
        }
    }

    /// Answer a call, or (`None`) begin what it orders.
    fn ordered_or_told(&mut self, seat: usize, call: Result<Call, MessageError>) -> Option<Vec<u8>> {
        match call {
            Ok(Call::Found) => Some(self.found_records()),
            Ok(Call::Recover(group)) => Some(self.recover_records(group)),
            Ok(Call::Drain(name, on)) => self.order(seat, Command::Drain { name, on }),
            Ok(Call::Document { name, above, wait_ms }) => self.order_document(seat, name, above, wait_ms),
            Ok(Call::Put { name, expect, value }) => {
                self.order(seat, Command::Put { name, expect, bytes: Some(value.into_bytes()) })
            }
            call => Some(self.told(call)),
        }
    }

    fn told(&self, call: Result<Call, MessageError>) -> Vec<u8> {
        match call {
            Ok(Call::Health) if self.can_serve() => response(200, "ready\n"),
            Ok(Call::Health) => response(503, if self.stop.is_some() { "stopping\n" } else { "not ready\n" }),
            Ok(Call::Stats) => response(
                200,
                &(self.door.figures.render(&self.gauges()) + &self.fleet_figures() + &self.records_figures()),
            ),
            Ok(Call::Members) => match self.fleet_told() {
                Some(told) => response(200, &told),
                None => response(404, "this sidecar is in no fleet: it was started without --fleet\n"),
            },
            Ok(Call::Records) => match self.records_told() {
                Some(told) => response(200, &told),
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

    /// Whether this process can really serve: it listens, holds a list that discovery told it, and is not stopping.
    fn can_serve(&self) -> bool {
        self.stop.is_none() && self.listener.is_some() && self.list_is_held() && self.balancer.ready()
    }

    fn gauges(&self) -> Gauges {
        let (registry_entries, out_of_rotation) = self.balancer.rotation();
        Gauges { open_requests: self.balancer.unanswered(), registry_entries, out_of_rotation }
    }
}
