//! Connections from applications: accepted, their requests read and passed to the balancer, responses written.
use super::gateway_side::GatewayHalf;
use super::{EventLoop, Wake};
use crate::memory::connections::Connection;
use crate::memory::requests::{Guest, Request};
use crate::wire::application::{self, Asked, Call, Front, Got, State};
use silvercross_core::interface::Micros;
use silvercross_facade::Request as BalancerRequest;
use silvercross_gateway::offer::RemoteOutcome;
use silvercross_net::http::{Framing, MessageError};
use silvercross_net::registry::Interest;
use silvercross_net::table::Handle;
use slog::{debug, warn};
use std::io::{self, Write};

/// Time for a client to send a request, from the request's first byte; extended by the bytes received, at the minimum rate
/// of [`EventLoop::transfer_time`].
pub(super) const REQUEST_TIMEOUT: Micros = 2_500_000;
/// Time from the accept of a connection by which its first request must be complete, extended in the same way.
const FIRST_REQUEST_TIMEOUT: Micros = 2_700_000;
/// A connection without an open request is closed after this.
pub(super) const CLIENT_IDLE_TIMEOUT: Micros = 2_000_000;
/// Maximum number of connections accepted at a time, since open connections wait meanwhile.
const MAX_ACCEPTS_AT_ONCE: usize = 64;
/// Maximum number of requests that a client may have sent ahead of the responses.
const MAX_REQUESTS_AHEAD: u32 = 16;

impl EventLoop {
    /// Accepts waiting connections; `false` if no more can be accepted now.
    pub(super) fn accept(&mut self) -> bool {
        for _ in 0..MAX_ACCEPTS_AT_ONCE {
            if self.connections.closed_to_applications() && !self.close_idle_application() {
                // They wait in the kernel's queue until a connection has ended.
                self.set_listener_interest(Interest::Nothing);
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
                    // Probably no descriptor is left: close an idle connection and try again at the next readiness.
                    debug!(self.log, "accept failed"; "error" => e.to_string());
                    self.warn_limit("accept");
                    if !self.close_idle_upstream() && !self.close_idle_application() {
                        self.set_listener_interest(Interest::Nothing);
                    }
                    return false;
                }
            };
            let now = self.balancer.now();
            self.stop.iter_mut().for_each(|s| s.note_activity(now));
            // An idle connection is closed in favour of a new one; its client opens another when it needs one.
            let turned_away = self.connections.crowded() && !self.close_idle_application();
            let registry = self.registry.clone();
            let made = self.connections.insert_with(|h| {
                socket.set_nonblocking(true)?;
                socket.set_nodelay(true)?;
                let socket = registry.watch(socket, h.number() as usize, Interest::Read)?;
                Ok::<_, io::Error>(Connection::Application(application::Conn::new(socket, now, turned_away)))
            });
            if let Err(e) = made {
                warn!(self.log, "a connection could not be registered with the poller"; "error" => e.to_string());
            }
        }
        true
    }

    fn set_listener_interest(&mut self, interest: Interest) {
        if let Some(listener) = &mut self.listener {
            let _ = listener.set(interest);
        }
    }

    /// Logs that a limit is reached, at a limited rate, since this happens often then.
    pub(super) fn warn_limit(&mut self, what: &'static str) {
        if let Some(before) = self.limit_log_pacing.pass(self.balancer.now()) {
            warn!(self.log, "limit reached"; "what" => what, "times" => before + 1,
                "connections" => self.connections.len(), "buffers" => self.pool.in_use());
        }
    }

    pub(super) fn application_ready(&mut self, handle: Handle) {
        let Some(c) = self.connections.application(handle) else { return };
        match c.state {
            State::Sending | State::Lingering => {
                if !c.discard() {
                    self.close_application(handle);
                }
            }
            State::Answering => self.flush(handle),
            State::Passing(request, upstream) => self.relay_client_ready(handle, request, upstream),
            State::Waiting(request) => {
                // The client may send further requests ahead, up to one buffer. This read also notices a disconnect.
                let full = c.input.as_ref().is_some_and(|b| b.is_full());
                let gone = if full { !matches!(c.socket.get().take_error(), Ok(None)) } else { false };
                let got = if full { Got::Bytes } else { c.read(&mut self.pool) };
                let coming = self.requests.get(request).is_some_and(Request::is_coming);
                if c.input.is_some() && !coming {
                    c.ahead_since.get_or_insert(self.balancer.now());
                }
                if gone || got == Got::Closed {
                    self.client_gone(handle, request);
                } else if got == Got::NoBuffer || c.input.as_ref().is_some_and(|b| b.is_full()) {
                    let _ = c.socket.set(Interest::Nothing);
                }
                if coming {
                    self.upload_ready(request);
                }
            }
            State::Reading => match c.read(&mut self.pool) {
                Got::Bytes => {
                    // A request's time counts from its last byte, which has only just arrived.
                    c.ahead_since = None;
                    self.process_input(handle);
                }
                Got::Closed => {
                    // What came before the close may be a complete request, but its client has left.
                    self.close_application(handle);
                }
                Got::NoBuffer => self.refuse_without_buffer(handle),
            },
        }
    }

    /// Processes the input buffer until a response must be awaited or a request is incomplete.
    pub(super) fn process_input(&mut self, handle: Handle) {
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
                application::compact_chunks(input);
                if input.is_full() {
                    // It does not fit in a buffer even without its chunk framing.
                    front = application::large(input.filled());
                }
            }
            match front {
                Ok(Front::Partial(expects)) => {
                    let first = (!c.used).then(|| c.since + FIRST_REQUEST_TIMEOUT - self.balancer.now());
                    if expects {
                        self.send_continue(handle);
                    }
                    let (span, now) =
                        (first.unwrap_or(REQUEST_TIMEOUT).min(REQUEST_TIMEOUT), self.balancer.now());
                    if let Some(c) = self.connections.application(handle) {
                        c.send_by.get_or_insert(now + span);
                    }
                    self.set_client_timeout(handle, span);
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
                        // If part of the body has arrived, its sender has received 100 (Continue) or not waited for it.
                        if call.expects && unsent {
                            self.send_continue(handle);
                        }
                        self.accept_call(handle, *call, head, Some(framing));
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
                            let lines = self.gateway_lines();
                            let status = if lines.is_empty() { 404 } else { 200 };
                            self.answer(handle, status, lines.as_bytes(), &[]);
                        }
                        Asked::NotServed(status) => {
                            input.consume(end);
                            let lines: &[u8] = if status == 405 { b"Allow: GET, POST\r\n" } else { b"" };
                            self.answer(handle, status, lines, &[b"not served here\n"]);
                        }
                        Asked::Call(call) => self.accept_call(handle, *call, end, None),
                    }
                }
            }
        }
    }

    pub(super) fn send_continue(&mut self, handle: Handle) {
        if let Some(c) = self.connections.application(handle) {
            // A partial write would corrupt the response stream, but cannot happen as the send buffer is empty. A client
            // that receives nothing sends its body after a while anyway.
            let _ = c.socket.get().write(b"HTTP/1.1 100 Continue\r\n\r\n");
        }
    }

    /// Accepts a request and passes it to the balancer. `large`: framing of a body that is relayed as it arrives, in which
    /// case `end` is the end of the head.
    pub(super) fn accept_call(&mut self, handle: Handle, mut call: Call, end: usize, large: Option<Framing>) {
        let counted = self.management.metrics.class_index(&call.class);
        if let Some(c) = self.connections.application(handle) {
            c.counted = counted;
        }
        let Some(class) = self.balancer.class_named(&call.class) else {
            return self.refuse_bad(handle, MessageError::Malformed("an unknown service class"));
        };
        if self.balancer.is_keyed(class) && !call.has_key {
            // Without a key a retry would be executed twice.
            return self.refuse_bad(handle, MessageError::Malformed("no idempotency key"));
        }
        if self.ids.contains(call.id.as_str()) {
            // The open request continues: a request that reuses its id must not affect it.
            return self.refuse_bad(handle, MessageError::IdInUse);
        }
        let Some(c) = self.connections.application(handle) else { return };
        if c.ahead > MAX_REQUESTS_AHEAD {
            return self.refuse_bad(handle, MessageError::TooManyAhead);
        }
        let waited = c.ahead_since.map_or(0, |since| self.balancer.now() - since);
        // The client's time has run while the request waited behind earlier ones.
        let left = call.budget.map(|b| (b - waited).max(0));
        let guest = match self.admit(&mut call, left) {
            Ok(guest) => guest,
            Err(why) => return self.reject_unprocessed(handle, end, why),
        };
        let Some(mut bytes) = self.pool.take() else {
            self.withdraw_remote_request(guest);
            return self.refuse_without_buffer(handle);
        };
        let Some(c) = self.connections.application(handle) else { return };
        let Some(mut input) = c.input.take() else {
            self.withdraw_remote_request(guest);
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
                        self.withdraw_remote_request(guest);
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
            // Requests pipelined after this one wait from now on, if not already: that time is taken off their budgets.
            c.ahead_since.get_or_insert(self.balancer.now());
            c.ahead += 1;
        }
        c.tidy(&mut self.pool);
        if !fits {
            self.pool.put_back(bytes);
            self.withdraw_remote_request(guest);
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
                self.withdraw_remote_request(guest);
                return self.answer(handle, 503, b"", &[b"too many requests\n"]);
            }
        };
        self.ids.insert(call.id.into_boxed_str());
        c.state = State::Waiting(request);
        c.since = self.balancer.now();
        self.counts.accepted += 1;
        if coming {
            let now = self.balancer.now();
            c.send_by.get_or_insert(now + REQUEST_TIMEOUT);
            self.set_client_timeout(handle, REQUEST_TIMEOUT);
        }
        let balancer_request = BalancerRequest {
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
            let decision = self.balancer.pick_incomplete(balancer_request);
            return self.queue_steps(decision);
        }
        let Some(balancer_request) = self.claim_first(request, balancer_request, &call.class, &call.head)
        else {
            return;
        };
        let decision = self.balancer.pick(balancer_request);
        self.queue_steps(decision);
    }

    /// A request from the far site that was admitted is not processed after all.
    fn withdraw_remote_request(&mut self, guest: Option<Guest>) {
        if let (Some(GatewayHalf::In(i)), Some(g)) = (self.gateway.as_mut(), guest) {
            i.offer.ended(g.began, RemoteOutcome::Disconnected, 0, g.expected, g.left);
        }
    }

    pub(super) fn set_client_timeout(&mut self, handle: Handle, span: Micros) {
        let at = self.balancer.now() + span;
        let Some(c) = self.connections.application(handle).filter(|c| c.stalled_at.is_none()) else { return };
        c.stalled_at = Some(at);
        self.balancer.set_timer(at, Wake::ClientTimeout(handle));
    }

    pub(super) fn resume_accepting(&mut self) {
        if !self.connections.closed_to_applications() {
            self.set_listener_interest(Interest::Read);
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
