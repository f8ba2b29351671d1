//! An entry that changes faster than the links between sidecars can carry it.
mod simulation;

use simulation::thin_links::{longest_lag, MAX_LAG, SEND_BUFFER_BYTES};

/// Regression: each version waited behind all earlier ones on each level of the tree.
#[test]
fn no_node_falls_behind_while_changes_come_faster_than_links_carry_the_entry() {
    for seed in 1..=3 {
        let lag = longest_lag(seed, 0, None);
        assert!(lag.is_some_and(|lag| lag <= MAX_LAG), "seed {seed}: a node lacked a change for {lag:?}");
    }
}

/// Regression: data accepted by the operating system counted as received, so several superseded versions
/// waited in its buffer on each level of the tree.
#[test]
fn no_node_falls_behind_while_the_system_buffers_several_versions_of_the_entry() {
    for seed in 1..=3 {
        let lag = longest_lag(seed, SEND_BUFFER_BYTES, None);
        assert!(lag.is_some_and(|lag| lag <= MAX_LAG), "seed {seed}: a node lacked a change for {lag:?}");
    }
}
