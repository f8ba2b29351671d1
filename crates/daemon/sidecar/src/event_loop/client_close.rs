//! The end of applications' connections: idle ones, those whose client has disconnected or is too slow, and those whose last response
//! is written.
use super::responses::WRITE_TIMEOUT;
use super::{EventLoop, Wake};
use crate::memory::connections::Connection;
use crate::wire::application::State;
use crate::wire::upstream::{Cause, Stage, Work};
use silvercross_core::interface::Micros;
use silvercross_gateway::offer::RemoteOutcome;
use silvercross_net::table::Handle;
use slog::debug;

/// Interval of the checks whether a last response is sent.
const SEND_CHECK_INTERVAL: Micros = 20_000;
/// Time for a client to close its end after a response that ended the connection.
const LINGER_TIMEOUT: Micros = 1_000_000;

impl EventLoop {
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

    pub(super) fn close_application(&mut self, handle: Handle) {
        if let Some(Connection::Application(mut c)) = self.connections.remove(handle) {
            c.input.take().into_iter().chain(c.output.take()).for_each(|b| self.pool.put_back(b));
            self.resume_accepting();
        }
    }
}
