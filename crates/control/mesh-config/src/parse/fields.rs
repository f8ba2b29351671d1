//! Parses the fields of items by their types.

use std::fmt;

use figment::error::Kind;
use serde::de::{DeserializeOwned, Error, Unexpected, Visitor};
use serde::{Deserialize, Deserializer};
use serde_json::Value;
use silvercross_config_item::{ItemError, ItemProblem};
use silvercross_time::Duration;

use crate::error::{ConfigurationError, ConfigurationProblem};

/// Maximum duration in an item, about 31 years. Longer ones are clamped to it, so that sums of durations do not
/// overflow.
pub const MAX_DURATION: Duration = Duration::from_secs(1_000_000_000);

const MICROS_PER_SECOND: f64 = 1e6;
/// Largest float up to which all integers are represented exactly (2^53).
const MAX_EXACT_FLOAT: f64 = 9_007_199_254_740_992.0;

/// Parses an item's fields. Errors of `figment` name the offending key and the reason.
pub(super) fn extract<T: DeserializeOwned>(item: &str, value: &Value) -> Result<T, ConfigurationError> {
    if !value.is_object() {
        return Err(ItemError::new(item, "item", ItemProblem::ItemIsNoObject));
    }
    let item_error = |error: figment::Error| match error.kind {
        Kind::MissingField(key) => ItemError::new(item, key.as_ref(), ItemProblem::Missing),
        kind => {
            // The innermost key; numeric parts are positions in lists.
            let key = error.path.iter().rev().find(|part| part.parse::<usize>().is_err());
            ItemError::new(item, key.map_or("item", String::as_str), ConfigurationProblem::WrongValue(kind))
        }
    };
    let fields = figment::value::Value::serialize(value).map_err(item_error)?;
    fields.deserialize().map_err(item_error)
}

/// A duration above 0, rounded to microseconds; at least 1 µs.
pub(super) fn duration(item: &str, key: &str, seconds: f64) -> Result<Duration, ConfigurationError> {
    if !(seconds.is_finite() && seconds > 0.0) {
        return Err(ItemError::new(item, key, ItemProblem::DurationNotPositive));
    }
    let micros = (seconds * MICROS_PER_SECOND).round().clamp(1.0, MAX_DURATION.as_micros() as f64);
    Ok(Duration::from_micros(micros as i64))
}

/// A withdrawal as sent. Attributes give the external names where these differ.
#[derive(Deserialize)]
pub(super) struct WithdrawalForm {
    pub(super) name: String,
    #[serde(rename = "edition")]
    pub(super) version: WholeNumber,
}

/// A non-negative integer, also if it is written as a float.
#[derive(Clone, Copy)]
pub(super) struct WholeNumber(pub(super) u64);

impl WholeNumber {
    pub(super) fn saturating_u32(self) -> u32 {
        u32::try_from(self.0).unwrap_or(u32::MAX)
    }
}

struct WholeNumberVisitor;

impl Visitor<'_> for WholeNumberVisitor {
    type Value = WholeNumber;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a whole number from 0 on")
    }

    fn visit_u64<E: Error>(self, number: u64) -> Result<WholeNumber, E> {
        Ok(WholeNumber(number))
    }

    fn visit_i64<E: Error>(self, number: i64) -> Result<WholeNumber, E> {
        let value_error = |_| E::invalid_value(Unexpected::Signed(number), &self);
        u64::try_from(number).map(WholeNumber).map_err(value_error)
    }

    fn visit_f64<E: Error>(self, number: f64) -> Result<WholeNumber, E> {
        if number >= 0.0 && number.fract() == 0.0 && number <= MAX_EXACT_FLOAT {
            Ok(WholeNumber(number as u64))
        } else {
            Err(E::invalid_value(Unexpected::Float(number), &self))
        }
    }
}

impl<'de> Deserialize<'de> for WholeNumber {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        from.deserialize_u64(WholeNumberVisitor)
    }
}
