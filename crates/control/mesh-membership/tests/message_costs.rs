//! Messages and bytes of a mesh at rest and for one update. Run by hand:
//! `cargo test --release -p silvercross-mesh-membership -- --ignored --nocapture message_costs`
mod simulation;
use simulation::{secs, sidecar, World};

#[test]
#[ignore = "prints figures; by hand, in release"]
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
        let rest = world.traffic;
        let a_second = |now: u64, before: u64| (now - before) as f64 / 10.0;
        let messages = a_second(rest.messages + rest.datagrams, before.messages + before.datagrams);
        world.update_body(sidecar(0), 1);
        let took = world.until_agreed(secs(1)).expect("agreed");
        println!(
            "{:>5}  {:>11.2}  {:>12.0}  {:>15.0}  {:>16.0} | {:>12}  {:>8}  {:>4}",
            nodes,
            messages / nodes as f64,
            a_second(rest.bytes, before.bytes) / nodes as f64,
            a_second(rest.crossing, before.crossing),
            a_second(rest.crossing_bytes, before.crossing_bytes),
            world.traffic.updates - rest.updates,
            world.traffic.updates_crossing - rest.updates_crossing,
            took.as_micros() as f64 / 1e3,
        );
    }
}
