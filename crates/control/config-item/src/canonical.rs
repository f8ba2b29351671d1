//! One text for all ways to write the same JSON.

use serde_json::{Number, Value};

/// The text with keys in order, without blanks, and each number written in one way: 4 and 4.0 are the same. `None` if it
/// is no JSON. On disk are hashes of this text: it must not change.
pub fn canonical_json(text: &str) -> Option<String> {
    let value = serde_json::from_str::<Value>(text).ok()?;
    let mut out = String::with_capacity(text.len());
    write_value(&mut out, &value);
    Some(out)
}

/// Recurses no deeper than what the JSON parser admits (128).
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

/// A whole number in digits, however it was written; any other as the shortest text that reads back as it.
fn canonical_number(number: &Number) -> String {
    match number.as_f64().filter(|_| number.is_f64()) {
        // Far above what a version or a size can be; beyond it the float's own text is as good.
        Some(float) if float.fract() == 0.0 && float.abs() < 1e30 => format!("{}", float as i128),
        _ => number.to_string(),
    }
}
