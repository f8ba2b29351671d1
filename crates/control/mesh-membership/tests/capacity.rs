//! What one node of a large mesh costs, from the deciding code in simulated time, many nodes in one process. Run by hand:
//! `NODES=100,300,1000 cargo test --release -p silvercross-mesh-membership --test capacity -- --ignored --nocapture`
mod common;

use common::{control_node, sidecar, World, MS, S};
use std::time::Instant;

/// Where a run names no sizes.
const SIZES: &str = "30,100,300,1000";
/// Of one page of the configuration, for its time through the tree.
const PAGE: usize = 100;

/// Resident memory of this process, in bytes.
fn resident() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let entries: u64 = statm.split(' ').nth(1).and_then(|entries| entries.parse().ok()).unwrap_or(0);
    entries * 4096
}

struct Row {
    nodes: usize,
    messages: f64,
    bytes: f64,
    core_links: usize,
    memory: f64,
    processor: f64,
    page_ms: f64,
    join_bytes: u64,
    zone_ms: f64,
}

fn measure(nodes: usize) -> Row {
    let empty = resident();
    let mut world = World::new(nodes - 3, 1, 2 * S);
    world.run(20 * S);
    assert_eq!(world.disagreement(), None);
    let memory = resident().saturating_sub(empty) as f64 / nodes as f64;
    let before = world.traffic;
    let began = Instant::now();
    world.run(10 * S);
    let processor = began.elapsed().as_secs_f64() / 10.0 / nodes as f64;
    let rest = world.traffic;
    let sent = (rest.messages + rest.datagrams) - (before.messages + before.datagrams);
    world.publish(control_node(0), "k", (0, 1, 0));
    let page = world.until_page("k", (0, 1, 0), 10 * S).expect("everywhere");
    let core_links = world.children(control_node(0)).len();
    // One node joins: what its snapshot takes, beside what flows anyhow in that time.
    let joining = sidecar(0);
    world.kill(joining, false);
    world.run(5 * S);
    let at = world.traffic;
    world.start(joining, 2);
    world.run(S);
    let usual = (rest.bytes - before.bytes) / 10;
    let join_bytes = (world.traffic.bytes - at.bytes).saturating_sub(usual);
    // A zone without power, until the rest agrees on who is there.
    let lost: Vec<_> =
        world.machines.iter().filter(|(_, machine)| machine.zone == 2).map(|(node, _)| *node).collect();
    for node in lost {
        world.kill(node, true);
    }
    let mut zone = 0;
    while world.disagreement().is_some() && zone < 120 * S {
        world.run(250 * MS);
        zone += 250 * MS;
    }
    Row {
        nodes,
        messages: sent as f64 / 10.0 / nodes as f64,
        bytes: (rest.bytes - before.bytes) as f64 / 10.0 / nodes as f64,
        core_links,
        memory,
        processor,
        page_ms: page as f64 / 1e3,
        join_bytes,
        zone_ms: zone as f64 / 1e3,
    }
}

#[test]
#[ignore = "minutes; by hand, in release"]
fn cost_of_a_node_by_the_size_of_the_mesh() {
    let sizes = std::env::var("NODES").unwrap_or_else(|_| SIZES.to_string());
    println!("a page of {PAGE} bytes; processor time: of the deciding code, delivery in the model included");
    println!("nodes | msgs/s, bytes/s a node | children of a core node | memory a node, KB | processor a node, us/s | page everywhere, ms | bytes a join | zone lost, agreed after ms");
    for size in sizes.split(',') {
        let row = measure(size.trim().parse().expect("a number of nodes"));
        println!(
            "{:>5} | {:>6.2} {:>6.0} | {:>3} | {:>7.0} | {:>6.1} | {:>5.1} | {:>8} | {:>6.0}",
            row.nodes,
            row.messages,
            row.bytes,
            row.core_links,
            row.memory / 1024.0,
            row.processor * 1e6,
            row.page_ms,
            row.join_bytes,
            row.zone_ms,
        );
    }
}
