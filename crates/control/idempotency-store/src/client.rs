//! Who asks the records: it finds who leads each group, asks again elsewhere when nothing comes, and knows what it was told.
//! Each ask is done once at most, whatever is sent how often: it has a number in a session that the log knows.
use crate::command::{Command, Outcome};
use crate::message::{Epoch, GroupInfo, StoreMessage};
use crate::Micros;
use std::collections::{BTreeMap, VecDeque};

/// Asks that are open in one process, at most.
pub const MAX_OPEN_REQUESTS: usize = 1_024;

/// Why an ask has no outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmitError {
    /// No group is known, or nobody who leads it answers: it was not done, unless it was sent and `sent` says so.
    Unavailable {
        /// It was sent to somebody, and may yet be done.
        sent: bool,
    },
    /// Its time was up; it may yet be done.
    Timeout,
    /// The session ended; it may have been done.
    SessionEnded,
    /// Too many are open.
    TooManyOpen,
}

#[derive(Clone, Debug)]
struct Open {
    id: u64,
    command: Command,
    until: Micros,
    again_at: Micros,
    /// Whom it went to last.
    to: Option<u64>,
}

#[derive(Clone, Debug, Default)]
struct Group {
    card: Option<GroupInfo>,
    /// Where to ask next when nobody is known to lead.
    turn: usize,
    session: Option<u64>,
    /// The number of the ask that opens one, when to ask again, and whom it went to last.
    opening: Option<(u64, Micros, u64)>,
    next: u64,
    open: BTreeMap<u64, Open>,
    /// Since when nothing was answered that was asked; `None`: all is well.
    silent: Option<Micros>,
}

impl Group {
    /// Who leads is known: what went to others goes there at once; what that one has had goes again in its time.
    fn ask_soon(&mut self, now: Micros, retry_after: Micros) {
        let Some(leader) = self.card.as_ref().and_then(|c| c.leader) else { return };
        // Two that point at each other are not asked in circles.
        let soon = now + retry_after / 8;
        for o in self.open.values_mut().filter(|o| o.to.is_some_and(|t| t != leader)) {
            o.again_at = o.again_at.min(soon);
        }
        self.opening.iter_mut().filter(|o| o.2 != leader).for_each(|o| o.1 = o.1.min(soon));
    }
}

/// One process's asking.
#[derive(Clone, Debug)]
pub struct Client {
    me: u64,
    groups: Vec<Group>,
    /// Nothing came for so long: another is asked.
    retry_after: Micros,
    next: u64,
    out: VecDeque<(u64, StoreMessage)>,
    done: VecDeque<(u64, Result<Outcome, SubmitError>)>,
}

impl Client {
    /// For so many groups; asks go elsewhere after `retry_after` without an answer, in microseconds.
    pub fn new(me: u64, groups: u32, retry_after: Micros) -> Self {
        let groups = (0..groups).map(|_| Group::default()).collect();
        Client { me, groups, retry_after, next: 0, out: VecDeque::new(), done: VecDeque::new() }
    }

    /// What is known of a group has come; news holds if it is later.
    pub fn update_group_info(&mut self, now: Micros, card: &GroupInfo) {
        let Some(g) = self.groups.get_mut(card.group as usize) else { return };
        let rank = |c: &GroupInfo| (c.epoch.count(), c.term, c.changed, c.leader.is_some());
        match &g.card {
            Some(old) if old.epoch == card.epoch && rank(card) <= rank(old) => {}
            Some(old) if old.epoch != card.epoch && card.epoch.count() <= old.epoch.count() => {}
            Some(old) if old.epoch == card.epoch => {
                let moved = old.leader != card.leader && card.leader.is_some();
                g.card = Some(card.clone());
                if moved {
                    g.ask_soon(now, self.retry_after);
                }
            }
            _ => {
                // Another epoch: what was asked of the one before is not answered any more.
                g.card = Some(card.clone());
                self.end_session(card.group as usize, now);
            }
        }
    }

    /// What is known of a group.
    pub fn group_info(&self, group: u32) -> Option<&GroupInfo> {
        self.groups.get(group as usize)?.card.as_ref()
    }

    /// Since when a group has answered nothing that was asked of it.
    pub fn unresponsive_since(&self, group: u32) -> Option<Micros> {
        self.groups.get(group as usize)?.silent
    }

    /// Ask; answered by [`Client::poll_done`] under the number returned, by `until` at the latest.
    pub fn submit(&mut self, now: Micros, group: u32, command: Command, until: Micros) -> u64 {
        self.next += 1;
        let id = self.next;
        let open: usize = self.groups.iter().map(|g| g.open.len()).sum();
        let Some(g) = self.groups.get_mut(group as usize).filter(|g| g.card.is_some()) else {
            self.done.push_back((id, Err(SubmitError::Unavailable { sent: false })));
            return id;
        };
        let why = match () {
            () if open >= MAX_OPEN_REQUESTS => Some(SubmitError::TooManyOpen),
            // While nobody answers, one ask at a time finds out whether that is over: all others are told at once.
            () if g.silent.is_some_and(|s| now >= s + 2 * self.retry_after) && !g.open.is_empty() => {
                Some(SubmitError::Unavailable { sent: false })
            }
            () => None,
        };
        if let Some(why) = why {
            self.done.push_back((id, Err(why)));
            return id;
        }
        g.next += 1;
        g.open.insert(g.next, Open { id, command, until, again_at: now, to: None });
        self.go_on(now);
        id
    }

    /// An ask is not waited for any more.
    pub fn cancel(&mut self, id: u64) {
        for g in &mut self.groups {
            g.open.retain(|_, o| o.id != id);
        }
    }

    /// A holder said what came of an ask.
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
        if g.card.as_ref().is_none_or(|c| c.epoch != epoch) {
            return;
        }
        g.silent = None;
        if let Outcome::Session(opened) = outcome {
            if g.opening.is_some_and(|o| o.0 == number) {
                (g.session, g.opening) = (Some(opened), None);
                return self.go_on(now);
            }
            return;
        }
        if g.session != Some(session) {
            return;
        }
        if outcome == Outcome::NoSession {
            return self.end_session(group as usize, now);
        }
        if let Some(open) = g.open.remove(&number) {
            self.done.push_back((open.id, Ok(outcome)));
        }
    }

    /// Somebody does not lead, and may know who does.
    pub fn redirect(&mut self, now: Micros, from: u64, group: u32, leader: Option<u64>) {
        let Some(g) = self.groups.get_mut(group as usize) else { return };
        let Some(card) = &mut g.card else { return };
        if card.leader == Some(from) || card.leader.is_none() {
            card.leader = leader.filter(|l| *l != from);
            g.ask_soon(now, self.retry_after);
        }
        self.go_on(now);
    }

    fn end_session(&mut self, group: usize, now: Micros) {
        let Some(g) = self.groups.get_mut(group) else { return };
        (g.session, g.opening) = (None, None);
        // What was sent may have been done under the session that is over; what was not goes on in the next.
        let (sent, open): (BTreeMap<_, _>, BTreeMap<_, _>) =
            std::mem::take(&mut g.open).into_iter().partition(|(_, o)| o.to.is_some());
        g.open = open;
        self.done.extend(sent.into_values().map(|o| (o.id, Err(SubmitError::SessionEnded))));
        self.go_on(now);
    }

    /// Let time pass.
    pub fn tick(&mut self, now: Micros) {
        for g in &mut self.groups {
            let late: Vec<u64> = g.open.iter().filter(|(_, o)| now >= o.until).map(|(n, _)| *n).collect();
            for number in late {
                if let Some(o) = g.open.remove(&number) {
                    g.silent.get_or_insert(now);
                    let why = if o.to.is_some() {
                        SubmitError::Timeout
                    } else {
                        SubmitError::Unavailable { sent: false }
                    };
                    self.done.push_back((o.id, Err(why)));
                }
            }
        }
        self.go_on(now);
    }

    /// Send what is due.
    fn go_on(&mut self, now: Micros) {
        let retry_after = self.retry_after;
        for (n, g) in self.groups.iter_mut().enumerate() {
            let Some(card) = &mut g.card else { continue };
            if g.open.is_empty() {
                continue;
            }
            let led = card.leader;
            let was_asked = |to: u64| led.is_none_or(|l| l == to);
            let overdue = g.open.values().any(|o| o.to.is_some_and(was_asked) && now >= o.again_at)
                || g.opening.is_some_and(|o| was_asked(o.2) && now >= o.1);
            if overdue && g.silent.is_none() {
                g.silent = Some(now);
            }
            if overdue {
                // Whoever was said to lead does not answer: the others in turn.
                card.leader = None;
                g.turn = g.turn.wrapping_add(1);
            }
            let to = card.leader.or_else(|| {
                let n = card.voters.len();
                (n > 0).then(|| card.voters[g.turn % n])
            });
            let (Some(to), epoch, group) = (to, card.epoch, n as u32) else { continue };
            let Some(session) = g.session else {
                if g.opening.is_none_or(|o| now >= o.1) {
                    let number = g.opening.map_or(u64::MAX - g.next, |o| o.0);
                    g.opening = Some((number, now + retry_after, to));
                    let ask = StoreMessage::Ask {
                        group,
                        epoch,
                        session: 0,
                        number,
                        below: 0,
                        command: Command::Open,
                    };
                    self.out.push_back((to, ask));
                }
                continue;
            };
            let below = g.open.keys().next().copied().unwrap_or(g.next + 1);
            for (number, o) in g.open.iter_mut().filter(|(_, o)| now >= o.again_at) {
                (o.again_at, o.to) = (now + retry_after, Some(to));
                let command = o.command.clone();
                self.out.push_back((
                    to,
                    StoreMessage::Ask { group, epoch, session, number: *number, below, command },
                ));
            }
        }
    }

    /// The next thing to say, and to whom.
    pub fn poll_send(&mut self) -> Option<(u64, StoreMessage)> {
        self.out.pop_front()
    }

    /// The next ask that is over: its number, and what came of it.
    pub fn poll_done(&mut self) -> Option<(u64, Result<Outcome, SubmitError>)> {
        self.done.pop_front()
    }

    /// When [`Client::tick`] is due.
    pub fn next_deadline(&self) -> Micros {
        let opens = self.groups.iter().flat_map(|g| {
            let waits = g.session.is_some();
            g.open.values().map(move |o| if waits { o.until.min(o.again_at) } else { o.until })
        });
        let opening =
            self.groups.iter().filter(|g| !g.open.is_empty()).filter_map(|g| g.opening.map(|o| o.1));
        opens.chain(opening).min().unwrap_or(Micros::MAX)
    }

    /// Whose asks they are.
    pub fn me(&self) -> u64 {
        self.me
    }
}
