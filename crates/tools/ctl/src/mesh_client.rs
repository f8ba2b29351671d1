//! All nodes of a mesh, asked at once: what each knows of itself and of the others; and operators' calls, sent until settled.
use crate::error::Error;
use crate::http_client::{call, Request, Response};
use crate::wire::{NodeMetrics, NodeRecord, NodeState, METRICS_PATH, STATE_PATH};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};
use std::time::{Duration, Instant};

/// A node answers within this.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_millis(2500);
/// Nodes asked at a time.
const MAX_CONCURRENT_CALLS: usize = 32;
/// A call that was not settled is sent again for so long.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(20);
/// The pause before the first further attempt; it doubles up to [`MAX_BACKOFF`].
const MIN_BACKOFF: Duration = Duration::from_millis(50);
/// The longest pause between two attempts.
const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// From then on the operator is shown why a call is not settled.
const QUIET_SPAN: Duration = Duration::from_secs(2);

/// How a mesh is reached.
#[derive(Clone, Debug)]
pub(crate) struct MeshClient {
    /// Control addresses given by the operator; at least one.
    pub(crate) addresses: Vec<SocketAddr>,
}

/// Why there is no state of a node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Absence {
    /// Other nodes found it gone.
    Gone,
    /// It does not answer, or it has no control address.
    #[default]
    Silent,
}

/// What one node answered.
#[derive(Clone, Debug, Default)]
pub(crate) struct NodeAnswer {
    /// Its control address, where one is known.
    pub(crate) control_address: Option<SocketAddr>,
    /// Its state, where it answered.
    pub(crate) state: Option<NodeState>,
    /// Its metrics, where it answered.
    pub(crate) metrics: Option<NodeMetrics>,
    /// What it means that there is no state.
    pub(crate) absence: Absence,
    /// Why it did not answer; empty where it did.
    pub(crate) reason: String,
}

/// The state of one node, and where it was asked.
#[derive(Clone, Debug)]
pub(crate) struct AddressedState {
    /// Its control address.
    pub(crate) node: SocketAddr,
    /// Its state.
    pub(crate) state: NodeState,
}

/// What all nodes answered, by their addresses.
pub(crate) type MeshView = BTreeMap<IpAddr, NodeAnswer>;

/// The newest record of each node, by its address, among those of all nodes that answered.
pub(crate) fn newest_records(view: &MeshView) -> BTreeMap<String, NodeRecord<'_>> {
    let mut newest: BTreeMap<String, NodeRecord<'_>> = BTreeMap::new();
    for record in view.values().filter_map(|answer| answer.state.as_ref()).flat_map(NodeState::records) {
        let address = record.address();
        if newest.get(address).is_none_or(|known| known.order() < record.order()) {
            newest.insert(address.to_string(), record);
        }
    }
    newest
}

/// The reason in an answer's body; the body itself where it names none.
pub(crate) fn reason(body: &str) -> String {
    let value: Value = serde_json::from_str(body).unwrap_or(Value::Null);
    value["error"].as_str().unwrap_or(body).to_string()
}

fn get_json(node: SocketAddr, path: &str) -> Result<Value, Error> {
    let response = call(node, Request { method: "GET", path, body: b"" }, CALL_TIMEOUT)?;
    if response.status != 200 {
        let (called, reason) = (format!("{node}{path}"), reason(&response.body));
        return Err(Error::Status { called, status: response.status, reason });
    }
    serde_json::from_str(&response.body).map_err(Error::not_json(node, path))
}

fn get_state(node: SocketAddr) -> Result<NodeState, Error> {
    get_json(node, STATE_PATH).map(NodeState::new)
}

fn ask(node: SocketAddr) -> NodeAnswer {
    let control_address = Some(node);
    match get_state(node) {
        Ok(state) => {
            let metrics = get_json(node, METRICS_PATH).ok().map(NodeMetrics::new);
            NodeAnswer { control_address, state: Some(state), metrics, ..NodeAnswer::default() }
        }
        Err(error) => NodeAnswer { control_address, reason: error.to_string(), ..NodeAnswer::default() },
    }
}

fn ask_all(nodes: &[SocketAddr]) -> Vec<NodeAnswer> {
    let mut answers = Vec::with_capacity(nodes.len());
    for group in nodes.chunks(MAX_CONCURRENT_CALLS) {
        std::thread::scope(|scope| {
            let threads: Vec<_> =
                group.iter().copied().map(|node| (node, scope.spawn(move || ask(node)))).collect();
            for (node, thread) in threads {
                answers.push(thread.join().unwrap_or_else(|_| NodeAnswer {
                    control_address: Some(node),
                    reason: "the call broke off".to_string(),
                    ..NodeAnswer::default()
                }));
            }
        });
    }
    answers
}

/// What is known of a node that can't be asked.
fn absent(record: NodeRecord<'_>) -> NodeAnswer {
    let (absence, reason) =
        if record.is_gone() { (Absence::Gone, "gone") } else { (Absence::Silent, "has no control address") };
    NodeAnswer { absence, reason: reason.to_string(), ..NodeAnswer::default() }
}

/// Whether a status is the last word on an operator's call: taken, or rejected for what it says.
fn is_settled(status: u16) -> bool {
    matches!(status, 200..=299 | 400 | 404 | 405 | 409 | 413)
}

impl MeshClient {
    /// The state of the first node that answers.
    ///
    /// # Errors
    /// [`Error::NoAnswer`] when none of the addresses given answers.
    pub(crate) fn first_state(&self) -> Result<AddressedState, Error> {
        let mut last = None;
        for node in &self.addresses {
            match get_state(*node) {
                Ok(state) => return Ok(AddressedState { node: *node, state }),
                Err(error) => last = Some(Box::new(error)),
            }
        }
        Err(Error::NoAnswer { last })
    }

    /// Ask every node that any of those asked knows of.
    ///
    /// # Errors
    /// [`Error::NoAnswer`] when none of the addresses given answers.
    pub(crate) fn view(&self) -> Result<MeshView, Error> {
        self.first_state()?;
        let mut view = MeshView::new();
        let mut asked: BTreeSet<SocketAddr> = BTreeSet::new();
        let mut next = self.addresses.clone();
        while !next.is_empty() {
            asked.extend(next.iter().copied());
            let mut found: BTreeSet<SocketAddr> = BTreeSet::new();
            for answer in ask_all(&next) {
                let Some(node) = answer.control_address else { continue };
                for record in answer.state.iter().flat_map(NodeState::records) {
                    let Ok(address) = record.address().parse::<IpAddr>() else { continue };
                    match record.control_address().parse::<SocketAddr>() {
                        Ok(control) if !record.is_gone() => {
                            found.insert(control);
                        }
                        _ => {
                            view.entry(address).or_insert_with(|| absent(record));
                        }
                    }
                }
                let own = answer.state.as_ref().and_then(|state| state.address().parse().ok());
                view.insert(own.unwrap_or(node.ip()), answer);
            }
            next = found.into_iter().filter(|node| !asked.contains(node)).collect();
        }
        Ok(view)
    }

    /// Addresses to which an operator's call may go: those given first, then the control nodes'.
    fn call_addresses(&self) -> Vec<SocketAddr> {
        let mut addresses = self.addresses.clone();
        if let Ok(AddressedState { state, .. }) = self.first_state() {
            let control = state.records().filter(|record| record.is_control() && !record.is_gone());
            addresses.extend(control.filter_map(|r| r.control_address().parse::<SocketAddr>().ok()));
        }
        let mut seen = BTreeSet::new();
        addresses.retain(|address| seen.insert(*address));
        addresses
    }

    /// An operator's call, sent again to any node until it is settled: the answer has status 200, or one that rejects it.
    ///
    /// # Errors
    /// [`Error::NotSettled`] when it is not within 20 s; it may or may not be in force then.
    pub(crate) fn call_until_settled(&self, request: Request<'_>) -> Result<Response, Error> {
        let (began, addresses) = (Instant::now(), self.call_addresses());
        let (mut attempt, mut backoff, mut last) = (0, MIN_BACKOFF, String::new());
        while began.elapsed() < SETTLE_TIMEOUT {
            match call(addresses[attempt % addresses.len()], request, CALL_TIMEOUT) {
                Ok(response) if is_settled(response.status) => return Ok(response),
                Ok(response) => last = format!("{} {}", response.status, reason(&response.body)),
                Err(error) => last = error.to_string(),
            }
            attempt += 1;
            if began.elapsed() > QUIET_SPAN {
                eprintln!("not settled yet ({:.0} s): {last}", began.elapsed().as_secs_f64());
            }
            std::thread::sleep(backoff);
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
        Err(Error::NotSettled { waited: SETTLE_TIMEOUT, last })
    }
}
