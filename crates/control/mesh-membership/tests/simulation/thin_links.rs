//! One entry that changes faster than the links between sidecars can carry it.
use super::{control_node, ms, secs, World};
use silvercross_mesh_membership::{Mutation, Revision};
use silvercross_time::{Duration, Instant};

const KEY: &str = "k";
const SIDECARS: usize = 60;
/// Size of the entry. Sizes and rates are a quarter of those seen in production.
const ENTRY_BYTES: usize = 16_500;
/// Rate of one connection: a quarter of a machine's link, since a relay has four children.
const CONNECTION_BYTES_PER_SECOND: u64 = 56_000;
/// Interval between changes; a relay takes twice as long to send one entry to its children.
const CHANGE_INTERVAL: Duration = ms(150);
/// Operating system's send buffer of a connection: eight entries.
pub const SEND_BUFFER_BYTES: u64 = 128 * 1024;
/// Maximum time that a node may lack a change: the entry in flight on each of three levels, followed by the
/// newest one.
pub const MAX_LAG: Duration = secs(2);

fn revision(change: usize) -> Revision {
    Revision::new(1, 0, change as u64)
}

/// Publication times of the changes of one entry.
struct Changes {
    published_at: Vec<Instant>,
}

impl Changes {
    fn publish(&mut self, world: &mut World) {
        self.published_at.push(world.now);
        world.publish_sized(control_node(0), KEY, revision(self.published_at.len()), ENTRY_BYTES);
    }

    /// The longest time that any node has lacked a change.
    fn lag(&self, world: &World) -> Duration {
        let lacks_since = |node| {
            let entry = world.membership(node).control_entry(KEY);
            let has = entry.map_or(0, |entry| entry.revision.sequence as usize);
            self.published_at.get(has).map_or(Duration::ZERO, |at| world.now - *at)
        };
        world.running().into_iter().map(lacks_since).max().unwrap_or(Duration::ZERO)
    }
}

/// The longest time that any node lacks a change while changes are published; `None` if some node doesn't
/// get the newest one in time.
pub fn longest_lag(seed: u64, send_buffer_bytes: u64, mutation: Option<Mutation>) -> Option<Duration> {
    let mut world = World::settled(SIDECARS, seed);
    world.mutate_all(mutation);
    world.link_bytes_per_second = Some(CONNECTION_BYTES_PER_SECOND);
    world.send_buffer_bytes = send_buffer_bytes;
    let mut changes = Changes { published_at: Vec::new() };
    let mut longest = Duration::ZERO;
    for _ in 0..80 {
        changes.publish(&mut world);
        world.run(CHANGE_INTERVAL);
        longest = longest.max(changes.lag(&world));
    }
    let newest = revision(changes.published_at.len());
    world.run_until_entry(KEY, newest, MAX_LAG).ok().map(|_| longest)
}
