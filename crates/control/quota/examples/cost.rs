//! Prints what the shared allowance costs: messages, exchanges, bytes, time. `cargo run --release --example cost`.

use silvercross_control_store::State;
use silvercross_quota::*;
use std::time::Instant;

const S: Micros = 1_000_000;

fn allowance(name: &str, amount: u64) -> Allowance {
    let share = Some(Share { amount, unit: Unit::Request, spent: Spent::Refuse, strict: false });
    Allowance {
        name: name.to_string(),
        edition: 1,
        window_us: 604_800 * S,
        order_header: Some("x-order".to_string()),
        away: Away::Serve,
        shares: [share; 3],
    }
}

/// One member's reads at all nodes, so many a second in all: exchanges a second, and the share of requests that waited.
fn exchanges(nodes: u32, rate: u64, amount: u64, seconds: u64) -> (f64, f64, u64, u64) {
    let mut count = Count::default();
    let _ = count.apply(&Change::Allow(allowance("m", amount)));
    let mut purses: Vec<Purse> = (0..nodes).map(|n| Purse::new(0, n, 1, Terms::default())).collect();
    purses.iter_mut().for_each(|p| {
        p.set(&allowance("m", amount));
    });
    let (mut calls, mut waited, mut accepted, mut refused) = (0u64, 0u64, 0u64, 0u64);
    let mut id = 0u64;
    for slot in 0..seconds * 10 {
        let now = slot as i64 * S / 10;
        for at in 0..(rate / 10).max(1) {
            if rate < 10 && slot % (10 / rate) != 0 {
                break;
            }
            id += 1;
            let _ = at;
            let node = (id.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 33) as usize % purses.len();
            let request = Request { id, member: "m", kind: Kind::Read, order: None, bytes: 0 };
            let mut charges = vec![(id, purses[node].request(now, request))];
            if charges[0].1 == Charge::AskOwner {
                waited += 1;
            }
            loop {
                let out = purses[node].calls();
                if out.is_empty() {
                    break;
                }
                for call in out {
                    calls += 1;
                    let outcome = count.apply(&call.change);
                    charges.extend(purses[node].answer(
                        now,
                        call.number,
                        &count.answer(&call.change, &outcome),
                    ));
                }
            }
            for (_, charge) in charges {
                match charge {
                    Charge::Accepted { claim, .. } => {
                        accepted += 1;
                        purses[node].done(now, claim, Outcome::Ran);
                    }
                    Charge::Refused { .. } => refused += 1,
                    _ => {}
                }
            }
        }
        if slot % 2 == 0 {
            for purse in &mut purses {
                purse.tick(now);
                for call in purse.calls() {
                    calls += 1;
                    let outcome = count.apply(&call.change);
                    purse.answer(now, call.number, &count.answer(&call.change, &outcome));
                }
            }
        }
    }
    (calls as f64 / seconds as f64, waited as f64 / id as f64, accepted, refused)
}

fn main() {
    println!(
        "nodes, requests a second of one member, allowance: exchanges a second (two messages each), waited"
    );
    for nodes in [12, 100, 1_000] {
        for (rate, amount) in [(1, 1_000_000), (100, 1_000_000), (1_000, 1_000_000), (100, 5_000)] {
            let (calls, waited, accepted, refused) = exchanges(nodes, rate, amount, 60);
            println!(
                "{nodes:5} nodes, {rate:5}/s of {amount:8}: {calls:8.1} exchanges/s, {:5.1}% waited, {accepted} accepted, {refused} refused",
                waited * 100.0
            );
        }
    }
    for orders in [0u64, 100, 1_000, 16_000] {
        let mut count = Count::default();
        let _ = count.apply(&Change::Allow(allowance("workshop-7", 1_000_000)));
        for n in 0..orders {
            let order = Order::of(&n.to_le_bytes());
            let claim = Mark { node: (n % 12) as u32, life: 1, number: n };
            let _ = count.apply(&Change::Charge { order, claim, kind: Kind::Confirmation, units: 1 });
        }
        for node in 0..12u64 {
            let part = Mark { node: node as u32, life: 1, number: 20_000 };
            let _ = count.apply(&Change::Grant { part, kind: Kind::Read, want: 64, least: 0 });
        }
        let bytes = bitcode::encode(&count).len();
        println!("a member with {orders} orders and 12 parts: {bytes} bytes on disk");
    }
    let (mut purse, mut count) = (Purse::new(0, 1, 1, Terms::default()), Count::default());
    let many = 100_000;
    let before = resident();
    for n in 0..many {
        purse.set(&allowance(&format!("member-{n}"), 1_000_000));
    }
    println!("{many} members set at a node: {} bytes each in memory", (resident() - before) / many);
    let begun = Instant::now();
    for _ in 0..100 {
        purse.tick(0);
    }
    println!("a tick with {many} idle members: {:?}", begun.elapsed() / 100);
    let _ = count.apply(&Change::Allow(allowance("member-7", 1_000_000_000)));
    let (mut taken, rounds) = (0u64, 1_000_000u64);
    let begun = Instant::now();
    for id in 0..rounds {
        let now = id as i64 * 10;
        let request = Request { id, member: "member-7", kind: Kind::Read, order: None, bytes: 0 };
        let mut charges = vec![(id, purse.request(now, request))];
        for call in purse.calls() {
            let outcome = count.apply(&call.change);
            charges.extend(purse.answer(now, call.number, &count.answer(&call.change, &outcome)));
        }
        for (_, charge) in charges {
            if let Charge::Accepted { claim, .. } = charge {
                taken += 1;
                purse.done(now, claim, Outcome::Ran);
            }
        }
    }
    println!(
        "{rounds} requests far from the end, {taken} accepted: {:?} each, the owner's share in it",
        begun.elapsed() / rounds as u32
    );
    let free = Purse::new(0, 1, 1, Terms::default());
    let mut free = free;
    let begun = Instant::now();
    for id in 0..rounds {
        let request = Request { id, member: "member-7", kind: Kind::Read, order: None, bytes: 0 };
        std::hint::black_box(free.request(0, request));
    }
    println!("where no allowance is set: {:?} a request", begun.elapsed() / rounds as u32);
}

/// Bytes of this process in memory; 0 where the system does not tell.
fn resident() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    text.split_whitespace().nth(1).and_then(|pages| pages.parse::<u64>().ok()).unwrap_or(0) * 4096
}
