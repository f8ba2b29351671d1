//! The rules of members' lists, one list after the other and all of them at the end.

use crate::history::{ListedMember, MemberList, MemberState, Process};
use crate::report::{MembershipReport, SenderRange};
use crate::truth::Truth;
use crate::violation::Property;
use silvercross_time::{Duration, Instant};
use std::collections::{BTreeMap, BTreeSet};

/// A list that does not agree with the truth.
pub(crate) struct Disagreement {
    property: Property,
    text: String,
}

/// The check so far.
pub(crate) struct MemberListCheck {
    /// What is true now.
    pub(crate) truth: Truth,
    /// What came of the check.
    pub(crate) report: MembershipReport,
    settle: Duration,
    /// The last incarnation that a process listed of an identity.
    incarnations: BTreeMap<(Process, String), u64>,
    /// The last list of each process.
    last: BTreeMap<Process, MemberList>,
    /// Upstreams whose drain was announced.
    announced: BTreeSet<String>,
    /// Who still has to be seen to hold a drain, and since when.
    awaited: BTreeMap<(String, Process), Instant>,
}

impl MemberListCheck {
    /// Nothing is known yet.
    pub(crate) fn new(settle: Duration) -> MemberListCheck {
        MemberListCheck {
            truth: Truth::default(),
            report: MembershipReport::default(),
            settle,
            incarnations: BTreeMap::new(),
            last: BTreeMap::new(),
            announced: BTreeSet::new(),
            awaited: BTreeMap::new(),
        }
    }

    fn violate(&mut self, property: Property, at: Instant, text: String) {
        self.report.violations.push(property, at, text);
    }

    /// Whether a process takes part, as far as its last list says.
    fn takes_part(&self, process: Process) -> bool {
        self.last.get(&process).is_none_or(MemberList::takes_part)
    }

    /// The last list of a process that takes part.
    fn last_list(&self, process: Process) -> Option<&MemberList> {
        self.last.get(&process).filter(|list| list.takes_part())
    }

    /// A process reported its list.
    pub(crate) fn check_list(&mut self, at: Instant, list: &MemberList) {
        self.report.lists_read += 1;
        *self.report.views.entry(list.view.clone()).or_default() += 1;
        if let Some(count) = list.senders {
            self.report.senders = Some(SenderRange::including(self.report.senders, count));
        }
        self.check_identity(at, list);
        let mut lists_running_as_failed = false;
        for member in &list.members {
            self.check_incarnation(at, list.process, member);
            // One that has stood down hears no more.
            if member.state == MemberState::Failed && list.takes_part() {
                lists_running_as_failed |= self.check_failed(at, list.process, member);
            }
        }
        self.report.failed_while_running += usize::from(lists_running_as_failed);
        if list.takes_part() {
            self.check_senders(at, list);
        }
        self.check_drains(at, list);
        self.last.insert(list.process, list.clone());
    }

    /// A process that began with an empty folder has no identity that another one had.
    fn check_identity(&mut self, at: Instant, list: &MemberList) {
        let is_first = self.truth.identity.insert(list.process, list.identity.clone()).is_none();
        if !is_first || !self.truth.fresh.contains(&list.process) {
            return;
        }
        let mut earlier = self.truth.identity.range(..list.process);
        if let Some((earlier, _)) = earlier.find(|(_, identity)| **identity == list.identity) {
            let (process, identity) = (list.process, &list.identity);
            let text =
                format!("process {process} has an empty folder and is {identity} as process {earlier} was");
            self.violate(Property::Reborn, at, text);
        }
    }

    fn check_incarnation(&mut self, at: Instant, process: Process, member: &ListedMember) {
        let key = (process, member.identity.clone());
        let before = self.incarnations.insert(key, member.incarnation);
        if before.is_some_and(|before| before > member.incarnation) {
            let (identity, incarnation) = (&member.identity, member.incarnation);
            let text = format!("process {process} held {identity} at {before:?}, then at {incarnation}");
            self.violate(Property::Backwards, at, text);
        }
    }

    /// A process lists a member as failed: whether one of that identity runs. It must not be listed so if both have been
    /// healthy and reached each other for the settle time.
    fn check_failed(&mut self, at: Instant, by: Process, member: &ListedMember) -> bool {
        // One that has stood down takes no part, and may be listed anyhow.
        let is_meant = |process: &Process| {
            self.truth.identity.get(process) == Some(&member.identity) && self.takes_part(*process)
        };
        let meant: Vec<Process> = self.truth.running.iter().copied().filter(is_meant).collect();
        for process in &meant {
            let Some(since) = self.must_be_listed_since(by, *process) else { continue };
            if since == Instant::MIN || since + self.settle <= at {
                let identity = &member.identity;
                let text = format!(
                    "process {by} holds {identity} failed, which runs as process {process} and is reached"
                );
                self.violate(Property::HeldFailed, at, text);
            }
        }
        !meant.is_empty()
    }

    /// Since when nothing stands between two processes; [`Instant::MIN`]: nothing ever did.
    fn must_be_listed_since(&self, by: Process, process: Process) -> Option<Instant> {
        let truth = &self.truth;
        let healthy = truth.healthy_since(by)?.max(truth.healthy_since(process)?);
        let since = healthy.max(truth.reachable_since(by, process)?);
        if since > Instant::MIN {
            return Some(since);
        }
        // A partition that bears on either, be it towards others, makes others' reports of it doubtful for a while.
        let changed_at = [by, process].iter().filter_map(|one| truth.last_link_change(*one)).max();
        Some(changed_at.unwrap_or(Instant::MIN))
    }

    /// Everyone on the list who did not leave counts, except who ended so long ago that it may have been forgotten.
    fn check_senders(&mut self, at: Instant, list: &MemberList) {
        let Some(said) = list.senders else { return };
        // Two processes of one identity are listed as one.
        let running: BTreeSet<&String> =
            self.truth.running.iter().filter_map(|process| self.truth.identity.get(process)).collect();
        let counts =
            |member: &&ListedMember| member.state != MemberState::Left && running.contains(&member.identity);
        let there = list.members.iter().filter(counts).count() + 1;
        if said < there {
            let process = list.process;
            let text = format!("process {process} says that {said} send, where {there} that it lists run");
            self.violate(Property::Halved, at, text);
        }
    }

    /// A drain that was announced and is held stays held; one that was awaited is seen.
    fn check_drains(&mut self, at: Instant, list: &MemberList) {
        let before = self.last.get(&list.process).map(|before| before.draining.clone()).unwrap_or_default();
        let is_lost = |host: &String| self.announced.contains(host) && !list.draining.contains(host);
        let lost: BTreeSet<String> = before.into_iter().filter(is_lost).collect();
        for host in lost {
            let text = format!("process {} no longer holds that {host} drains", list.process);
            self.violate(Property::DrainLost, at, text);
        }
        for host in &list.draining {
            if let Some(announced_at) = self.awaited.remove(&(host.clone(), list.process)) {
                let after = Some(at - announced_at);
                self.report.drain_known_after = self.report.drain_known_after.max(after);
            }
        }
    }

    /// A drain was announced on these machines: whoever reaches a process there has to hold it.
    pub(crate) fn announce_drain(&mut self, at: Instant, host: &str, machines: &[usize]) {
        self.announced.insert(host.to_string());
        let truth = &self.truth;
        let heard: Vec<Process> =
            truth.running.iter().copied().filter(|process| truth.runs_on(*process, machines)).collect();
        for process in truth.running.iter().filter(|process| !truth.impaired.contains(*process)) {
            let hears = |from: &Process| from == process || truth.reachable_since(*from, *process).is_some();
            if heard.iter().any(hears) {
                self.awaited.insert((host.to_string(), *process), at);
            }
        }
    }

    /// Where a process does not list all who take part, or lists somebody else as there.
    pub(crate) fn disagreement(&self, process: Process) -> Option<Disagreement> {
        let found = |property, text| Some(Disagreement { property, text });
        let Some(list) = self.last.get(&process) else {
            return found(Property::NotFound, format!("process {process} reported no list"));
        };
        if !list.takes_part() {
            return None;
        }
        let taking_part = self.truth.running.iter().filter(|other| self.takes_part(**other));
        let running: BTreeSet<&String> =
            taking_part.filter_map(|other| self.truth.identity.get(other)).collect();
        let live = list.members.iter().filter(|member| member.state.is_live());
        let live: BTreeSet<&String> = live.map(|member| &member.identity).collect();
        let missing = |identity: &&&String| **identity != &list.identity && !live.contains(**identity);
        if let Some(identity) = running.iter().find(missing) {
            let text = format!("process {process} does not list {identity} as there");
            return found(Property::NotFound, text);
        }
        let ghost = live.iter().find(|identity| !running.contains(**identity))?;
        found(Property::Ghost, format!("process {process} lists {ghost} as there, and nobody runs as that"))
    }

    /// The history ends.
    pub(crate) fn check_end(&mut self, at: Instant) {
        let running: Vec<Process> = self.truth.running.iter().copied().collect();
        for process in &running {
            if let Some(Disagreement { property, text }) = self.disagreement(*process) {
                self.violate(property, at, text);
            }
        }
        self.check_drains_at_end(at, &running);
        self.check_identities_at_end(at, &running);
    }

    /// Everybody holds what anybody holds. A drain that was announced to a process which ended before it could pass it on
    /// concerns nobody.
    fn check_drains_at_end(&mut self, at: Instant, running: &[Process]) {
        let lists: Vec<&MemberList> = running.iter().filter_map(|process| self.last_list(*process)).collect();
        let held: BTreeSet<&String> = lists.iter().flat_map(|list| &list.draining).collect();
        let mut unheard = Vec::new();
        for list in &lists {
            for host in held.iter().filter(|host| !list.draining.contains(**host)) {
                unheard.push(format!("process {} does not hold that {host} drains", list.process));
            }
        }
        for text in unheard {
            self.violate(Property::DrainUnheard, at, text);
        }
    }

    /// No two processes take part under one identity.
    fn check_identities_at_end(&mut self, at: Instant, running: &[Process]) {
        let mut processes_of: BTreeMap<&String, Vec<Process>> = BTreeMap::new();
        for list in running.iter().filter_map(|process| self.last_list(*process)) {
            processes_of.entry(&list.identity).or_default().push(list.process);
        }
        let shared = processes_of.iter().filter(|(_, processes)| processes.len() > 1);
        let texts: Vec<String> = shared
            .map(|(identity, processes)| format!("processes {processes:?} both take part as {identity}"))
            .collect();
        for text in texts {
            self.violate(Property::TwoOfOne, at, text);
        }
    }
}
