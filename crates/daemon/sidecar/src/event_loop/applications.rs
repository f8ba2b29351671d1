//! Connections from applications: accepted, their requests read and passed to the balancer, responses written.
use super::gateway_side::GatewayHalf;
use super::{EventLoop, Wake};
use crate::memory::connections::Connection;
use crate::memory::requests::{Guest, Request};
use crate::wire::application::{self, Asked, Call, Front, Got, State};
use crate::wire::upstream::{Cause, Stage, Work};
use silvercross_core::interface::Micros;
use silvercross_facade::Request as BalancerRequest;
use silvercross_gateway::offer::RemoteOutcome;
use silvercross_net::http::{self, Framing, MessageError};
use silvercross_net::registry::Interest;
use silvercross_net::table::Handle;
use slog::{debug, warn};
use std::io::{self, Write};

/// Time for a client to read a response.
const WRITE_TIMEOUT: Micros = 10_000_000;
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
/// Header line of a response to a request that was certainly not executed.
const UNPROCESSED: &str = "X-Unprocessed: 1\r\n";
/// Interval of the checks whether a last response is sent.
const SEND_CHECK_INTERVAL: Micros = 20_000;
/// Time for a client to close its end after a response that ended the connection.
const LINGER_TIMEOUT: Micros = 1_000_000;

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

    /// Closes the application connection that has been idle for longest and on which no request has just arrived; `false`
    /// if there is none.
    pub(super) fn close_idle_application(&mut self) -> bool {
        while let Some(handle) = self.connections.idle_application(self.balancer.now()) {
            if self.close_if_idle(handle) {
                return true;
            }
        }
        false
    }

    /// Closes an idle application connection unless a request has just arrived on it or the system still sends its last
    /// response; such a one is closed after that. Returns whether it is closed.
    pub(super) fn close_if_idle(&mut self, handle: Handle) -> bool {
        self.application_ready(handle);
        match self.connections.application(handle) {
            None => true,
            Some(c) if !c.is_idle() => false,
            Some(c) if !c.is_all_sent() => {
                self.linger(handle);
                false
            }
            Some(_) => {
                self.close_application(handle);
                true
            }
        }
    }

    /// The time for what an application's connection is in the middle of is over.
    pub(super) fn client_timed_out(&mut self, handle: Handle) {
        let Some(c) = self.connections.application(handle) else { return };
        match c.state {
            State::Reading => {}
            State::Waiting(request) => return self.upload_stalled(handle, request),
            State::Passing(_, upstream) => {
                let attempt = match self.connections.upstream(upstream).map(|c| c.work) {
                    Some(Work::Busy(attempt, Stage::Passing)) => attempt,
                    _ => return self.close_application(handle),
                };
                return self.relay_failed(upstream, attempt, Cause::NotInTime);
            }
            State::Sending if c.since + WRITE_TIMEOUT > self.balancer.now() => return self.linger(handle),
            State::Answering | State::Sending | State::Lingering => return self.close_application(handle),
        }
        let by = c.send_by.unwrap_or(0) + Self::transfer_time(c.received);
        if by > self.balancer.now() {
            c.stalled_at = Some(by);
            return self.balancer.set_timer(by, Wake::ClientTimeout(handle));
        }
        self.counts.bad_requests += 1;
        c.close = true;
        c.input.take().into_iter().for_each(|b| self.pool.put_back(b));
        self.answer(handle, 408, b"", &[b"the request did not come in time\n"]);
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

    /// Refuses a request for lack of a buffer. It has not been sent to an upstream, so it was not executed.
    pub(super) fn refuse_without_buffer(&mut self, handle: Handle) {
        const ANSWER: &[u8] =
            b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
        self.warn_limit("buffers");
        let Some(c) = self.connections.application(handle) else { return };
        c.discard();
        let _ = c.socket.get().write(ANSWER);
        self.linger(handle);
    }

    pub(super) fn client_gone(&mut self, handle: Handle, request: Handle) {
        self.counts.client_gone += 1;
        debug!(self.log, "client disconnected"; "request" => request.number());
        if let Some(r) = self.requests.get_mut(request) {
            r.client = None;
            r.bytes.take().into_iter().for_each(|b| self.pool.put_back(b));
        }
        self.close_application(handle);
        self.remote_request_ended(request, RemoteOutcome::Disconnected);
        let sent = self.requests.get(request).is_some_and(|r| !r.attempts.is_empty());
        self.release_claim(request, sent);
        let decision = self.balancer.client_disconnected(request);
        self.queue_steps(decision);
        self.forget_if_done(request);
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

    pub(super) fn refuse_bad(&mut self, handle: Handle, bad: MessageError) {
        self.counts.bad_requests += 1;
        let (status, why) = match bad {
            MessageError::Malformed(why) => (400, why),
            MessageError::HeadTooLarge => (431, "the head is too large"),
            MessageError::BodyTooLarge => (413, "the body is too large"),
            MessageError::IdInUse => (409, "a request with this correlation id is open"),
            MessageError::TooManyAhead => (429, "too many requests ahead of their answers"),
        };
        debug!(self.log, "bad request"; "status" => status, "why" => why);
        if let Some(c) = self.connections.application(handle) {
            // The start of the next request is not known.
            c.close = true;
            c.input.take().into_iter().for_each(|b| self.pool.put_back(b));
        }
        self.answer(handle, status, b"", &[why.as_bytes(), b"\n"]);
    }

    /// As a gateway: rejects a request unprocessed, before it was passed to the balancer.
    fn reject_unprocessed(&mut self, handle: Handle, end: usize, why: &'static str) {
        self.counts.refused += 1;
        if let Some(c) = self.connections.application(handle) {
            c.input.iter_mut().for_each(|i| i.consume(end));
            c.tidy(&mut self.pool);
        }
        let lines = format!("{UNPROCESSED}{}", self.gateway_lines());
        self.answer(handle, 503, lines.as_bytes(), &[why.as_bytes(), b"\n"]);
    }

    /// A request from the far site that was admitted is not processed after all.
    fn withdraw_remote_request(&mut self, guest: Option<Guest>) {
        if let (Some(GatewayHalf::In(i)), Some(g)) = (self.gateway.as_mut(), guest) {
            i.offer.ended(g.began, RemoteOutcome::Disconnected, 0, g.expected, g.left);
        }
    }

    /// The decision module refuses a request. A gateway adds the header that says it was not executed only if that is so,
    /// since the sender relies on it.
    pub(super) fn refuse(&mut self, request: Handle, lines: &str) {
        let ran = self.requests.get(request).is_some_and(|r| r.may_have_run);
        self.release_claim(request, ran);
        if self.gateway.is_none() {
            return self.answer_call(request, 503, lines.as_bytes(), &[b"refused\n"]);
        }
        self.remote_request_ended(request, RemoteOutcome::Rejected);
        self.refuse_or_fail(request, lines);
    }

    /// The decision module ends a request as failed.
    pub(super) fn fail(&mut self, request: Handle) {
        let sent = self.requests.get(request).is_some_and(|r| !r.attempts.is_empty());
        self.release_claim(request, sent);
        if self.gateway.is_none() {
            return self.answer_call(request, 502, b"", &[b"failed\n"]);
        }
        self.remote_request_ended(request, RemoteOutcome::Failed);
        self.refuse_or_fail(request, "");
    }

    fn refuse_or_fail(&mut self, request: Handle, lines: &str) {
        let ran = self.requests.get(request).is_none_or(|r| r.may_have_run);
        let offer = self.gateway_lines();
        match ran {
            true => self.answer_call(request, 502, offer.as_bytes(), &[b"failed\n"]),
            false => {
                let lines = format!("{UNPROCESSED}{offer}{lines}");
                self.answer_call(request, 503, lines.as_bytes(), &[b"refused\n"]);
            }
        }
    }

    /// Sends a request's final response to its client, if the client is still connected.
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
                // Part of another response has been sent already.
                return self.cut_off(client);
            }
            if coming {
                // The start of the next request is not known.
                c.close = true;
                c.input.take().into_iter().for_each(|b| self.pool.put_back(b));
            }
        }
        self.answer(client, status, lines, parts);
    }

    pub(super) fn answer(&mut self, handle: Handle, status: u16, lines: &[u8], parts: &[&[u8]]) {
        let now = self.balancer.now();
        self.stop.iter_mut().for_each(|s| s.note_activity(now));
        // While the process does not listen no connection stays open: its requests would only be rejected.
        let ends = self.stop.is_some() || self.listener.is_none();
        let Some(c) = self.connections.application(handle) else { return };
        // Responses are counted here, unless they are relayed or written for lack of a buffer.
        if let Some(class) = c.counted.take() {
            self.management.metrics.count_response(class, status);
        }
        c.close |= ends;
        let Some(mut output) = c.output.take().or_else(|| self.pool.take_for_response()) else {
            self.warn_limit("buffers");
            return self.close_application(handle);
        };
        // If the response is too long with its header lines it is sent without them.
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
                    Ok(()) => self.process_input(handle),
                    Err(_) => self.close_application(handle),
                }
            }
            Ok(false) => self.set_client_timeout(handle, WRITE_TIMEOUT),
            Err(e) => {
                debug!(self.log, "writing a response failed"; "error" => e.to_string());
                self.close_application(handle);
            }
        }
    }

    /// Ends a connection after its last response: once that is sent, the client has some time to close its end.
    pub(super) fn linger(&mut self, handle: Handle) {
        let now = self.balancer.now();
        let Some(c) = self.connections.application(handle) else { return };
        c.input.take().into_iter().for_each(|b| self.pool.put_back(b));
        if c.state != State::Sending {
            c.since = now;
        }
        match c.linger() {
            Ok(()) => {
                c.stalled_at = None;
                let span = if c.state == State::Sending { SEND_CHECK_INTERVAL } else { LINGER_TIMEOUT };
                self.set_client_timeout(handle, span);
            }
            Err(_) => self.close_application(handle),
        }
    }

    pub(super) fn set_client_timeout(&mut self, handle: Handle, span: Micros) {
        let at = self.balancer.now() + span;
        let Some(c) = self.connections.application(handle).filter(|c| c.stalled_at.is_none()) else { return };
        c.stalled_at = Some(at);
        self.balancer.set_timer(at, Wake::ClientTimeout(handle));
    }

    pub(super) fn close_application(&mut self, handle: Handle) {
        if let Some(Connection::Application(mut c)) = self.connections.remove(handle) {
            c.input.take().into_iter().chain(c.output.take()).for_each(|b| self.pool.put_back(b));
            self.resume_accepting();
        }
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
