//! What a mesh consists of.

/// An upstream that drains serves on for so long, in seconds.
pub const DRAIN_S: f64 = 1.0;

/// A figure of the rules, as it stands in a settings file.
#[derive(Clone, Copy, Debug)]
pub struct Bound {
    /// Its name in the settings.
    pub name: &'static str,
    /// Its value, in the unit that its name ends with.
    pub value: f64,
}

/// What a mesh consists of.
#[derive(Clone, Debug)]
pub struct MeshPlan {
    /// Machines that hold the control state.
    pub control_count: usize,
    /// Machines with an upstream.
    pub side_count: usize,
    /// Machines that may hold the control state, and don't run at the start.
    pub spare_count: usize,
    /// Whether each machine calls the others at a port of its own, so that [`crate::links::Links`] can stand in between.
    pub has_links: bool,
    /// What a connection over those links, but one between control machines, carries in each direction, in bytes a second; `None`: as
    /// much as it can.
    pub link_bytes_per_second: Option<u64>,
    /// Zones, over which both kinds are dealt out.
    pub zone_count: usize,
    /// Services, dealt out over the sides.
    pub services: Vec<String>,
    /// Between two heartbeats of an upstream, in seconds.
    pub heartbeat_s: f64,
    /// The figures of the rules.
    pub bounds: Vec<Bound>,
    /// Further words on each process's command line.
    pub arguments: Vec<&'static str>,
}

const BOUNDS: [Bound; 10] = [
    Bound { name: "seedLagS", value: 3.0 },
    Bound { name: "drainS", value: DRAIN_S },
    Bound { name: "graceS", value: 4.0 },
    Bound { name: "editionS", value: 2.5 },
    Bound { name: "evacuateS", value: 5.0 },
    Bound { name: "retryRatio", value: 0.2 },
    Bound { name: "retryWindowS", value: 10.0 },
    Bound { name: "retrySlack", value: 60.0 },
    Bound { name: "coldOverrun", value: 1.5 },
    Bound { name: "coldSlack", value: 5.0 },
];

impl Default for MeshPlan {
    fn default() -> Self {
        MeshPlan {
            control_count: 3,
            side_count: 4,
            spare_count: 0,
            has_links: false,
            link_bytes_per_second: None,
            zone_count: 3,
            services: vec!["bakery".to_string(), "smithy".to_string()],
            heartbeat_s: 0.5,
            bounds: BOUNDS.to_vec(),
            arguments: Vec::new(),
        }
    }
}

impl MeshPlan {
    /// All machines.
    pub(crate) fn machine_count(&self) -> usize {
        self.control_count + self.side_count + self.spare_count
    }

    /// The same with another value for a figure of the rules that it has.
    pub fn with_bound(mut self, name: &str, value: f64) -> Self {
        self.bounds.iter_mut().filter(|bound| bound.name == name).for_each(|bound| bound.value = value);
        self
    }
}

/// The name of a zone.
pub(crate) fn zone_name(zone: usize) -> String {
    ["mill", "quay", "hill", "wood"].get(zone).map_or_else(|| format!("zone-{zone}"), |z| z.to_string())
}
