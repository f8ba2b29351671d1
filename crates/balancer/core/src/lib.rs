//! Decision module of silvercross, a client-side load balancer.
//!
//! Sans-IO: the caller passes in [`interface::Settings`], then [`interface::Event`]s with their time, and carries out the
//! [`interface::Action`]s that result. Equal events result in equal actions.
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
