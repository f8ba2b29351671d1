//! Values of items, read by the kind that each must be.

use std::fmt;

use figment::error::Kind;
use serde::de::{DeserializeOwned, Error, Unexpected, Visitor};
use serde::{Deserialize, Deserializer};
use serde_json::Value;
use silvercross_config_item::{ItemError, ItemProblem};
use silvercross_time::Duration;

use crate::error::{ConfigurationError, ConfigurationProblem};

/// No time in an item is longer (about 31 years): longer ones are cut to it, so that sums of times never overflow.
pub const MAX_DURATION: Duration = Duration::from_secs(1_000_000_000);

const MICROS_PER_SECOND: f64 = 1e6;
/// Above this a float no longer tells neighbouring whole numbers apart (2^53).
const MAX_EXACT_FLOAT: f64 = 9_007_199_254_740_992.0;

/// Read an item's fields. `figment` says which key doesn't fit and why.
pub(super) fn extract<T: DeserializeOwned>(item: &str, value: &Value) -> Result<T, ConfigurationError> {
    if !value.is_object() {
        return Err(ItemError::new(item, "item", ItemProblem::ItemIsNoObject));
    }
    let wrong = |error: figment::Error| match error.kind {
        Kind::MissingField(key) => ItemError::new(item, key.as_ref(), ItemProblem::Missing),
        kind => {
            // The innermost key; numbers are positions in lists.
            let key = error.path.iter().rev().find(|part| part.parse::<usize>().is_err());
            ItemError::new(item, key.map_or("item", String::as_str), ConfigurationProblem::WrongValue(kind))
        }
    };
    let fields = figment::value::Value::serialize(value).map_err(wrong)?;
    fields.deserialize().map_err(wrong)
}

/// A time above 0, rounded to microseconds, of which there is at least one.
pub(super) fn duration(item: &str, key: &str, seconds: f64) -> Result<Duration, ConfigurationError> {
    if !(seconds.is_finite() && seconds > 0.0) {
        return Err(ItemError::new(item, key, ItemProblem::NoTime));
    }
    let micros = (seconds * MICROS_PER_SECOND).round().clamp(1.0, MAX_DURATION.as_micros() as f64);
    Ok(Duration::from_micros(micros as i64))
}

/// A name and version to withdraw. Fields have their wire names where these differ.
#[derive(Deserialize)]
pub(super) struct WithdrawalForm {
    pub(super) name: String,
    #[serde(rename = "edition")]
    pub(super) version: WholeNumber,
}

/// A whole number from 0 on, however it is written.
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
        let wrong = |_| E::invalid_value(Unexpected::Signed(number), &self);
        u64::try_from(number).map(WholeNumber).map_err(wrong)
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
