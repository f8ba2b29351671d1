//! The names by which a script's expectations may call the figures of a run.
use crate::baselines::NAMED;

/// Names of figures that are there in every run.
const PLAIN: [&str; 14] = [
    "served_worth",
    "worst_5s",
    "served",
    "refused",
    "failed",
    "gave_up",
    "tries_per_ask",
    "attempts_per_try",
    "connections_per_attempt",
    "crossed",
    "list_calls",
    "p50_ms",
    "p99_ms",
    "asks",
];
const RULES: [&str; 6] = ["lost", "sent_after", "duplicated", "drained_late", "cold_fallen", "broken"];

/// What a script declares that figures are counted by.
pub(crate) struct Declared<'s> {
    /// Names of its classes.
    pub(crate) classes: Vec<&'s str>,
    /// Names of its sites.
    pub(crate) sites: Vec<&'s str>,
}

/// Whether an expectation may name this.
pub(crate) fn is_name(name: &str, declared: &Declared<'_>) -> bool {
    let known = |n: &str| NAMED.iter().any(|(b, _)| *b == n);
    match name.split_once('.') {
        None => PLAIN.contains(&name),
        Some(("rules", rule)) => RULES.contains(&rule),
        Some(("by_class", class)) => declared.classes.contains(&class),
        Some(("by_site", site)) => declared.sites.contains(&site),
        Some(("gain" | "baselines", policy)) => known(policy),
        Some(_) => false,
    }
}
