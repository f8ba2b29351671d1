//! A replica of one log: its state, how it starts, and what can be asked of it. What a message or a tick does is in
//! [`crate::step`]; what it wants done outside is in [`crate::output`].
use crate::config::{Config, Mutation};
use crate::log::{Group, HardState, Index, Log, Snapshot, Term};
use crate::message::Message;
use crate::metrics::Metrics;
use crate::outcome::Ended;
use crate::persistent_state::{PersistentState, Write};
use crate::role::Role;
use crate::Node;
use rand_core::SeedableRng;
use rand_pcg::Pcg32;
use silvercross_time::Instant;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// One copy of one log.
#[derive(Clone, Debug)]
pub struct Replica {
    pub(crate) config: Config,
    pub(crate) me: Node,
    pub(crate) rng: Pcg32,
    pub(crate) hard: HardState,
    pub(crate) log: Log,
    pub(crate) role: Role,
    pub(crate) leader: Option<Node>,
    /// When a leader was last heard.
    pub(crate) heard_at: Option<Instant>,
    pub(crate) election_at: Instant,
    /// Elections started in a row without any leader coming of them.
    pub(crate) failed_elections: u32,
    pub(crate) commit: Index,
    pub(crate) applied: Index,
    pub(crate) restore: bool,
    pub(crate) staged: Write,
    /// Writes handed out and not yet done: number, last place.
    pub(crate) writing: VecDeque<(u64, Index)>,
    pub(crate) done: u64,
    /// Durable up to here.
    pub(crate) durable: Index,
    pub(crate) out: VecDeque<(u64, Node, Message)>,
    /// The greatest number of writes heard from each.
    pub(crate) seen: BTreeMap<Node, u64>,
    /// Who has told what it heard, since the start with a used folder; `None`: enough have.
    pub(crate) recovery_answers: Option<BTreeSet<Node>>,
    pub(crate) hello_at: Instant,
    pub(crate) incoming_snapshot: Option<(Snapshot, Term)>,
    pub(crate) answered: VecDeque<(u64, Option<Index>)>,
    pub(crate) gone: Vec<Node>,
    pub(crate) ended: Option<Ended>,
    /// Counted up.
    pub metrics: Metrics,
}

impl Replica {
    /// From what a folder kept, at a start. One that never voted nor held anything is `PersistentState::default()`.
    pub fn new(config: Config, me: Node, kept: PersistentState, seed: u64, now: Instant) -> Self {
        let used = kept.writes > 0;
        let mutant_old = config.is_broken(Mutation::VotesWithOldStorage);
        let mut new = Replica {
            me,
            rng: Pcg32::seed_from_u64(seed ^ me.0),
            hard: kept.hard_state,
            commit: kept.snapshot.index,
            applied: kept.snapshot.index,
            restore: kept.snapshot.index > 0,
            durable: kept.snapshot.index + kept.entries.len() as Index,
            log: Log::new(kept.snapshot, kept.entries),
            role: Role::Follower,
            leader: None,
            heard_at: None,
            election_at: now,
            failed_elections: 0,
            staged: Write { number: kept.writes + 1, ..Write::default() },
            writing: VecDeque::new(),
            done: kept.writes,
            out: VecDeque::new(),
            seen: BTreeMap::new(),
            recovery_answers: (used && !mutant_old).then(BTreeSet::new),
            hello_at: now,
            incoming_snapshot: None,
            answered: VecDeque::new(),
            gone: Vec::new(),
            ended: None,
            metrics: Metrics::default(),
            config,
        };
        new.reset_election_timer(now);
        new
    }

    /// The first copy of a new log: a group of this node alone, which others are added to. An operator's act: two foundings
    /// are two logs.
    pub fn bootstrap(config: Config, me: Node, seed: u64, now: Instant) -> Self {
        Replica::recover_from(config, me, Snapshot::default(), seed, now)
    }

    /// A new epoch from what one copy holds, by an operator's act: a group of this node alone, in which earlier voters have no part.
    pub fn recover_from(config: Config, me: Node, from: Snapshot, seed: u64, now: Instant) -> Self {
        // The entry before the first has term 1 and names the group, as a snapshot would.
        let snapshot =
            Snapshot { index: from.index.max(1), term: from.term.max(1), group: Group::of(vec![me]), ..from };
        let term = snapshot.term;
        let mut new = Replica::new(config, me, PersistentState::default(), seed, now);
        new.log = Log::new(snapshot.clone(), Vec::new());
        (new.commit, new.applied, new.restore) = (snapshot.index, snapshot.index, !snapshot.data.is_empty());
        new.hard = HardState { term, vote: None };
        new.staged.hard_state = Some(new.hard);
        new.staged.snapshot = Some(snapshot);
        new.durable = 0;
        new.election_at = now;
        new
    }

    /// Who it is.
    pub fn me(&self) -> Node {
        self.me
    }

    /// Whether it leads, as far as it knows.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Who leads, as far as it knows.
    pub fn leader(&self) -> Option<Node> {
        self.leader
    }

    /// The latest term heard of.
    pub fn term(&self) -> Term {
        self.hard.term
    }

    /// Term and vote.
    pub fn hard_state(&self) -> HardState {
        self.hard
    }

    /// The group in force.
    pub fn group(&self) -> &Group {
        self.log.group()
    }

    /// The log.
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// Committed up to here, as far as it knows.
    pub fn commit_index(&self) -> Index {
        self.commit
    }

    /// Handed to the state machine up to here.
    pub fn applied_index(&self) -> Index {
        self.applied
    }

    /// How many writes were made durable.
    pub fn writes(&self) -> u64 {
        self.done
    }

    /// Durable up to here.
    pub fn durable_index(&self) -> Index {
        self.durable
    }

    /// Why it does nothing any more.
    pub fn ended(&self) -> Option<Ended> {
        self.ended
    }

    /// Whether a change of the group is not committed yet.
    pub fn is_changing(&self) -> bool {
        self.log.changed_at() > self.commit
    }

    /// When [`Replica::tick`] is due.
    pub fn next_deadline(&self) -> Instant {
        if self.ended.is_some() {
            return Instant::MAX;
        }
        let role = match &self.role {
            Role::Leader(lead) => lead.next_deadline(),
            _ => self.election_at,
        };
        role.min(if self.recovery_answers.is_some() { self.hello_at } else { Instant::MAX })
    }

    /// Which voters this process itself holds to be gone for good; told to the leader.
    pub fn set_gone_voters(&mut self, gone: Vec<Node>) {
        self.gone = gone;
    }
}
