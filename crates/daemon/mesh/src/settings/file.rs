//! Parses the settings file with figment and validates it. Unknown keys are ignored.
use super::error::SettingsError;
use super::node_settings::{NodeSettings, PortRange, ReloadableSettings, RuleLimits};
use figment::providers::{Format, Yaml};
use figment::Figment;
use serde::Deserialize;
use silvercross_time::Duration;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};

/// The longest time between heartbeats, in seconds.
const MAX_HEARTBEAT_S: f64 = 3600.0;
/// The largest span of a limit, in microseconds.
const MAX_LIMIT_MICROS: f64 = 1e15;
/// Default memory of a process and the smallest value that is used, in MiB.
const DEFAULT_MEMORY_MB: u64 = 256;
const MIN_MEMORY_MB: u64 = 32;
/// Default number of file descriptors of a process.
const DEFAULT_DESCRIPTORS: u64 = 1024;

/// The keys of the settings file.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct SettingsFile {
    node: String,
    machine_class: String,
    ip: Ipv4Addr,
    zone: String,
    #[serde(default)]
    zones: BTreeMap<String, String>,
    counters_at: Addresses,
    internal_ports: Vec<u16>,
    #[serde(default)]
    seeds: Vec<SocketAddr>,
    #[serde(default)]
    first_start: bool,
    #[serde(default)]
    size_limits: Sizes,
    data_dir: Option<PathBuf>,
    #[serde(default = "default_heartbeat_s")]
    heartbeat_s: f64,
    #[serde(default)]
    bounds: Vec<String>,
    #[serde(rename = "localStation")]
    upstream_address: Option<SocketAddr>,
    destination: Option<String>,
}

#[derive(Deserialize)]
struct Addresses {
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

fn default_heartbeat_s() -> f64 {
    1.5
}

/// Reads and validates the settings file.
///
/// # Errors
/// The first error found, with the file's path.
pub(crate) fn read(path: &Path) -> Result<NodeSettings, SettingsError> {
    let text = std::fs::read_to_string(path)
        .map_err(|error| SettingsError::Unreadable { path: path.to_owned(), cause: error.to_string() })?;
    parse(&text).map_err(|fault| SettingsError::InFile { path: path.to_owned(), fault: Box::new(fault) })
}

/// Parses and validates settings from text.
///
/// # Errors
/// The first error found.
pub(crate) fn parse(text: &str) -> Result<NodeSettings, SettingsError> {
    let file: SettingsFile = Figment::from(Yaml::string(text)).extract().map_err(|error| {
        SettingsError::Malformed { key: error.path.join("."), cause: error.kind.to_string() }
    })?;
    let internal_ports = internal_ports(&file.internal_ports)?;
    if file.zone.is_empty() {
        return Err(SettingsError::NoZone);
    }
    if !(file.heartbeat_s > 0.0 && file.heartbeat_s < MAX_HEARTBEAT_S) {
        return Err(SettingsError::HeartbeatOutOfRange { seconds: file.heartbeat_s });
    }
    let is_control = file.data_dir.is_some();
    if !is_control {
        check_sidecar_addresses(&file)?;
    }
    let mut zones: Vec<String> = file.zones.into_keys().collect();
    if !zones.contains(&file.zone) {
        zones.push(file.zone.clone());
        zones.sort();
    }
    let heartbeat_interval = Duration::from_micros((file.heartbeat_s * 1e6) as i64);
    let limits = rule_limits(&file.bounds)?;
    let memory_mb = file.size_limits.memory_mb.unwrap_or(DEFAULT_MEMORY_MB).max(MIN_MEMORY_MB);
    Ok(NodeSettings {
        is_control,
        zones,
        internal_ports,
        ip: file.ip,
        name: file.node,
        zone: file.zone,
        inbound_address: file.counters_at.inbound,
        outbound_address: file.counters_at.outbound,
        ready_address: file.counters_at.ready,
        control_address: file.counters_at.control,
        seeds: file.seeds,
        is_first_start: file.first_start,
        memory_bytes: memory_mb << 20,
        max_descriptors: file.size_limits.file_handles.unwrap_or(DEFAULT_DESCRIPTORS),
        data_dir: file.data_dir,
        upstream_address: file.upstream_address,
        upstream_service: file.destination.unwrap_or_default(),
        reloadable: ReloadableSettings { heartbeat_interval, limits },
    })
}

fn internal_ports(ports: &[u16]) -> Result<PortRange, SettingsError> {
    let (Some(first), Some(last)) = (ports.first().copied(), ports.last().copied()) else {
        return Err(SettingsError::NoPorts);
    };
    if first > last {
        return Err(SettingsError::PortsReversed { first, last });
    }
    Ok(PortRange { first, last })
}

fn check_sidecar_addresses(file: &SettingsFile) -> Result<(), SettingsError> {
    let addresses = &file.counters_at;
    let needed =
        [("outbound", addresses.outbound), ("inbound", addresses.inbound), ("ready", addresses.ready)];
    match needed.into_iter().find(|(_, address)| address.is_none()) {
        Some((key, _)) => {
            Err(SettingsError::MissingAddress { key, machine_class: file.machine_class.clone() })
        }
        None => Ok(()),
    }
}

/// Parses entries `name=number`; unknown names are ignored.
fn rule_limits(entries: &[String]) -> Result<RuleLimits, SettingsError> {
    let mut limits = RuleLimits::default();
    for entry in entries {
        let Some((name, value)) = entry.split_once('=') else {
            return Err(SettingsError::LimitWithoutValue { entry: entry.clone() });
        };
        let number = || {
            let number = value.trim().parse::<f64>().ok().filter(|n| n.is_finite() && *n >= 0.0);
            number.ok_or_else(|| SettingsError::LimitNotANumber { entry: entry.clone() })
        };
        let seconds = || number().map(|n| Duration::from_micros((n * 1e6).min(MAX_LIMIT_MICROS) as i64));
        match name.trim() {
            "drainS" => limits.drain_timeout = seconds()?,
            "graceS" => limits.grace = seconds()?,
            "retryRatio" => limits.retry_ratio = number()?,
            "retrySlack" => limits.retry_allowance = number()?,
            "coldOverrun" => limits.warm_up_overrun = number()?,
            "coldSlack" => limits.warm_up_allowance = number()?,
            _ => {}
        }
    }
    Ok(limits)
}
