//! Cost of one node in a large mesh, from the membership code in simulated time with many nodes in one
//! process. Run manually:
//! `NODES=100,300,1000 cargo test --release -p silvercross-mesh-membership --test capacity -- --ignored --nocapture`
mod simulation;

use silvercross_mesh_membership::Revision;
use silvercross_time::Duration;
use simulation::{control_node, ms, secs, sidecar, World};
use std::time::Instant;

/// Mesh sizes used if `NODES` is not set.
const SIZES: &str = "30,100,300,1000";
/// Size of the control entry whose propagation time is measured.
const ENTRY_BYTES: usize = 100;

/// Resident memory of this process, in bytes.
fn resident_bytes() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let entries: u64 = statm.split(' ').nth(1).and_then(|entries| entries.parse().ok()).unwrap_or(0);
    entries * 4096
}

struct Row {
    nodes: usize,
    messages: f64,
    bytes: f64,
    control_node_children: usize,
    memory: f64,
    cpu: f64,
    entry_ms: f64,
    join_bytes: u64,
    zone_ms: f64,
}

fn measure(nodes: usize) -> Row {
    let baseline = resident_bytes();
    let mut world = World::new(nodes - 3, 1, secs(2));
    world.run(secs(20));
    assert_eq!(world.disagreement(), None);
    let memory = resident_bytes().saturating_sub(baseline) as f64 / nodes as f64;
    let before = world.traffic;
    let began = Instant::now();
    world.run(secs(10));
    let cpu = began.elapsed().as_secs_f64() / 10.0 / nodes as f64;
    let at_rest = world.traffic;
    let sent = (at_rest.messages + at_rest.datagrams) - (before.messages + before.datagrams);
    let revision = Revision::new(0, 1, 0);
    world.publish(control_node(0), "k", revision);
    let entry = world.run_until_entry("k", revision, secs(10)).expect("everywhere");
    let control_node_children = world.children(control_node(0)).len();
    // One node joins: bytes of its snapshot, without the usual traffic in that time.
    let joining = sidecar(0);
    world.kill(joining);
    world.run(secs(5));
    let at = world.traffic;
    world.start(joining, 2);
    world.run(secs(1));
    let background_bytes = (at_rest.bytes - before.bytes) / 10;
    let join_bytes = (world.traffic.bytes - at.bytes).saturating_sub(background_bytes);
    // A zone loses power: time until the remaining nodes agree on who is up.
    world.nodes_of_zone(2).into_iter().for_each(|node| world.power_off(node));
    let mut zone_lost = Duration::ZERO;
    while world.disagreement().is_some() && zone_lost < secs(120) {
        world.run(ms(250));
        zone_lost += ms(250);
    }
    Row {
        nodes,
        messages: sent as f64 / 10.0 / nodes as f64,
        bytes: (at_rest.bytes - before.bytes) as f64 / 10.0 / nodes as f64,
        control_node_children,
        memory,
        cpu,
        entry_ms: entry.as_micros() as f64 / 1e3,
        join_bytes,
        zone_ms: zone_lost.as_micros() as f64 / 1e3,
    }
}

#[test]
#[ignore = "takes minutes; run manually in release mode"]
fn cost_of_a_node_by_the_size_of_the_mesh() {
    let sizes = std::env::var("NODES").unwrap_or_else(|_| SIZES.to_string());
    println!("a control entry of {ENTRY_BYTES} bytes; processor time includes the simulated delivery");
    println!("nodes | msgs/s, bytes/s a node | children of a control node | memory a node, KB | processor a node, us/s | entry everywhere, ms | bytes a join | zone lost, agreed after ms");
    for size in sizes.split(',') {
        let row = measure(size.trim().parse().expect("a number of nodes"));
        println!(
            "{:>5} | {:>6.2} {:>6.0} | {:>3} | {:>7.0} | {:>6.1} | {:>5.1} | {:>8} | {:>6.0}",
            row.nodes,
            row.messages,
            row.bytes,
            row.control_node_children,
            row.memory / 1024.0,
            row.cpu * 1e6,
            row.entry_ms,
            row.join_bytes,
            row.zone_ms,
        );
    }
}
