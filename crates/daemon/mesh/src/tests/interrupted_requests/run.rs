//! Runs one case in a runtime of its own.
use super::case::{Case, Fault, Link, Traffic};
use super::checker;
use super::client::converse;
use super::relay::{Plan, Relay};
use super::upstream::{start_upstream, RunLog, INTERRUPTED_ID};
use crate::tests::support::{start_sidecar_at, Sidecar, SidecarOptions};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::rc::Rc;

/// The result of a case.
pub(crate) struct Observed {
    /// Descriptions of the violated rules.
    pub(crate) violations: Vec<String>,
    /// Bytes of the interrupted request and its response, by link and direction.
    pub(crate) carried: BTreeMap<Traffic, Vec<u8>>,
    /// The status of the response to the interrupted request.
    pub(crate) status: String,
}

/// A sidecar and the relay in front of its upstream.
struct Gate {
    sidecar: Sidecar,
    upstream: Relay,
}

/// The address of a node of case `number`; each case has its own, so that ephemeral ports are not exhausted.
fn ip(number: usize, last_octet: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, 1 + (number / 250 % 250) as u8, (number % 250) as u8, last_octet)
}

async fn start_gate(ip: Ipv4Addr, case: Case, log: &RunLog, plan: &Rc<Plan>) -> Gate {
    let address = start_upstream(ip, case.upstream, log.clone()).await;
    let upstream = Relay::start(ip, address, Link::Upstream, plan).await;
    let sidecar = start_sidecar_at(ip, upstream.address, SidecarOptions::default()).await.sidecar;
    sidecar.send_heartbeat();
    Gate { sidecar, upstream }
}

/// The origin of a case: its first gate, or a sidecar that knows of two gates behind relays.
async fn start_origin(case: Case, number: usize, log: &RunLog, plan: &Rc<Plan>) -> Sidecar {
    let first = start_gate(ip(number, 2), case, log, plan).await;
    if case.is_local {
        return first.sidecar;
    }
    let origin =
        start_sidecar_at(ip(number, 1), first.upstream.address, SidecarOptions::default()).await.sidecar;
    put_behind_relay(&origin, first.sidecar, case, plan).await;
    let second = start_gate(ip(number, 3), case, log, plan).await;
    put_behind_relay(&origin, second.sidecar, case, plan).await;
    origin
}

async fn put_behind_relay(origin: &Sidecar, gate: Sidecar, case: Case, plan: &Rc<Plan>) {
    let relay = Relay::start(gate.ip, gate.inbound, Link::Sidecars, plan).await;
    if case.interruption.is_some_and(|interruption| interruption.fault == Fault::Restart) {
        let upstream = gate.node_state.settings.upstream_address.expect("configured upstream");
        let next = start_sidecar_at(gate.ip, upstream, SidecarOptions::default()).await.sidecar;
        next.send_heartbeat();
        relay.next.set(Some(next.inbound));
    }
    origin.learn_sidecar(&gate.reached_at(relay.address));
}

/// Runs one case.
pub(crate) fn run_case(case: Case, number: usize) -> Observed {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .expect("runtime is built");
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, async {
        let plan = Rc::new(Plan::new(case.interruption));
        let log = RunLog::default();
        let origin = start_origin(case, number, &log, &plan).await;
        let conversation = converse(case, &origin, &plan).await;
        let violations = checker::violations(case, &conversation, &log.borrow());
        let response = conversation.responses.get(INTERRUPTED_ID).and_then(Option::as_ref);
        let status = response.map_or("none".to_string(), |response| response.status.clone());
        let status = match plan.is_interrupted.get() {
            true => status,
            false => format!("{status}, not interrupted"),
        };
        let carried = plan.carried.borrow().clone();
        Observed { violations, carried, status }
    })
}
