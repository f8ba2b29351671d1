//! A line of the event feed, in words for people.
use crate::wire::text;
use serde_json::Value;

fn gap_text(line: &Value, kind: &str) -> String {
    let more = if line["more"] == true { " and more" } else { "" };
    let (reason, snapshot) = (text(line, "why"), text(line, "snapshot"));
    format!("! {kind}: {}{more} not sent, {reason} (snapshot: {snapshot})", line["count"])
}

/// What lies between this event and the one of the same key before it.
fn missed_text(line: &Value) -> String {
    match line["missed"].as_u64() {
        Some(0) => String::new(),
        Some(count) => format!(" ({count} before it not sent)"),
        None if line["after"].is_string() => " (a new term)".to_string(),
        None => String::new(),
    }
}

/// A line for people. `None`: it is not for them.
pub(crate) fn event_text(line: &Value) -> Option<String> {
    if let Some(kind) = line["gap"].as_str() {
        return Some(gap_text(line, kind));
    }
    let key = line["key"].as_str()?;
    let state = line["state"].as_object()?;
    let words: Vec<String> = state
        .iter()
        .map(|(name, value)| match value {
            Value::String(text) if name == "is" => text.clone(),
            Value::String(text) => format!("{name} {text}"),
            other => format!("{name} {other}"),
        })
        .collect();
    let about = ["service", "zone"].map(|name| line[name].as_str().unwrap_or_default());
    let about: String = about.iter().filter(|word| !word.is_empty()).map(|word| format!(" {word}")).collect();
    Some(format!("{key}{about}: {}{}", words.join(", "), missed_text(line)))
}
