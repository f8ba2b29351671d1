//! What is promised of membership, held against a history. `settle` is the stated bound: so long after the last change of
//! links, processes or speed that bears on two machines, they must list each other right.
//!
//! | property | in words | broken by |
//! | --- | --- | --- |
//! | `held_failed` | nobody that runs and is not impaired is listed as failed by anybody who reaches it, directly or through one other, both ways | probes without others' help, no refutation, no doubt of oneself |
//! | `not_found` | at the end, a settle time after the heal, everybody who runs lists all who run | no way back after a partition |
//! | `ghost` | at the end nobody who has ended is listed as there | deaths that are not spread, a lost identity that comes back |
//! | `backwards` | what one process lists of another's incarnation never goes back | old reports that replace newer ones |
//! | `two_of_one` | at the end no two processes of one identity both take part | no rule for copied folders |
//! | `reborn` | a process that was started with an empty folder has no identity that was there before | an identity that follows from the name |
//! | `halved` | who was listed and never left counts as sending until it has been gone for the settle time | the living alone counted |
//! | `drain_unheard` | at the end everybody who runs holds each drain that was announced to anybody | drains that are not passed on |
//! | `drain_lost` | an upstream's drain, once held by a process, holds until its own list is as new | drains that expire |
//!
//! The rules are in the private modules `member_lists` (lists), `truth` (what is true).

use crate::history::{EventKind, History};
use crate::member_lists::MemberListCheck;
use crate::violation::Property;
use silvercross_time::{Duration, Instant};

pub use crate::report::{MembershipReport, SenderRange};

/// Holds a history against the promises.
pub fn check(history: &History, settle: Duration) -> MembershipReport {
    let mut check = MemberListCheck::new(settle);
    let (mut healed_at, mut disagreed_until, mut end) = (None, None, Instant::ZERO);
    for event in &history.events {
        end = end.max(event.ended);
        match &event.kind {
            EventKind::Started { process, machine, fresh } => {
                check.truth.start(event.began, *process, *machine, *fresh);
            }
            EventKind::Ended { process, .. } => check.truth.end(*process),
            EventKind::Impaired { process } => {
                check.truth.impaired.insert(*process);
            }
            EventKind::Recovered { process } => check.truth.recover(event.began, *process),
            EventKind::Partitioned { links } => check.truth.partition(event.began, links),
            EventKind::Healed => (healed_at, disagreed_until) = (Some(event.began), None),
            EventKind::DrainAnnounced { host, machines } => {
                check.announce_drain(event.began, host, machines);
            }
            EventKind::MemberList(list) => {
                // A list of a process that had ended meanwhile, or not yet been noted as started, shows nothing.
                if check.truth.running.contains(&list.process) {
                    check.check_list(event.began, list);
                    if healed_at.is_some() && check.disagreement(list.process).is_some() {
                        disagreed_until = Some(event.ended);
                    }
                }
            }
            EventKind::Request { .. }
            | EventKind::Operation { .. }
            | EventKind::Effect { .. }
            | EventKind::MarkedAnswer { .. }
            | EventKind::UnmarkedAnswer { .. } => {}
        }
    }
    check.check_end(end);
    let mut report = check.report;
    let disagrees = |property| report.violations.counts.contains_key(&property);
    let all_agree = !disagrees(Property::NotFound) && !disagrees(Property::Ghost);
    report.agreed_after = healed_at
        .filter(|_| all_agree)
        .map(|healed_at| disagreed_until.map_or(Duration::ZERO, |until: Instant| until - healed_at));
    report
}
