//! Typed access to the fields of one item.

use serde_json::{Map, Value};
use silvercross_config_item::{check_name, ItemError, ItemProblem};
use silvercross_time::Duration;

use crate::error::{MemberError, MemberProblem};
use crate::member::MAX_TIME;

const MICROS_PER_SECOND: f64 = 1e6;
/// Largest value up to which a float represents every whole number exactly (2^53).
const MAX_EXACT_FLOAT: f64 = 9_007_199_254_740_992.0;

/// An item's fields and the label of the item in errors. A field that is null counts as absent.
pub(super) struct Fields<'a> {
    pub(super) item: &'a str,
    pub(super) map: &'a Map<String, Value>,
}

impl<'a> Fields<'a> {
    pub(super) fn error(&self, key: &str, problem: impl Into<MemberProblem>) -> MemberError {
        ItemError::new(self.item, key, problem)
    }

    /// A field that is present and not null.
    pub(super) fn non_null(&self, key: &str) -> Option<&'a Value> {
        self.map.get(key).filter(|value| !value.is_null())
    }

    pub(super) fn string(&self, key: &str) -> Result<Option<&'a str>, MemberError> {
        match self.non_null(key) {
            None => Ok(None),
            Some(Value::String(string)) => Ok(Some(string)),
            Some(_) => Err(self.error(key, MemberProblem::NoString)),
        }
    }

    pub(super) fn name(&self) -> Result<String, MemberError> {
        let name = self.string("name")?.ok_or_else(|| self.error("name", ItemProblem::Missing))?;
        check_name(self.item, name)?;
        Ok(name.to_string())
    }

    pub(super) fn version(&self) -> Result<u64, MemberError> {
        // The version's name on the wire.
        let key = "edition";
        self.whole_number(key)?.ok_or_else(|| self.error(key, ItemProblem::Missing))
    }

    /// A whole number of at least 0, in any JSON notation.
    pub(super) fn whole_number(&self, key: &str) -> Result<Option<u64>, MemberError> {
        let Some(value) = self.non_null(key) else { return Ok(None) };
        if let Some(number) = value.as_u64() {
            return Ok(Some(number));
        }
        let is_whole = |n: &f64| *n >= 0.0 && n.fract() == 0.0 && *n <= MAX_EXACT_FLOAT;
        match value.as_f64().filter(is_whole) {
            Some(number) => Ok(Some(number as u64)),
            None => Err(self.error(key, MemberProblem::NoWholeNumber)),
        }
    }

    pub(super) fn number(&self, key: &str) -> Result<Option<f64>, MemberError> {
        let Some(value) = self.non_null(key) else { return Ok(None) };
        match value.as_f64().filter(|number| number.is_finite()) {
            Some(number) => Ok(Some(number)),
            None => Err(self.error(key, MemberProblem::NoNumber)),
        }
    }

    /// Seconds above 0, rounded to microseconds; at least one microsecond.
    pub(super) fn seconds(&self, key: &str) -> Result<Option<Duration>, MemberError> {
        let Some(seconds) = self.number(key)? else { return Ok(None) };
        let micros = (seconds * MICROS_PER_SECOND).round();
        if micros < 1.0 {
            return Err(self.error(key, ItemProblem::DurationNotPositive));
        }
        if micros > MAX_TIME.as_micros() as f64 {
            let max_seconds = MAX_TIME.as_micros() / 1_000_000;
            return Err(self.error(key, MemberProblem::TimeTooLong { max_seconds }));
        }
        Ok(Some(Duration::from_micros(micros as i64)))
    }
}
