//! A machine's settings file, as the platform would write it; the names in it are the settings' own.
use super::address_block::PortRange;
use super::plan::{zone_name, MeshPlan};
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::Path;

/// The settings' key for the address of the upstream beside a sidecar.
const UPSTREAM_KEY: &str = "localStation";
/// The region of all zones here.
const REGION: &str = "vale";

/// Where a sidecar listens and what stands beside it.
pub(crate) struct SideSettings<'m> {
    pub(crate) inbound: SocketAddr,
    pub(crate) outbound: SocketAddr,
    pub(crate) ready: SocketAddr,
    pub(crate) upstream: SocketAddr,
    pub(crate) service: &'m str,
}

/// What a settings file says of one machine.
pub(crate) struct MachineSettings<'m> {
    pub(crate) name: &'m str,
    pub(crate) address: std::net::Ipv4Addr,
    pub(crate) zone: &'m str,
    pub(crate) control: SocketAddr,
    /// `None` on a machine that holds the control state.
    pub(crate) side: Option<SideSettings<'m>>,
    /// `None` on a machine without a disk.
    pub(crate) data_dir: Option<&'m Path>,
    /// The ports between sidecars.
    pub(crate) internal_ports: PortRange,
    /// Control addresses of other machines.
    pub(crate) seeds: Vec<SocketAddr>,
    /// Whether the mesh starts for the first time.
    pub(crate) is_first_start: bool,
}

impl MachineSettings<'_> {
    /// The file's text. Writing to a string can't fail, so its results are dropped.
    pub(crate) fn text(&self, plan: &MeshPlan) -> String {
        let is_control = self.side.is_none();
        let class = if is_control { "core" } else { "side" };
        let (name, address, zone) = (self.name, self.address, self.zone);
        let mut text = format!(
            "node: \"{name}\"\nrole: \"{class}\"\nmachineClass: \"{class}\"\nip: \"{address}\"\nzone: \"{zone}\"\nregion: \"{REGION}\"\n"
        );
        text.push_str("zones:\n");
        for zone in 0..plan.zone_count {
            let _ = writeln!(text, "  {}: \"{REGION}\"", zone_name(zone));
        }
        let _ = writeln!(text, "countersAt:\n  control: \"{}\"", self.control);
        if let Some(side) = &self.side {
            let SideSettings { inbound, outbound, ready, upstream, service } = side;
            let _ = writeln!(
                text,
                "  inbound: \"{inbound}\"\n  outbound: \"{outbound}\"\n  ready: \"{ready}\"\n\
                 {UPSTREAM_KEY}: \"{upstream}\"\ndestination: \"{service}\""
            );
        }
        let PortRange { first, last } = self.internal_ports;
        let _ = writeln!(text, "internalPorts:\n  - {first}\n  - {last}\nseeds:");
        for seed in &self.seeds {
            let _ = writeln!(text, "  - \"{seed}\"");
        }
        let _ = match self.data_dir {
            Some(folder) => writeln!(text, "dataDir: \"{}\"", folder.display()),
            None => writeln!(text, "dataDir: null"),
        };
        let (is_first_start, heartbeat_s) = (self.is_first_start, plan.heartbeat_s);
        let _ = writeln!(
            text,
            "firstStart: {is_first_start}\ncounted: {is_control}\nheartbeatS: {heartbeat_s}\nsizeLimits:\n  memoryMb: 220\n  fileHandles: 4100"
        );
        text.push_str("bounds:\n");
        for bound in &plan.bounds {
            let _ = writeln!(text, "  - \"{}={}\"", bound.name, bound.value);
        }
        text
    }
}
