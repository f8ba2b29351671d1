//! The configuration: environment variables, and the JSON file that `PROXY_CONFIG` names.
use crate::wire::discovery;
use serde::Deserialize;
use silvercross_core::interface::Settings;
use silvercross_facade::{DiscoveryEvent, Host};
use silvercross_settings::ProxySettings;
use std::net::SocketAddr;

/// A sidecar's configuration, as read and checked.
pub struct Config {
    /// The sidecar's name, which stays the same across restarts.
    pub name: String,
    /// Address on which the application's connections are accepted.
    pub listen: SocketAddr,
    /// Discovery's address.
    pub discovery: SocketAddr,
    /// Address of the management listener, if there is one.
    pub management: Option<SocketAddr>,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Memory limit of the process, in MB.
    pub memory_mb: usize,
    /// Maximum number of file descriptors of the process.
    pub sockets: usize,
    /// The last known list of upstreams, used until discovery sends one.
    pub known: Vec<Host>,
    /// Version of the `known` list.
    pub seq: u64,
    /// Settings of the balancing module.
    pub settings: Settings,
    /// The names that the settings refer to.
    pub front: ProxySettings,
    /// The whole file, with which a reloaded file is compared.
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

/// Reads the configuration. `var` looks up an environment variable; the error is a single line.
pub fn read(var: impl Fn(&str) -> Option<String>) -> Result<Config, String> {
    let path = var("PROXY_CONFIG").ok_or("PROXY_CONFIG is not set: it names the configuration file")?;
    let text =
        std::fs::read_to_string(&path).map_err(|e| format!("cannot read the configuration {path}: {e}"))?;
    parse(&text, var).map_err(|e| format!("bad configuration {path}: {e}"))
}

/// Reads the configuration again on a reload. A file that is invalid, or that lacks a key of the configuration in force, is
/// rejected as a whole. Discovery's address is taken from the file and not from the environment variable: the variables of
/// a running process cannot be replaced, so the old address would stay for good.
pub fn reread(var: impl Fn(&str) -> Option<String>, in_force: &serde_json::Value) -> Result<Config, String> {
    let new = read(|name| var(name).filter(|_| name != "PROXY_DISCOVERY"))?;
    check_reloaded_keys(&new.file, in_force)?;
    Ok(new)
}

fn check_reloaded_keys(new: &serde_json::Value, in_force: &serde_json::Value) -> Result<(), String> {
    let keys = in_force.as_object().into_iter().flatten().map(|(key, _)| key);
    keys.filter(|key| new.get(key.as_str()).is_none()).try_for_each(|key| Err(format!("{key}: missing")))?;
    for key in ["settings", "limits"] {
        if let (Some(new), Some(old)) = (new.get(key), in_force.get(key)) {
            silvercross_settings::check_keys_present(new, old, key)?;
        }
    }
    Ok(())
}

/// Parses the configuration's text. An environment variable takes precedence over the file.
pub fn parse(text: &str, var: impl Fn(&str) -> Option<String>) -> Result<Config, String> {
    let whole_file: serde_json::Value =
        serde_json::from_str(text).map_err(|e| to_single_line(&e.to_string()))?;
    let file: File = serde_json::from_str(text).map_err(|e| to_single_line(&e.to_string()))?;
    silvercross_settings::check(&file.settings, None).map_err(|e| to_single_line(&e))?;
    let address = |name: &str, fallback: &str| {
        let text = var(name).unwrap_or_else(|| fallback.to_string());
        text.parse::<SocketAddr>()
            .map_err(|_| format!("{name} {text:?} is not an address such as 127.0.0.1:3000"))
    };
    let (settings, front) =
        silvercross_settings::read_value(file.settings).map_err(|e| to_single_line(&e))?;
    let (known, seq) = match file.known {
        serde_json::Value::Null => (Vec::new(), 0),
        list => {
            let told = discovery::read_list(list.to_string().as_bytes())
                .map_err(|e| to_single_line(&format!("known: {e}")))?;
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
        memory_mb: parse_limit("limits.memory_mb", file.limits.memory_mb, 16.0)?,
        sockets: parse_limit("limits.sockets", file.limits.sockets, 64.0)?,
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
        other => other.as_u64().ok_or_else(|| format!("seed {other} is not a non-negative integer")),
    }
}

fn parse_limit(name: &str, value: f64, least: f64) -> Result<usize, String> {
    match value {
        v if (least..=1e9).contains(&v) => Ok(v as usize),
        v => Err(format!("{name} {v} is not at least {least}")),
    }
}

fn to_single_line(text: &str) -> String {
    text.replace(['\n', '\r'], " ")
}

#[cfg(test)]
mod tests {
    use super::*;

    const VALID_CONFIG: &str = r#"{"name":"n3","listen":"127.0.0.1:3000","discovery":"127.0.0.1:8500","seed":"8c1f30d27a5be964",
        "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
        "known":{"seq":41,"whole":true,"hosts":[{"host":"s-1","dial":"127.0.0.1:1","site":"a","class":"m2","block":0,"health":"ready","share":1.0,"born_ms":0}]},
        "settings":{"areas":["a"],"classes":[{"name":"x","aim_s":0.5,"deadline_s":2.0,"effect":"repeatable"}],"limits":{"idle_close_s":60.0},"rules":{}}}"#;

    fn no_variables(_: &str) -> Option<String> {
        None
    }

    #[test]
    fn a_good_configuration_is_read() {
        let c = parse(VALID_CONFIG, no_variables).expect("good");
        assert_eq!(
            (c.seed, c.memory_mb, c.sockets, c.seq, c.known.len()),
            (0x8c1f30d27a5be964, 192, 1024, 41, 1)
        );
        assert_eq!(c.front.upstream_idle_timeout, Some(60_000_000));
    }

    #[test]
    fn a_file_that_lacks_what_the_one_in_force_has_is_turned_down() {
        let of = |text: &str| parse(text, no_variables).expect("good").file;
        let good = of(VALID_CONFIG);
        assert_eq!(check_reloaded_keys(&good, &good), Ok(()));
        for (from, to, key) in [
            ("\"discovery\":", "\"discover\":", "discovery:"),
            ("\"cores\":1.0,", "", "limits.cores:"),
            ("\"areas\":[\"a\"],", "", "settings.areas:"),
            (",\"limits\":{\"idle_close_s\":60.0}", ",\"limits\":{}", "settings.limits.idle_close_s:"),
        ] {
            let text = VALID_CONFIG.replacen(from, to, 1);
            let new: serde_json::Value = serde_json::from_str(&text).expect("JSON");
            let why = check_reloaded_keys(&new, &good).expect_err(key);
            assert!(why.starts_with(key), "{why}");
        }
    }

    #[test]
    fn a_variable_holds_over_the_file() {
        let c =
            parse(VALID_CONFIG, |v| (v == "PROXY_LISTEN").then(|| "127.0.0.2:9".to_string())).expect("good");
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
            let Err(why) = parse(&VALID_CONFIG.replacen(from, to, 1), no_variables) else {
                panic!("{to} was taken")
            };
            assert!(!why.is_empty() && !why.contains('\n'), "{why}");
        }
    }
}
