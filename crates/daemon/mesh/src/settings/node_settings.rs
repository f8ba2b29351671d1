//! What a process knows of itself and its machine from its settings.
use silvercross_mesh_membership::Node;
use silvercross_time::Duration;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;

/// The ports between nodes, both included.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PortRange {
    /// Links and datagrams use this one.
    pub(crate) first: u16,
    /// The last free one.
    pub(crate) last: u16,
}

/// What a process knows of itself and its machine.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct NodeSettings {
    /// The machine's name, for logs.
    pub(crate) name: String,
    /// Whether it is one of the few that hold the control state.
    pub(crate) is_control: bool,
    /// Its address.
    pub(crate) ip: Ipv4Addr,
    /// Its zone.
    pub(crate) zone: String,
    /// All zones that are named, in order.
    pub(crate) zones: Vec<String>,
    /// Where other sidecars bring requests.
    pub(crate) inbound_address: Option<SocketAddr>,
    /// Where the machine's clients connect.
    pub(crate) outbound_address: Option<SocketAddr>,
    /// Where the platform asks for readiness.
    pub(crate) ready_address: Option<SocketAddr>,
    /// Where upstreams and operators call.
    pub(crate) control_address: Option<SocketAddr>,
    /// The ports between nodes.
    pub(crate) internal_ports: PortRange,
    /// Control addresses of machines that may be up.
    pub(crate) seeds: Vec<SocketAddr>,
    /// The whole system starts for the first time.
    pub(crate) is_first_start: bool,
    /// Memory for this process, in bytes.
    pub(crate) memory_bytes: u64,
    /// File descriptors for this process.
    pub(crate) max_descriptors: u64,
    /// Where the disk is, if there is one.
    pub(crate) data_dir: Option<PathBuf>,
    /// The upstream on this machine.
    pub(crate) upstream_address: Option<SocketAddr>,
    /// Its service.
    pub(crate) upstream_service: String,
    /// What can change while the process runs.
    pub(crate) reloadable: ReloadableSettings,
}

/// What can change while the process runs, besides the seeds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ReloadableSettings {
    /// Time between an upstream's heartbeats.
    pub(crate) heartbeat_interval: Duration,
    /// The limits of the rules.
    pub(crate) limits: RuleLimits,
}

/// The limits of the rules (`bounds` in the file).
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct RuleLimits {
    /// Attempts at a draining upstream end within this.
    pub(crate) drain_timeout: Duration,
    /// From SIGTERM to SIGKILL.
    pub(crate) grace: Duration,
    /// Retries, as a share of the requests.
    pub(crate) retry_ratio: f64,
    /// And so many more.
    pub(crate) retry_allowance: f64,
    /// The rate of an upstream that warms up is exceeded by no more than this multiple.
    pub(crate) warm_up_overrun: f64,
    /// And so many more requests.
    pub(crate) warm_up_allowance: f64,
}

impl Default for RuleLimits {
    fn default() -> Self {
        RuleLimits {
            drain_timeout: Duration::from_millis(2_500),
            grace: Duration::from_secs(6),
            retry_ratio: 0.2,
            retry_allowance: 60.0,
            warm_up_overrun: 1.5,
            warm_up_allowance: 5.0,
        }
    }
}

impl RuleLimits {
    /// Those that admission at the upstream keeps.
    pub(crate) fn admission_settings(&self) -> silvercross_admission::AdmissionSettings {
        silvercross_admission::AdmissionSettings {
            drain_timeout: self.drain_timeout,
            warmup_overrun: self.warm_up_overrun,
            warmup_slack: self.warm_up_allowance,
        }
    }
}

impl NodeSettings {
    /// The seeds as nodes; those without an IPv4 address are none.
    pub(crate) fn seed_nodes(&self) -> Vec<Node> {
        let node = |seed: &SocketAddr| match seed.ip() {
            IpAddr::V4(v4) => Some(Node(v4.to_bits())),
            IpAddr::V6(_) => None,
        };
        self.seeds.iter().filter_map(node).collect()
    }
}
