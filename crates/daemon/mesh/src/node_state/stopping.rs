//! The graceful stop of the process: what the platform and other nodes are told, and the waits for its steps.
use super::state::NodeState;
use crate::graceful_stop::{GracefulStop, Phase};
use silvercross_time::{Duration, Instant};
use slog::info;
use std::rc::Rc;

/// The progress of a graceful stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct StopProgress {
    /// The current phase.
    pub(crate) phase: Phase,
    /// When the process ends, even if requests are open.
    pub(crate) end_by: Instant,
}

impl NodeState {
    /// Whether the process is stopping.
    pub(crate) fn stopping(&self) -> bool {
        self.graceful_stop.borrow().is_some()
    }

    /// Begins the graceful stop. The platform is told "not ready", and the other nodes that this node accepts
    /// no more requests. All open and later requests are answered within the grace period.
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

    /// Whether a request with this timeout is accepted. Requests are rejected only late in the grace period
    /// of a stopping process.
    pub(crate) fn accepts_request(&self, request_timeout: Duration) -> bool {
        let now = self.now();
        self.graceful_stop.borrow().as_ref().is_none_or(|stop| stop.accepts_request(now, request_timeout))
    }

    /// Returns the progress of the stop, or `None` if the process is not stopping.
    pub(crate) fn stop_progress(&self) -> Option<StopProgress> {
        let (now, is_busy) = (self.now(), self.is_busy());
        let mut stop = self.graceful_stop.borrow_mut();
        stop.as_mut().map(|stop| StopProgress { phase: stop.phase(now, is_busy), end_by: stop.end_by() })
    }

    /// Records that a readiness check of the platform was answered "not ready".
    pub(crate) fn count_not_ready_reply(&self) {
        let now = self.now();
        self.graceful_stop.borrow_mut().iter_mut().for_each(|stop| stop.not_ready_reply(now));
    }

    /// Whether anything is under way here: a request of a client or of another sidecar, each from its first byte until its
    /// response is written or received, a control call, or a request at the upstream on this machine.
    pub(crate) fn is_busy(&self) -> bool {
        let load = self.gate.with_admission(|admission| admission.load());
        let counters = &self.counters;
        let (of_clients, of_sidecars) = (counters.open_requests.get(), counters.open_hop_requests.get());
        let open = of_clients + of_sidecars + counters.open_control_calls.get();
        open > 0 || load.in_flight + load.pending > 0
    }

    /// From now on, closes connections that have no open request.
    pub(crate) fn close_idle_connections(&self) {
        self.idle_connections_closing.set(true);
        self.stop_step_reached.notify_waiters();
    }

    /// Waits until [`NodeState::close_idle_connections`] is called.
    pub(crate) async fn idle_connections_closing(&self) {
        let step_reached = self.stop_step_reached.notified();
        if !self.idle_connections_closing.get() {
            step_reached.await;
        }
    }

    /// From now on, accepts no client connections.
    pub(crate) fn close_listeners(&self) {
        self.listeners_closing.set(true);
        self.stop_step_reached.notify_waiters();
    }

    /// Waits until [`NodeState::close_listeners`] is called.
    pub(crate) async fn listeners_closing(&self) {
        loop {
            let step_reached = self.stop_step_reached.notified();
            if self.listeners_closing.get() {
                return;
            }
            step_reached.await;
        }
    }

    /// Waits until the condition holds, at most for `limit`. It is checked whenever a configuration or an
    /// upstream has been received.
    pub(crate) async fn wait_until(&self, limit: Duration, condition: impl Fn() -> bool) {
        if condition() || limit <= Duration::ZERO {
            return;
        }
        let condition_holds = async {
            loop {
                let changed = self.routing_changed.notified();
                if condition() {
                    return;
                }
                changed.await;
            }
        };
        // The result is ignored: the caller checks the condition again.
        let _ = tokio::time::timeout(limit.to_std(), condition_holds).await;
    }
}
