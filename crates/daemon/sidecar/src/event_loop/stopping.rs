//! The stop of the process: begun, handed over to a successor process, and ended once nothing is under way.
//!
//! `lifecycle/stop.rs` says how long each step takes.
use super::{drain, EventLoop, Wake};
use crate::lifecycle::seat::Seat;
use crate::lifecycle::stop::Stop;
use crate::wire::application::{self, State};
use slog::info;

impl EventLoop {
    pub(super) fn begin_stop(&mut self) {
        drain(self.stops.get());
        if self.stop.is_some() {
            return;
        }
        let now = self.balancer.now();
        let stop = Stop::begin(now, self.balancer.longest_deadline());
        info!(self.log, "stopping"; "open" => self.balancer.unanswered());
        self.stop = Some(stop);
        self.catch_panic(None, Self::leave_records);
        self.catch_panic(None, Self::leave_fleet);
        self.has_successor = self.seat.as_ref().is_some_and(Seat::has_successor);
        self.balancer.answer_by(stop.answer_by());
        self.balancer.set_timer(stop.look_again(now), Wake::Stopping);
        if self.has_successor {
            // New connections go to the successor; open ones are closed after their next response, or when idle.
            return self.hand_over();
        }
        // Clients use their connections for as long as these are open. Closing those that are between two requests makes
        // the clients open new ones, which are still accepted for now, and are refused once the process has ended.
        for handle in self.connections.from_applications() {
            self.catch_panic(Some(handle), |l| {
                l.close_if_idle(handle);
                l.run_steps();
            });
        }
    }

    /// Accepts all connections that wait at the listener for applications, then closes it; the successor's listener stays
    /// open. Nothing is done between the last accept and the close: a connection that arrives in between would be lost.
    pub(super) fn hand_over(&mut self) {
        while self.listener.is_some() && self.accept() {}
        if self.listener.is_some() && !self.connections.closed_to_applications() {
            self.listener = None;
        }
    }

    /// Whether all accepted work is finished. Connections and bytes that the kernel has received and the loop has not
    /// seen yet count as accepted, so it checks once more before it returns `true`.
    pub(super) fn may_end(&mut self) -> bool {
        let over = |l: &mut Self| match l.stop {
            Some(s) if l.has_successor => {
                l.listener.is_none() && l.connections.applications == 0 || s.is_due(l.balancer.now())
            }
            Some(s) => s.may_end(l.balancer.now(), l.busy()),
            None => false,
        };
        if !over(self) {
            return false;
        }
        self.catch_panic(None, |l| {
            l.accept();
        });
        for handle in self.connections.from_applications() {
            self.catch_panic(Some(handle), |l| l.ready(handle));
        }
        over(self)
    }

    /// Number of connections from applications that are in the middle of a request.
    fn busy(&mut self) -> usize {
        let all = self.connections.from_applications();
        let busy = |c: &application::Conn| !c.is_idle() && c.state != State::Lingering;
        all.into_iter().filter(|h| self.connections.application(*h).is_some_and(|c| busy(c))).count()
    }
}
