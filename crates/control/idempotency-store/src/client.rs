//! The client of the store: it finds the leader of each group, submits commands, retries with other voters and reports outcomes.
//! A command is applied at most once however often it is sent, because it has a number in a session that the state machine
//! tracks.
use crate::command::{Command, Outcome};
use crate::message::{Epoch, GroupInfo, StoreMessage};
use crate::Micros;
use std::collections::{BTreeMap, VecDeque};

/// Maximum number of pending commands in one process.
pub const MAX_PENDING_COMMANDS: usize = 1_024;

/// Why a command has no outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmitError {
    /// The group is unknown or does not respond. Unless `sent` is set, the command was not applied.
    Unavailable {
        /// The command was sent and may still be applied.
        sent: bool,
    },
    /// The deadline passed; the command may still be applied.
    Timeout,
    /// The session ended; the command may have been applied.
    SessionEnded,
    /// Too many commands are pending.
    TooManyPending,
}

#[derive(Clone, Debug)]
struct PendingCommand {
    id: u64,
    command: Command,
    deadline: Micros,
    retry_at: Micros,
    /// The voter that it was last sent to.
    sent_to: Option<u64>,
}

#[derive(Clone, Debug, Default)]
struct Group {
    info: Option<GroupInfo>,
    /// The voter to try while no leader is known, as an index modulo their number.
    next_voter: usize,
    session: Option<u64>,
    /// While a session is being opened: number of the command, when to retry, and the voter that it was last sent to.
    opening: Option<(u64, Micros, u64)>,
    last_number: u64,
    pending: BTreeMap<u64, PendingCommand>,
    /// When a command first went without response; `None` if the group responds.
    unresponsive_since: Option<Micros>,
}

impl Group {
    /// After a new leader became known: commands sent to other voters are retried soon, those already sent to the leader at
    /// their regular time.
    fn retry_soon(&mut self, now: Micros, retry_after: Micros) {
        let Some(leader) = self.info.as_ref().and_then(|c| c.leader) else { return };
        // A short delay bounds the rate if two voters redirect to each other.
        let soon = now + retry_after / 8;
        for o in self.pending.values_mut().filter(|o| o.sent_to.is_some_and(|t| t != leader)) {
            o.retry_at = o.retry_at.min(soon);
        }
        self.opening.iter_mut().filter(|o| o.2 != leader).for_each(|o| o.1 = o.1.min(soon));
    }
}

/// The client of one process.
#[derive(Clone, Debug)]
pub struct Client {
    me: u64,
    groups: Vec<Group>,
    /// Time without a response before another voter is tried.
    retry_after: Micros,
    last_id: u64,
    outgoing: VecDeque<(u64, StoreMessage)>,
    completed: VecDeque<(u64, Result<Outcome, SubmitError>)>,
}

impl Client {
    /// Creates a client for so many groups; another voter is tried after `retry_after` microseconds without a response.
    pub fn new(me: u64, groups: u32, retry_after: Micros) -> Self {
        let groups = (0..groups).map(|_| Group::default()).collect();
        Client { me, groups, retry_after, last_id: 0, outgoing: VecDeque::new(), completed: VecDeque::new() }
    }

    /// Updates what is known of a group, if the information is newer.
    pub fn update_group_info(&mut self, now: Micros, info: &GroupInfo) {
        let Some(g) = self.groups.get_mut(info.group as usize) else { return };
        let rank = |c: &GroupInfo| (c.epoch.count(), c.term, c.changed, c.leader.is_some());
        match &g.info {
            Some(old) if old.epoch == info.epoch && rank(info) <= rank(old) => {}
            Some(old) if old.epoch != info.epoch && info.epoch.count() <= old.epoch.count() => {}
            Some(old) if old.epoch == info.epoch => {
                let leader_changed = old.leader != info.leader && info.leader.is_some();
                g.info = Some(info.clone());
                if leader_changed {
                    g.retry_soon(now, self.retry_after);
                }
            }
            _ => {
                // A new epoch: commands sent in the previous one will not be answered.
                g.info = Some(info.clone());
                self.end_session(info.group as usize, now);
            }
        }
    }

    /// What is known of a group.
    pub fn group_info(&self, group: u32) -> Option<&GroupInfo> {
        self.groups.get(group as usize)?.info.as_ref()
    }

    /// Since when a group has not responded to commands.
    pub fn unresponsive_since(&self, group: u32) -> Option<Micros> {
        self.groups.get(group as usize)?.unresponsive_since
    }

    /// Submits a command. [`Client::poll_done`] reports its outcome under the returned id, by `deadline` at the latest.
    pub fn submit(&mut self, now: Micros, group: u32, command: Command, deadline: Micros) -> u64 {
        self.last_id += 1;
        let id = self.last_id;
        let pending: usize = self.groups.iter().map(|g| g.pending.len()).sum();
        let Some(g) = self.groups.get_mut(group as usize).filter(|g| g.info.is_some()) else {
            self.completed.push_back((id, Err(SubmitError::Unavailable { sent: false })));
            return id;
        };
        let error = match () {
            () if pending >= MAX_PENDING_COMMANDS => Some(SubmitError::TooManyPending),
            // While the group does not respond, one command at a time probes it and all others fail immediately.
            () if g.unresponsive_since.is_some_and(|s| now >= s + 2 * self.retry_after)
                && !g.pending.is_empty() =>
            {
                Some(SubmitError::Unavailable { sent: false })
            }
            () => None,
        };
        if let Some(error) = error {
            self.completed.push_back((id, Err(error)));
            return id;
        }
        g.last_number += 1;
        g.pending
            .insert(g.last_number, PendingCommand { id, command, deadline, retry_at: now, sent_to: None });
        self.send_due(now);
        id
    }

    /// Stops waiting for a command.
    pub fn cancel(&mut self, id: u64) {
        for g in &mut self.groups {
            g.pending.retain(|_, o| o.id != id);
        }
    }

    /// Handles the outcome of a command.
    pub fn handle_outcome(
        &mut self,
        now: Micros,
        group: u32,
        epoch: Epoch,
        session: u64,
        number: u64,
        outcome: Outcome,
    ) {
        let Some(g) = self.groups.get_mut(group as usize) else { return };
        if g.info.as_ref().is_none_or(|c| c.epoch != epoch) {
            return;
        }
        g.unresponsive_since = None;
        if let Outcome::Session(opened) = outcome {
            if g.opening.is_some_and(|o| o.0 == number) {
                (g.session, g.opening) = (Some(opened), None);
                return self.send_due(now);
            }
            return;
        }
        if g.session != Some(session) {
            return;
        }
        if outcome == Outcome::NoSession {
            return self.end_session(group as usize, now);
        }
        if let Some(command) = g.pending.remove(&number) {
            self.completed.push_back((command.id, Ok(outcome)));
        }
    }

    /// Handles a redirect from a process that is not the leader and may know the leader.
    pub fn redirect(&mut self, now: Micros, from: u64, group: u32, leader: Option<u64>) {
        let Some(g) = self.groups.get_mut(group as usize) else { return };
        let Some(info) = &mut g.info else { return };
        if info.leader == Some(from) || info.leader.is_none() {
            info.leader = leader.filter(|l| *l != from);
            g.retry_soon(now, self.retry_after);
        }
        self.send_due(now);
    }

    fn end_session(&mut self, group: usize, now: Micros) {
        let Some(g) = self.groups.get_mut(group) else { return };
        (g.session, g.opening) = (None, None);
        // Commands that were sent may have been applied in the ended session; the others go on in the next one.
        let (sent, unsent): (BTreeMap<_, _>, BTreeMap<_, _>) =
            std::mem::take(&mut g.pending).into_iter().partition(|(_, o)| o.sent_to.is_some());
        g.pending = unsent;
        self.completed.extend(sent.into_values().map(|o| (o.id, Err(SubmitError::SessionEnded))));
        self.send_due(now);
    }

    /// Handles timeouts. It may be called at any time.
    pub fn tick(&mut self, now: Micros) {
        for g in &mut self.groups {
            let expired: Vec<u64> =
                g.pending.iter().filter(|(_, o)| now >= o.deadline).map(|(n, _)| *n).collect();
            for number in expired {
                if let Some(o) = g.pending.remove(&number) {
                    g.unresponsive_since.get_or_insert(now);
                    let error = if o.sent_to.is_some() {
                        SubmitError::Timeout
                    } else {
                        SubmitError::Unavailable { sent: false }
                    };
                    self.completed.push_back((o.id, Err(error)));
                }
            }
        }
        self.send_due(now);
    }

    /// Sends all commands that are due, and opens sessions.
    fn send_due(&mut self, now: Micros) {
        let retry_after = self.retry_after;
        for (n, g) in self.groups.iter_mut().enumerate() {
            let Some(info) = &mut g.info else { continue };
            if g.pending.is_empty() {
                continue;
            }
            let leader = info.leader;
            let was_asked = |to: u64| leader.is_none_or(|l| l == to);
            let overdue = g.pending.values().any(|o| o.sent_to.is_some_and(was_asked) && now >= o.retry_at)
                || g.opening.is_some_and(|o| was_asked(o.2) && now >= o.1);
            if overdue && g.unresponsive_since.is_none() {
                g.unresponsive_since = Some(now);
            }
            if overdue {
                // The presumed leader does not respond: try the voters in turn.
                info.leader = None;
                g.next_voter = g.next_voter.wrapping_add(1);
            }
            let to = info.leader.or_else(|| {
                let n = info.voters.len();
                (n > 0).then(|| info.voters[g.next_voter % n])
            });
            let (Some(to), epoch, group) = (to, info.epoch, n as u32) else { continue };
            let Some(session) = g.session else {
                if g.opening.is_none_or(|o| now >= o.1) {
                    let number = g.opening.map_or(u64::MAX - g.last_number, |o| o.0);
                    g.opening = Some((number, now + retry_after, to));
                    let ask = StoreMessage::Ask {
                        group,
                        epoch,
                        session: 0,
                        number,
                        below: 0,
                        command: Command::Open,
                    };
                    self.outgoing.push_back((to, ask));
                }
                continue;
            };
            let below = g.pending.keys().next().copied().unwrap_or(g.last_number + 1);
            for (number, o) in g.pending.iter_mut().filter(|(_, o)| now >= o.retry_at) {
                (o.retry_at, o.sent_to) = (now + retry_after, Some(to));
                let command = o.command.clone();
                self.outgoing.push_back((
                    to,
                    StoreMessage::Ask { group, epoch, session, number: *number, below, command },
                ));
            }
        }
    }

    /// The next message to send, with its recipient.
    pub fn poll_send(&mut self) -> Option<(u64, StoreMessage)> {
        self.outgoing.pop_front()
    }

    /// The next completed command: its id and its outcome.
    pub fn poll_done(&mut self) -> Option<(u64, Result<Outcome, SubmitError>)> {
        self.completed.pop_front()
    }

    /// When [`Client::tick`] is due.
    pub fn next_deadline(&self) -> Micros {
        let pending = self.groups.iter().flat_map(|g| {
            let has_session = g.session.is_some();
            g.pending.values().map(move |o| if has_session { o.deadline.min(o.retry_at) } else { o.deadline })
        });
        let opening =
            self.groups.iter().filter(|g| !g.pending.is_empty()).filter_map(|g| g.opening.map(|o| o.1));
        pending.chain(opening).min().unwrap_or(Micros::MAX)
    }

    /// The process that this client belongs to.
    pub fn me(&self) -> u64 {
        self.me
    }
}
