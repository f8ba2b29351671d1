//! Point 4: who was away for long.

use super::*;

/// How a node is behind.
#[derive(Clone, Copy, Debug)]
pub enum Behind {
    Restarted,
    Wiped,
    Cut,
    SidecarRestarted,
}

/// So many changes without a node, which then is there again: how long until it has all of them.
pub fn catch_up(behind: Behind, changes: u64) -> Result<Duration, CaseError> {
    let mut world = quiet(0, 2, None)?;
    let owner = owner(&world)?;
    let entry = others(&world, owner)[0];
    let late = match behind {
        Behind::SidecarRestarted => world.control_node_count(),
        _ => others(&world, owner)[1],
    };
    let all: Vec<usize> = (0..world.nodes.len()).filter(|node| *node != late).collect();
    let directions = match behind {
        Behind::Cut => world.cut_between(&[late], &all, true),
        _ => Vec::new(),
    };
    if directions.is_empty() {
        world.crash(late, matches!(behind, Behind::Wiped));
    }
    for change in 0..changes {
        let node = if change % 2 == 0 { owner } else { entry };
        put(&mut world, node, 1 + (change % 200) as u8, 2 + change)?;
    }
    reached(version_at(&world, late, 1) <= 1, "it has none of them")?;
    if matches!(behind, Behind::Wiped) {
        world.nodes[late].storage.wipe();
    }
    world.start(late);
    heal(&mut world, &directions);
    let began = world.now;
    let name = 1 + ((changes - 1) % 200) as u8;
    while version_at(&world, late, name) < changes + 1 && world.now < began + SECOND * 20 {
        if world.nodes[late].is_control && !matches!(behind, Behind::Cut) {
            // What it hands out until then is checked too.
            world.read(late, KEY);
        }
        world.run(millis(10));
    }
    let took = world.now - began;
    reached(version_at(&world, late, name) == changes + 1, "it has caught up")?;
    world.start(late);
    end(world)?;
    Ok(took)
}
