//! The settings file that a machine hands its process: read by figment, checked whole, each fault named with its key and
//! mend. Fields it doesn't know are disregarded.
use figment::providers::{Format, Yaml};
use figment::Figment;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};

/// The variable that names the file.
pub const VARIABLE: &str = "SILVERCROSS_NODE_FILE";

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct File {
    node: String,
    machine_class: String,
    ip: Ipv4Addr,
    zone: String,
    #[serde(default)]
    zones: BTreeMap<String, String>,
    counters_at: Counters,
    internal_ports: Vec<u16>,
    #[serde(default)]
    seeds: Vec<SocketAddr>,
    #[serde(default)]
    first_start: bool,
    #[serde(default)]
    size_limits: Sizes,
    data_dir: Option<PathBuf>,
    #[serde(default = "beat")]
    heartbeat_s: f64,
    #[serde(default)]
    bounds: Vec<String>,
    local_station: Option<SocketAddr>,
    destination: Option<String>,
}

#[derive(Deserialize)]
struct Counters {
    inbound: Option<SocketAddr>,
    outbound: Option<SocketAddr>,
    ready: Option<SocketAddr>,
    control: Option<SocketAddr>,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase")]
struct Sizes {
    memory_mb: Option<u64>,
    file_handles: Option<u64>,
}

fn beat() -> f64 {
    1.5
}

/// What a process is told of itself and its machine.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeSettings {
    /// The machine's name, for logs.
    pub node: String,
    /// Whether it is one of the few that hold the control state.
    pub core: bool,
    /// Its address.
    pub ip: Ipv4Addr,
    /// Its zone.
    pub zone: String,
    /// All zones that are named, in order.
    pub zones: Vec<String>,
    /// Where other sidecars bring requests.
    pub inbound: Option<SocketAddr>,
    /// Where the machine's clients connect.
    pub outbound: Option<SocketAddr>,
    /// Where the platform asks.
    pub ready: Option<SocketAddr>,
    /// Where upstreams and operators call.
    pub control: Option<SocketAddr>,
    /// First and last of the ports between sidecars.
    pub ports: (u16, u16),
    /// Control addresses of machines that may be up.
    pub seeds: Vec<SocketAddr>,
    /// The whole system starts for the first time.
    pub fresh: bool,
    /// Memory for this process, in bytes.
    pub memory: u64,
    /// Descriptors for this process.
    pub descriptors: u64,
    /// Where the disk is, if there is one.
    pub data: Option<PathBuf>,
    /// The upstream on this machine.
    pub station: Option<SocketAddr>,
    /// Its service.
    pub destination: String,
    /// What can change.
    pub reloadable: ReloadableSettings,
}

/// What can change while the process runs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReloadableSettings {
    /// Time between an upstream's beats, in microseconds.
    pub beat: i64,
    /// The figures of the rules.
    pub bounds: Bounds,
}

/// The figures of the rules, in microseconds and plain numbers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Sends to a draining upstream end within this.
    pub drain: i64,
    /// From SIGTERM to SIGKILL.
    pub grace: i64,
    /// Further sends, as a share of the requests.
    pub retry_ratio: f64,
    /// And so many more.
    pub retry_slack: f64,
    /// A cold upstream's rate is passed by no more than this multiple.
    pub cold_overrun: f64,
    /// And so many more.
    pub cold_slack: f64,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds {
            drain: 2_500_000,
            grace: 6_000_000,
            retry_ratio: 0.2,
            retry_slack: 60.0,
            cold_overrun: 1.5,
            cold_slack: 5.0,
        }
    }
}

impl Bounds {
    fn read(list: &[String]) -> Result<Self, String> {
        let mut bounds = Bounds::default();
        for text in list {
            let fault = |why: &str| format!("bounds: {text:?} {why} (write name=number)");
            let (name, value) = text.split_once('=').ok_or_else(|| fault("has no ="))?;
            let mut span: Option<&mut i64> = None;
            let mut plain: Option<&mut f64> = None;
            match name.trim() {
                "drainS" => span = Some(&mut bounds.drain),
                "graceS" => span = Some(&mut bounds.grace),
                "retryRatio" => plain = Some(&mut bounds.retry_ratio),
                "retrySlack" => plain = Some(&mut bounds.retry_slack),
                "coldOverrun" => plain = Some(&mut bounds.cold_overrun),
                "coldSlack" => plain = Some(&mut bounds.cold_slack),
                _ => continue,
            }
            let number = value.trim().parse::<f64>().ok().filter(|n| n.is_finite() && *n >= 0.0);
            let number = number.ok_or_else(|| fault("is no number from 0 on"))?;
            span.into_iter().for_each(|s| *s = (number * 1e6).min(1e15) as i64);
            plain.into_iter().for_each(|p| *p = number);
        }
        Ok(bounds)
    }
}

impl Bounds {
    /// Those that the gate keeps.
    pub fn of_gate(&self) -> silvercross_admission::Bounds {
        let Bounds { drain, cold_overrun, cold_slack, .. } = *self;
        silvercross_admission::Bounds { drain, cold_overrun, cold_slack }
    }
}

impl NodeSettings {
    /// The addresses of the seeds.
    pub fn seed_nodes(&self) -> Vec<u32> {
        let v4 = |s: &SocketAddr| match s.ip() {
            std::net::IpAddr::V4(v4) => Some(v4.to_bits()),
            std::net::IpAddr::V6(_) => None,
        };
        self.seeds.iter().filter_map(v4).collect()
    }
}

/// Read the file and check it as a whole.
pub fn read(path: &Path) -> Result<NodeSettings, String> {
    let named = path.display();
    let text = std::fs::read_to_string(path)
        .map_err(|e| format!("{named}: {e} (name a readable settings file in {VARIABLE})"))?;
    parse(&text).map_err(|e| format!("{named}: {e}"))
}

/// Read settings from their text.
pub fn parse(text: &str) -> Result<NodeSettings, String> {
    let file: File = Figment::from(Yaml::string(text)).extract().map_err(|e| {
        let key = e.path.join(".");
        let at = if key.is_empty() { String::new() } else { format!("{key}: ") };
        format!("{at}{} (see docs/operators/mesh.md)", e.kind)
    })?;
    let (Some(first), Some(last)) = (file.internal_ports.first(), file.internal_ports.last()) else {
        return Err("internalPorts: empty (give the first and the last free port)".to_string());
    };
    if first > last {
        return Err(format!("internalPorts: {first} is above {last} (give the lower one first)"));
    }
    if file.zone.is_empty() {
        return Err("zone: empty (name the machine's zone)".to_string());
    }
    if !(file.heartbeat_s > 0.0 && file.heartbeat_s < 3600.0) {
        return Err(format!("heartbeatS: {} is not between 0 and 3600 seconds", file.heartbeat_s));
    }
    let core = file.data_dir.is_some();
    if !core {
        let c = &file.counters_at;
        for (key, at) in [("outbound", c.outbound), ("inbound", c.inbound), ("ready", c.ready)] {
            if at.is_none() {
                return Err(format!("countersAt.{key}: missing on a {} machine", file.machine_class));
            }
        }
    }
    let mut zones: Vec<String> = file.zones.keys().cloned().collect();
    if !zones.contains(&file.zone) {
        zones.push(file.zone.clone());
        zones.sort();
    }
    Ok(NodeSettings {
        core,
        zones,
        ip: file.ip,
        node: file.node,
        zone: file.zone,
        inbound: file.counters_at.inbound,
        outbound: file.counters_at.outbound,
        ready: file.counters_at.ready,
        control: file.counters_at.control,
        ports: (*first, *last),
        seeds: file.seeds,
        fresh: file.first_start,
        memory: file.size_limits.memory_mb.unwrap_or(256).max(32) << 20,
        descriptors: file.size_limits.file_handles.unwrap_or(1024),
        data: file.data_dir,
        station: file.local_station,
        destination: file.destination.unwrap_or_default(),
        reloadable: ReloadableSettings {
            beat: (file.heartbeat_s * 1e6) as i64,
            bounds: Bounds::read(&file.bounds)?,
        },
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    const SIDE: &str = "node: s1\nrole: r\nmachineClass: side\nip: 127.0.0.2\nzone: a\nzones: {b: r, a: r}\n\
        countersAt: {inbound: '127.0.0.2:1', outbound: '127.0.0.2:2', ready: '127.0.0.2:3'}\n\
        internalPorts: [7600, 7615]\nseeds: ['127.0.0.3:9']\nfirstStart: true\nunheardOf: {x: 1}\n\
        localStation: '127.0.0.2:4'\ndestination: d\nheartbeatS: 1.5\nbounds: ['drainS=3', 'strange=true']\n";

    #[test]
    fn a_settings_file_is_read_and_what_it_does_not_know_disregarded() {
        let settings = parse(SIDE).expect("well-formed");
        assert_eq!((settings.core, settings.fresh, settings.reloadable.beat), (false, true, 1_500_000));
        assert_eq!(
            (settings.reloadable.bounds.drain, settings.reloadable.bounds.grace),
            (3_000_000, 6_000_000)
        );
        assert_eq!(settings.zones, ["a", "b"]);
    }

    #[test]
    fn each_fault_is_told_with_its_key() {
        for (from, to, key) in [
            ("ip: 127.0.0.2", "ip: none", "ip"),
            ("node: s1\n", "", "node"),
            ("[7600, 7615]", "[]", "internalPorts"),
            ("[7600, 7615]", "[7615, 7600]", "internalPorts"),
            ("drainS=3", "drainS=x", "bounds"),
            ("ready: '127.0.0.2:3'", "more: 1", "countersAt.ready"),
            ("heartbeatS: 1.5", "heartbeatS: 0", "heartbeatS"),
        ] {
            let why = parse(&SIDE.replace(from, to)).expect_err(key);
            assert!(why.contains(key), "{key}: {why}");
        }
        assert!(read(Path::new("/nowhere")).expect_err("missing").contains(VARIABLE));
    }
}
