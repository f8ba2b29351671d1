//! Which package has to pass which check. Owners add their package here once it holds, one a line so that
//! two owners' lines don't meet; a package is never taken off again.

/// Packages that decide without I/O: they import no socket, clock, disk, thread or source of randomness. Taken from the
/// packages' own documentation ("No I/O, no clock").
///
/// Not among them: `balancer/facade`, which owns the clock of the module behind it, and `balancer/net`, which is sockets.
pub const DECIDERS: &[&str] = &[
    "balancer/core",
    "balancer/gateway",
    "balancer/management",
    "balancer/settings",
    "balancer/time",
    "control/admission",
    "control/config-item",
    "control/control-store",
    "control/event-feed",
    "control/idempotency-store",
    "control/mesh-config",
    "control/mesh-membership",
    "control/quota",
    "control/raft",
    "control/swim",
    "control/throttle",
];

/// Packages in which no files import each other in a circle.
#[rustfmt::skip]
pub const WITHOUT_CIRCLES: &[&str] = &[
    "balancer/facade",
    "balancer/gateway",
    "balancer/management",
    "balancer/net",
    "balancer/settings",
    "balancer/time",
    "control/admission",
    "control/config-item",
    "control/control-store",
    "control/event-feed",
    "control/idempotency-store",
    "control/mesh-config",
    "control/mesh-membership",
    "control/quota",
    "control/swim",
    "control/raft",
    "control/throttle",
    "daemon/mesh",
    "testing/architecture-tests",
    "testing/control-sim",
    "testing/emulator",
    "testing/history-checker",
    "testing/test-rng",
    "tools/bench-adapter",
    "tools/ctl",
    "tools/testbed",
];

/// Packages whose functions fail with a type of their own, never with `Result<_, String>`.
#[rustfmt::skip]
pub const WITH_TYPED_ERRORS: &[&str] = &[
    "balancer/core",
    "balancer/facade",
    "balancer/management",
    "balancer/net",
    "balancer/time",
    "control/admission",
    "control/config-item",
    "control/control-store",
    "control/event-feed",
    "control/mesh-config",
    "control/mesh-membership",
    "control/quota",
    "control/raft",
    "control/swim",
    "control/throttle",
    "daemon/mesh",
    "testing/architecture-tests",
    "testing/control-sim",
    "testing/history-checker",
    "testing/test-rng",
    "tools/ctl",
    "tools/testbed",
];

/// Packages in which no withdrawn word is left but in names of the wire. (`testing/architecture-tests` holds the list of
/// these words and so can't be one.)
pub const WITH_CURRENT_NAMES: &[&str] = &[
    "balancer/management",
    "balancer/net",
    "balancer/time",
    "control/admission",
    "control/config-item",
    "control/control-store",
    "control/event-feed",
    "control/mesh-config",
    "control/mesh-membership",
    "control/quota",
    "control/swim",
    "control/raft",
    "control/throttle",
    "testing/control-sim",
    "testing/history-checker",
    "testing/test-rng",
    "tools/bench-adapter",
    "tools/ctl",
    "tools/testbed",
];
