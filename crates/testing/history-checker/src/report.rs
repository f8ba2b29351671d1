//! What comes of the check of membership.

use crate::violation::ViolationLog;
use silvercross_time::Duration;
use std::collections::BTreeMap;

/// The least and the most members that a process said are sending.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SenderRange {
    /// The least.
    pub least: usize,
    /// The most.
    pub most: usize,
}

impl SenderRange {
    /// The range that also holds this number.
    pub(crate) fn including(range: Option<SenderRange>, count: usize) -> SenderRange {
        let range = range.unwrap_or(SenderRange { least: count, most: count });
        SenderRange { least: range.least.min(count), most: range.most.max(count) }
    }
}

/// The result of a check.
#[derive(Clone, Debug, Default)]
pub struct MembershipReport {
    /// Promises broken.
    pub violations: ViolationLog,
    /// From the last heal to when all lists agreed with the truth for good; `None`: they never did.
    pub agreed_after: Option<Duration>,
    /// Lists that were read.
    pub lists_read: usize,
    /// Lists in which somebody who ran was listed as failed, whether or not that was to be.
    pub failed_while_running: usize,
    /// The views reported, and how often.
    pub views: BTreeMap<String, usize>,
    /// The longest from a drain's announcement to when a process that reached one that heard it was seen to hold it.
    pub drain_known_after: Option<Duration>,
    /// Those said to be sending.
    pub senders: Option<SenderRange>,
}
