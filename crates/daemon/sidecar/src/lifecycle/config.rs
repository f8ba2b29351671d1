//! The configuration: environment variables, and the JSON file that one of them names.
use crate::wire::discovery;
use serde::Deserialize;
use silvercross_core::interface::Settings;
use silvercross_facade::{DiscoveryEvent, Host};
use silvercross_settings::ProxySettings;
use std::net::SocketAddr;

/// All that a sidecar is told at its start.
pub struct Config {
    /// Its name, the same after a restart.
    pub name: String,
    /// Where the application connects.
    pub listen: SocketAddr,
    /// Where discovery is.
    pub discovery: SocketAddr,
    /// Where operators connect, if anywhere.
    pub management: Option<SocketAddr>,
    /// For random numbers.
    pub seed: u64,
    /// Memory it may use, in MB.
    pub memory_mb: usize,
    /// Descriptors it may hold.
    pub sockets: usize,
    /// The list as last known here, and its version.
    pub known: Vec<Host>,
    /// That list's version.
    pub seq: u64,
    /// The module's settings.
    pub settings: Settings,
    /// The names behind them.
    pub front: ProxySettings,
    /// The whole file, against which the next one is held.
    pub file: serde_json::Value,
}

#[derive(Deserialize)]
struct File {
    #[serde(default)]
    name: String,
    #[serde(default)]
    listen: String,
    #[serde(default)]
    discovery: String,
    #[serde(default)]
    management: String,
    #[serde(default)]
    seed: serde_json::Value,
    #[serde(default)]
    limits: Limits,
    #[serde(default)]
    known: serde_json::Value,
    settings: serde_json::Value,
}

#[derive(Deserialize)]
#[serde(default)]
struct Limits {
    memory_mb: f64,
    sockets: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { memory_mb: 192.0, sockets: 1024.0 }
    }
}

/// Read the configuration. `var` looks a variable of the environment up; the error is one plain line.
pub fn read(var: impl Fn(&str) -> Option<String>) -> Result<Config, String> {
    let path = var("PROXY_CONFIG").ok_or("PROXY_CONFIG is not set: it names the configuration file")?;
    let text =
        std::fs::read_to_string(&path).map_err(|e| format!("cannot read the configuration {path}: {e}"))?;
    parse(&text, var).map_err(|e| format!("bad configuration {path}: {e}"))
}

/// Read the configuration again, of a process that has been told to: whole and good, and with every key that the one in
/// force has, or nothing is taken. What the file says of discovery holds over the variable that the process was started
/// with: a variable can't be replaced, and would pin the old address for good.
pub fn reread(var: impl Fn(&str) -> Option<String>, in_force: &serde_json::Value) -> Result<Config, String> {
    let new = read(|name| var(name).filter(|_| name != "PROXY_DISCOVERY"))?;
    held_against(&new.file, in_force)?;
    Ok(new)
}

fn held_against(new: &serde_json::Value, in_force: &serde_json::Value) -> Result<(), String> {
    let keys = in_force.as_object().into_iter().flatten().map(|(key, _)| key);
    keys.filter(|key| new.get(key.as_str()).is_none())
        .try_for_each(|key| Err(format!("{key}: it is missing")))?;
    for key in ["settings", "limits"] {
        if let (Some(new), Some(old)) = (new.get(key), in_force.get(key)) {
            silvercross_settings::check_keys_present(new, old, key)?;
        }
    }
    Ok(())
}

/// Read the configuration's text. Where a variable says the same as the file, the variable holds.
pub fn parse(text: &str, var: impl Fn(&str) -> Option<String>) -> Result<Config, String> {
    let whole_file: serde_json::Value = serde_json::from_str(text).map_err(|e| one_line(&e.to_string()))?;
    let file: File = serde_json::from_str(text).map_err(|e| one_line(&e.to_string()))?;
    silvercross_settings::check(&file.settings, None).map_err(|e| one_line(&e))?;
    let address = |name: &str, fallback: &str| {
        let text = var(name).unwrap_or_else(|| fallback.to_string());
        text.parse::<SocketAddr>()
            .map_err(|_| format!("{name} {text:?} is no address such as 127.0.0.1:3000"))
    };
    let (settings, front) = silvercross_settings::read_value(file.settings).map_err(|e| one_line(&e))?;
    let (known, seq) = match file.known {
        serde_json::Value::Null => (Vec::new(), 0),
        list => {
            let told = discovery::read_list(list.to_string().as_bytes())
                .map_err(|e| one_line(&format!("known: {e}")))?;
            match told.news {
                DiscoveryEvent::List { hosts, .. } => (hosts, told.seq),
                DiscoveryEvent::Broken | DiscoveryEvent::Moved => (Vec::new(), 0),
            }
        }
    };
    let management = var("PROXY_MANAGEMENT").unwrap_or_else(|| file.management.clone());
    Ok(Config {
        management: match management.as_str() {
            "" => None,
            _ => Some(address("PROXY_MANAGEMENT", &file.management)?),
        },
        name: var("PROXY_NAME").unwrap_or(file.name),
        listen: address("PROXY_LISTEN", &file.listen)?,
        discovery: address("PROXY_DISCOVERY", &file.discovery)?,
        seed: seed(&file.seed)?,
        memory_mb: whole("limits.memory_mb", file.limits.memory_mb, 16.0)?,
        sockets: whole("limits.sockets", file.limits.sockets, 64.0)?,
        known,
        seq,
        settings,
        front,
        file: whole_file,
    })
}

fn seed(value: &serde_json::Value) -> Result<u64, String> {
    match value {
        serde_json::Value::Null => Ok(0),
        serde_json::Value::String(s) => {
            u64::from_str_radix(s, 16).map_err(|_| format!("seed {s:?} is not hexadecimal"))
        }
        other => other.as_u64().ok_or_else(|| format!("seed {other} is no whole number")),
    }
}

fn whole(name: &str, value: f64, least: f64) -> Result<usize, String> {
    match value {
        v if (least..=1e9).contains(&v) => Ok(v as usize),
        v => Err(format!("{name} {v} is not at least {least}")),
    }
}

fn one_line(text: &str) -> String {
    text.replace(['\n', '\r'], " ")
}

#[cfg(test)]
mod tests {
    use super::*;

    const GOOD: &str = r#"{"name":"n3","listen":"127.0.0.1:3000","discovery":"127.0.0.1:8500","seed":"8c1f30d27a5be964",
        "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
        "known":{"seq":41,"whole":true,"hosts":[{"host":"s-1","dial":"127.0.0.1:1","site":"a","class":"m2","block":0,"health":"ready","share":1.0,"born_ms":0}]},
        "settings":{"areas":["a"],"classes":[{"name":"x","aim_s":0.5,"deadline_s":2.0,"effect":"repeatable"}],"limits":{"idle_close_s":60.0},"rules":{}}}"#;

    fn none(_: &str) -> Option<String> {
        None
    }

    #[test]
    fn a_good_configuration_is_read() {
        let c = parse(GOOD, none).expect("good");
        assert_eq!(
            (c.seed, c.memory_mb, c.sockets, c.seq, c.known.len()),
            (0x8c1f30d27a5be964, 192, 1024, 41, 1)
        );
        assert_eq!(c.front.upstream_idle_timeout, Some(60_000_000));
    }

    #[test]
    fn a_file_that_lacks_what_the_one_in_force_has_is_turned_down() {
        let of = |text: &str| parse(text, none).expect("good").file;
        let good = of(GOOD);
        assert_eq!(held_against(&good, &good), Ok(()));
        for (from, to, key) in [
            ("\"discovery\":", "\"discover\":", "discovery:"),
            ("\"cores\":1.0,", "", "limits.cores:"),
            ("\"areas\":[\"a\"],", "", "settings.areas:"),
            (",\"limits\":{\"idle_close_s\":60.0}", ",\"limits\":{}", "settings.limits.idle_close_s:"),
        ] {
            let text = GOOD.replacen(from, to, 1);
            let new: serde_json::Value = serde_json::from_str(&text).expect("JSON");
            let why = held_against(&new, &good).expect_err(key);
            assert!(why.starts_with(key), "{why}");
        }
    }

    #[test]
    fn a_variable_holds_over_the_file() {
        let c = parse(GOOD, |v| (v == "PROXY_LISTEN").then(|| "127.0.0.2:9".to_string())).expect("good");
        assert_eq!((c.listen.to_string().as_str(), c.discovery.port()), ("127.0.0.2:9", 8500));
    }

    #[test]
    fn a_bad_configuration_is_one_plain_line() {
        for (from, to) in [
            ("\"127.0.0.1:3000\"", "\"here\""),
            ("8c1f30d27a5be964", "xyz"),
            ("\"sockets\":1024", "\"sockets\":-1"),
            ("\"repeatable\"", "\"odd\""),
            ("\"health\":\"ready\"", "\"health\":\"odd\""),
            ("\"settings\":", "\"setting\":"),
            ("}}", "}"),
        ] {
            let Err(why) = parse(&GOOD.replacen(from, to, 1), none) else { panic!("{to} was taken") };
            assert!(!why.is_empty() && !why.contains('\n'), "{why}");
        }
    }
}
