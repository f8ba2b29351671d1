//! The decisions of silvercross, a client-side load balancer.
//!
//! Sans-IO: the caller hands in [`interface::Settings`] once, then [`interface::Event`]s with the time they
//! happened at, and carries out the [`interface::Action`]s that come back. Equal events give equal actions.
#![forbid(unsafe_code)]

pub mod interface;
pub mod policy;
mod state;

impl interface::Decide for policy::Balancer {
    fn decide(
        &mut self,
        now: interface::Micros,
        event: interface::Event<'_>,
        out: &mut Vec<interface::Action>,
    ) {
        self.handle(now, event, out);
    }

    fn avoids(&self, now: interface::Micros, upstream: interface::UpstreamId) -> bool {
        self.avoids(now, upstream)
    }
}
