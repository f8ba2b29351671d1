//! Migrates a configuration file from the old kind of deployment to the new one, where the list is pushed, a pool of
//! sidecars is in front of the upstreams, and listed sizes change with load. It reports what it changed and what it could
//! not carry over, and makes no choices that the file does not state.
use serde_json::{json, Map, Value};

/// Keys of a configuration file.
const FILE_KEYS: &[&str] =
    &["name", "listen", "discovery", "management", "admin", "seed", "limits", "known", "settings"];
/// Keys of the platform's settings object. Those that this program does not use are carried over too.
const SETTINGS_KEYS: &[&str] = &[
    "areas",
    "balancers",
    "classes",
    "clients",
    "counted_by",
    "discovery",
    "family_info",
    "goal",
    "kind_of_service",
    "limits",
    "me",
    "my_zone",
    "over_share_worth",
    "prices",
    "report",
    "round_s",
    "rules",
    "shapes",
    "stages",
    "tenants",
    "tier",
    "weights",
];

fn check_known_keys(object: &Map<String, Value>, at: &str, known: &[&str]) -> Result<(), String> {
    let unknown = object.keys().find(|key| !known.contains(&key.as_str()));
    unknown.map_or(Ok(()), |key| Err(format!("{at}{key}: unknown key: correct its name or remove it")))
}

/// What the old file does not state about the new deployment.
#[derive(Clone, Debug, Default)]
pub struct Target {
    /// Number of sidecars in the pool.
    pub sidecars: Option<u32>,
    /// Index of this sidecar among them, from 0.
    pub number: Option<u32>,
    /// Address at which this sidecar is reached.
    pub listen: Option<String>,
    /// Address from which the list of upstreams is fetched.
    pub discovery: Option<String>,
    /// The zones, that of this sidecar first.
    pub zones: Vec<String>,
    /// Upstreams do less work for keys that they served recently; `None`: as in the old file.
    pub warm_keys: Option<bool>,
}

/// A migrated file, with notes for its operator.
#[derive(Clone, Debug, PartialEq)]
pub struct Migrated {
    /// The new configuration.
    pub file: Value,
    /// Each changed key, with its old and new value.
    pub changed: Vec<String>,
    /// Each key that could not be carried over or needs a review, with the reason and what to do.
    pub left: Vec<String>,
}

/// Migrates an old configuration. The error names the key and its correction.
pub fn migrate(old: &Value, target: &Target) -> Result<Migrated, String> {
    let mut file = old.as_object().ok_or("the file: is not a JSON object")?.clone();
    let settings = file.get("settings").ok_or("settings: is missing")?;
    crate::check(settings, None)?;
    let mut settings = settings.as_object().ok_or("settings: is not an object")?.clone();
    // An unknown key is a typing error or belongs to a newer version than this program, so it can't be migrated.
    check_known_keys(&file, "", FILE_KEYS)?;
    check_known_keys(&settings, "settings.", SETTINGS_KEYS)?;
    let (mut changed, mut left) = (Vec::new(), Vec::new());
    if settings.get("discovery").and_then(Value::as_str) == Some("pushed") {
        return Err("settings.discovery: is \"pushed\" already: this file has been migrated".into());
    }
    let number_at = |settings: &Map<String, Value>, key: &str| settings.get(key).and_then(Value::as_u64);
    let sidecars = target.sidecars.map(u64::from).or(number_at(&settings, "balancers"));
    let number = target.number.map(u64::from).or(number_at(&settings, "me"));
    if let (Some(of), Some(me)) = (sidecars, number) {
        if me >= of {
            return Err(format!(
                "settings.me: {me} is not less than the number of sidecars, {of}: give --number and --sidecars"
            ));
        }
    }
    let mut set = |of: &mut Map<String, Value>, at: &str, key: &str, to: Value| {
        let was = of.insert(key.to_string(), to.clone()).unwrap_or(Value::Null);
        if was != to {
            changed.push(format!("{at}{key}: {was} -> {to}"));
        }
    };
    set(&mut settings, "settings.", "discovery", json!("pushed"));
    set(&mut settings, "settings.", "kind_of_service", json!("proxy"));
    set(&mut settings, "settings.", "weights", json!("live"));
    if let Some(warm) = target.warm_keys {
        let mut family = settings.get("family_info").and_then(Value::as_object).cloned().unwrap_or_default();
        set(&mut family, "settings.family_info.", "warm_keys", json!(warm));
        settings.insert("family_info".into(), Value::Object(family));
    }
    match target.sidecars {
        Some(n) => set(&mut settings, "settings.", "balancers", json!(n)),
        None => left.push(
            "settings.balancers: the file does not state the number of sidecars in the pool; unchanged (--sidecars)"
                .into(),
        ),
    }
    match target.number {
        Some(n) => set(&mut settings, "settings.", "me", json!(n)),
        None => left.push(
            "settings.me: the old index says nothing about the place in the pool; unchanged (--number)"
                .into(),
        ),
    }
    if target.zones.is_empty() {
        left.push("settings.areas: the file does not state the zones of the new deployment; unchanged (--zone, own zone first)".into());
    } else {
        set(&mut settings, "settings.", "areas", json!(target.zones));
        set(&mut settings, "settings.", "my_zone", json!(0));
    }
    if settings.get("rules").and_then(|r| r.get("must_ask_in_s")).is_some() {
        left.push("settings.rules.must_ask_in_s: has no effect where the list is pushed; kept".into());
    }
    let prices = settings.get("prices").and_then(|p| p.get("cross_zone"));
    if prices.is_none() {
        left.push(
            "settings.prices.cross_zone: is missing: add it, or attempts in another zone cost nothing".into(),
        );
    }
    if settings.get("tenants").and_then(Value::as_array).is_none_or(Vec::is_empty) {
        left.push("settings.tenants: there are none: add them with their shares".into());
    }
    left.push("settings.classes: unchanged; check the latency targets, deadlines and effects, which are those of the old deployment".into());
    file.insert("settings".into(), Value::Object(settings));
    match &target.listen {
        Some(at) => set(&mut file, "", "listen", json!(at)),
        None if file.get("listen").and_then(Value::as_str).is_some_and(is_loopback) => left.push(
            "listen: a loopback address is not reachable from other machines; give another (--listen)".into(),
        ),
        None => {}
    }
    match &target.discovery {
        Some(at) => set(&mut file, "", "discovery", json!(at)),
        None => left.push(
            "discovery: the file does not state the address in the new deployment; unchanged (--discovery)"
                .into(),
        ),
    }
    // Otherwise the first requests would be sent to the upstreams of the old deployment.
    let empty = json!({"seq": 0, "whole": true, "hosts": []});
    let hosts = file.get("known").and_then(|k| k.get("hosts")).and_then(Value::as_array).map_or(0, Vec::len);
    if hosts > 0 {
        left.push(format!("known: its {hosts} upstreams belong to the old deployment; emptied: /healthz reports not ready until the list is received"));
    }
    set(&mut file, "", "known", empty);
    let file = Value::Object(file);
    crate::check(&file["settings"], None)?;
    crate::read_value(file["settings"].clone())?;
    Ok(Migrated { file, changed, left })
}

fn is_loopback(at: &str) -> bool {
    at.parse::<std::net::SocketAddr>().is_ok_and(|a| a.ip().is_loopback())
}

#[cfg(test)]
mod tests {
    use super::*;

    fn old() -> Value {
        json!({"name": "n3", "listen": "127.0.0.1:3000", "discovery": "127.0.0.1:8500", "seed": "8c", "admin": "127.0.0.1:9",
            "limits": {"memory_mb": 192, "sockets": 1024},
            "known": {"seq": 41, "whole": true, "hosts": [{"host": "s-1", "dial": "127.0.0.1:1", "site": "a", "class": "k",
                "block": 0, "health": "ready"}]},
            "settings": {"areas": ["a", "b"], "my_zone": 1, "balancers": 4, "me": 1, "discovery": "on_request",
                "weights": "silent", "kind_of_service": "mesh", "tenants": [], "prices": {"cross_zone": 0.03},
                "classes": [{"name": "x", "aim_s": 0.5, "deadline_s": 2.0, "effect": "repeatable"}],
                "limits": {"attempts_cap": 4}, "rules": {"must_ask_in_s": 10.0, "cold_from": 0.3}}})
    }

    #[test]
    fn a_migrated_file_has_the_new_values_and_keeps_the_rest() {
        let target = Target {
            sidecars: Some(22),
            number: Some(7),
            listen: Some("127.0.0.2:3000".into()),
            discovery: Some("127.0.0.3:8500".into()),
            zones: vec!["east".into(), "west".into()],
            warm_keys: Some(true),
        };
        let new = migrate(&old(), &target).expect("good");
        let (settings, front) = crate::read_value(new.file["settings"].clone()).expect("readable");
        assert_eq!(
            (settings.instances, settings.instance_index, settings.own_zone, settings.zones),
            (22, 7, 0, 2)
        );
        assert!(!settings.list_on_request && settings.key_affinity);
        assert_eq!(front.zones, ["east", "west"]);
        for path in [
            "/name",
            "/seed",
            "/admin",
            "/limits",
            "/settings/classes",
            "/settings/limits",
            "/settings/rules",
        ] {
            assert_eq!(new.file.pointer(path), old().pointer(path), "{path}");
        }
        assert_eq!(new.file["known"]["hosts"], json!([]));
        assert!(
            new.changed.iter().any(|c| c == "settings.discovery: \"on_request\" -> \"pushed\""),
            "{:?}",
            new.changed
        );
        for key in ["known", "settings.rules.must_ask_in_s", "settings.tenants", "settings.classes"] {
            assert!(new.left.iter().any(|l| l.starts_with(&format!("{key}:"))), "{key}: {:?}", new.left);
        }
    }

    #[test]
    fn keys_that_the_file_cannot_determine_are_reported_and_unchanged() {
        let new = migrate(&old(), &Target::default()).expect("good");
        for key in ["listen", "discovery", "settings.areas", "settings.me", "settings.balancers"] {
            assert!(new.left.iter().any(|l| l.starts_with(&format!("{key}:"))), "{key}: {:?}", new.left);
        }
        for path in ["/listen", "/discovery", "/settings/areas", "/settings/me", "/settings/balancers"] {
            assert_eq!(new.file.pointer(path), old().pointer(path), "{path}");
        }
    }

    #[test]
    fn each_error_names_its_key() {
        let error_of = |change: &dyn Fn(&mut Value), target: &Target| {
            let mut file = old();
            change(&mut file);
            migrate(&file, target).expect_err("refused")
        };
        let none = Target::default();
        assert!(error_of(&|f| f["settings"]["discovery"] = json!("pushed"), &none)
            .starts_with("settings.discovery:"));
        assert!(error_of(&|f| f["settings"]["classes"] = json!([]), &none).starts_with("settings.classes:"));
        assert!(error_of(&|f| f["lissten"] = json!("x"), &none).starts_with("lissten:"));
        assert!(error_of(&|f| f["settings"]["wieghts"] = json!("x"), &none).starts_with("settings.wieghts:"));
        assert!(error_of(&|f| *f = json!([]), &none).starts_with("the file:"));
        assert!(error_of(&|f| *f = json!({}), &none).starts_with("settings:"));
        let few = Target { sidecars: Some(1), ..Target::default() };
        assert!(error_of(&|_| {}, &few).starts_with("settings.me:"));
    }
}
