//! A replica of one log: its state, constructors and accessors. Inputs are handled in [`crate::step`], outputs are polled in
//! [`crate::output`].
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

/// A replica of one log.
#[derive(Clone, Debug)]
pub struct Replica {
    pub(crate) config: Config,
    pub(crate) me: Node,
    pub(crate) rng: Pcg32,
    pub(crate) hard_state: HardState,
    pub(crate) log: Log,
    pub(crate) role: Role,
    pub(crate) leader: Option<Node>,
    /// When it last heard from a leader.
    pub(crate) heard_at: Option<Instant>,
    pub(crate) election_at: Instant,
    /// Elections started in a row without a leader being elected.
    pub(crate) failed_elections: u32,
    pub(crate) commit_index: Index,
    pub(crate) applied_index: Index,
    /// Whether the state machine has yet to be restored from the snapshot.
    pub(crate) restore_pending: bool,
    /// Changes that are not yet handed out as a write.
    pub(crate) staged: Write,
    /// Writes handed out and not yet durable: number, and last log index when it was handed out.
    pub(crate) in_flight_writes: VecDeque<(u64, Index)>,
    /// The number of the last durable write.
    pub(crate) durable_writes: u64,
    /// The log is durable up to this index.
    pub(crate) durable_index: Index,
    /// Messages to send: number of the write to wait for, receiver, message.
    pub(crate) outgoing: VecDeque<(u64, Node, Message)>,
    /// The greatest number of durable writes seen from each node, to detect an older copy of its storage.
    pub(crate) seen_writes: BTreeMap<Node, u64>,
    /// The voters that have responded to `Hello` since a start with used storage; `None` if no recovery is in progress.
    pub(crate) recovery_answers: Option<BTreeSet<Node>>,
    /// When `Hello` is sent next.
    pub(crate) hello_at: Instant,
    /// The snapshot being received, and the term of the leader that sends it.
    pub(crate) incoming_snapshot: Option<(Snapshot, Term)>,
    /// Completed reads: number, and commit index to serve it at, or `None` if it failed.
    pub(crate) completed_reads: VecDeque<(u64, Option<Index>)>,
    /// Voters that this process considers permanently lost.
    pub(crate) gone_voters: Vec<Node>,
    pub(crate) ended: Option<Ended>,
    /// Counters, for monitoring alone.
    pub metrics: Metrics,
}

impl Replica {
    /// A replica from its persisted state, which is `PersistentState::default()` for empty storage.
    pub fn new(config: Config, me: Node, persisted: PersistentState, seed: u64, now: Instant) -> Self {
        let used = persisted.writes > 0;
        let skip_recovery = config.has_mutation(Mutation::VotesWithOldStorage);
        let mut new = Replica {
            me,
            rng: Pcg32::seed_from_u64(seed ^ me.0),
            hard_state: persisted.hard_state,
            commit_index: persisted.snapshot.index,
            applied_index: persisted.snapshot.index,
            restore_pending: persisted.snapshot.index > 0,
            durable_index: persisted.snapshot.index + persisted.entries.len() as Index,
            log: Log::new(persisted.snapshot, persisted.entries),
            role: Role::Follower,
            leader: None,
            heard_at: None,
            election_at: now,
            failed_elections: 0,
            staged: Write { number: persisted.writes + 1, ..Write::default() },
            in_flight_writes: VecDeque::new(),
            durable_writes: persisted.writes,
            outgoing: VecDeque::new(),
            seen_writes: BTreeMap::new(),
            recovery_answers: (used && !skip_recovery).then(BTreeSet::new),
            hello_at: now,
            incoming_snapshot: None,
            completed_reads: VecDeque::new(),
            gone_voters: Vec::new(),
            ended: None,
            metrics: Metrics::default(),
            config,
        };
        new.reset_election_timer(now);
        new
    }

    /// The first replica of a new log, with a group of this node alone, to which others are added. Only an operator may do
    /// this: bootstrapping twice creates two separate logs.
    pub fn bootstrap(config: Config, me: Node, seed: u64, now: Instant) -> Self {
        Replica::recover_from(config, me, Snapshot::default(), seed, now)
    }

    /// The first replica of a new epoch, from the state of one surviving replica, with a group of this node alone. Only an
    /// operator may do this: earlier voters are no longer part of the group.
    pub fn recover_from(config: Config, me: Node, from: Snapshot, seed: u64, now: Instant) -> Self {
        // A new log begins with a snapshot at index 1 and term 1, which defines the group.
        let snapshot =
            Snapshot { index: from.index.max(1), term: from.term.max(1), group: Group::of(vec![me]), ..from };
        let term = snapshot.term;
        let mut new = Replica::new(config, me, PersistentState::default(), seed, now);
        new.log = Log::new(snapshot.clone(), Vec::new());
        (new.commit_index, new.applied_index, new.restore_pending) =
            (snapshot.index, snapshot.index, !snapshot.data.is_empty());
        new.hard_state = HardState { term, vote: None };
        new.staged.hard_state = Some(new.hard_state);
        new.staged.snapshot = Some(snapshot);
        new.durable_index = 0;
        new.election_at = now;
        new
    }

    /// This node.
    pub fn me(&self) -> Node {
        self.me
    }

    /// Whether it considers itself the leader.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// The leader, as far as it knows.
    pub fn leader(&self) -> Option<Node> {
        self.leader
    }

    /// The latest term seen.
    pub fn term(&self) -> Term {
        self.hard_state.term
    }

    /// The current term and vote.
    pub fn hard_state(&self) -> HardState {
        self.hard_state
    }

    /// The group in force.
    pub fn group(&self) -> &Group {
        self.log.group()
    }

    /// The log.
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// The commit index, as far as it knows.
    pub fn commit_index(&self) -> Index {
        self.commit_index
    }

    /// The index of the last entry handed to the state machine.
    pub fn applied_index(&self) -> Index {
        self.applied_index
    }

    /// The number of durable writes.
    pub fn writes(&self) -> u64 {
        self.durable_writes
    }

    /// The index up to which the log is durable.
    pub fn durable_index(&self) -> Index {
        self.durable_index
    }

    /// Why it stopped, if it has.
    pub fn ended(&self) -> Option<Ended> {
        self.ended
    }

    /// Whether a change of the group is uncommitted.
    pub fn is_changing(&self) -> bool {
        self.log.last_change_index() > self.commit_index
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

    /// Sets the voters that this process considers permanently lost; they are reported to the leader.
    pub fn set_gone_voters(&mut self, gone: Vec<Node>) {
        self.gone_voters = gone;
    }
}
