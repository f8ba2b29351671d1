//! The stop of the process: what is told to the platform and the others, and who waits for which step of it.
use super::NodeState;
use crate::graceful_stop::{GracefulStop, Phase};
use silvercross_time::Instant;
use slog::info;
use std::rc::Rc;
use std::time::Duration;

impl NodeState {
    /// Whether the process is on its way out.
    pub fn stopping(&self) -> bool {
        self.graceful_stop.borrow().is_some()
    }

    /// From now on the platform is told no, and the others that nothing more is to be sent here. All that is open, and all that
    /// comes later, is answered within the grace.
    pub fn begin_stop(self: &Rc<Self>) {
        if self.stopping() {
            return;
        }
        info!(self.log, "stopping");
        let graceful_stop = GracefulStop::new(
            self.looked.get(),
            self.now().as_micros(),
            self.reloadable.get().bounds.grace.max(0),
        );
        for (_, service_balancer) in self.service_balancers() {
            service_balancer.answer_by(Instant::from_micros(graceful_stop.answer_by()));
        }
        *self.graceful_stop.borrow_mut() = Some(graceful_stop);
        self.member_throttle.release();
        self.tell();
        self.peers.leave_replicas(self);
    }

    /// What a process that stops is to do now, and by when it ends whatever is open; `None`: it does not stop.
    pub fn graceful_stop(&self) -> Option<(Phase, i64)> {
        let (now, busy) = (self.now().as_micros(), self.is_busy());
        self.graceful_stop.borrow_mut().as_mut().map(|e| (e.phase(now, busy), e.last()))
    }

    /// The platform asked whether this machine's clients may be given work, and was told no.
    pub fn count_not_ready_reply(&self) {
        let now = self.now().as_micros();
        self.graceful_stop.borrow_mut().iter_mut().for_each(|e| e.not_ready_reply(now));
    }

    /// Whether a request or an operator's call is open here, or a request at the upstream behind the gate.
    pub fn is_busy(&self) -> bool {
        let (out, waiting) = self.gate.with_admission(|w| w.load());
        self.open_requests.get() + self.counters.open_control_calls.get() > 0 || out + waiting > 0
    }

    /// Connections between two requests end from now on.
    pub fn close_idle_connections(&self) {
        self.idle_connections_closing.set(true);
        self.stop.notify_waiters();
    }

    /// Waits until [`NodeState::close_idle_connections`].
    pub async fn idle_connections_closing(&self) {
        let told = self.stop.notified();
        if !self.idle_connections_closing.get() {
            told.await;
        }
    }

    /// Clients are let in no more.
    pub fn close_listeners(&self) {
        self.shut.set(true);
        self.stop.notify_waiters();
    }

    /// Waits until [`NodeState::close_listeners`].
    pub async fn listeners_closing(&self) {
        loop {
            let told = self.stop.notified();
            if self.shut.get() {
                return;
            }
            told.await;
        }
    }

    /// Wait until that is so, at most for so many microseconds; looked at whenever news has come.
    pub async fn wait_until(&self, span: i64, so: impl Fn() -> bool) {
        if so() || span <= 0 {
            return;
        }
        let told = async {
            loop {
                let news = self.news.notified();
                if so() {
                    return;
                }
                news.await;
            }
        };
        let _ = tokio::time::timeout(Duration::from_micros(span as u64), told).await;
    }
}
