//! Prints the cost of the shared quota: messages, exchanges, bytes, time. `cargo run --release --example cost`.

use silvercross_control_store::State;
use silvercross_quota::*;
use silvercross_time::{Duration, Instant};
use std::time::Instant as StdInstant;

const SECOND: Duration = Duration::from_secs(1);

fn allowance(name: &str, amount: u64) -> Allowance {
    let quota =
        Some(KindQuota { amount, unit: Unit::Request, when_exhausted: WhenExhausted::Reject, strict: false });
    Allowance {
        name: name.to_string(),
        version: 1,
        window_length: SECOND * 604_800,
        order_header: Some("x-order".to_string()),
        when_unreachable: WhenUnreachable::ServeFromLeases,
        quotas: [quota; 3],
    }
}

/// Simulates one member's reads spread over `nodes`, `rate` a second in total. Returns exchanges a second, the share
/// of requests that waited, and the numbers of accepted and rejected requests.
fn exchanges(nodes: u32, rate: u64, amount: u64, seconds: u64) -> (f64, f64, u64, u64) {
    let mut state = QuotaState::default();
    let _ = state.apply(&Change::SetAllowance(allowance("m", amount)));
    let mut nodes: Vec<QuotaLeases> =
        (0..nodes).map(|n| QuotaLeases::new(Instant::ZERO, n, 1, QuotaConfig::default())).collect();
    nodes.iter_mut().for_each(|node_leases| {
        node_leases.set_allowance(&allowance("m", amount));
    });
    let (mut calls, mut waited, mut accepted, mut rejected) = (0u64, 0u64, 0u64, 0u64);
    let mut id = 0u64;
    for slot in 0..seconds * 10 {
        let now = Instant::ZERO + SECOND * slot as i64 / 10;
        for at in 0..(rate / 10).max(1) {
            if rate < 10 && slot % (10 / rate) != 0 {
                break;
            }
            id += 1;
            let _ = at;
            let node = (id.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 33) as usize % nodes.len();
            let request = Request { id, member: "m", kind: RequestKind::Read, order: None, body_bytes: 0 };
            let mut decisions = vec![nodes[node].decide(now, request)];
            if decisions[0] == Decision::AwaitOwner {
                waited += 1;
            }
            loop {
                let pending = nodes[node].take_calls();
                if pending.is_empty() {
                    break;
                }
                for call in pending {
                    calls += 1;
                    let outcome = state.apply(&call.change);
                    let answer = state.answer(&call.change, &outcome);
                    let late = nodes[node].handle_answer(now, call.number, &answer);
                    decisions.extend(late.into_iter().map(|late| late.decision));
                }
            }
            for decision in decisions {
                match decision {
                    Decision::Accepted { attempt, .. } => {
                        accepted += 1;
                        nodes[node].finish(now, attempt, RequestOutcome::Ran);
                    }
                    Decision::Rejected { .. } => rejected += 1,
                    _ => {}
                }
            }
        }
        if slot % 2 == 0 {
            for leases in &mut nodes {
                leases.tick(now);
                for call in leases.take_calls() {
                    calls += 1;
                    let outcome = state.apply(&call.change);
                    leases.handle_answer(now, call.number, &state.answer(&call.change, &outcome));
                }
            }
        }
    }
    (calls as f64 / seconds as f64, waited as f64 / id as f64, accepted, rejected)
}

fn main() {
    println!(
        "nodes, requests a second of one member, allowance: exchanges a second (two messages each), waited"
    );
    for nodes in [12, 100, 1_000] {
        for (rate, amount) in [(1, 1_000_000), (100, 1_000_000), (1_000, 1_000_000), (100, 5_000)] {
            let (calls, waited, accepted, rejected) = exchanges(nodes, rate, amount, 60);
            println!(
                "{nodes:5} nodes, {rate:5}/s of {amount:8}: {calls:8.1} exchanges/s, {:5.1}% waited, {accepted} accepted, {rejected} rejected",
                waited * 100.0
            );
        }
    }
    for orders in [0u64, 100, 1_000, 16_000] {
        let mut state = QuotaState::default();
        let _ = state.apply(&Change::SetAllowance(allowance("workshop-7", 1_000_000)));
        for n in 0..orders {
            let order = OrderId::of(&n.to_le_bytes());
            let attempt = OperationId { node: (n % 12) as u32, incarnation: 1, number: n };
            let _ = state.apply(&Change::ChargeOrder {
                order,
                attempt,
                kind: RequestKind::Confirmation,
                units: 1,
            });
        }
        for node in 0..12u64 {
            let lease = OperationId { node: node as u32, incarnation: 1, number: 20_000 };
            let _ =
                state.apply(&Change::GrantLease { lease, kind: RequestKind::Read, wanted: 64, minimum: 0 });
        }
        let bytes = bitcode::encode(&state).len();
        println!("a member with {orders} orders and 12 leases: {bytes} bytes on disk");
    }
    let (mut leases, mut state) =
        (QuotaLeases::new(Instant::ZERO, 1, 1, QuotaConfig::default()), QuotaState::default());
    let member_count = 100_000;
    let before = resident_bytes();
    for n in 0..member_count {
        leases.set_allowance(&allowance(&format!("member-{n}"), 1_000_000));
    }
    println!(
        "{member_count} members set at a node: {} bytes each in memory",
        (resident_bytes() - before) / member_count
    );
    let started = StdInstant::now();
    for _ in 0..100 {
        leases.tick(Instant::ZERO);
    }
    println!("a tick with {member_count} idle members: {:?}", started.elapsed() / 100);
    let _ = state.apply(&Change::SetAllowance(allowance("member-7", 1_000_000_000)));
    let (mut accepted_total, rounds) = (0u64, 1_000_000u64);
    let started = StdInstant::now();
    for id in 0..rounds {
        let now = Instant::from_micros(id as i64 * 10);
        let request = Request { id, member: "member-7", kind: RequestKind::Read, order: None, body_bytes: 0 };
        let mut decisions = vec![leases.decide(now, request)];
        for call in leases.take_calls() {
            let outcome = state.apply(&call.change);
            let answer = state.answer(&call.change, &outcome);
            let late = leases.handle_answer(now, call.number, &answer);
            decisions.extend(late.into_iter().map(|late| late.decision));
        }
        for decision in decisions {
            if let Decision::Accepted { attempt, .. } = decision {
                accepted_total += 1;
                leases.finish(now, attempt, RequestOutcome::Ran);
            }
        }
    }
    println!(
        "{rounds} requests far from exhaustion, {accepted_total} accepted: {:?} each, including the owner's work",
        started.elapsed() / rounds as u32
    );
    let without_allowance = QuotaLeases::new(Instant::ZERO, 1, 1, QuotaConfig::default());
    let mut without_allowance = without_allowance;
    let started = StdInstant::now();
    for id in 0..rounds {
        let request = Request { id, member: "member-7", kind: RequestKind::Read, order: None, body_bytes: 0 };
        std::hint::black_box(without_allowance.decide(Instant::ZERO, request));
    }
    println!("where no allowance is set: {:?} a request", started.elapsed() / rounds as u32);
}

/// Resident memory of this process in bytes; 0 where the system does not report it.
fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    text.split_whitespace().nth(1).and_then(|pages| pages.parse::<u64>().ok()).unwrap_or(0) * 4096
}
