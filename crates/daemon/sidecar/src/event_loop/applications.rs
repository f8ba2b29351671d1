//! The loop's side towards the application: connections accepted, requests taken, answers written.
use super::gateway_side::GatewayHalf;
use super::{EventLoop, Wake};
use crate::memory::connections::Connection;
use crate::memory::requests::{Guest, Request};
use crate::wire::application::{self, Asked, Call, Front, Got, State};
use crate::wire::upstream::{Cause, Stage, Work};
use silvercross_core::interface::Micros;
use silvercross_facade::Request as Placed;
use silvercross_gateway::offer::RemoteOutcome;
use silvercross_net::http::{self, Framing, MessageError};
use silvercross_net::registry::Interest;
use silvercross_net::table::Handle;
use slog::{debug, warn};
use std::io::{self, Write};

/// A client gets this long to take an answer.
const STALL: Micros = 10_000_000;
/// And this long to send a request, from its first byte, and longer only as its bytes come at a rate that is no trickle; the first one on a connection
/// has to be whole so soon after the connection was made.
pub(super) const SEND: Micros = 2_500_000;
const SEND_FIRST: Micros = 2_700_000;
/// A connection on which no request is open is closed after this.
pub(super) const IDLE: Micros = 2_000_000;
/// So many connections are accepted at a time: those that are open wait for their turn.
const ACCEPTS: usize = 64;
/// A client may be so many requests ahead of its answers.
const AHEAD: u32 = 16;
/// What says that a request never ran.
const UNSEEN: &str = "X-Unprocessed: 1\r\n";
/// And this long to close after an answer that ended its connection.
const LINGER: Micros = 1_000_000;

impl EventLoop {
    /// Accept what waits; `false` once nothing more can be accepted just now.
    pub(super) fn accept(&mut self) -> bool {
        for _ in 0..ACCEPTS {
            if self.connections.closed_to_applications() && !self.spare_application() {
                // They wait in the machine's queue until a connection has ended.
                self.heed_listener(Interest::Nothing);
                self.warn_limit("connections");
                return false;
            }
            let Some(listener) = &self.listener else { return false };
            let socket = match listener.get().accept() {
                Ok((socket, _)) => socket,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return false,
                Err(e)
                    if matches!(e.kind(), io::ErrorKind::Interrupted | io::ErrorKind::ConnectionAborted) =>
                {
                    continue
                }
                Err(e) => {
                    // Out of descriptors all the same: make room, and try again with the next readiness.
                    debug!(self.log, "accept failed"; "error" => e.to_string());
                    self.warn_limit("accept");
                    if !self.spare_upstream() && !self.spare_application() {
                        self.heed_listener(Interest::Nothing);
                    }
                    return false;
                }
            };
            let now = self.balancer.now();
            self.stop.iter_mut().for_each(|s| s.note_activity(now));
            // A connection between two requests gives way to a new one; its client opens another when it needs it.
            let turned_away = self.connections.crowded() && !self.spare_application();
            let registry = self.registry.clone();
            let made = self.connections.insert_with(|h| {
                socket.set_nonblocking(true)?;
                socket.set_nodelay(true)?;
                let socket = registry.watch(socket, h.number() as usize, Interest::Read)?;
                Ok::<_, io::Error>(Connection::Application(application::Conn::new(socket, now, turned_away)))
            });
            if let Err(e) = made {
                warn!(self.log, "a connection could not be watched"; "error" => e.to_string());
            }
        }
        true
    }

    fn heed_listener(&mut self, interest: Interest) {
        if let Some(listener) = &mut self.listener {
            let _ = listener.set(interest);
        }
    }

    /// At a limit everything happens often: one line a while says so.
    pub(super) fn warn_limit(&mut self, what: &'static str) {
        if let Some(before) = self.at_limit.pass(self.balancer.now()) {
            warn!(self.log, "at a limit"; "what" => what, "times" => before + 1,
                "connections" => self.connections.len(), "buffers" => self.pool.in_use());
        }
    }

    /// Close the application's connection that has been idle for longest, unless a request has just come on it.
    pub(super) fn spare_application(&mut self) -> bool {
        while let Some(handle) = self.connections.idle_application(self.balancer.now()) {
            if self.spare(handle) {
                return true;
            }
        }
        false
    }

    /// Close an idle connection of the application's, unless a request has just come on it.
    pub(super) fn spare(&mut self, handle: Handle) -> bool {
        self.application_ready(handle);
        let spared = self.connections.application(handle).is_none_or(|c| c.is_idle());
        if spared {
            self.close_application(handle);
        }
        spared
    }

    /// What was begun on a connection has not come through in time.
    pub(super) fn stalled(&mut self, handle: Handle) {
        let Some(c) = self.connections.application(handle) else { return };
        match c.state {
            State::Reading => {}
            State::Waiting(request) => return self.upload_stalled(handle, request),
            State::Passing(_, upstream) => {
                let attempt = match self.connections.upstream(upstream).map(|c| c.work) {
                    Some(Work::Busy(attempt, Stage::Passing)) => attempt,
                    _ => return self.close_application(handle),
                };
                return self.broken_off(upstream, attempt, Cause::NotInTime);
            }
            State::Answering | State::Lingering => return self.close_application(handle),
        }
        let by = c.send_by.unwrap_or(0) + Self::time_for(c.received);
        if by > self.balancer.now() {
            c.stalled_at = Some(by);
            return self.balancer.set_timer(by, Wake::Stall(handle));
        }
        self.counts.bad += 1;
        c.close = true;
        c.input.take().into_iter().for_each(|b| self.pool.put_back(b));
        self.answer(handle, 408, b"", &[b"the request did not come in time\n"]);
    }

    pub(super) fn application_ready(&mut self, handle: Handle) {
        let Some(c) = self.connections.application(handle) else { return };
        match c.state {
            State::Lingering => {
                if !c.discard() {
                    self.close_application(handle);
                }
            }
            State::Answering => self.flush(handle),
            State::Passing(request, upstream) => self.passing_ready(handle, request, upstream),
            State::Waiting(request) => {
                // More may be sent ahead, within one buffer. What matters is whether the client is still there.
                let full = c.input.as_ref().is_some_and(|b| b.is_full());
                let gone = if full { !matches!(c.socket.get().take_error(), Ok(None)) } else { false };
                let got = if full { Got::Bytes } else { c.read(&mut self.pool) };
                let coming = self.requests.get(request).is_some_and(Request::is_coming);
                if c.input.is_some() && !coming {
                    c.ahead_since.get_or_insert(self.balancer.now());
                }
                if gone || got == Got::Closed {
                    self.hung_up(handle, request);
                } else if got == Got::NoBuffer || c.input.as_ref().is_some_and(|b| b.is_full()) {
                    let _ = c.socket.set(Interest::Nothing);
                }
                if coming {
                    self.upload_ready(request);
                }
            }
            State::Reading => match c.read(&mut self.pool) {
                Got::Bytes => {
                    // A request's time counts from its last byte, which came just now.
                    c.ahead_since = None;
                    self.take_requests(handle);
                }
                Got::Closed => {
                    // What came with the end may be a whole request, but whoever closes has gone away.
                    self.close_application(handle);
                }
                Got::NoBuffer => self.no_room(handle),
            },
        }
    }

    /// Refuse without a buffer: nothing of the request has been read, so it has not run.
    pub(super) fn no_room(&mut self, handle: Handle) {
        const ANSWER: &[u8] =
            b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
        self.warn_limit("buffers");
        let Some(c) = self.connections.application(handle) else { return };
        c.discard();
        let _ = c.socket.get().write(ANSWER);
        self.linger(handle);
    }

    pub(super) fn hung_up(&mut self, handle: Handle, request: Handle) {
        self.counts.gone += 1;
        debug!(self.log, "client gone"; "request" => request.number());
        if let Some(r) = self.requests.get_mut(request) {
            r.client = None;
            r.bytes.take().into_iter().for_each(|b| self.pool.put_back(b));
        }
        self.close_application(handle);
        self.guest_ended(request, RemoteOutcome::Disconnected);
        let sent = self.requests.get(request).is_some_and(|r| !r.attempts.is_empty());
        self.give_held(request, sent);
        let turn = self.balancer.client_disconnected(request);
        self.absorb(turn);
        self.forget_if_done(request);
    }

    /// Deal with what stands in the input buffer, until a request has to be waited for.
    pub(super) fn take_requests(&mut self, handle: Handle) {
        loop {
            let Some(c) = self.connections.application(handle).filter(|c| c.state == State::Reading) else {
                return;
            };
            c.tidy(&mut self.pool);
            let Some(input) = c.input.as_mut() else {
                c.stalled_at = None;
                return;
            };
            let mut front = application::front(input.filled());
            if let Ok(Front::Partial(_)) = front {
                application::tighten(input);
                if input.is_full() {
                    // Not even without the framing of its chunks does it fit.
                    front = application::large(input.filled());
                }
            }
            match front {
                Ok(Front::Partial(expects)) => {
                    let first = (!c.used).then(|| c.since + SEND_FIRST - self.balancer.now());
                    if expects {
                        self.say_continue(handle);
                    }
                    let (span, now) = (first.unwrap_or(SEND).min(SEND), self.balancer.now());
                    if let Some(c) = self.connections.application(handle) {
                        c.send_by.get_or_insert(now + span);
                    }
                    self.may_stall(handle, span);
                    return;
                }
                Err(bad) => self.refuse_bad(handle, bad),
                Ok(Front::Large(call, head, framing, keep_alive)) => {
                    let unsent = input.filled().len() == head;
                    c.close = !keep_alive || self.stop.is_some();
                    if c.turned_away {
                        self.counts.refused += 1;
                        c.close = true;
                        c.input.take().into_iter().for_each(|b| self.pool.put_back(b));
                        self.answer(handle, 503, b"", &[b"at the limit of connections\n"]);
                    } else {
                        // With a part of the body here its sender has had its word, or did not wait for it.
                        if call.expects && unsent {
                            self.say_continue(handle);
                        }
                        self.take_call(handle, *call, head, Some(framing));
                    }
                }
                Ok(Front::Whole(asked, end, keep_alive)) => {
                    c.close = !keep_alive || self.stop.is_some();
                    c.stalled_at = None;
                    match asked {
                        _ if c.turned_away => {
                            input.consume(end);
                            c.close = true;
                            self.counts.refused += 1;
                            self.answer(handle, 503, b"", &[b"at the limit of connections\n"]);
                        }
                        Asked::Health => {
                            input.consume(end);
                            let ready = self.balancer.ready() && self.stop.is_none();
                            let text: &[u8] = if ready { b"ready\n" } else { b"not ready\n" };
                            self.answer(handle, if ready { 200 } else { 503 }, b"", &[text]);
                        }
                        Asked::Offer => {
                            input.consume(end);
                            let lines = self.gate_lines();
                            let status = if lines.is_empty() { 404 } else { 200 };
                            self.answer(handle, status, lines.as_bytes(), &[]);
                        }
                        Asked::NotServed(status) => {
                            input.consume(end);
                            let lines: &[u8] = if status == 405 { b"Allow: GET, POST\r\n" } else { b"" };
                            self.answer(handle, status, lines, &[b"not served here\n"]);
                        }
                        Asked::Call(call) => self.take_call(handle, *call, end, None),
                    }
                }
            }
        }
    }

    pub(super) fn say_continue(&mut self, handle: Handle) {
        if let Some(c) = self.connections.application(handle) {
            // A short write would be out of step; the socket is empty, so it does not happen, and the client that
            // gets nothing sends its body after a while all the same.
            let _ = c.socket.get().write(b"HTTP/1.1 100 Continue\r\n\r\n");
        }
    }

    /// Place a call. `large`: its body is passed on as it comes, and is framed like this; `end` is that of its head.
    pub(super) fn take_call(&mut self, handle: Handle, mut call: Call, end: usize, large: Option<Framing>) {
        let counted = self.door.figures.class_index(&call.class);
        if let Some(c) = self.connections.application(handle) {
            c.counted = counted;
        }
        let Some(class) = self.balancer.class_named(&call.class) else {
            return self.refuse_bad(handle, MessageError::Malformed("an unknown service class"));
        };
        if self.balancer.is_keyed(class) && !call.has_key {
            // Without it a repeat would run twice.
            return self.refuse_bad(handle, MessageError::Malformed("no idempotency key"));
        }
        if self.ids.contains(call.id.as_str()) {
            // The other one goes on: whoever borrows an id gets no part in it.
            return self.refuse_bad(handle, MessageError::IdInUse);
        }
        let Some(c) = self.connections.application(handle) else { return };
        if c.ahead > AHEAD {
            return self.refuse_bad(handle, MessageError::TooManyAhead);
        }
        let waited = c.ahead_since.map_or(0, |since| self.balancer.now() - since);
        // Its client's time has run while it waited for its turn.
        let left = call.budget.map(|b| (b - waited).max(0));
        let guest = match self.admit(&mut call, left) {
            Ok(guest) => guest,
            Err(why) => return self.send_back(handle, end, why),
        };
        let Some(mut bytes) = self.pool.take() else {
            self.give_back(guest);
            return self.no_room(handle);
        };
        let Some(c) = self.connections.application(handle) else { return };
        let Some(mut input) = c.input.take() else {
            self.give_back(guest);
            return self.pool.put_back(bytes);
        };
        let (mut fits, mut upload) = (true, None);
        match large {
            None => {
                fits = bytes.append(&call.head);
                for part in &call.body.parts {
                    fits &= input.filled().get(part.clone()).is_some_and(|b| bytes.append(b));
                }
                input.consume(end);
            }
            Some(framing) => {
                input.consume(end);
                match self.begin_upload(&mut input, &call, framing, &mut bytes) {
                    Ok(begun) => upload = Some(begun),
                    Err(bad) => {
                        self.pool.put_back(bytes);
                        self.pool.put_back(input);
                        self.give_back(guest);
                        return self.refuse_bad(handle, bad);
                    }
                }
            }
        }
        let coming = upload.as_ref().is_some_and(|u| !u.body.is_done());
        let Some(c) = self.connections.application(handle) else {
            self.pool.put_back(input);
            return self.pool.put_back(bytes);
        };
        let input = c.input.insert(input);
        c.old = call.old;
        let received = std::mem::take(&mut c.received);
        if coming {
            c.received = received;
        } else {
            (c.stalled_at, c.send_by) = (None, None);
        }
        if !input.is_empty() && !coming {
            // What came behind it in the same bytes waits from now on at the latest.
            c.ahead_since.get_or_insert(self.balancer.now());
            c.ahead += 1;
        }
        c.tidy(&mut self.pool);
        if !fits {
            self.pool.put_back(bytes);
            self.give_back(guest);
            return self.refuse_bad(handle, MessageError::HeadTooLarge);
        }
        let id = call.id.clone().into_boxed_str();
        let taken = Request {
            client: Some(handle),
            bytes: Some(bytes),
            head: call.head.len(),
            may_have_run: false,
            held: None,
            upload,
            guest,
            attempts: Vec::new(),
            id,
        };
        let request = match self.requests.insert_with(|_| Ok::<_, ()>(taken)) {
            Ok(Some(request)) => request,
            _ => {
                self.give_back(guest);
                return self.answer(handle, 503, b"", &[b"too many requests\n"]);
            }
        };
        self.ids.insert(call.id.into_boxed_str());
        c.state = State::Waiting(request);
        c.since = self.balancer.now();
        self.counts.taken += 1;
        if coming {
            let now = self.balancer.now();
            c.send_by.get_or_insert(now + SEND);
            self.may_stall(handle, SEND);
        }
        let placed = Placed {
            handle: request,
            class,
            tenant: call.tenant.map_or(0, |t| self.balancer.tenant_named(&t)),
            key: call.key,
            budget: left,
            cost_hint: call.cost_hint,
            client_retry: call.repeat,
            write: call.write,
        };
        if coming {
            let turn = self.balancer.pick_incomplete(placed);
            return self.absorb(turn);
        }
        let Some(placed) = self.hold_first(request, placed, &call.class, &call.head) else { return };
        let turn = self.balancer.pick(placed);
        self.absorb(turn);
    }

    pub(super) fn refuse_bad(&mut self, handle: Handle, bad: MessageError) {
        self.counts.bad += 1;
        let (status, why) = match bad {
            MessageError::Malformed(why) => (400, why),
            MessageError::HeadTooLarge => (431, "the head is too large"),
            MessageError::BodyTooLarge => (413, "the body is too large"),
            MessageError::IdInUse => (409, "a request with this correlation id is open"),
            MessageError::TooManyAhead => (429, "too many requests ahead of their answers"),
        };
        debug!(self.log, "bad request"; "status" => status, "why" => why);
        if let Some(c) = self.connections.application(handle) {
            // Where the next request would begin is not known.
            c.close = true;
            c.input.take().into_iter().for_each(|b| self.pool.put_back(b));
        }
        self.answer(handle, status, b"", &[why.as_bytes(), b"\n"]);
    }

    /// Send a call back unseen, as a gateway may: nothing of it was placed.
    fn send_back(&mut self, handle: Handle, end: usize, why: &'static str) {
        self.counts.refused += 1;
        if let Some(c) = self.connections.application(handle) {
            c.input.iter_mut().for_each(|i| i.consume(end));
            c.tidy(&mut self.pool);
        }
        let lines = format!("{UNSEEN}{}", self.gate_lines());
        self.answer(handle, 503, lines.as_bytes(), &[why.as_bytes(), b"\n"]);
    }

    /// A guest that was let in came to nothing.
    fn give_back(&mut self, guest: Option<Guest>) {
        if let (Some(GatewayHalf::In(i)), Some(g)) = (self.gateway.as_mut(), guest) {
            i.offer.ended(g.began, RemoteOutcome::Disconnected, 0, g.expected, g.left);
        }
    }

    /// The module refuses a request. A gateway says so with the mark that it never ran only where that is so: whoever sent it
    /// here goes by it.
    pub(super) fn refuse(&mut self, request: Handle, lines: &str) {
        let ran = self.requests.get(request).is_some_and(|r| r.may_have_run);
        self.give_held(request, ran);
        if self.gateway.is_none() {
            return self.answer_call(request, 503, lines.as_bytes(), &[b"refused\n"]);
        }
        self.guest_ended(request, RemoteOutcome::Rejected);
        self.not_served(request, lines);
    }

    /// The module gives a request up as failed.
    pub(super) fn fail(&mut self, request: Handle) {
        let sent = self.requests.get(request).is_some_and(|r| !r.attempts.is_empty());
        self.give_held(request, sent);
        if self.gateway.is_none() {
            return self.answer_call(request, 502, b"", &[b"failed\n"]);
        }
        self.guest_ended(request, RemoteOutcome::Failed);
        self.not_served(request, "");
    }

    fn not_served(&mut self, request: Handle, lines: &str) {
        let ran = self.requests.get(request).is_none_or(|r| r.may_have_run);
        let offer = self.gate_lines();
        match ran {
            true => self.answer_call(request, 502, offer.as_bytes(), &[b"failed\n"]),
            false => {
                let lines = format!("{UNSEEN}{offer}{lines}");
                self.answer_call(request, 503, lines.as_bytes(), &[b"refused\n"]);
            }
        }
    }

    /// Write an answer to whoever waits for a call, if anyone still does.
    pub(super) fn answer_call(&mut self, request: Handle, status: u16, lines: &[u8], parts: &[&[u8]]) {
        let Some(r) = self.requests.get_mut(request) else { return };
        let coming = r.is_coming();
        r.upload = None;
        r.bytes.take().into_iter().for_each(|b| self.pool.put_back(b));
        let client = r.client.take();
        self.forget_if_done(request);
        let Some(client) = client else { return };
        if let Some(c) = self.connections.application(client) {
            if let State::Passing(..) = c.state {
                // It has part of another answer already.
                return self.cut_off(client);
            }
            if coming {
                // Where the next request would begin is not known.
                c.close = true;
                c.input.take().into_iter().for_each(|b| self.pool.put_back(b));
            }
        }
        self.answer(client, status, lines, parts);
    }

    pub(super) fn answer(&mut self, handle: Handle, status: u16, lines: &[u8], parts: &[&[u8]]) {
        let now = self.balancer.now();
        self.stop.iter_mut().for_each(|s| s.note_activity(now));
        // Through a door that is closed no connection stays open: what came on it would only be sent back.
        let ends = self.stop.is_some() || self.listener.is_none();
        let Some(c) = self.connections.application(handle) else { return };
        // This is where a request has its final answer.
        if let Some(class) = c.counted.take() {
            self.door.figures.count_response(class, status);
        }
        c.close |= ends;
        let Some(mut output) = c.output.take().or_else(|| self.pool.take_for_response()) else {
            self.warn_limit("buffers");
            return self.close_application(handle);
        };
        // An answer too long with its header lines goes out without them.
        let written = http::write_response(&mut output, status, lines, parts, c.close)
            || http::write_response(&mut output, status, b"", parts, c.close);
        c.output = Some(output);
        (c.state, c.since, c.used) = (State::Answering, now, true);
        (c.stalled_at, c.send_by) = (None, None);
        if !written {
            return self.close_application(handle);
        }
        self.flush(handle);
    }

    pub(super) fn flush(&mut self, handle: Handle) {
        let now = self.balancer.now();
        let Some(c) = self.connections.application(handle) else { return };
        match c.flush(&mut self.pool) {
            Ok(true) if c.close => self.linger(handle),
            Ok(true) => {
                (c.state, c.since, c.stalled_at) = (State::Reading, now, None);
                c.received = c.input.as_ref().map_or(0, |b| b.filled().len());
                match c.socket.set(Interest::Read) {
                    Ok(()) => self.take_requests(handle),
                    Err(_) => self.close_application(handle),
                }
            }
            Ok(false) => self.may_stall(handle, STALL),
            Err(e) => {
                debug!(self.log, "an answer could not be written"; "error" => e.to_string());
                self.close_application(handle);
            }
        }
    }

    pub(super) fn linger(&mut self, handle: Handle) {
        let Some(c) = self.connections.application(handle) else { return };
        c.input.take().into_iter().for_each(|b| self.pool.put_back(b));
        match c.linger() {
            Ok(()) => {
                c.stalled_at = None;
                self.may_stall(handle, LINGER);
            }
            Err(_) => self.close_application(handle),
        }
    }

    pub(super) fn may_stall(&mut self, handle: Handle, span: Micros) {
        let at = self.balancer.now() + span;
        let Some(c) = self.connections.application(handle).filter(|c| c.stalled_at.is_none()) else { return };
        c.stalled_at = Some(at);
        self.balancer.set_timer(at, Wake::Stall(handle));
    }

    pub(super) fn close_application(&mut self, handle: Handle) {
        if let Some(Connection::Application(mut c)) = self.connections.remove(handle) {
            c.input.take().into_iter().chain(c.output.take()).for_each(|b| self.pool.put_back(b));
            self.listen_again();
        }
    }

    pub(super) fn listen_again(&mut self) {
        if !self.connections.closed_to_applications() {
            self.heed_listener(Interest::Read);
        }
    }

    pub(super) fn forget_if_done(&mut self, request: Handle) {
        if self.requests.get(request).is_some_and(Request::is_done) {
            let done = self.requests.remove(request);
            done.into_iter().for_each(|r| {
                self.ids.remove(&r.id);
            });
        }
    }
}
