//! The stop of the process: what the platform and the other nodes are told, and who waits for which step of it.
use super::state::NodeState;
use crate::graceful_stop::{GracefulStop, Phase};
use silvercross_time::{Duration, Instant};
use slog::info;
use std::rc::Rc;

/// Where a process that stops stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct StopProgress {
    /// What is to be done now.
    pub(crate) phase: Phase,
    /// By when the process ends, whatever is open.
    pub(crate) end_by: Instant,
}

impl NodeState {
    /// Whether the process is on its way out.
    pub(crate) fn stopping(&self) -> bool {
        self.graceful_stop.borrow().is_some()
    }

    /// From now on the platform is told "not ready", and the others that nothing more is to be sent here. All that is open, and
    /// all that comes later, is answered within the grace.
    pub(crate) fn begin_stop(self: &Rc<Self>) {
        if self.stopping() {
            return;
        }
        info!(self.log, "stopping");
        let grace = self.reloadable.get().limits.grace.max(Duration::ZERO);
        let stop = GracefulStop::new(self.last_awake.get(), self.now(), grace);
        for service in self.balanced_services() {
            service.balancer.answer_by(stop.answer_by());
        }
        *self.graceful_stop.borrow_mut() = Some(stop);
        self.member_throttle.release_waiting();
        self.publish_own_record();
        self.peers.leave_replica_set(self);
    }

    /// Whether a request that may take so long is accepted: always, but late in the grace of a process that stops.
    pub(crate) fn accepts_request(&self, request_timeout: Duration) -> bool {
        let now = self.now();
        self.graceful_stop.borrow().as_ref().is_none_or(|stop| stop.accepts_request(now, request_timeout))
    }

    /// Where a process that stops stands; `None`: it does not stop.
    pub(crate) fn stop_progress(&self) -> Option<StopProgress> {
        let (now, is_busy) = (self.now(), self.is_busy());
        let mut stop = self.graceful_stop.borrow_mut();
        stop.as_mut().map(|stop| StopProgress { phase: stop.phase(now, is_busy), end_by: stop.end_by() })
    }

    /// The platform asked whether this machine's clients may be given work, and was told "not ready".
    pub(crate) fn count_not_ready_reply(&self) {
        let now = self.now();
        self.graceful_stop.borrow_mut().iter_mut().for_each(|stop| stop.not_ready_reply(now));
    }

    /// Whether a request or a control call is open here, or a request at the upstream on this machine.
    pub(crate) fn is_busy(&self) -> bool {
        let load = self.gate.with_admission(|admission| admission.load());
        let open = self.open_requests.get() + self.counters.open_control_calls.get();
        open > 0 || load.in_flight + load.pending > 0
    }

    /// Connections between two requests end from now on.
    pub(crate) fn close_idle_connections(&self) {
        self.idle_connections_closing.set(true);
        self.stop_step_reached.notify_waiters();
    }

    /// Waits until [`NodeState::close_idle_connections`].
    pub(crate) async fn idle_connections_closing(&self) {
        let progress = self.stop_step_reached.notified();
        if !self.idle_connections_closing.get() {
            progress.await;
        }
    }

    /// No connection of a client is accepted any more.
    pub(crate) fn close_listeners(&self) {
        self.listeners_closing.set(true);
        self.stop_step_reached.notify_waiters();
    }

    /// Waits until [`NodeState::close_listeners`].
    pub(crate) async fn listeners_closing(&self) {
        loop {
            let progress = self.stop_step_reached.notified();
            if self.listeners_closing.get() {
                return;
            }
            progress.await;
        }
    }

    /// Wait until that is so, at most for this long; looked at whenever a configuration or an upstream has come.
    pub(crate) async fn wait_until(&self, limit: Duration, is_so: impl Fn() -> bool) {
        if is_so() || limit <= Duration::ZERO {
            return;
        }
        let becomes_so = async {
            loop {
                let changed = self.routing_changed.notified();
                if is_so() {
                    return;
                }
                changed.await;
            }
        };
        // Who waited looks again at what it waited for.
        let _ = tokio::time::timeout(limit.to_std(), becomes_so).await;
    }
}
