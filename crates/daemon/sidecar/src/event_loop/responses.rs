//! Responses to applications: refusals, failures and those of upstreams that are held whole, and writing them.
use super::EventLoop;
use crate::wire::application::State;
use silvercross_core::interface::Micros;
use silvercross_gateway::offer::RemoteOutcome;
use silvercross_net::http::{self, MessageError};
use silvercross_net::registry::Interest;
use silvercross_net::table::Handle;
use slog::debug;
use std::io::Write;

/// Time for a client to read a response.
pub(super) const WRITE_TIMEOUT: Micros = 10_000_000;
/// Header line of a response to a request that was certainly not executed.
const UNPROCESSED: &str = "X-Unprocessed: 1\r\n";

impl EventLoop {
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
    pub(super) fn reject_unprocessed(&mut self, handle: Handle, end: usize, why: &'static str) {
        self.counts.refused += 1;
        if let Some(c) = self.connections.application(handle) {
            c.input.iter_mut().for_each(|i| i.consume(end));
            c.tidy(&mut self.pool);
        }
        let lines = format!("{UNPROCESSED}{}", self.gateway_lines());
        self.answer(handle, 503, lines.as_bytes(), &[why.as_bytes(), b"\n"]);
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
}
