//! Intervals and time-outs of the protocol.
use silvercross_time::Duration;

/// Between two heartbeats.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(750);
/// A watched node that was not heard for so long is suspected.
pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(2_000);
/// How long the other watchers have to answer about a suspect.
pub const SUSPECT_REPLY_TIMEOUT: Duration = Duration::from_millis(150);
/// Between two keep-alives on a link.
pub const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(900);
/// A link on which nothing came for so long is given up.
pub const LINK_TIMEOUT: Duration = Duration::from_millis(1_300);
/// Control nodes exchange keep-alives more often: one that is cut off from the others has to notify its children in time.
pub const CONTROL_KEEPALIVE_INTERVAL: Duration = Duration::from_millis(300);
/// A link between control nodes on which nothing came for so long is given up.
pub const CONTROL_LINK_TIMEOUT: Duration = Duration::from_millis(800);
/// When a dial has no outcome after so long, the next candidate is dialled as well.
pub const NEXT_DIAL_DELAY: Duration = Duration::from_millis(300);
/// A link that didn't come up in this time is given up.
pub const LINK_CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Control entries that were asked for are asked for again when nothing of them came for so long. A neighbour that is silent is given
/// up before, and with it what was on the way: this is for one that no longer has what it announced.
pub const ENTRY_REQUEST_TIMEOUT: Duration = Duration::from_millis(2_600);
/// A better parent is tried again after so long with a substitute.
pub const PARENT_RETRY_DELAY: Duration = Duration::from_secs(3);
/// Between two dials of a control node to another, and of a node without any parent.
pub const LINK_RETRY_DELAY: Duration = Duration::from_millis(500);
/// How long a parent may be without a path to a control node before its children look further.
pub const UNROOTED_PARENT_TIMEOUT: Duration = Duration::from_millis(200);
/// A node that stood still for longer suspects nobody until it has listened for [`HEARTBEAT_TIMEOUT`] again.
pub const STALL_THRESHOLD: Duration = Duration::from_secs(1);
/// How long a record is kept after its node was gone.
pub const GONE_RECORD_RETENTION: Duration = Duration::from_secs(60);
/// Between two looks for records to be forgotten.
pub(crate) const FORGET_INTERVAL: Duration = Duration::from_secs(5);

/// A node that started does not wait longer than this to be current: then it serves what it has.
pub const READINESS_TIMEOUT: Duration = Duration::from_secs(8);
/// Nor does the time-out end the check before the node has had a control entry for so long, or has gone on after a stall of
/// so long: what it gets from one that was cut off for all that time is not served unchecked.
pub const READINESS_GRACE: Duration = Duration::from_secs(2);
/// A request that was not answered is sent again after so long; a control node gives a read up after it.
pub const FRESHNESS_REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// After an answer that no majority was reached the node asks again so much later.
pub const FRESHNESS_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Between the beginnings of two reads at a control node, so that many starts share few reads.
pub const FRESHNESS_READ_INTERVAL: Duration = Duration::from_millis(20);
