//! Settings and helpers for the tests, which pass in events; no upstream is modelled.
#![allow(dead_code)]
use silvercross_core::interface::*;
use silvercross_core::policy::Balancer;

pub const MS: Micros = 1_000;
pub const S: Micros = 1_000_000;

pub fn class(repeatability: Repeatability) -> Class {
    let (latency_target, deadline) = (500 * MS, 2 * S);
    let (value, late_value_share, target_per_work, stream, max_receivers) = (1.0, 0.0, 0.0, false, None);
    Class {
        latency_target,
        target_per_work,
        deadline,
        value,
        late_value_share,
        repeatability,
        stream,
        max_receivers,
        cross_zone_cost: 0.0,
    }
}

pub fn keyed(group: DedupGroup) -> Repeatability {
    Repeatability::Keyed { group, window: S }
}

/// Settings with classes 0 to 4: repeatable, once, keyed over all upstreams, in a zone, in a cell.
pub fn settings() -> Settings {
    let repeatabilities = [
        Repeatability::Repeatable,
        Repeatability::Once,
        keyed(DedupGroup::All),
        keyed(DedupGroup::Zone),
        keyed(DedupGroup::Cell),
    ];
    Settings {
        instances: 3,
        instance_index: 0,
        own_zone: 0,
        zones: 2,
        classes: repeatabilities.into_iter().map(class).collect(),
        tenants: Vec::new(),
        over_share_value: 1.0,
        value_per_work: false,
        total_value_weight: 1.0,
        prices: Prices::default(),
        list_on_request: true,
        max_list_age: 10 * S,
        drain_grace: 2 * S,
        initial_capacity: 0.3,
        warm_up_time: 9 * S,
        overload_multiple: 3.0,
        overload_window: 3 * S,
        cold_rate: None,
        cold_senders: 0,
        retry_ratio: None,
        max_saved_retries: None,
        max_attempts: 4,
        connect_timeout: 250 * MS,
        may_cancel: true,
        may_hedge: true,
        probes: false,
        max_retry_after: Some(2 * S),
        clients_mark_retries: false,
        key_affinity: false,
    }
}

pub fn entry(id: u32, zone: u32) -> Entry {
    Entry {
        upstream: UpstreamId(id),
        lifecycle: Lifecycle::Running,
        last_start: None,
        zone,
        cell: zone * 10 + id % 2,
        kind: 0,
        size: 1.0,
        digest: u64::from(id),
    }
}

pub fn request(id: u64, class: u32) -> NewRequest {
    NewRequest {
        id: RequestId(id),
        class,
        tenant: 0,
        key: None,
        budget: 2 * S,
        cost_hint: None,
        client_retry: false,
        write: false,
    }
}

/// One instance, and the time of its next event.
pub struct TestRig {
    pub balancer: Balancer,
    pub now: Micros,
    pub next_id: u64,
    budgets: Vec<Micros>,
}

impl TestRig {
    pub fn new(settings: Settings, upstream_zones: &[u32]) -> Self {
        Self::seeded(settings, upstream_zones, 7)
    }

    pub fn seeded(settings: Settings, upstream_zones: &[u32], seed: u64) -> Self {
        let budgets = settings.classes.iter().map(|c| c.deadline).collect();
        let balancer = Balancer::new(settings, seed, S);
        let mut rig = TestRig { balancer, now: S, next_id: 1, budgets };
        let entries: Vec<_> = (0..).zip(upstream_zones).map(|(i, z)| entry(i, *z)).collect();
        rig.list(ListKind::StaleCopy, &entries);
        rig
    }

    pub fn event(&mut self, event: Event<'_>) -> Vec<Action> {
        let mut out = Vec::new();
        self.balancer.handle(self.now, event, &mut out);
        out
    }

    pub fn list(&mut self, kind: ListKind, entries: &[Entry]) -> Vec<Action> {
        self.event(Event::List { kind, entries })
    }

    /// Submits a new request of a class; its id and the resulting actions.
    pub fn submit(&mut self, class: u32) -> (u64, Vec<Action>) {
        let id = self.next_id;
        self.next_id += 1;
        let budget = self.budgets[class as usize];
        (id, self.event(Event::Request(NewRequest { budget, ..request(id, class) })))
    }

    /// Submits a new request that must be sent; its id and the upstream.
    pub fn send(&mut self, class: u32) -> (u64, u32) {
        let (id, out) = self.submit(class);
        (id, first_send(&out).unwrap_or_else(|| panic!("request {id} was not sent: {out:?}")))
    }

    pub fn end(&mut self, id: u64, attempt: u32, outcome: Outcome, elapsed: Micros) -> Vec<Action> {
        let request_over = outcome == Outcome::Served;
        let request = RequestId(id);
        self.event(Event::AttemptEnded(Ended { request, attempt, outcome, elapsed, request_over }))
    }

    /// Submits and serves one request; the upstream that it was sent to.
    pub fn serve(&mut self, class: u32) -> u32 {
        let (id, to) = self.send(class);
        self.now += 20 * MS;
        self.end(id, 0, Outcome::Served, 20 * MS);
        to
    }

    /// The client disconnects and the attempt is cancelled.
    pub fn disconnect(&mut self, id: u64) {
        self.event(Event::RequestGone { request: RequestId(id) });
        self.end(id, 0, Outcome::Cancelled, MS);
    }

    /// Submits requests until one is sent to `to`, serving the others; its id.
    pub fn until_sent_to(&mut self, class: u32, to: u32) -> u64 {
        for _ in 0..200 {
            let (id, at) = self.send(class);
            if at == to {
                return id;
            }
            self.now += MS;
            self.end(id, 0, Outcome::Served, MS);
        }
        panic!("nothing went to {to}");
    }

    /// Submits and serves `n` requests; the upstreams that they were sent to.
    pub fn serve_many(&mut self, class: u32, n: usize) -> Vec<u32> {
        (0..n).map(|_| self.serve(class)).collect()
    }
}

pub fn first_send(out: &[Action]) -> Option<u32> {
    out.iter().find_map(|a| match a {
        Action::Send { upstream, .. } => Some(upstream.0),
        _ => None,
    })
}

pub fn refused(out: &[Action]) -> bool {
    out.iter().any(|a| matches!(a, Action::Refuse { .. }))
}

pub fn failed(out: &[Action]) -> bool {
    out.iter().any(|a| matches!(a, Action::Fail { .. }))
}
