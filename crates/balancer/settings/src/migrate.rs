//! Turns a configuration for the old shape of deployment into its counterpart for the new one: the list comes by itself, a pool
//! of sidecars stands before the upstreams, listed sizes move with load. It says what it changed and what it could not carry
//! over, and decides nothing that a file does not say.
use serde_json::{json, Map, Value};

/// The keys that a configuration has.
const FILE: &[&str] =
    &["name", "listen", "discovery", "management", "admin", "seed", "limits", "known", "settings"];
/// The keys that the platform's settings object has; those that no decision reads are carried all the same.
const SETTINGS: &[&str] = &[
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

fn known_only(object: &Map<String, Value>, at: &str, known: &[&str]) -> Result<(), String> {
    let odd = object.keys().find(|key| !known.contains(&key.as_str()));
    odd.map_or(Ok(()), |key| Err(format!("{at}{key}: it is not known here: mend its name, or take it out")))
}

/// What the old file cannot tell of the new deployment.
#[derive(Clone, Debug, Default)]
pub struct Target {
    /// How many sidecars the pool has.
    pub sidecars: Option<u32>,
    /// This sidecar's number among them, from 0.
    pub number: Option<u32>,
    /// Where the front reaches this sidecar.
    pub listen: Option<String>,
    /// Where the list of upstreams comes from.
    pub discovery: Option<String>,
    /// The zones, this sidecar's first.
    pub zones: Vec<String>,
    /// Upstreams do less work for a subject that they met lately; `None`: as the old file says.
    pub warm_keys: Option<bool>,
}

/// A new file, and what its operator should know.
#[derive(Clone, Debug, PartialEq)]
pub struct Migrated {
    /// The new configuration.
    pub file: Value,
    /// Each key that was changed, with what it was and is.
    pub changed: Vec<String>,
    /// Each key that could not be carried over, with why, and what to do.
    pub left: Vec<String>,
}

/// The counterpart of an old configuration; the error names the key and its mend.
pub fn migrate(old: &Value, target: &Target) -> Result<Migrated, String> {
    let mut file = old.as_object().ok_or("the file: it is no JSON object")?.clone();
    let settings = file.get("settings").ok_or("settings: it is missing")?;
    crate::check(settings, None)?;
    let mut settings = settings.as_object().ok_or("settings: it is no object")?.clone();
    // A key that nobody knows is a slip of the pen, or of a newer form than this program's: no counterpart can be given.
    known_only(&file, "", FILE)?;
    known_only(&settings, "settings.", SETTINGS)?;
    let (mut changed, mut left) = (Vec::new(), Vec::new());
    if settings.get("discovery").and_then(Value::as_str) == Some("pushed") {
        return Err("settings.discovery: it is \"pushed\" already: this file has the new shape".into());
    }
    let numbers = |settings: &Map<String, Value>, key: &str| settings.get(key).and_then(Value::as_u64);
    let sidecars = target.sidecars.map(u64::from).or(numbers(&settings, "balancers"));
    let number = target.number.map(u64::from).or(numbers(&settings, "me"));
    if let (Some(of), Some(me)) = (sidecars, number) {
        if me >= of {
            return Err(format!(
                "settings.me: {me} is not below the {of} sidecars: give --number and --sidecars"
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
            "settings.balancers: how many sidecars the pool has is not in the file; as it was (--sidecars)"
                .into(),
        ),
    }
    match target.number {
        Some(n) => set(&mut settings, "settings.", "me", json!(n)),
        None => left.push(
            "settings.me: a number beside one client says nothing of the pool; as it was (--number)".into(),
        ),
    }
    if target.zones.is_empty() {
        left.push("settings.areas: the new deployment's zones are not in the file; as they were (--zone, own one first)".into());
    } else {
        set(&mut settings, "settings.", "areas", json!(target.zones));
        set(&mut settings, "settings.", "my_zone", json!(0));
    }
    if settings.get("rules").and_then(|r| r.get("must_ask_in_s")).is_some() {
        left.push(
            "settings.rules.must_ask_in_s: nothing is asked for where the list is pushed; kept, not used"
                .into(),
        );
    }
    let prices = settings.get("prices").and_then(|p| p.get("cross_zone"));
    if prices.is_none() {
        left.push("settings.prices.cross_zone: the old file has no price for crossings: add it, or crossings are free".into());
    }
    if settings.get("tenants").and_then(Value::as_array).is_none_or(Vec::is_empty) {
        left.push("settings.tenants: the old file names none: add them with their shares".into());
    }
    left.push("settings.classes: carried as they are; aims, deadlines and effects are the old deployment's: compare each".into());
    file.insert("settings".into(), Value::Object(settings));
    match &target.listen {
        Some(at) => set(&mut file, "", "listen", json!(at)),
        None if file.get("listen").and_then(Value::as_str).is_some_and(is_loopback) => left.push(
            "listen: a loopback address is reached by one client process alone; the front needs another (--listen)".into(),
        ),
        None => {}
    }
    match &target.discovery {
        Some(at) => set(&mut file, "", "discovery", json!(at)),
        None => left.push(
            "discovery: the new deployment's address is not in the file; as it was (--discovery)".into(),
        ),
    }
    // Upstreams of another fleet would get the first requests, and their names bring nothing.
    let empty = json!({"seq": 0, "whole": true, "hosts": []});
    let hosts = file.get("known").and_then(|k| k.get("hosts")).and_then(Value::as_array).map_or(0, Vec::len);
    if hosts > 0 {
        left.push(format!("known: its {hosts} upstreams are the old deployment's; emptied: healthz says no until the list has come"));
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
    fn the_counterpart_is_of_the_new_shape_and_keeps_the_rest() {
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
    fn what_the_file_cannot_tell_is_listed_and_left_as_it_was() {
        let new = migrate(&old(), &Target::default()).expect("good");
        for key in ["listen", "discovery", "settings.areas", "settings.me", "settings.balancers"] {
            assert!(new.left.iter().any(|l| l.starts_with(&format!("{key}:"))), "{key}: {:?}", new.left);
        }
        for path in ["/listen", "/discovery", "/settings/areas", "/settings/me", "/settings/balancers"] {
            assert_eq!(new.file.pointer(path), old().pointer(path), "{path}");
        }
    }

    #[test]
    fn what_is_wrong_is_told_by_its_key() {
        let told = |change: &dyn Fn(&mut Value), target: &Target| {
            let mut file = old();
            change(&mut file);
            migrate(&file, target).expect_err("refused")
        };
        let none = Target::default();
        assert!(
            told(&|f| f["settings"]["discovery"] = json!("pushed"), &none).starts_with("settings.discovery:")
        );
        assert!(told(&|f| f["settings"]["classes"] = json!([]), &none).starts_with("settings.classes:"));
        assert!(told(&|f| f["lissten"] = json!("x"), &none).starts_with("lissten:"));
        assert!(told(&|f| f["settings"]["wieghts"] = json!("x"), &none).starts_with("settings.wieghts:"));
        assert!(told(&|f| *f = json!([]), &none).starts_with("the file:"));
        assert!(told(&|f| *f = json!({}), &none).starts_with("settings:"));
        let few = Target { sidecars: Some(1), ..Target::default() };
        assert!(told(&|_| {}, &few).starts_with("settings.me:"));
    }
}
