//! Messages larger than a buffer: request bodies given piece by piece to the attempt that has written all it had, responses
//! relayed as they arrive. Reading stops while the receiving side's buffer is full, so no message is ever in memory whole.
use super::applications::REQUEST_TIMEOUT;
use super::EventLoop;
use crate::memory::requests::Upload;
use crate::wire::application::{self, Call, State};
use crate::wire::upstream::{AttemptError, Begun, Cause, Passing, Stage, Work, TIME_LINE};
use silvercross_core::interface::Micros;
use silvercross_facade::{Attempt, Report};
use silvercross_gateway::offer::RemoteOutcome;
use silvercross_net::buffers::{Buffer, MAX_HEAD};
use silvercross_net::http::{Framing, MessageError, MAX_STREAMED_BODY};
use silvercross_net::registry::Interest;
use silvercross_net::stream::{copy_body, write_last_chunk, Decoder};
use silvercross_net::table::Handle;
use slog::debug;
use std::io::{self, Read};
use std::time::Duration;

/// Maximum number of bytes relayed on a connection in one iteration of the loop, since other connections wait meanwhile.
const MAX_BYTES_PER_TURN: usize = 256 * 1024;
/// A stream that makes no progress for this long is ended.
pub(super) const STREAM_IDLE_TIMEOUT: Micros = 10_000_000;
/// Minimum transfer rate in bytes per second: a sender's time limit is extended by the time that the bytes received take at
/// this rate.
const MIN_BYTES_PER_S: i64 = 32_000;

impl EventLoop {
    /// Time that a sender is given for this many bytes, in addition to the fixed limit.
    pub(super) fn transfer_time(bytes: usize) -> Micros {
        bytes as Micros * 1_000_000 / MIN_BYTES_PER_S
    }

    /// Begins a request whose body is larger than a buffer: puts its head, and what has arrived of the body, into `bytes` as
    /// they will be sent.
    pub(super) fn begin_upload(
        &mut self,
        input: &mut Buffer,
        call: &Call,
        framing: Framing,
        bytes: &mut Buffer,
    ) -> Result<Upload, MessageError> {
        if call.head.len() + TIME_LINE > MAX_HEAD || !bytes.append(&call.head) {
            return Err(MessageError::HeadTooLarge);
        }
        let chunked = framing == Framing::Chunked;
        let mut body = Decoder::new(framing, MAX_STREAMED_BODY);
        copy_body(input, &mut body, bytes, chunked, TIME_LINE)?;
        Ok(Upload { body, chunked, by: None, moved: self.balancer.now() })
    }

    /// Gives an attempt that has written all it had more of its request's body; `true` if it was given some, or the body
    /// is complete.
    pub(super) fn feed(&mut self, handle: Handle, attempt: Attempt) -> bool {
        let now = self.balancer.now();
        let Some(r) = self.requests.get_mut(attempt.request) else { return false };
        let (client, Some(upload)) = (r.client, r.upload.as_mut()) else { return false };
        if upload.by.is_some_and(|by| by != attempt.number) {
            // The bytes that it needs were given to another attempt and are no longer in memory.
            self.finish_attempt(handle, attempt, Report::NotSent, false);
            return false;
        }
        let Some(client) = client else { return false };
        let Some(a) = self.connections.application(client) else { return false };
        let Some(mut input) = a.input.take() else { return false };
        let Some(c) = self.connections.upstream(handle) else {
            self.return_input(client, input);
            return false;
        };
        let Some(mut out) = c.buffer.take() else {
            self.return_input(client, input);
            return false;
        };
        let carried = copy_body(&mut input, &mut upload.body, &mut out, upload.chunked, 0);
        let (given, done) = (!out.is_empty(), upload.body.is_done());
        if given {
            (upload.by, upload.moved) = (Some(attempt.number), now);
        }
        (c.buffer, c.more) = (Some(out), !done);
        if let Err(bad) = carried {
            self.return_input(client, input);
            self.upload_invalid(client, attempt.request, bad);
            return false;
        }
        self.return_input(client, input);
        if done {
            self.upload_complete(client, attempt.request);
        }
        given || done
    }

    /// Returns a client's input buffer to its connection, which continues to read unless the buffer is full.
    fn return_input(&mut self, client: Handle, input: Buffer) {
        let Some(a) = self.connections.application(client) else { return self.pool.put_back(input) };
        let full = input.is_full();
        a.input = Some(input);
        a.tidy(&mut self.pool);
        let _ = a.socket.set(if full { Interest::Nothing } else { Interest::Read });
    }

    /// The last byte of a request has arrived.
    pub(super) fn upload_complete(&mut self, client: Handle, request: Handle) {
        let now = self.balancer.now();
        if let Some(a) = self.connections.application(client) {
            (a.stalled_at, a.send_by) = (None, None);
            if a.input.is_some() {
                a.ahead_since = Some(now);
                a.ahead += 1;
            }
        }
        let decision = self.balancer.body_complete(request);
        self.queue_steps(decision);
    }

    /// More of a request's body has arrived, or its client's connection can read again.
    pub(super) fn upload_ready(&mut self, request: Handle) {
        let Some(r) = self.requests.get_mut(request).filter(|r| r.is_coming()) else { return };
        let attempts: Vec<Handle> = r.attempts.iter().flatten().copied().collect();
        for handle in attempts {
            let writing = |w: Work| matches!(w, Work::Busy(_, Stage::Writing));
            if self.connections.upstream(handle).is_some_and(|c| c.more && writing(c.work)) {
                self.upstream_ready(handle);
            }
        }
    }

    /// A body is invalid or too large: the request was never complete, so no upstream executes it.
    fn upload_invalid(&mut self, client: Handle, request: Handle, bad: MessageError) {
        debug!(self.log, "invalid request body"; "why" => ?bad);
        self.counts.bad_requests += 1;
        let decision = self.balancer.client_disconnected(request);
        self.queue_steps(decision);
        if let Some(a) = self.connections.application(client) {
            a.close = true;
        }
        let (status, why): (u16, &[u8]) = match bad {
            MessageError::BodyTooLarge => (413, b"the body is too large\n"),
            _ => (400, b"a malformed body\n"),
        };
        self.answer_call(request, status, b"", &[why]);
    }

    /// The time for a request whose body is still arriving is over, unless its bytes have extended it.
    pub(super) fn upload_stalled(&mut self, client: Handle, request: Handle) {
        let now = self.balancer.now();
        let Some(r) = self.requests.get_mut(request) else { return };
        let Some(moved) = r.upload.as_ref().map(|u| u.moved) else { return };
        let Some(a) = self.connections.application(client) else { return };
        // If the input buffer is full the upstream is the one that does not read.
        let waits_for_us = a.input.as_ref().is_some_and(|b| b.is_full()) && moved + STREAM_IDLE_TIMEOUT > now;
        let by = a.send_by.unwrap_or(now) + Self::transfer_time(a.received);
        if waits_for_us || by > now {
            a.stalled_at = None;
            return self.set_client_timeout(client, (by - now).max(REQUEST_TIMEOUT));
        }
        debug!(self.log, "the request body did not arrive in time"; "received" => a.received);
        self.counts.bad_requests += 1;
        a.close = true;
        let decision = self.balancer.client_disconnected(request);
        self.queue_steps(decision);
        self.answer_call(request, 408, b"", &[b"the request did not come in time\n"]);
    }

    /// A response larger than a buffer has begun: from now on it is relayed to the client.
    pub(super) fn response_begun(&mut self, handle: Handle, attempt: Attempt, begun: Begun) {
        let too_large =
            AttemptError { stage: Stage::Reading, cause: Cause::Answer(MessageError::BodyTooLarge) };
        let client = self.requests.get(attempt.request).filter(|r| !r.is_coming()).and_then(|r| r.client);
        let Some(client) = client.filter(|_| self.balancer.is_unanswered(attempt.request)) else {
            return self.attempt_failed(handle, attempt, too_large);
        };
        let Some(mut output) = self.pool.take_for_response() else {
            self.warn_limit("buffers");
            return self.attempt_failed(handle, attempt, too_large);
        };
        let stopping = self.stop.is_some();
        let Some(a) = self.connections.application(client) else { return self.pool.put_back(output) };
        let chunked = !matches!(begun.framing, Framing::Length(_)) && !a.old;
        let unframed = a.old && !matches!(begun.framing, Framing::Length(_));
        a.close |= stopping || unframed;
        let framing = match begun.framing {
            Framing::Length(n) => format!("Content-Length: {n}\r\n"),
            _ if chunked => "Transfer-Encoding: chunked\r\n".to_string(),
            _ => String::new(),
        };
        let close = if a.close { "Connection: close\r\n" } else { "" };
        let head = format!("HTTP/1.1 200 OK\r\n{framing}{close}");
        let fits = output.append(head.as_bytes()) && output.append(&begun.lines) && output.append(b"\r\n");
        if !fits {
            self.pool.put_back(output);
            return self.attempt_failed(handle, attempt, too_large);
        }
        a.state = State::Passing(attempt.request, handle);
        a.output = Some(output);
        a.used = true;
        let Some(c) = self.connections.upstream(handle) else { return };
        c.work = Work::Busy(attempt, Stage::Passing);
        c.buffer.iter_mut().for_each(|b| b.consume(begun.head));
        let (body, keep_alive) = (Decoder::new(begun.framing, MAX_STREAMED_BODY), begun.keep_alive);
        c.passing = Some(Passing { client, body, chunked, keep_alive });
        if let Some(r) = self.requests.get_mut(attempt.request) {
            // Part of this response is sent, so no other attempt can replace it.
            r.bytes.take().into_iter().for_each(|b| self.pool.put_back(b));
        }
        let decision = self.balancer.stream_started(attempt);
        self.queue_steps(decision);
        // A relayed response is not stored.
        self.release_claim(attempt.request, true);
        self.set_client_timeout(client, STREAM_IDLE_TIMEOUT);
        self.relay(handle);
    }

    /// Relays what has arrived of a response, as far as the client accepts it.
    pub(super) fn relay(&mut self, handle: Handle) {
        let mut passed = 0;
        loop {
            let Some(c) = self.connections.upstream(handle) else { return };
            let Work::Busy(attempt, Stage::Passing) = c.work else { return };
            let (Some(mut passing), Some(mut from)) = (c.passing.take(), c.buffer.take()) else { return };
            let client = passing.client;
            let to = self.connections.application(client).and_then(|a| a.output.take());
            let carried = match to.or_else(|| self.pool.take_for_response()) {
                Some(mut to) => {
                    let carried = copy_body(&mut from, &mut passing.body, &mut to, passing.chunked, 0);
                    match self.connections.application(client) {
                        Some(a) => a.output = Some(to),
                        None => self.pool.put_back(to),
                    }
                    carried
                }
                None => Err(MessageError::BodyTooLarge),
            };
            let (done, has_more) = (passing.body.is_done(), !from.is_empty());
            if let Some(c) = self.connections.upstream(handle) {
                (c.passing, c.buffer) = (Some(passing), Some(from));
            }
            let moved = match carried {
                Ok(n) => n,
                Err(bad) => return self.relay_failed(handle, attempt, Cause::Answer(bad)),
            };
            passed += moved;
            if !self.flush_relay(client, moved > 0) {
                // The client is blocked: nothing is read until it has accepted the output. Or it has disconnected, and the
                // attempt is cancelled.
                if let Some(c) = self.connections.upstream(handle) {
                    let _ = c.socket.set(Interest::Nothing);
                }
                return;
            }
            if done {
                return self.relay_complete(handle, attempt);
            }
            if passed >= MAX_BYTES_PER_TURN {
                // Continued in the next iteration of the loop.
                if let Some(c) = self.connections.upstream(handle) {
                    let _ = c.socket.set(Interest::Both);
                }
                return;
            }
            if moved > 0 && has_more {
                continue;
            }
            if !self.read_more(handle, attempt) {
                return;
            }
        }
    }

    /// Reads more of a response that is relayed; `false` if there is nothing to continue with.
    fn read_more(&mut self, handle: Handle, attempt: Attempt) -> bool {
        let Some(c) = self.connections.upstream(handle) else { return false };
        let Some(buffer) = c.buffer.as_mut() else { return false };
        let cause = match c.socket.get().read(buffer.room()) {
            Ok(n) if n > 0 => {
                buffer.add(n);
                return true;
            }
            Err(e) if e.kind() == io::ErrorKind::Interrupted => return true,
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                let _ = c.socket.set(Interest::Read);
                return false;
            }
            Err(e) => Cause::Socket(e),
            Ok(_) => {
                let ended = c.passing.as_mut().is_some_and(|p| p.body.ends_at_close());
                let (client, chunked) = c.passing.as_ref().map_or((handle, false), |p| (p.client, p.chunked));
                if ended {
                    let a = self.connections.application(client);
                    let output = a.and_then(|a| a.output.take()).or_else(|| self.pool.take_for_response());
                    if let Some(mut output) = output {
                        // The client has accepted everything before it, so the buffer has space.
                        let _ = chunked && write_last_chunk(&mut output);
                        if let Some(a) = self.connections.application(client) {
                            a.output = Some(output);
                        }
                    }
                    return true;
                }
                Cause::Closed
            }
        };
        self.relay_failed(handle, attempt, cause);
        false
    }

    /// Writes a client's output buffer; `true` once it is empty. `has_new_bytes`: bytes were put into it just before, which
    /// counts as progress of the stream.
    fn flush_relay(&mut self, client: Handle, has_new_bytes: bool) -> bool {
        let now = self.balancer.now();
        let Some(a) = self.connections.application(client) else { return false };
        let State::Passing(request, _) = a.state else { return false };
        let before = a.output.as_ref().map_or(0, |b| b.filled().len());
        let flushed = a.flush(&mut self.pool);
        let left = a.output.as_ref().map_or(0, |b| b.filled().len());
        if has_new_bytes || left < before {
            a.stalled_at = a.stalled_at.map(|_| now + STREAM_IDLE_TIMEOUT);
        }
        match flushed {
            Ok(true) => {
                let full = a.input.as_ref().is_some_and(|b| b.is_full());
                let _ = a.socket.set(if full { Interest::Nothing } else { Interest::Read });
                true
            }
            Ok(false) => false,
            Err(_) => {
                self.client_gone(client, request);
                false
            }
        }
    }

    /// A response was relayed completely, apart from the client's output buffer.
    fn relay_complete(&mut self, handle: Handle, attempt: Attempt) {
        let now = self.balancer.now();
        self.counts.served += 1;
        self.stop.iter_mut().for_each(|s| s.note_activity(now));
        self.remote_request_ended(attempt.request, RemoteOutcome::Served);
        let clean = |c: &mut crate::wire::upstream::Conn| {
            let passing = c.passing.take()?;
            let rest = c.buffer.as_ref().is_some_and(|b| !b.is_empty());
            Some((passing.client, passing.keep_alive && !rest && !matches!(passing.body, b if !b.is_done())))
        };
        let Some((client, keep)) = self.connections.upstream(handle).and_then(clean) else { return };
        let decision = self.balancer.report(attempt, Report::Served);
        self.queue_steps(decision);
        if let Some(r) = self.requests.get_mut(attempt.request) {
            r.client = None;
        }
        if keep {
            // The next event on an idle connection is its close.
            let c = self.connections.upstream(handle);
            c.into_iter().for_each(|c| drop(c.socket.set(Interest::Read)));
        }
        self.release_connection(handle, attempt, keep);
        let Some(a) = self.connections.application(client) else { return };
        if let Some(class) = a.counted.take() {
            self.management.metrics.count_response(class, 200);
        }
        (a.state, a.since, a.stalled_at) = (State::Answering, now, None);
        self.flush(client);
    }

    /// A response that was being relayed failed: its client must not take it for complete.
    pub(super) fn relay_failed(&mut self, handle: Handle, attempt: Attempt, cause: Cause) {
        self.counts.failed += 1;
        self.remote_request_ended(attempt.request, RemoteOutcome::Failed);
        let client = self.connections.upstream(handle).and_then(|c| c.passing.take()).map(|p| p.client);
        if let Some(r) = self.requests.get_mut(attempt.request) {
            r.client = None;
        }
        self.attempt_failed(handle, attempt, AttemptError { stage: Stage::Passing, cause });
        client.into_iter().for_each(|client| self.cut_off(client));
    }

    /// Resets a client's connection in the middle of a response.
    pub(super) fn cut_off(&mut self, client: Handle) {
        if let Some(a) = self.connections.application(client) {
            if let Some(class) = a.counted.take() {
                self.management.metrics.count_response(class, 502);
            }
            // An orderly close would look like the end of a response without a length, so the connection is reset.
            let _ = socket2::SockRef::from(a.socket.get()).set_linger(Some(Duration::ZERO));
        }
        self.close_application(client);
    }

    /// A client whose response is relayed can be written to again, has sent something, or has disconnected.
    pub(super) fn relay_client_ready(&mut self, client: Handle, request: Handle, upstream: Handle) {
        let Some(a) = self.connections.application(client) else { return };
        let full = a.input.as_ref().is_some_and(|b| b.is_full());
        if !full && a.read(&mut self.pool) == application::Got::Closed {
            return self.client_gone(client, request);
        }
        self.relay(upstream);
    }
}
