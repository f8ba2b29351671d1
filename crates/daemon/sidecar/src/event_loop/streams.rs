//! Messages larger than a buffer, between the two sides: bodies fed to the attempt that asks for more, answers passed on
//! as they come. Reading stops where the other side is full, so none is ever held whole.
use super::applications::SEND;
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

/// A connection carries so much in one turn: others wait for theirs.
const TURN: usize = 256 * 1024;
/// A stream on which nothing has moved for so long is over.
pub(super) const STILL: Micros = 10_000_000;
/// Bytes in a second that are slow, but no trickle.
const SLOW: Micros = 32_000;

impl EventLoop {
    /// How long a sender may take beyond a moment for so many bytes.
    pub(super) fn time_for(bytes: usize) -> Micros {
        bytes as Micros * 1_000_000 / SLOW
    }

    /// The start of a request whose body is larger than a buffer: its head and what has come of the body, as it goes on.
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

    /// An attempt has written all it was given, and more of its request's body is to come. `true` once it was given some.
    pub(super) fn feed(&mut self, handle: Handle, attempt: Attempt) -> bool {
        let now = self.balancer.now();
        let Some(r) = self.requests.get_mut(attempt.request) else { return false };
        let (client, Some(upload)) = (r.client, r.upload.as_mut()) else { return false };
        if upload.by.is_some_and(|by| by != attempt.number) {
            // What it would need went to another one, and is held no more.
            self.finish_attempt(handle, attempt, Report::NotSent, false);
            return false;
        }
        let Some(client) = client else { return false };
        let Some(a) = self.connections.application(client) else { return false };
        let Some(mut input) = a.input.take() else { return false };
        let Some(c) = self.connections.upstream(handle) else {
            self.give_input(client, input);
            return false;
        };
        let Some(mut out) = c.buffer.take() else {
            self.give_input(client, input);
            return false;
        };
        let carried = copy_body(&mut input, &mut upload.body, &mut out, upload.chunked, 0);
        let (given, done) = (!out.is_empty(), upload.body.is_done());
        if given {
            (upload.by, upload.moved) = (Some(attempt.number), now);
        }
        (c.buffer, c.more) = (Some(out), !done);
        if let Err(bad) = carried {
            self.give_input(client, input);
            self.upload_spoilt(client, attempt.request, bad);
            return false;
        }
        self.give_input(client, input);
        if done {
            self.upload_whole(client, attempt.request);
        }
        given || done
    }

    /// Give a client's input back to its connection, which reads on if there is room.
    fn give_input(&mut self, client: Handle, input: Buffer) {
        let Some(a) = self.connections.application(client) else { return self.pool.put_back(input) };
        let full = input.is_full();
        a.input = Some(input);
        a.tidy(&mut self.pool);
        let _ = a.socket.set(if full { Interest::Nothing } else { Interest::Read });
    }

    /// The last byte of a request has come.
    pub(super) fn upload_whole(&mut self, client: Handle, request: Handle) {
        let now = self.balancer.now();
        if let Some(a) = self.connections.application(client) {
            (a.stalled_at, a.send_by) = (None, None);
            if a.input.is_some() {
                a.ahead_since = Some(now);
                a.ahead += 1;
            }
        }
        let turn = self.balancer.body_complete(request);
        self.absorb(turn);
    }

    /// More of a request's body has come, or its client's connection has room again.
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

    /// A body can't be read further: the request never was whole, and nobody runs it.
    fn upload_spoilt(&mut self, client: Handle, request: Handle, bad: MessageError) {
        debug!(self.log, "a body broke off"; "why" => ?bad);
        self.counts.bad += 1;
        let turn = self.balancer.client_disconnected(request);
        self.absorb(turn);
        if let Some(a) = self.connections.application(client) {
            a.close = true;
        }
        let (status, why): (u16, &[u8]) = match bad {
            MessageError::BodyTooLarge => (413, b"the body is too large\n"),
            _ => (400, b"a malformed body\n"),
        };
        self.answer_call(request, status, b"", &[why]);
    }

    /// The time for a request whose body is still coming is up, unless it has moved on.
    pub(super) fn upload_stalled(&mut self, client: Handle, request: Handle) {
        let now = self.balancer.now();
        let Some(r) = self.requests.get_mut(request) else { return };
        let Some(moved) = r.upload.as_ref().map(|u| u.moved) else { return };
        let Some(a) = self.connections.application(client) else { return };
        // Where our own input is full it is the upstream that does not read.
        let waits_for_us = a.input.as_ref().is_some_and(|b| b.is_full()) && moved + STILL > now;
        let by = a.send_by.unwrap_or(now) + Self::time_for(a.received);
        if waits_for_us || by > now {
            a.stalled_at = None;
            return self.may_stall(client, (by - now).max(SEND));
        }
        debug!(self.log, "a body stands still"; "received" => a.received);
        self.counts.bad += 1;
        a.close = true;
        let turn = self.balancer.client_disconnected(request);
        self.absorb(turn);
        self.answer_call(request, 408, b"", &[b"the request did not come in time\n"]);
    }

    /// A large answer has begun: it goes on to the client from here on.
    pub(super) fn begun(&mut self, handle: Handle, attempt: Attempt, begun: Begun) {
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
            // There is no other answer to give, so no other attempt.
            r.bytes.take().into_iter().for_each(|b| self.pool.put_back(b));
        }
        let turn = self.balancer.stream_started(attempt);
        self.absorb(turn);
        // An answer that goes on as it comes is not held.
        self.give_held(attempt.request, true);
        self.may_stall(client, STILL);
        self.pass(handle);
    }

    /// Pass on what has come of an answer, as far as the client takes it.
    pub(super) fn pass(&mut self, handle: Handle) {
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
                Err(bad) => return self.broken_off(handle, attempt, Cause::Answer(bad)),
            };
            passed += moved;
            if !self.flush_passing(client, moved > 0) {
                // Blocked: nothing is read until the client has taken what there is; or gone, and so is the attempt.
                if let Some(c) = self.connections.upstream(handle) {
                    let _ = c.socket.set(Interest::Nothing);
                }
                return;
            }
            if done {
                return self.passed(handle, attempt);
            }
            if passed >= TURN {
                // The next turn goes on at once.
                if let Some(c) = self.connections.upstream(handle) {
                    let _ = c.socket.set(Interest::Both);
                }
                return;
            }
            if moved > 0 && has_more {
                continue;
            }
            if !self.read_on(handle, attempt) {
                return;
            }
        }
    }

    /// Read more of an answer that is passed on; `false` where there is nothing to go on with.
    fn read_on(&mut self, handle: Handle, attempt: Attempt) -> bool {
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
                        // All before it has been taken by the client, so there is room.
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
        self.broken_off(handle, attempt, cause);
        false
    }

    /// Write what stands in a client's output; `true` once nothing is left.
    fn flush_passing(&mut self, client: Handle, moved: bool) -> bool {
        let now = self.balancer.now();
        let Some(a) = self.connections.application(client) else { return false };
        let State::Passing(request, _) = a.state else { return false };
        let before = a.output.as_ref().map_or(0, |b| b.filled().len());
        let flushed = a.flush(&mut self.pool);
        let left = a.output.as_ref().map_or(0, |b| b.filled().len());
        if moved || left < before {
            a.stalled_at = a.stalled_at.map(|_| now + STILL);
        }
        match flushed {
            Ok(true) => {
                let full = a.input.as_ref().is_some_and(|b| b.is_full());
                let _ = a.socket.set(if full { Interest::Nothing } else { Interest::Read });
                true
            }
            Ok(false) => false,
            Err(_) => {
                self.hung_up(client, request);
                false
            }
        }
    }

    /// All of an answer has gone on.
    fn passed(&mut self, handle: Handle, attempt: Attempt) {
        let now = self.balancer.now();
        self.counts.served += 1;
        self.stop.iter_mut().for_each(|s| s.note_activity(now));
        self.guest_ended(attempt.request, RemoteOutcome::Served);
        let clean = |c: &mut crate::wire::upstream::Conn| {
            let passing = c.passing.take()?;
            let rest = c.buffer.as_ref().is_some_and(|b| !b.is_empty());
            Some((passing.client, passing.keep_alive && !rest && !matches!(passing.body, b if !b.is_done())))
        };
        let Some((client, keep)) = self.connections.upstream(handle).and_then(clean) else { return };
        let turn = self.balancer.report(attempt, Report::Served);
        self.absorb(turn);
        if let Some(r) = self.requests.get_mut(attempt.request) {
            r.client = None;
        }
        if keep {
            // What an idle connection brings next is its end.
            let c = self.connections.upstream(handle);
            c.into_iter().for_each(|c| drop(c.socket.set(Interest::Read)));
        }
        self.wind_up(handle, attempt, keep);
        let Some(a) = self.connections.application(client) else { return };
        if let Some(class) = a.counted.take() {
            self.door.figures.count_response(class, 200);
        }
        (a.state, a.since, a.stalled_at) = (State::Answering, now, None);
        self.flush(client);
    }

    /// An answer that was being passed on breaks off: its client must not take it for a whole one.
    pub(super) fn broken_off(&mut self, handle: Handle, attempt: Attempt, cause: Cause) {
        self.counts.failed += 1;
        self.guest_ended(attempt.request, RemoteOutcome::Failed);
        let client = self.connections.upstream(handle).and_then(|c| c.passing.take()).map(|p| p.client);
        if let Some(r) = self.requests.get_mut(attempt.request) {
            r.client = None;
        }
        self.attempt_failed(handle, attempt, AttemptError { stage: Stage::Passing, cause });
        client.into_iter().for_each(|client| self.cut_off(client));
    }

    /// End a client's connection in the middle of an answer.
    pub(super) fn cut_off(&mut self, client: Handle) {
        if let Some(a) = self.connections.application(client) {
            if let Some(class) = a.counted.take() {
                self.door.figures.count_response(class, 502);
            }
            // An orderly end would pass for the end of an answer that has no length.
            let _ = socket2::SockRef::from(a.socket.get()).set_linger(Some(Duration::ZERO));
        }
        self.close_application(client);
    }

    /// A client whose answer is passed on has room, has sent something, or has gone.
    pub(super) fn passing_ready(&mut self, client: Handle, request: Handle, upstream: Handle) {
        let Some(a) = self.connections.application(client) else { return };
        let full = a.input.as_ref().is_some_and(|b| b.is_full());
        if !full && a.read(&mut self.pool) == application::Got::Closed {
            return self.hung_up(client, request);
        }
        self.pass(upstream);
    }
}
