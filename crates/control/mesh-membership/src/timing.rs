//! Intervals and time-outs of the protocol.
use silvercross_time::Duration;

/// Interval between heartbeats.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(750);
/// A monitored node that was not heard for this long is suspected.
pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(2_000);
/// How long the other watchers have to reply about a suspect.
pub const SUSPECT_REPLY_TIMEOUT: Duration = Duration::from_millis(150);
/// Interval between keep-alives on a link.
pub const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(900);
/// A link is closed after this long without receiving anything.
pub const LINK_TIMEOUT: Duration = Duration::from_millis(1_300);
/// Interval between keep-alives of control nodes: shorter, so that a control node that is cut off from the
/// others notifies its children in time.
pub const CONTROL_KEEPALIVE_INTERVAL: Duration = Duration::from_millis(300);
/// A link between control nodes is closed after this long without receiving anything.
pub const CONTROL_LINK_TIMEOUT: Duration = Duration::from_millis(800);
/// If a dial has no outcome after this long, the next candidate is dialled as well.
pub const NEXT_DIAL_DELAY: Duration = Duration::from_millis(300);
/// A dial without an outcome is given up after this long.
pub const LINK_CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Requested control entries are requested again after this long without progress. A silent neighbour's
/// link is closed earlier, which discards its requests; this covers a neighbour that no longer has what it
/// announced.
pub const ENTRY_REQUEST_TIMEOUT: Duration = Duration::from_millis(2_600);
/// Delay before a better parent is tried while another one is in use, and before a candidate without a path
/// to a control node is tried again.
pub const PARENT_RETRY_DELAY: Duration = Duration::from_secs(3);
/// Delay between dials of a control node to another one, and of a node that has no parent.
pub const LINK_RETRY_DELAY: Duration = Duration::from_millis(500);
/// How long a parent may be without a path to a control node before its children try other candidates.
pub const UNROOTED_PARENT_TIMEOUT: Duration = Duration::from_millis(200);
/// After a stall longer than this, a node suspects nobody until it has listened for [`HEARTBEAT_TIMEOUT`]
/// again.
pub const STALL_THRESHOLD: Duration = Duration::from_secs(1);
/// How long the record of a gone node is kept.
pub const GONE_RECORD_RETENTION: Duration = Duration::from_secs(60);
/// Interval between removals of expired records.
pub(crate) const FORGET_INTERVAL: Duration = Duration::from_secs(5);

/// A starting node that has not become current after this long serves what it has, subject to
/// [`READINESS_GRACE`].
pub const READINESS_TIMEOUT: Duration = Duration::from_secs(8);
/// Minimum time after the first control entry, or after a stall of at least this length, before the
/// time-out ends the check. Otherwise a node could serve unchecked entries from a neighbour that was
/// isolated all that time.
pub const READINESS_GRACE: Duration = Duration::from_secs(2);
/// An unanswered request is sent again after this long; a control node gives up a read after it.
pub const FRESHNESS_REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay before a node asks again after a reply that no majority was reached.
pub const FRESHNESS_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Minimum interval between the starts of two reads at a control node, so that many starting nodes share
/// few reads.
pub const FRESHNESS_READ_INTERVAL: Duration = Duration::from_millis(20);
