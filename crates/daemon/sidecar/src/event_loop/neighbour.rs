//! Running beside another process of the same sidecar: the limits that the two share, and when this one begins to listen.
use super::{EventLoop, LISTENER_KEY};
use crate::lifecycle::start::listen;
use silvercross_core::interface::Micros;
use silvercross_net::registry::Interest;
use slog::{info, warn};

/// While two processes of one sidecar run, the descriptors divided by this stay unused, for connections that either
/// process opens before the other one reads its count. Each process has its own reserve besides.
const UNUSED_DIVISOR: usize = 8;
/// If discovery has sent no list for this long after the start, the process serves with the list from its configuration:
/// whoever starts it waits 6 s for it to serve.
const FIRST_LIST_TIMEOUT: Micros = 4_000_000;

impl EventLoop {
    /// Whether discovery has sent a list, or has been silent for so long that the list from the configuration is used.
    pub(super) fn has_list(&self) -> bool {
        self.has_received_list
            || self.discovery.is_none()
            || self.balancer.now() >= self.started + FIRST_LIST_TIMEOUT
    }

    /// Checks whether another process of this sidecar is running, and adapts the limits that the two share.
    pub(super) fn check_neighbour(&mut self) {
        let Some(seat) = &mut self.seat else { return };
        let other = seat.neighbour_says();
        let (all, has_neighbour) = (self.bounds.descriptors, other.is_some());
        if has_neighbour {
            seat.say(self.serving, self.connections.len());
        }
        if has_neighbour != self.has_neighbour {
            self.has_neighbour = has_neighbour;
            info!(self.log, "another process of this sidecar started or ended"; "paired" => has_neighbour);
            self.pool.set_limit(self.bounds.buffer_bytes / if has_neighbour { 2 } else { 1 });
        }
        // The other process's count is slightly out of date, so a part for what either may have opened since stays free.
        let used = other.map(|said| said.map_or(all, |s| s.held) + all / UNUSED_DIVISOR);
        self.connections.set_descriptor_limit(used.map_or(all, |used| all.saturating_sub(used).max(all / 2)));
        while self.connections.over_outwards() && self.close_idle_upstream() {}
        self.start_serving();
    }

    /// Once it can serve, a process that was started beside another one listens and says so in its lock file.
    pub(super) fn start_serving(&mut self) {
        let can = self.has_list() && self.balancer.ready();
        if self.stop.is_some() || !can || self.seat.is_none() || self.serving {
            return;
        }
        if self.listener.is_none() {
            let made = listen(self.listen_at, true)
                .and_then(|l| self.registry.watch(l, LISTENER_KEY, Interest::Read));
            match made {
                Ok(listener) => self.listener = Some(listener),
                // Tried again by the next housekeeping.
                Err(e) => return warn!(self.log, "cannot listen"; "error" => e.to_string()),
            }
        }
        self.serving = true;
        let open = self.connections.len();
        self.seat.iter_mut().for_each(|s| s.say(true, open));
        info!(self.log, "serving");
    }
}
