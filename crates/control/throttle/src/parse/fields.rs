//! The fields of one item, read by the kind of value each must be.

use serde_json::{Map, Value};
use silvercross_config_item::{check_name, ItemError, ItemProblem};
use silvercross_time::Duration;

use crate::error::{MemberError, MemberProblem};
use crate::member::MAX_TIME;

const MICROS_PER_SECOND: f64 = 1e6;
/// Above this a float no longer tells neighbouring whole numbers apart (2^53).
const MAX_EXACT_FLOAT: f64 = 9_007_199_254_740_992.0;

/// An item's fields, and how errors name the item. A field that is null counts as left out.
pub(super) struct Fields<'a> {
    pub(super) item: &'a str,
    pub(super) map: &'a Map<String, Value>,
}

impl<'a> Fields<'a> {
    pub(super) fn error(&self, key: &str, problem: impl Into<MemberProblem>) -> MemberError {
        ItemError::new(self.item, key, problem)
    }

    /// A field that is there and not null.
    pub(super) fn given(&self, key: &str) -> Option<&'a Value> {
        self.map.get(key).filter(|value| !value.is_null())
    }

    pub(super) fn text(&self, key: &str) -> Result<Option<&'a str>, MemberError> {
        match self.given(key) {
            None => Ok(None),
            Some(Value::String(text)) => Ok(Some(text)),
            Some(_) => Err(self.error(key, MemberProblem::NoString)),
        }
    }

    pub(super) fn name(&self) -> Result<String, MemberError> {
        let name = self.text("name")?.ok_or_else(|| self.error("name", ItemProblem::Missing))?;
        check_name(self.item, name)?;
        Ok(name.to_string())
    }

    pub(super) fn version(&self) -> Result<u64, MemberError> {
        // The wire's name.
        let key = "edition";
        self.whole_number(key)?.ok_or_else(|| self.error(key, ItemProblem::Missing))
    }

    /// A whole number from 0 on, however it is written.
    pub(super) fn whole_number(&self, key: &str) -> Result<Option<u64>, MemberError> {
        let Some(value) = self.given(key) else { return Ok(None) };
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
        let Some(value) = self.given(key) else { return Ok(None) };
        match value.as_f64().filter(|number| number.is_finite()) {
            Some(number) => Ok(Some(number)),
            None => Err(self.error(key, MemberProblem::NoNumber)),
        }
    }

    /// Seconds above 0, rounded to microseconds, of which there is at least one.
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
