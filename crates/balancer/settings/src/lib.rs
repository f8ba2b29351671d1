//! Reads the settings object that a deployment passes to each instance and converts it into the core's settings. Unknown
//! keys are ignored. All programs that run the balancer read it here, so that they interpret it alike.
#![forbid(unsafe_code)]
pub mod migrate;

use serde::Deserialize;
use silvercross_core::interface::{Class, DedupGroup, Micros, Prices, Repeatability, Settings, Tenant};

/// The names behind the indices in the settings, and what only a program with sockets needs. The core does not use these.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ProxySettings {
    /// Names of the classes, in order.
    pub classes: Vec<String>,
    /// Names of the tenants, in order.
    pub tenants: Vec<String>,
    /// Names of the zones, in order.
    pub zones: Vec<String>,
    /// Names of the machine kinds, in order.
    pub kinds: Vec<String>,
    /// Upstreams close a connection that has been idle for this long; `None`: not stated.
    pub upstream_idle_timeout: Option<Micros>,
}

/// Converts seconds, the unit of the settings and of the benchmark's protocol, to whole microseconds.
pub fn seconds(s: f64) -> Micros {
    (s * 1e6).round().clamp(-9e15, 9e15) as Micros
}

/// FNV-1a hash of a key or a name, the same at every instance and in every run.
pub fn digest(key: &str) -> u64 {
    key.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3))
}

#[derive(Deserialize)]
struct RawSettings {
    #[serde(default = "one_u32")]
    balancers: u32,
    #[serde(default)]
    me: u32,
    #[serde(default)]
    my_zone: u32,
    #[serde(default)]
    areas: Vec<serde_json::Value>,
    #[serde(default)]
    shapes: Vec<serde_json::Value>,
    classes: Vec<RawClass>,
    #[serde(default)]
    tenants: Vec<RawTenant>,
    #[serde(default = "one")]
    over_share_worth: f64,
    #[serde(default)]
    counted_by: String,
    #[serde(default)]
    clients: RawClients,
    #[serde(default)]
    discovery: String,
    #[serde(default)]
    family_info: RawFamilyInfo,
    #[serde(default)]
    goal: RawGoal,
    limits: RawLimits,
    rules: RawRules,
    #[serde(default)]
    prices: RawPrices,
}

#[derive(Deserialize)]
struct RawClass {
    #[serde(default)]
    name: String,
    aim_s: f64,
    deadline_s: f64,
    #[serde(default)]
    aim_stretch: f64,
    effect: String,
    #[serde(default)]
    dedup_scope: String,
    #[serde(default)]
    key_ttl_s: f64,
    #[serde(default = "one")]
    importance: f64,
    #[serde(default)]
    late_value: f64,
    #[serde(default)]
    stream: bool,
}

#[derive(Deserialize)]
struct RawTenant {
    #[serde(default)]
    name: String,
    #[serde(default)]
    share: f64,
    #[serde(default)]
    allowance_per_s: f64,
}

#[derive(Deserialize, Default)]
struct RawClients {
    #[serde(default)]
    marks_retry: bool,
}

#[derive(Deserialize)]
#[serde(default)]
struct RawGoal {
    whole: f64,
}

impl Default for RawGoal {
    fn default() -> Self {
        RawGoal { whole: 1.0 }
    }
}

#[derive(Deserialize, Default)]
struct RawFamilyInfo {
    #[serde(default)]
    warm_keys: bool,
}

#[derive(Deserialize)]
struct RawLimits {
    #[serde(default = "one_u32")]
    attempts_cap: u32,
    #[serde(default)]
    connect_timeout_s: f64,
    #[serde(default)]
    idle_close_s: f64,
    #[serde(default)]
    max_retry_after_s: f64,
    #[serde(default)]
    may_cancel: bool,
    #[serde(default)]
    probes: bool,
    #[serde(default)]
    retry_after: bool,
    #[serde(default)]
    second_copies: bool,
}

#[derive(Deserialize)]
struct RawRules {
    #[serde(default = "one")]
    cold_from: f64,
    #[serde(default)]
    drain_grace_s: f64,
    #[serde(default = "many")]
    fall_multiple: f64,
    #[serde(default)]
    fall_s: f64,
    #[serde(default = "long")]
    must_ask_in_s: f64,
    #[serde(default)]
    warm_within_s: f64,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct RawPrices {
    cross_zone: f64,
    late_fail: f64,
    probe: f64,
    waste: f64,
}

fn one() -> f64 {
    1.0
}
fn many() -> f64 {
    1e9
}
fn long() -> f64 {
    1e6
}
fn one_u32() -> u32 {
    1
}

/// Checks a settings object, also against the one in force if there is one. The error names the key.
pub fn check(value: &serde_json::Value, in_force: Option<&serde_json::Value>) -> Result<(), String> {
    if let Some(in_force) = in_force {
        check_keys_present(value, in_force, "settings")?;
    }
    let text_of =
        |c: &serde_json::Value, key: &str| c.get(key).and_then(|v| v.as_str()).unwrap_or("").to_string();
    let classes = value.get("classes").and_then(|c| c.as_array()).filter(|c| !c.is_empty());
    let classes = classes.ok_or("settings.classes: there must be at least one class")?;
    let mut names = std::collections::HashSet::new();
    for (i, c) in classes.iter().enumerate() {
        let key = format!("settings.classes[{i}]");
        let name = text_of(c, "name");
        if name.is_empty() {
            return Err(format!("{key}.name: must not be empty"));
        }
        if !names.insert(name.clone()) {
            return Err(format!("{key}.name: {name:?} is used twice"));
        }
        for part in ["aim_s", "deadline_s"] {
            positive(c.get(part)).map_err(|why| format!("{key}.{part}: {why}"))?;
        }
        if text_of(c, "effect") == "by_key" {
            if let Some(ttl) = c.get("key_ttl_s") {
                positive(Some(ttl)).map_err(|why| format!("{key}.key_ttl_s: {why}"))?;
            }
        }
    }
    if let Some(warm) = value.get("family_info").and_then(|f| f.get("warm_keys")) {
        if !warm.is_boolean() {
            return Err(format!("settings.family_info.warm_keys: {warm} is not a boolean"));
        }
    }
    if let Some(whole) = value.get("goal").and_then(|g| g.get("whole")) {
        if !whole.as_f64().is_some_and(|w| (0.0..=1.0).contains(&w)) {
            return Err(format!("settings.goal.whole: {whole} is not between 0 and 1"));
        }
    }
    if let Some(how) = value.get("discovery").filter(|how| *how != "pushed" && *how != "on_request") {
        return Err(format!("settings.discovery: {how} is neither \"pushed\" nor \"on_request\""));
    }
    if let Some(cap) = value.get("limits").and_then(|l| l.get("attempts_cap")) {
        positive(Some(cap)).map_err(|why| format!("settings.limits.attempts_cap: {why}"))?;
    }
    Ok(())
}

fn positive(value: Option<&serde_json::Value>) -> Result<(), String> {
    match value.and_then(|v| v.as_f64()) {
        Some(x) if x.is_finite() && x > 0.0 => Ok(()),
        _ => Err(format!("{} is not a positive number", value.map_or("nothing".into(), |v| v.to_string()))),
    }
}

/// Checks that every key of the object in force is also present in the new one; for a list of objects, every key that all
/// of them have.
pub fn check_keys_present(
    value: &serde_json::Value,
    in_force: &serde_json::Value,
    at: &str,
) -> Result<(), String> {
    use serde_json::Value::{Array, Object};
    match (in_force, value) {
        (Object(old), Object(new)) => old.iter().try_for_each(|(key, was)| {
            let at = format!("{at}.{key}");
            new.get(key).ok_or(format!("{at}: is missing")).and_then(|is| check_keys_present(is, was, &at))
        }),
        (Object(_), _) => Err(format!("{at}: is not an object")),
        (Array(old), Array(new)) => {
            let Some((first, rest)) = old.split_first() else { return Ok(()) };
            let Object(first) = first else { return Ok(()) };
            let common = |key: &&String| rest.iter().all(|o| o.get(key.as_str()).is_some());
            let common: Vec<_> = first.keys().filter(common).collect();
            new.iter().enumerate().try_for_each(|(i, is)| {
                let missing = common.iter().find(|key| is.get(key.as_str()).is_none());
                missing.map_or(Ok(()), |key| Err(format!("{at}[{i}].{key}: is missing")))
            })
        }
        (Array(_), _) => Err(format!("{at}: is not a list")),
        _ => Ok(()),
    }
}

/// Parses the settings object from JSON text.
pub fn read(text: &str) -> Result<Settings, String> {
    core_settings(&serde_json::from_str(text).map_err(|e| format!("settings: {e}"))?)
}

/// Reads the settings object as part of a larger JSON document, together with what a program with sockets needs.
pub fn read_value(value: serde_json::Value) -> Result<(Settings, ProxySettings), String> {
    let raw: RawSettings = serde_json::from_value(value).map_err(|e| format!("settings: {e}"))?;
    let names_of = |v: &[serde_json::Value]| v.iter().map(|n| n.as_str().unwrap_or("").to_string()).collect();
    let proxy = ProxySettings {
        classes: raw.classes.iter().map(|c| c.name.clone()).collect(),
        tenants: raw.tenants.iter().map(|t| t.name.clone()).collect(),
        zones: names_of(&raw.areas),
        kinds: names_of(&raw.shapes),
        upstream_idle_timeout: (raw.limits.idle_close_s > 0.0).then(|| seconds(raw.limits.idle_close_s)),
    };
    Ok((core_settings(&raw)?, proxy))
}

fn core_settings(raw: &RawSettings) -> Result<Settings, String> {
    let classes = raw.classes.iter().map(class).collect::<Result<Vec<_>, _>>()?;
    let (limits, rules, prices) = (&raw.limits, &raw.rules, &raw.prices);
    Ok(Settings {
        instances: raw.balancers.max(1),
        instance_index: raw.me,
        own_zone: raw.my_zone,
        zones: (raw.areas.len() as u32).max(raw.my_zone + 1),
        classes,
        tenants: raw
            .tenants
            .iter()
            .map(|t| Tenant { share: t.share, allowance_per_s: t.allowance_per_s })
            .collect(),
        over_share_value: raw.over_share_worth,
        value_per_work: raw.counted_by == "work",
        total_value_weight: raw.goal.whole,
        prices: Prices {
            cross_zone: prices.cross_zone,
            waste: prices.waste,
            late_fail: prices.late_fail,
            probe: prices.probe,
        },
        list_on_request: raw.discovery == "on_request",
        max_list_age: seconds(rules.must_ask_in_s),
        drain_grace: seconds(rules.drain_grace_s),
        initial_capacity: rules.cold_from,
        warm_up_time: seconds(rules.warm_within_s),
        overload_multiple: rules.fall_multiple,
        overload_window: seconds(rules.fall_s),
        cold_rate: None,
        cold_senders: 0,
        retry_ratio: None,
        max_saved_retries: None,
        max_attempts: limits.attempts_cap,
        connect_timeout: seconds(limits.connect_timeout_s),
        may_cancel: limits.may_cancel,
        may_hedge: limits.second_copies,
        probes: limits.probes,
        max_retry_after: limits.retry_after.then(|| seconds(limits.max_retry_after_s)),
        clients_mark_retries: raw.clients.marks_retry,
        key_affinity: raw.family_info.warm_keys,
    })
}

fn class(c: &RawClass) -> Result<Class, String> {
    let group = match c.dedup_scope.as_str() {
        "all" | "" => DedupGroup::All,
        "zone" => DedupGroup::Zone,
        "cell" => DedupGroup::Cell,
        other => return Err(format!("settings: unknown dedup_scope {other:?}")),
    };
    let repeatability = match c.effect.as_str() {
        "repeatable" => Repeatability::Repeatable,
        "by_key" => Repeatability::Keyed { group, window: seconds(c.key_ttl_s) },
        "once" => Repeatability::Once,
        other => return Err(format!("settings: unknown effect {other:?}")),
    };
    Ok(Class {
        latency_target: seconds(c.aim_s),
        target_per_work: c.aim_stretch,
        deadline: seconds(c.deadline_s),
        value: c.importance,
        late_value_share: c.late_value,
        repeatability,
        stream: c.stream,
        max_receivers: None,
        cross_zone_cost: 0.0,
    })
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::{json, Value};

    fn valid() -> Value {
        json!({"areas": ["a"], "rules": {"cold_from": 0.3}, "limits": {"attempts_cap": 3}, "classes": [
            {"name": "a", "aim_s": 0.5, "deadline_s": 2.0, "effect": "repeatable"},
            {"name": "b", "aim_s": 0.5, "deadline_s": 2.0, "effect": "by_key", "key_ttl_s": 30.0}]})
    }

    fn changed(path: &str, to: Option<Value>) -> Value {
        let mut value = valid();
        let (parent, key) = path.rsplit_once('/').expect("a path");
        let parent = value.pointer_mut(parent).expect("there");
        match (to, parent) {
            (Some(to), parent) => parent[key] = to,
            (None, Value::Object(o)) => drop(o.remove(key)),
            (None, _) => unreachable!("only keys are removed"),
        }
        value
    }

    #[test]
    fn each_error_names_its_key() {
        let cases = [
            ("/classes", Some(json!([])), "settings.classes:"),
            ("/classes", Some(json!({})), "settings.classes:"),
            ("/classes", None, "settings.classes:"),
            ("/classes/1/name", Some(json!("a")), "settings.classes[1].name:"),
            ("/classes/0/name", Some(json!("")), "settings.classes[0].name:"),
            ("/classes/0/aim_s", Some(json!(0)), "settings.classes[0].aim_s:"),
            ("/classes/0/deadline_s", Some(json!(-2.0)), "settings.classes[0].deadline_s:"),
            ("/classes/1/deadline_s", Some(json!("2")), "settings.classes[1].deadline_s:"),
            ("/classes/1/deadline_s", Some(Value::Null), "settings.classes[1].deadline_s:"),
            ("/classes/1/deadline_s", None, "settings.classes[1].deadline_s:"),
            ("/classes/1/effect", None, "settings.classes[1].effect:"),
            ("/classes/1/key_ttl_s", Some(json!(0)), "settings.classes[1].key_ttl_s:"),
            ("/limits/attempts_cap", Some(json!(0)), "settings.limits.attempts_cap:"),
            ("/limits/attempts_cap", None, "settings.limits.attempts_cap:"),
            ("/limits", Some(json!(3)), "settings.limits:"),
            ("/rules/cold_from", None, "settings.rules.cold_from:"),
            ("/areas", None, "settings.areas:"),
            ("/discovery", Some(json!("asked")), "settings.discovery:"),
            ("/goal", Some(json!({"whole": 1.5})), "settings.goal.whole:"),
            ("/family_info", Some(json!({"warm_keys": "yes"})), "settings.family_info.warm_keys:"),
        ];
        for (path, to, key) in cases {
            let why = check(&changed(path, to.clone()), Some(&valid())).expect_err(path);
            assert!(why.starts_with(key), "{path} {to:?}: {why}");
        }
        assert_eq!(check(&valid(), Some(&valid())), Ok(()));
        assert_eq!(check(&valid(), None), Ok(()));
    }

    #[test]
    fn optional_keys_have_defaults() {
        let stated =
            |raw: Value| read_value(changed("/family_info", Some(raw))).expect("good").0.key_affinity;
        assert!(!read_value(valid()).expect("good").0.key_affinity);
        assert_eq!(
            read_value(valid()).expect("good").0.total_value_weight,
            1.0,
            "the total value alone, unless stated"
        );
        assert!(
            !stated(json!({})) && !stated(json!({"warm_keys": false})) && stated(json!({"warm_keys": true}))
        );
    }

    #[test]
    fn a_key_that_only_some_classes_have_may_be_missing_in_a_new_one() {
        let class = json!({"name": "c", "aim_s": 1, "deadline_s": 3, "effect": "once"});
        assert_eq!(check(&changed("/classes", Some(json!([class]))), Some(&valid())), Ok(()));
    }
}
