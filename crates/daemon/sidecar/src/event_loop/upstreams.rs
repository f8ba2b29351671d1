//! Connections to upstreams: attempts started, advanced, ended.
use super::{EventLoop, Wake};
use crate::memory::connections::Connection;
use crate::wire::upstream::{self, Answer, AttemptError, Cause, Progress, Stage, Work};
use silvercross_core::interface::Micros;
use silvercross_facade::{Attempt, Report, Step, Upstream};
use silvercross_gateway::offer::RemoteOutcome;
use silvercross_net::http::MessageError;
use silvercross_net::registry::Interest;
use silvercross_net::table::Handle;
use slog::debug;
use socket2::{Domain, Protocol, Socket, Type};
use std::io;
use std::net::{SocketAddr, TcpStream};

/// After a connection broke under a request, the last byte of each request is delayed by this: a connection that the
/// upstream closes or resets while the request arrives then breaks before the request is complete, so that it was
/// certainly not executed ...
const LAST_BYTE_DELAY: Micros = 1_500;
/// ... for this long after the last such break; without breaks there is no delay.
const DELAY_LAST_BYTE_FOR: Micros = 10_000_000;
/// A connection is reused only after it was idle for this long: bytes that an upstream sends by mistake after a response
/// would be taken for the response to the next request (see `Connections::take_idle`).
const MIN_IDLE_TIME: Micros = 5_000;
/// Maximum number of times that an attempt is given more of its request's body in one iteration of the loop.
const MAX_FEEDS_PER_TURN: usize = 4;
/// `EINPROGRESS` on Linux.
const IN_PROGRESS: i32 = 115;

impl EventLoop {
    pub(super) fn send(&mut self, attempt: Attempt, upstream: Upstream, to: SocketAddr, time_limit: Micros) {
        self.counts.attempts += 1;
        let Some(r) = self.requests.get_mut(attempt.request) else {
            return self.report(attempt, Report::NotSent);
        };
        r.attempts.resize(attempt.number as usize + 1, None);
        let more = r.is_coming();
        // The body has gone beyond the buffer, so its start is no longer in memory and cannot be sent again.
        if r.bytes.is_none() || r.upload.as_ref().is_some_and(|u| u.by.is_some()) {
            return self.report(attempt, Report::NotSent);
        }
        if !self.peer_attempt_started(to) {
            return self.report(attempt, Report::Rejected);
        }
        let Some(bytes) =
            self.requests.get(attempt.request).and_then(|r| r.bytes.as_ref().map(|b| (b, r.head)))
        else {
            return self.report(attempt, Report::NotSent);
        };
        let (head, body) = bytes.0.filled().split_at(bytes.1);
        let Some(buffer) = upstream::compose(&mut self.pool, head, body, time_limit) else {
            return self.attempt_not_started(attempt, upstream, to, Cause::NoRoom);
        };
        let kept = self.take_idle(upstream, to);
        let reused = kept.is_some();
        let handle = match kept.map_or_else(|| self.connect(upstream, to), Ok) {
            Ok(handle) => handle,
            Err(cause) => {
                self.pool.put_back(buffer);
                return self.attempt_not_started(attempt, upstream, to, cause);
            }
        };
        let now = self.balancer.now();
        let delayed = self.delay_last_byte_until > now;
        let Some(c) = self.connections.upstream(handle) else {
            self.pool.put_back(buffer);
            return self.attempt_not_started(attempt, upstream, to, Cause::NoRoom);
        };
        c.sent_at = now;
        (c.buffer, c.interim, c.held, c.timed) = (Some(buffer), 0, delayed, false);
        (c.more, c.passing) = (more, None);
        c.work = Work::Busy(attempt, if reused { Stage::Writing } else { Stage::Connecting });
        debug!(self.log, "attempt"; "request" => attempt.request.number(), "number" => attempt.number,
            "upstream" => upstream.0, "host" => self.balancer.name_of(upstream), "limit_us" => time_limit, "reused" => reused);
        if let Some(r) = self.requests.get_mut(attempt.request) {
            r.attempts[attempt.number as usize] = Some(handle);
        }
        if !reused {
            let at = self.balancer.now() + self.bounds.connect_timeout;
            self.balancer.set_timer(at, Wake::ConnectTimeout(handle));
        }
        self.upstream_ready(handle);
    }

    /// The idle connection to the upstream's present address that was used last and is still open.
    pub(super) fn take_idle(&mut self, upstream: Upstream, to: SocketAddr) -> Option<Handle> {
        // The age is checked here too: upstreams may close a connection sooner than the next housekeeping.
        let oldest = self.balancer.now() - self.upstream_idle_limit;
        let rested = self.balancer.now() - MIN_IDLE_TIME;
        while let Some(handle) = self.connections.take_idle(upstream, rested) {
            if self
                .connections
                .upstream(handle)
                .is_some_and(|c| c.to == to && c.since > oldest && c.is_fresh())
            {
                return Some(handle);
            }
            self.close_upstream(handle);
        }
        None
    }

    /// Closes the upstream connection that has been idle for longest; `false` if there is none.
    pub(super) fn close_idle_upstream(&mut self) -> bool {
        let idle = self.connections.idle_upstream();
        idle.into_iter().for_each(|h| self.close_upstream(h));
        idle.is_some()
    }

    pub(super) fn open(&mut self, to: SocketAddr) -> Result<TcpStream, Cause> {
        // A failure here means that this process lacks descriptors or ports, not that the other end is at fault.
        let made = Socket::new(Domain::for_address(to), Type::STREAM, Some(Protocol::TCP));
        let socket = made.map_err(|_| Cause::NoRoom)?;
        let set = socket.set_nonblocking(true).and_then(|()| socket.set_tcp_nodelay(true));
        set.map_err(|_| Cause::NoRoom)?;
        match socket.connect(&to.into()) {
            Ok(()) => Ok(socket.into()),
            // Being established: `EINPROGRESS` has no `ErrorKind`.
            Err(e) if e.kind() == io::ErrorKind::WouldBlock || e.raw_os_error() == Some(IN_PROGRESS) => {
                Ok(socket.into())
            }
            Err(e) if e.kind() == io::ErrorKind::AddrNotAvailable => Err(Cause::NoRoom),
            Err(e) => Err(Cause::Socket(e)),
        }
    }

    pub(super) fn connect(&mut self, upstream: Upstream, to: SocketAddr) -> Result<Handle, Cause> {
        if self.connections.full_outwards() && !self.close_idle_upstream() {
            self.warn_limit("attempts");
            return Err(Cause::NoRoom);
        }
        let socket = self.open(to)?;
        self.counts.connects += 1;
        let (registry, since) = (self.registry.clone(), self.balancer.now());
        let made = self.connections.insert_with(|h| {
            let socket = registry.watch(socket, h.number() as usize, Interest::Write)?;
            let (work, buffer) = (Work::Idle, None);
            Ok::<_, io::Error>(Connection::Upstream(upstream::Conn {
                socket,
                upstream,
                to,
                work,
                buffer,
                since,
                interim: 0,
                held: false,
                timed: false,
                sent_at: since,
                more: false,
                passing: None,
            }))
        });
        made.ok().flatten().ok_or(Cause::NoRoom)
    }

    pub(super) fn upstream_ready(&mut self, handle: Handle) {
        // A relayed body continues while its client has sent more, up to a limit since other connections wait.
        for _ in 0..MAX_FEEDS_PER_TURN {
            if !self.advance_upstream(handle) {
                return;
            }
        }
    }

    /// Advances an attempt; `true` if it was given more of its request to write.
    fn advance_upstream(&mut self, handle: Handle) -> bool {
        let Some(c) = self.connections.upstream(handle) else { return false };
        let Work::Busy(attempt, stage) = c.work else {
            // The only valid event on an idle connection is its close.
            self.close_upstream(handle);
            return false;
        };
        if stage == Stage::Passing {
            self.relay(handle);
            return false;
        }
        let had_begun = matches!(c.work, Work::Busy(_, Stage::Reading));
        let unsent = matches!(c.work, Work::Busy(_, Stage::Connecting | Stage::Writing));
        let done = c.advance();
        if unsent && !c.more && matches!(c.work, Work::Busy(_, Stage::Waiting | Stage::Reading)) {
            self.management.metrics.count_relayed();
        }
        match done {
            Ok(Progress::Blocked) => {
                if !had_begun && matches!(c.work, Work::Busy(_, Stage::Reading)) {
                    c.since = self.balancer.now();
                    self.balancer
                        .set_timer(c.since + self.bounds.completion_timeout, Wake::CompletionTimeout(handle));
                }
            }
            // The timer is set only once.
            Ok(Progress::Held) if std::mem::replace(&mut c.timed, true) => {}
            Ok(Progress::Held) => {
                let at = self.balancer.now() + LAST_BYTE_DELAY;
                self.balancer.set_timer(at, Wake::SendLastByte(handle, attempt));
            }
            Ok(Progress::Answered(answer)) => self.answered(handle, attempt, answer),
            Ok(Progress::Begun(begun)) => self.response_begun(handle, attempt, begun),
            Ok(Progress::Wants) => {
                let fed = self.feed(handle, attempt);
                if let Some(c) = self.connections.upstream(handle) {
                    // With nothing to write, the next event may be its close or an early response.
                    let _ = c.socket.set(if fed { Interest::Both } else { Interest::Read });
                }
                return fed;
            }
            Err(error) => self.attempt_failed(handle, attempt, error),
        }
        false
    }

    /// The delay of an attempt's last byte is over: it is sent if the connection is still open.
    pub(super) fn send_last_byte(&mut self, handle: Handle, attempt: Attempt) {
        let Some(c) = self.connections.upstream(handle) else { return };
        if c.held && c.work == Work::Busy(attempt, Stage::Writing) {
            // The socket is checked first: its readiness may not have been dispatched yet.
            c.held = !c.is_fresh();
            self.upstream_ready(handle);
        }
    }

    /// A response that has begun should be complete by now. What has arrived meanwhile is read before it is given up.
    pub(super) fn completion_timer_expired(&mut self, handle: Handle, now: Micros) {
        let limit = self.bounds.completion_timeout;
        let late = |l: &mut Self| match l.connections.upstream(handle) {
            Some(c) if c.since + limit <= now => match c.work {
                // A response that arrives at the minimum rate or faster is given the time for its bytes.
                Work::Busy(_, Stage::Reading) if Self::completion_due(c, limit) > now => None,
                Work::Busy(attempt, Stage::Reading) => Some(attempt),
                _ => None,
            },
            _ => None,
        };
        if late(self).is_none() {
            let Some(c) = self.connections.upstream(handle) else { return };
            let (by, reading) =
                (Self::completion_due(c, limit), matches!(c.work, Work::Busy(_, Stage::Reading)));
            if reading && by > now {
                self.balancer.set_timer(by, Wake::CompletionTimeout(handle));
            }
            return;
        }
        self.upstream_ready(handle);
        if let Some(attempt) = late(self) {
            let cause = Cause::Answer(MessageError::Malformed("an answer that does not end"));
            self.attempt_failed(handle, attempt, AttemptError { stage: Stage::Reading, cause });
        }
    }

    /// When a response that has begun must be complete, given the bytes received.
    fn completion_due(c: &upstream::Conn, limit: Micros) -> Micros {
        c.since + limit + Self::transfer_time(c.buffer.as_ref().map_or(0, |b| b.filled().len()))
    }

    /// A complete response has arrived: it is reported to the balancer, and sent to the client if the balancer says so.
    pub(super) fn answered(&mut self, handle: Handle, attempt: Attempt, answer: Answer) {
        debug!(self.log, "answer"; "request" => attempt.request.number(), "number" => attempt.number,
            "report" => ?answer.report);
        let now = self.balancer.now();
        let sent = self.connections.upstream(handle).map(|c| (c.to, now - c.sent_at));
        if answer.report == Report::Error {
            self.mark_may_have_run(attempt);
        }
        if let Some((to, took)) = sent {
            self.peer_attempt_ended(to, Some(answer.report), took, answer.offer.as_deref());
        }
        let decision = self.balancer.report(attempt, answer.report);
        if decision.steps.contains(&Step::Serve { attempt }) {
            let buffer = self.connections.upstream(handle).and_then(|c| c.buffer.take());
            if let Some(buffer) = buffer {
                let parts: Vec<&[u8]> =
                    answer.parts.iter().filter_map(|p| buffer.filled().get(p.clone())).collect();
                self.counts.served += 1;
                self.remote_request_ended(attempt.request, RemoteOutcome::Served);
                let mut lines = answer.lines;
                lines.extend_from_slice(self.gateway_lines().as_bytes());
                match self.must_store_response(attempt.request) {
                    true => self.store_response(attempt.request, lines, &parts),
                    false => self.answer_call(attempt.request, 200, &lines, &parts),
                }
                self.pool.put_back(buffer);
            }
        }
        self.queue_steps(decision);
        self.release_connection(handle, attempt, answer.keep_alive);
    }

    pub(super) fn attempt_failed(&mut self, handle: Handle, attempt: Attempt, error: AttemptError) {
        self.counts.attempts_failed += 1;
        if error.stage != Stage::Connecting && matches!(error.cause, Cause::Socket(_) | Cause::Closed) {
            self.delay_last_byte_until = self.balancer.now() + DELAY_LAST_BYTE_FOR;
        }
        if matches!(error.report(), Report::Reset | Report::Error) {
            self.mark_may_have_run(attempt);
        }
        let upstream = self.connections.upstream(handle).map(|c| c.upstream.0);
        debug!(self.log, "attempt failed"; "request" => attempt.request.number(), "number" => attempt.number,
            "upstream" => upstream, "stage" => ?error.stage, "cause" => ?error.cause);
        self.finish_attempt(handle, attempt, error.report(), false);
    }

    /// An attempt could not be started, for lack of a buffer or a connection.
    pub(super) fn attempt_not_started(
        &mut self,
        attempt: Attempt,
        upstream: Upstream,
        to: SocketAddr,
        cause: Cause,
    ) {
        let error = AttemptError { stage: Stage::Connecting, cause };
        self.counts.attempts_failed += 1;
        debug!(self.log, "attempt not started"; "request" => attempt.request.number(), "number" => attempt.number,
            "upstream" => upstream.0, "cause" => ?error.cause);
        self.peer_attempt_ended(to, Some(error.report()), 0, None);
        self.report(attempt, error.report());
    }

    /// An attempt was sent completely and not rejected unprocessed: from now on its request may have been executed.
    fn mark_may_have_run(&mut self, attempt: Attempt) {
        if let Some(r) = self.requests.get_mut(attempt.request) {
            r.may_have_run = true;
        }
    }

    pub(super) fn report(&mut self, attempt: Attempt, report: Report) {
        let decision = self.balancer.report(attempt, report);
        self.queue_steps(decision);
        self.forget_if_done(attempt.request);
    }

    pub(super) fn finish_attempt(&mut self, handle: Handle, attempt: Attempt, report: Report, keep: bool) {
        if let Some(to) = self.connections.upstream(handle).map(|c| c.to) {
            self.peer_attempt_ended(to, Some(report), 0, None);
        }
        let decision = self.balancer.report(attempt, report);
        self.queue_steps(decision);
        self.release_connection(handle, attempt, keep);
    }

    /// The attempt has ended: its connection is kept as idle, or closed.
    pub(super) fn release_connection(&mut self, handle: Handle, attempt: Attempt, keep: bool) {
        if let Some(slot) =
            self.requests.get_mut(attempt.request).and_then(|r| r.attempts.get_mut(attempt.number as usize))
        {
            *slot = None;
        }
        self.forget_if_done(attempt.request);
        let now = self.balancer.now();
        let Some(c) = self.connections.upstream(handle) else { return };
        c.buffer.take().into_iter().for_each(|b| self.pool.put_back(b));
        (c.work, c.since) = (Work::Idle, now);
        let upstream = c.upstream;
        if !(keep && self.stop.is_none() && self.connections.keep_idle(handle, upstream)) {
            self.close_upstream(handle);
        }
    }

    /// Cancels an attempt by closing its connection, by which the upstream notices it.
    pub(super) fn cancel(&mut self, attempt: Attempt) {
        let slot =
            self.requests.get_mut(attempt.request).and_then(|r| r.attempts.get_mut(attempt.number as usize));
        let handle = slot.and_then(Option::take);
        debug!(self.log, "attempt cancelled"; "request" => attempt.request.number(), "number" => attempt.number);
        let called_off = handle.and_then(|h| self.connections.upstream(h)).map(|c| (c.to, c.work));
        if let Some((to, work)) = called_off {
            if matches!(work, Work::Busy(_, Stage::Waiting | Stage::Reading | Stage::Passing)) {
                self.mark_may_have_run(attempt);
            }
            self.peer_attempt_ended(to, None, 0, None);
        }
        handle.into_iter().for_each(|h| self.close_upstream(h));
        self.forget_if_done(attempt.request);
    }

    pub(super) fn close_upstream(&mut self, handle: Handle) {
        if let Some(Connection::Upstream(mut c)) = self.connections.remove(handle) {
            c.buffer.take().into_iter().for_each(|b| self.pool.put_back(b));
            self.resume_accepting();
        }
    }
}
