//! An emulator of the fleet that a sidecar lives in: order servers, the list service, the network, clients, and what goes
//! wrong with them, played from a script. No I/O and no clock: two drivers step the one model, [`virtual_time`] here in
//! simulated time with the real facade and module in-process, and the sockets driver of `crates/tools/scenario-runner` in real time
//! against real processes. `docs/design/rehearsal.md` says what is modelled and what is not; begin with [`script`], then
//! [`world`].
#![forbid(unsafe_code)]

pub mod baselines;
pub mod chance;
pub mod checker;
mod figure_names;
pub mod figures;
pub mod list;
pub mod plan;
pub mod script;
pub mod server;
pub mod virtual_time;
pub mod world;

use silvercross_core::interface::{Decide, Micros, Settings};
use silvercross_core::policy;

/// Who decides: the module, a plain policy, or the module broken on purpose to see the checker find it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The module in service.
    Module,
    /// A plain policy.
    Plain(baselines::Pick),
}

impl Policy {
    /// By its name on the command line.
    pub fn named(name: &str) -> Option<Policy> {
        if name == "module" {
            return Some(Policy::Module);
        }
        baselines::NAMED.iter().find(|(n, _)| *n == name).map(|(_, p)| Policy::Plain(*p))
    }

    /// Its name on the command line.
    pub fn name(&self) -> &'static str {
        match self {
            Policy::Module => "module",
            Policy::Plain(p) => baselines::NAMED.iter().find(|n| n.1 == *p).map_or("plain", |n| n.0),
        }
    }

    /// A fresh one for one sidecar.
    pub fn make(&self, settings: Settings, seed: u64, now: Micros) -> Box<dyn Decide> {
        match self {
            Policy::Module => Box::new(policy::Balancer::new(settings, seed, now)),
            Policy::Plain(pick) => Box::new(baselines::Plain::new(*pick, settings, seed)),
        }
    }
}

#[cfg(test)]
pub(crate) mod tests_common {
    /// A small script with three classes, one of each effect, and what else a test adds.
    pub fn small(more: &str) -> String {
        format!(
            "name = \"small\"\nlength_s = 20.0\n[[site]]\nname = \"a\"\nservers = 6\nsidecars = 3\n\
             [[class]]\nname = \"read\"\nshare = 2.0\nwork_ms = 10.0\naim_ms = 400.0\ndeadline_ms = 1000.0\neffect = \"repeatable\"\n\
             [[class]]\nname = \"commit\"\nwork_ms = 10.0\naim_ms = 400.0\ndeadline_ms = 1000.0\neffect = \"once\"\n\
             [[class]]\nname = \"check\"\nwork_ms = 10.0\naim_ms = 400.0\ndeadline_ms = 1000.0\neffect = \"keyed\"\ngroup = \"cell\"\nwindow_ms = 2000.0\n\
             [load]\nper_s = 200.0\n{more}\n"
        )
    }
}
