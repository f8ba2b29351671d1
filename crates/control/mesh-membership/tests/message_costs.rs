//! Messages and bytes of a mesh at rest and for one update. Run manually:
//! `cargo test --release -p silvercross-mesh-membership -- --ignored --nocapture message_costs`
mod simulation;
use simulation::{secs, sidecar, World};

#[test]
#[ignore = "prints measurements; run manually in release mode"]
fn message_costs() {
    println!(
        "nodes  msgs/node/s  bytes/node/s  crossing msgs/s  crossing bytes/s | updates sent  crossing  ms"
    );
    for nodes in [12, 15, 60, 100, 300, 1_000] {
        let mut world = World::new(nodes - 3, 1, secs(2));
        world.run(secs(20));
        assert_eq!(world.disagreement(), None);
        let before = world.traffic;
        world.run(secs(10));
        let at_rest = world.traffic;
        let per_second = |now: u64, before: u64| (now - before) as f64 / 10.0;
        let messages = per_second(at_rest.messages + at_rest.datagrams, before.messages + before.datagrams);
        world.update_body(sidecar(0), 1);
        let took = world.run_until_agreed(secs(1)).expect("agreed");
        println!(
            "{:>5}  {:>11.2}  {:>12.0}  {:>15.0}  {:>16.0} | {:>12}  {:>8}  {:>4}",
            nodes,
            messages / nodes as f64,
            per_second(at_rest.bytes, before.bytes) / nodes as f64,
            per_second(at_rest.cross_zone_messages, before.cross_zone_messages),
            per_second(at_rest.cross_zone_bytes, before.cross_zone_bytes),
            world.traffic.updates - at_rest.updates,
            world.traffic.cross_zone_updates - at_rest.cross_zone_updates,
            took.as_micros() as f64 / 1e3,
        );
    }
}
