//! Settings, events and actions of the decision module (`policy`). No decisions here.

/// Microseconds, as a point on the caller's monotonic clock or as a duration.
pub type Micros = i64;

/// An upstream, numbered densely by the caller in the order of first listing. The number of one that was listed as gone
/// may be reused for another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UpstreamId(pub u32);

/// A request that this instance has accepted from a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// The upstreams among which duplicates of a keyed request are dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupGroup {
    /// All upstreams.
    All,
    /// The upstreams of one zone.
    Zone,
    /// The upstreams of one cell, which is a part of a zone.
    Cell,
}

/// Whether a request that may have been executed can be executed again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeatability {
    /// Any number of times.
    Repeatable,
    /// Within the group that drops duplicates, for `window` from the send of an attempt that may have been executed.
    Keyed {
        /// The upstreams that drop duplicates.
        group: DedupGroup,
        /// For how long they recognise a duplicate.
        window: Micros,
    },
    /// Never.
    Once,
}

/// One class of requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Class {
    /// A response within this time earns the full value.
    pub latency_target: Micros,
    /// Increase of the latency target, in microseconds per microsecond of the response time that is expected at an idle
    /// upstream; 0: none.
    pub target_per_work: f64,
    /// How long a client waits in all, its own retries included.
    pub deadline: Micros,
    /// Value of a response within the latency target.
    pub value: f64,
    /// Share of the value that a response past the latency target still earns.
    pub late_value_share: f64,
    /// Whether a request may be executed again.
    pub repeatability: Repeatability,
    /// The response is a stream.
    pub stream: bool,
    /// Maximum number of upstreams that may receive a request; `None`: the number of attempts. An upstream that rejected
    /// it unprocessed, could not be reached or was never sent to has not received it. The first attempt is always sent.
    pub max_receivers: Option<u32>,
    /// Reduction of the response time, beyond the longer round trip, above which a request may be sent to another zone
    /// although its own has enough upstreams; a share of the latency target. [`Prices::cross_zone`] applies if larger.
    pub cross_zone_cost: f64,
}

/// A tenant and its allowance.
#[derive(Clone, Copy, Debug)]
pub struct Tenant {
    /// Share of the service that it is allotted.
    pub share: f64,
    /// Requests per second, over all instances, that count as within the share.
    pub allowance_per_s: f64,
}

/// Prices in the objective, by which an operator rates the service: the value earned, less each price times the quantity
/// that its field names. The decision module reads only `cross_zone`.
#[derive(Clone, Copy, Debug, Default)]
pub struct Prices {
    /// Attempts in another zone, per request.
    pub cross_zone: f64,
    /// Work of upstreams that led to no response, as a share of the work offered.
    pub waste: f64,
    /// Value of requests that failed after their latency target.
    pub late_fail: f64,
    /// Probes, per request.
    pub probe: f64,
}

/// Settings of an instance, at its start or in [`Event::Settings`].
#[derive(Clone, Debug)]
pub struct Settings {
    /// Number of balancer instances that send to these upstreams.
    pub instances: u32,
    /// Index of this instance, from 0.
    pub instance_index: u32,
    /// Zone of this instance.
    pub own_zone: u32,
    /// Number of zones.
    pub zones: u32,
    /// The classes of requests, which [`NewRequest::class`] refers to.
    pub classes: Vec<Class>,
    /// The tenants, which [`NewRequest::tenant`] refers to; may be empty.
    pub tenants: Vec<Tenant>,
    /// Value of a request beyond its tenant's share, as a fraction of its class's value.
    pub over_share_value: f64,
    /// Value is counted per unit of work instead of per request.
    pub value_per_work: bool,
    /// Weight of the total value in the objective, from 0 to 1; the rest is that of the worst-served class.
    pub total_value_weight: f64,
    /// Prices of what is deducted from the objective.
    pub prices: Prices,
    /// The list is sent only on request.
    pub list_on_request: bool,
    /// With `list_on_request`, the longest time that an instance may go without requesting the list: `drain_grace` then
    /// starts even for draining upstreams that it has not learnt of. Not read by the decision module.
    pub max_list_age: Micros,
    /// Sends to a draining or gone upstream must stop within this time.
    pub drain_grace: Micros,
    /// Least share of its full capacity that an upstream has right after its start.
    pub initial_capacity: f64,
    /// Time after its start by which an upstream has its full capacity.
    pub warm_up_time: Micros,
    /// A cold upstream collapses when sent more than this multiple of its present capacity ...
    pub overload_multiple: f64,
    /// ... over this window.
    pub overload_window: Micros,
    /// Requests per second that a cold upstream may be sent by all instances together. Replaces the overload multiple,
    /// which applies with `None`.
    pub cold_rate: Option<f64>,
    /// Number of instances that may send to a cold upstream and share `cold_rate`; 0: all.
    pub cold_senders: u32,
    /// Retries as a share of requests; `None`: the module's default.
    pub retry_ratio: Option<f64>,
    /// Retries that may be saved up; `None`: the module's default.
    pub max_saved_retries: Option<f64>,
    /// Maximum number of attempts of a request.
    pub max_attempts: u32,
    /// A connection that is not established within this time has failed.
    pub connect_timeout: Micros,
    /// Attempts may be cancelled.
    pub may_cancel: bool,
    /// Several attempts of a request may be in flight together.
    pub may_hedge: bool,
    /// Probes are allowed.
    pub probes: bool,
    /// Maximum delay that a refusal may ask a client to keep before its retry; `None`: refusals carry none.
    pub max_retry_after: Option<Micros>,
    /// Clients mark their retries.
    pub clients_mark_retries: bool,
    /// Upstreams do less work for keys that they served recently, so a key's requests should go to one upstream.
    pub key_affinity: bool,
}

/// State of an upstream according to the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lifecycle {
    /// It accepts requests.
    Running,
    /// It finishes its requests and accepts no new ones.
    Draining,
    /// It is removed.
    Gone,
}

/// One upstream as listed.
#[derive(Clone, Copy, Debug)]
pub struct Entry {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Its state.
    pub lifecycle: Lifecycle,
    /// Time of its last start; `None`: long ago.
    pub last_start: Option<Micros>,
    /// Its zone.
    pub zone: u32,
    /// Its cell, numbered within its zone.
    pub cell: u32,
    /// Its machine kind, from 0.
    pub kind: u32,
    /// Its listed size, relative to other upstreams.
    pub size: f64,
    /// Hash of its name, the same at every instance.
    pub digest: u64,
}

/// Kind of an update of the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// The changed entries.
    Patch,
    /// The complete list.
    Snapshot,
    /// The complete list from a saved copy, perhaps out of date.
    StaleCopy,
    /// A call failed or the subscription broke; the present list stays in use.
    Broken,
    /// The list service has changed; the present list stays in use.
    Moved,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A successful response.
    Served,
    /// An error response; the request may have been executed.
    Error,
    /// Rejected by the upstream without being processed.
    Rejected,
    /// No response within the limit; the request may have been executed.
    TimedOut,
    /// No connection; the request was not executed.
    ConnectFailed,
    /// The connection broke; the request may have been executed.
    Reset,
    /// Cancelled; the request may have been executed.
    Cancelled,
    /// The attempt was never sent.
    NotSent,
}

/// A request from a client.
#[derive(Clone, Copy, Debug)]
pub struct NewRequest {
    /// Its id, unique over the instance's lifetime.
    pub id: RequestId,
    /// Index of its class.
    pub class: u32,
    /// Index of its tenant.
    pub tenant: u32,
    /// Hash of the key that it concerns, for [`Settings::key_affinity`].
    pub key: Option<u64>,
    /// Time until the client stops waiting for this request.
    pub budget: Micros,
    /// Expected processing time on a standard core.
    pub cost_hint: Option<Micros>,
    /// Marked by the client as a retry; see [`Settings::clients_mark_retries`].
    pub client_retry: bool,
    /// It is a write.
    pub write: bool,
}

/// The end of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct Ended {
    /// The request.
    pub request: RequestId,
    /// Index of the attempt within the request, from 0.
    pub attempt: u32,
    /// How it ended.
    pub outcome: Outcome,
    /// Time since it was sent.
    pub elapsed: Micros,
    /// The request is over, by this outcome or an earlier one.
    pub request_over: bool,
}

/// Input to the decision module.
#[derive(Clone, Copy, Debug)]
pub enum Event<'a> {
    /// An update of the list.
    List {
        /// Kind of the update.
        kind: ListKind,
        /// The entries; none with `Broken` and `Moved`.
        entries: &'a [Entry],
    },
    /// The settings have changed. Classes that open requests refer to keep their index.
    Settings {
        /// The new settings.
        settings: &'a Settings,
        /// For each class, index of the previous class whose estimates it takes over.
        previous: &'a [Option<u32>],
    },
    /// A request has arrived.
    Request(NewRequest),
    /// An attempt has ended; this happens once for each [`Action::Send`].
    AttemptEnded(Ended),
    /// The response stream has begun and is passed to the client.
    StreamStarted {
        /// The request.
        request: RequestId,
        /// Index of the attempt.
        attempt: u32,
    },
    /// The client has disconnected, or the request is over for another reason.
    RequestGone {
        /// The request.
        request: RequestId,
    },
    /// A timer has expired.
    Timer {
        /// The token of [`Action::Timer`].
        token: u64,
    },
    /// A probe has ended.
    ProbeEnded {
        /// The probed upstream.
        upstream: UpstreamId,
        /// How it ended.
        outcome: Outcome,
        /// Time since it was sent.
        elapsed: Micros,
    },
}

/// Output of the decision module, which the caller carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Begin an attempt. The attempts of a request are numbered from 0 in the order of these actions.
    Send {
        /// The request.
        request: RequestId,
        /// The destination.
        upstream: UpstreamId,
        /// Time limit of the attempt; `None`: the client's.
        limit: Option<Micros>,
    },
    /// Cancel an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// Index of the attempt.
        attempt: u32,
    },
    /// Final answer: the request is refused, and a retry does no harm.
    Refuse {
        /// The request.
        request: RequestId,
        /// How long the client should wait before a retry.
        retry_after: Option<Micros>,
    },
    /// Final answer: the request has failed.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Set a timer.
    Timer {
        /// Delay from now.
        after: Micros,
        /// Returned in [`Event::Timer`].
        token: u64,
    },
    /// Subscribe to the list, or unsubscribe.
    Subscribe(bool),
    /// Request the complete list once.
    FetchList,
    /// Probe an upstream.
    Probe(UpstreamId),
    /// Close idle connections to an upstream.
    CloseIdle(UpstreamId),
    /// Write a line to the log.
    Note(String),
}

/// A decision maker: the module itself, or a simple policy to compare it with. Events arrive in order of time; equal
/// events at equal times result in equal actions.
pub trait Decide {
    /// Handles one event at the time it happened and appends the resulting actions.
    fn decide(&mut self, now: Micros, event: Event<'_>, out: &mut Vec<Action>);

    /// Whether an upstream is not picked now, for its failures or because it is draining or gone.
    fn avoids(&self, _now: Micros, _upstream: UpstreamId) -> bool {
        false
    }
}
