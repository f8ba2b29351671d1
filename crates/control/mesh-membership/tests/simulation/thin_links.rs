//! Changes of one entry that come faster than the links between sidecars carry it.
use super::{control_node, ms, secs, World};
use silvercross_mesh_membership::{Mutation, Revision};
use silvercross_time::{Duration, Instant};

const KEY: &str = "k";
const SIDECARS: usize = 60;
/// A whole entry: a quarter of what was seen in service, and links in proportion.
const ENTRY_BYTES: usize = 16_500;
/// A quarter of a machine's link: a relay has four children.
const CONNECTION_BYTES_PER_SECOND: u64 = 56_000;
/// Between two changes: a relay needs twice as long to send one entry to its children.
const CHANGE_INTERVAL: Duration = ms(150);
/// What the system buffers of a connection: eight entries.
pub const SEND_BUFFER_BYTES: u64 = 128 * 1024;
/// A node lacks no change for longer: the entry that is on its way on each of three levels, and the newest one after it.
pub const MAX_LAG: Duration = secs(2);

fn revision(change: usize) -> Revision {
    Revision::new(1, 0, change as u64)
}

/// Changes of one entry, and when each was published.
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
        world.living().into_iter().map(lacks_since).max().unwrap_or(Duration::ZERO)
    }
}

/// The longest time that any node lacks a change while they come, and until all have the newest; `None` if that is not soon.
pub fn longest_lag(seed: u64, send_buffer_bytes: u64, mutation: Option<Mutation>) -> Option<Duration> {
    let mut world = World::settled(SIDECARS, seed);
    world.mutate_all(mutation);
    world.thin_link_bytes_per_second = Some(CONNECTION_BYTES_PER_SECOND);
    world.send_buffer_bytes = send_buffer_bytes;
    let mut changes = Changes { published_at: Vec::new() };
    let mut longest = Duration::ZERO;
    for _ in 0..80 {
        changes.publish(&mut world);
        world.run(CHANGE_INTERVAL);
        longest = longest.max(changes.lag(&world));
    }
    let newest = revision(changes.published_at.len());
    world.until_entry(KEY, newest, MAX_LAG).ok().map(|_| longest)
}
