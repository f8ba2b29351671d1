//! The settings of a process and its machine.
use silvercross_mesh_membership::Node;
use silvercross_time::Duration;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;

/// The port range for traffic between nodes, both ends included.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PortRange {
    /// The port of links and datagrams.
    pub(crate) first: u16,
    /// The last port of the range.
    pub(crate) last: u16,
}

/// The settings of a process and its machine.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct NodeSettings {
    /// The node's name, for logs.
    pub(crate) name: String,
    /// Whether this is a control node, which holds the control state.
    pub(crate) is_control: bool,
    /// The node's IPv4 address.
    pub(crate) ip: Ipv4Addr,
    /// The node's zone.
    pub(crate) zone: String,
    /// All configured zones, in order.
    pub(crate) zones: Vec<String>,
    /// Listen address for requests from other sidecars.
    pub(crate) inbound_address: Option<SocketAddr>,
    /// Listen address for the machine's clients.
    pub(crate) outbound_address: Option<SocketAddr>,
    /// Listen address for the platform's readiness probes.
    pub(crate) ready_address: Option<SocketAddr>,
    /// Listen address for calls of upstreams and operators.
    pub(crate) control_address: Option<SocketAddr>,
    /// The port range for traffic between nodes.
    pub(crate) internal_ports: PortRange,
    /// Control addresses of machines that may be up.
    pub(crate) seeds: Vec<SocketAddr>,
    /// Whether the whole system starts for the first time.
    pub(crate) is_first_start: bool,
    /// Memory limit of this process, in bytes.
    pub(crate) memory_bytes: u64,
    /// File descriptor limit of this process.
    pub(crate) max_descriptors: u64,
    /// The data directory, if there is a disk.
    pub(crate) data_dir: Option<PathBuf>,
    /// The upstream on this machine.
    pub(crate) upstream_address: Option<SocketAddr>,
    /// The service of that upstream.
    pub(crate) upstream_service: String,
    /// Settings that can be reloaded while the process runs.
    pub(crate) reloadable: ReloadableSettings,
}

/// Settings that can be reloaded while the process runs, besides the seeds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ReloadableSettings {
    /// Interval between an upstream's heartbeats.
    pub(crate) heartbeat_interval: Duration,
    /// The limits of the rules.
    pub(crate) limits: RuleLimits,
}

/// The limits of the rules (`bounds` in the file).
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct RuleLimits {
    /// Time in which attempts at a draining upstream end.
    pub(crate) drain_timeout: Duration,
    /// Time from SIGTERM to SIGKILL.
    pub(crate) grace: Duration,
    /// Allowed retries as a fraction of the requests.
    pub(crate) retry_ratio: f64,
    /// Retries allowed in addition to the fraction.
    pub(crate) retry_allowance: f64,
    /// Largest multiple by which the rate of a warming-up upstream may be exceeded.
    pub(crate) warm_up_overrun: f64,
    /// Requests allowed in addition to the multiple.
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
    /// The limits that admission control at the upstream enforces.
    pub(crate) fn admission_settings(&self) -> silvercross_admission::AdmissionSettings {
        silvercross_admission::AdmissionSettings {
            drain_timeout: self.drain_timeout,
            warmup_overrun: self.warm_up_overrun,
            warmup_slack: self.warm_up_allowance,
        }
    }
}

impl NodeSettings {
    /// The seeds as nodes; seeds without an IPv4 address are skipped.
    pub(crate) fn seed_nodes(&self) -> Vec<Node> {
        let node = |seed: &SocketAddr| match seed.ip() {
            IpAddr::V4(v4) => Some(Node(v4.to_bits())),
            IpAddr::V6(_) => None,
        };
        self.seeds.iter().filter_map(node).collect()
    }
}
