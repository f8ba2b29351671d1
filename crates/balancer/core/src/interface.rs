//! What the decision module (`policy`) is told and what it answers. No decisions here.

/// Integer microseconds, as a point on the caller's monotonic clock or as a span.
pub type Micros = i64;

/// An upstream, numbered densely by the caller in the order this instance first heard of it. The number of one that has
/// been told as gone may be given to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UpstreamId(pub u32);

/// A request this instance has taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// Where repeats of a keyed request are dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupGroup {
    /// Any upstream drops them.
    All,
    /// The upstreams of one zone.
    Zone,
    /// The upstreams of one cell.
    Cell,
}

/// Whether a request that may have run can run again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Any number of times.
    Repeatable,
    /// Within the group that drops repeats, for `window` from the send of an attempt that may have run.
    Keyed {
        /// The upstreams that drop repeats.
        group: DedupGroup,
        /// For how long they do.
        window: Micros,
    },
    /// Never.
    Once,
}

/// One class of requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Class {
    /// An answer within this time earns the full worth.
    pub latency_target: Micros,
    /// Growth of the aim with the request's own work (0: none).
    pub target_per_work: f64,
    /// All the time a client waits, over its tries.
    pub deadline: Micros,
    /// What an answer is worth.
    pub value: f64,
    /// Share of the worth paid for an answer past the aim.
    pub late_value_share: f64,
    /// Whether it may run again.
    pub effect: Effect,
    /// The answer is a stream.
    pub stream: bool,
    /// The most upstreams that may receive it; `None`: as many as it has attempts. One that sent it back unseen, could
    /// not be reached or was never sent to has not received it. The first attempt always goes.
    pub max_receivers: Option<u32>,
    /// What a crossing between zones costs, as a share of the aim, where that is more than the price for all classes.
    pub cross_zone_cost: f64,
}

/// One tenant and its allowance.
#[derive(Clone, Copy, Debug)]
pub struct Tenant {
    /// Share of the service allotted.
    pub share: f64,
    /// Requests a second over all instances that count as within the share.
    pub allowance_per_s: f64,
}

/// Points taken off the result, each times its share or rate.
#[derive(Clone, Copy, Debug, Default)]
pub struct Prices {
    /// Attempts that cross zones, a first try.
    pub cross_zone: f64,
    /// Upstream work without an answer, as a share of the work offered.
    pub waste: f64,
    /// Worth that ended unserved after its aim.
    pub late_fail: f64,
    /// Probes, a first try.
    pub probe: f64,
}

/// What an instance is handed at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Instances in this tier.
    pub instances: u32,
    /// This instance's number, from 0.
    pub instance_index: u32,
    /// This instance's zone.
    pub own_zone: u32,
    /// How many zones are named.
    pub zones: u32,
    /// The classes.
    pub classes: Vec<Class>,
    /// The tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Worth of a request past its tenant's share, as a part of its class's worth.
    pub over_share_value: f64,
    /// Worth is counted for each unit of work, not for each request.
    pub value_per_work: bool,
    /// The part of the result that counts all worth alike; the rest goes by what is served worst.
    pub total_value_weight: f64,
    /// Points taken off.
    pub prices: Prices,
    /// The list comes only when asked for.
    pub list_on_request: bool,
    /// Past this without asking, the instance counts as told.
    pub max_list_age: Micros,
    /// Sends to a draining or gone upstream must stop within this.
    pub drain_grace: Micros,
    /// Least share of its capacity that a started upstream has.
    pub initial_capacity: f64,
    /// It is warm no later than this.
    pub warm_up_time: Micros,
    /// It falls over when sent more than this multiple of its present capacity ...
    pub overload_multiple: f64,
    /// ... over this span.
    pub overload_window: Micros,
    /// Requests a second that a cold upstream bears, from all instances together; `None`: not stated, and the multiple
    /// counts. Where it is stated, neither the multiple nor its span allows more.
    pub cold_rate: Option<f64>,
    /// Instances that may send to a cold upstream, who share the rate stated; 0: all.
    pub cold_senders: u32,
    /// Second tries as a share of first ones; `None`: the module's own.
    pub retry_ratio: Option<f64>,
    /// So many second tries may be saved up; `None`: the module's own.
    pub max_saved_retries: Option<f64>,
    /// The most attempts of one request.
    pub max_attempts: u32,
    /// A connection that is not ready by then has failed.
    pub connect_timeout: Micros,
    /// Attempts may be called off.
    pub may_cancel: bool,
    /// Two attempts of one request may be out together.
    pub may_hedge: bool,
    /// Probes are allowed.
    pub probes: bool,
    /// Clients may be told when to come back, up to this long; `None`: they get no advice.
    pub max_retry_after: Option<Micros>,
    /// Clients mark their repeats.
    pub clients_mark_retries: bool,
    /// An upstream that met a request's subject lately does less work for it.
    pub key_affinity: bool,
}

/// What the list says of an upstream's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lifecycle {
    /// It runs.
    Running,
    /// It finishes its work: nothing new.
    Draining,
    /// It is removed.
    Gone,
}

/// One upstream as listed.
#[derive(Clone, Copy, Debug)]
pub struct Entry {
    /// Which one.
    pub upstream: UpstreamId,
    /// Its life.
    pub lifecycle: Lifecycle,
    /// Its last start; `None`: long ago.
    pub last_start: Option<Micros>,
    /// Its zone.
    pub zone: u32,
    /// Its cell.
    pub cell: u32,
    /// Its machine kind.
    pub kind: u32,
    /// Its listed size, to be compared with that of others.
    pub size: f64,
    /// A digest of its name, the same at every instance.
    pub digest: u64,
}

/// How list news is to be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Only what changed.
    Patch,
    /// The complete list.
    Snapshot,
    /// The complete list as last held, perhaps out of date.
    StaleCopy,
    /// A call failed or the subscription broke; the held list stays.
    Broken,
    /// Another list service is to be asked from now on; the held list stays.
    Moved,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Served,
    /// Answered with an error; it may have run.
    Error,
    /// Sent back unseen.
    Rejected,
    /// No answer within the limit; it may have run.
    TimedOut,
    /// No connection; it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Called off; it may have run.
    Cancelled,
    /// Never sent.
    NotSent,
}

/// A request as it arrives.
#[derive(Clone, Copy, Debug)]
pub struct NewRequest {
    /// Its id; never used again.
    pub id: RequestId,
    /// Its class (index).
    pub class: u32,
    /// Its tenant (index).
    pub tenant: u32,
    /// A digest of its subject; equal subjects have equal digests.
    pub key: Option<u64>,
    /// Time until the client stops waiting for this try.
    pub budget: Micros,
    /// Expected work on a standard core.
    pub cost_hint: Option<Micros>,
    /// A client's repeat, where clients mark them.
    pub client_retry: bool,
    /// It writes.
    pub write: bool,
}

/// The end of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct Ended {
    /// Its request.
    pub request: RequestId,
    /// Its number among the request's attempts, from 0.
    pub attempt: u32,
    /// How it ended.
    pub outcome: Outcome,
    /// Time from its send.
    pub elapsed: Micros,
    /// The request is over, by this or before.
    pub request_over: bool,
}

/// Something that happened.
#[derive(Clone, Copy, Debug)]
pub enum Event<'a> {
    /// News of the list.
    List {
        /// How to read it.
        kind: ListKind,
        /// The entries; none when broken.
        entries: &'a [Entry],
    },
    /// Other settings hold from now on. A class that open requests or late outcomes name stands where it stood.
    Settings {
        /// The new ones.
        settings: &'a Settings,
        /// For each class, which one of before tells how long it usually takes.
        previous: &'a [Option<u32>],
    },
    /// A request was taken.
    Request(NewRequest),
    /// An attempt ended; each attempt sent ends once.
    AttemptEnded(Ended),
    /// The answer's stream has begun; the attempt is the client's now.
    StreamStarted {
        /// Its request.
        request: RequestId,
        /// The attempt's number.
        attempt: u32,
    },
    /// The client has left, or the request is over for another reason.
    RequestGone {
        /// Which one.
        request: RequestId,
    },
    /// A timer came due.
    Timer {
        /// As set.
        token: u64,
    },
    /// A probe ended.
    ProbeEnded {
        /// The upstream probed.
        upstream: UpstreamId,
        /// How it ended.
        outcome: Outcome,
        /// Time from its send.
        elapsed: Micros,
    },
}

/// Something to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Begin an attempt; attempts of a request number 0, 1, 2 ... in this order.
    Send {
        /// The request.
        request: RequestId,
        /// Where to.
        upstream: UpstreamId,
        /// Time limit; `None`: until the client gives up.
        limit: Option<Micros>,
    },
    /// Call an attempt off.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt's number.
        attempt: u32,
    },
    /// Final answer: no, and a new try does no harm.
    Refuse {
        /// The request.
        request: RequestId,
        /// How long the client should keep away.
        retry_after: Option<Micros>,
    },
    /// Final answer: failed.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Ask for a timer.
    Timer {
        /// Time from now.
        after: Micros,
        /// Handed back with it.
        token: u64,
    },
    /// Ask for list changes from now on, or stop.
    Subscribe(bool),
    /// Ask for the whole list once.
    FetchList,
    /// Probe an upstream.
    Probe(UpstreamId),
    /// Close idle connections to an upstream.
    CloseIdle(UpstreamId),
    /// A line for the report.
    Note(String),
}

/// Whatever decides: the module in service, a plain policy where the two are compared. Events come in the order of time;
/// equal events, at equal times, give equal actions.
pub trait Decide {
    /// Take one event in, at the time it happened, and append what is to be done.
    fn decide(&mut self, now: Micros, event: Event<'_>, out: &mut Vec<Action>);

    /// Whether an upstream would not be picked now, for its failures or its drain. Changes nothing.
    fn avoids(&self, _now: Micros, _upstream: UpstreamId) -> bool {
        false
    }
}
