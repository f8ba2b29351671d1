//! Header names on the wire, as documented; only `Member-Step` is in `member_throttle/step_header.rs`. They must not change,
//! because clients, upstreams and sidecars of other versions send them. Names are compared case-insensitively.

/// On a request: its correlation id, returned with its response.
pub(crate) const ATTEMPT_ID: &str = "Attempt-Id";
/// On a request: how long its sender waits, in milliseconds.
pub(crate) const DEADLINE_MS: &str = "Deadline-Ms";
/// On a request: the id of the upstream that it is meant for.
pub(crate) const EXPECTED_UPSTREAM: &str = "Expect-Station";
/// On a request: the service that sent it.
pub(crate) const SENDER: &str = "Sender";
/// On a request between sidecars: what the upstream gate needs to know of it (`forwarding_headers`).
pub(crate) const FORWARDING: &str = "Waybill";
/// On a response between sidecars: the gate's own status, as opposed to the upstream's.
pub(crate) const GATE_STATUS: &str = "Waybill-Return";
/// On a response between sidecars, the first of its connection and those to an attempt query: the incarnation of the
/// gate's process, in hexadecimal.
pub(crate) const GATE_INCARNATION: &str = "Waybill-Life";
/// On a response: the id of the upstream that sends it.
pub(super) const UPSTREAM_ID: &str = "Station";
/// On a response: the stamp that shows that it is the upstream's own.
pub(super) const UPSTREAM_STAMP: &str = "Postmark";
/// On a response: the request did not run.
pub(super) const NOT_DELIVERED: &str = "Not-Delivered";
/// On a response: how long the upstream is still warming up, in milliseconds.
pub(super) const WARM_UP_LEFT_MS: &str = "Cold-Ms";

/// Request headers that are not forwarded as received: this program sets them itself or is their only reader.
pub(super) const NOT_FORWARDED: [&str; 6] =
    [DEADLINE_MS, EXPECTED_UPSTREAM, SENDER, "host", FORWARDING, GATE_STATUS];
