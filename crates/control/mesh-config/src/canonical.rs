//! One text for all ways to write the same JSON.

use serde_json::{Number, Value};

/// The text with keys in order, no blanks, and each number written in one way: 4 and 4.0 are the same. `None` if it is
/// no JSON.
pub(crate) fn canonical(text: &str) -> Option<String> {
    let value = serde_json::from_str::<Value>(text).ok()?;
    let mut out = String::with_capacity(text.len());
    write(&mut out, &value);
    Some(out)
}

/// No deeper than what the reader of JSON allows (128).
fn write(out: &mut String, value: &Value) {
    match value {
        Value::Number(number) => out.push_str(&plain(number)),
        Value::Array(list) => {
            out.push('[');
            for value in list {
                write(out, value);
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
                write(out, value);
                out.push(',');
            }
            out.push('}');
        }
        _ => out.push_str(&value.to_string()),
    }
}

/// A whole number in digits, however it was written; any other as the shortest text that reads back as it.
fn plain(number: &Number) -> String {
    match number.as_f64().filter(|_| number.is_f64()) {
        // Far above what an edition or a size can be; beyond it the float's own text is as good.
        Some(float) if float.fract() == 0.0 && float.abs() < 1e30 => format!("{}", float as i128),
        _ => number.to_string(),
    }
}
