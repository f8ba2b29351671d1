//! The canonical text of a JSON value.

use serde_json::{Number, Value};

/// Canonical form of a JSON text: keys sorted, no whitespace, and equal numbers written alike (4 and 4.0 are the same).
/// `None` if it is not valid JSON. Hashes of this text are stored on disk, so it must not change.
pub fn canonical_json(text: &str) -> Option<String> {
    let value = serde_json::from_str::<Value>(text).ok()?;
    let mut out = String::with_capacity(text.len());
    write_value(&mut out, &value);
    Some(out)
}

/// The recursion depth is bounded by that of the JSON parser (128).
fn write_value(out: &mut String, value: &Value) {
    match value {
        Value::Number(number) => out.push_str(&canonical_number(number)),
        Value::Array(list) => {
            out.push('[');
            for value in list {
                write_value(out, value);
                out.push(',');
            }
            out.push(']');
        }
        Value::Object(map) => {
            let mut entries: Vec<_> = map.iter().collect();
            entries.sort_by_key(|(key, _)| key.as_str());
            out.push('{');
            for (key, value) in entries {
                out.push_str(&Value::from(key.as_str()).to_string());
                out.push(':');
                write_value(out, value);
                out.push(',');
            }
            out.push('}');
        }
        _ => out.push_str(&value.to_string()),
    }
}

/// An integer is written in digits, also if it was written as a float; any other number as the shortest text that
/// parses to it.
fn canonical_number(number: &Number) -> String {
    match number.as_f64().filter(|_| number.is_f64()) {
        // The bound keeps the cast exact and is far above any version or size; larger floats keep their own text.
        Some(float) if float.fract() == 0.0 && float.abs() < 1e30 => format!("{}", float as i128),
        _ => number.to_string(),
    }
}
