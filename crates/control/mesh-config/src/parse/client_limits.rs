//! Parses the limits for clients.

use serde::Deserialize;
use silvercross_config_item::ItemError;
use silvercross_time::Duration;

use super::fields::{duration, WholeNumber};
use crate::client_limits::ClientLimits;
use crate::error::{ConfigurationError, ConfigurationProblem};

/// The limits as sent. Attributes give the external names where these differ.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct ClientLimitsForm {
    #[serde(rename = "envelopeBytes")]
    max_head_bytes: Option<WholeNumber>,
    #[serde(rename = "contentBytes")]
    max_body_bytes: Option<WholeNumber>,
    #[serde(rename = "envelopeS")]
    head_timeout_s: Option<f64>,
    #[serde(rename = "idleS")]
    idle_timeout_s: Option<f64>,
    #[serde(rename = "edition")]
    version: WholeNumber,
}

/// Converts the limits as sent. Errors identify them as `item`.
pub(super) fn parse(item: &str, form: ClientLimitsForm) -> Result<ClientLimits, ConfigurationError> {
    let bytes = |key: &str, given: Option<WholeNumber>, default: u64| match given {
        None => Ok(default),
        Some(WholeNumber(0)) => Err(ItemError::new(item, key, ConfigurationProblem::NoBytes)),
        Some(WholeNumber(bytes)) => Ok(bytes),
    };
    let time = |key: &str, given: Option<f64>, default: Duration| {
        given.map_or(Ok(default), |seconds| duration(item, key, seconds))
    };
    let default = ClientLimits::default();
    let max_head_bytes = bytes("envelopeBytes", form.max_head_bytes, default.max_head_bytes as u64)?;
    Ok(ClientLimits {
        max_head_bytes: usize::try_from(max_head_bytes).unwrap_or(usize::MAX),
        max_body_bytes: bytes("contentBytes", form.max_body_bytes, default.max_body_bytes)?,
        head_timeout: time("envelopeS", form.head_timeout_s, default.head_timeout)?,
        idle_timeout: time("idleS", form.idle_timeout_s, default.idle_timeout)?,
        version: form.version.0,
    })
}
