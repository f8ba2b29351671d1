//! Parses a destination.

use serde::Deserialize;
use silvercross_config_item::{check_name, ItemError};
use silvercross_time::Duration;

use super::fields::{duration, WholeNumber};
use crate::destination::Destination;
use crate::error::{ConfigurationError, ConfigurationProblem};

const DEFAULT_HEALTH_PATH: &str = "/health";
const DEFAULT_PROTOCOL: &str = "h1";

/// A destination as sent. Attributes give the external names where these differ.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct DestinationForm {
    name: String,
    health_path: Option<String>,
    #[serde(rename = "lineCap")]
    max_connections: Option<WholeNumber>,
    protocol: Option<String>,
    #[serde(rename = "sealed")]
    tls: Option<bool>,
    #[serde(rename = "coldS")]
    slow_start_s: Option<f64>,
    #[serde(rename = "coldRateS")]
    slow_start_rate: Option<f64>,
    #[serde(rename = "edition")]
    version: WholeNumber,
}

/// Converts a destination as sent. Errors identify it as `item`.
pub(super) fn parse(item: &str, form: DestinationForm) -> Result<Destination, ConfigurationError> {
    check_name(item, &form.name)?;
    let health_path = form.health_path.unwrap_or_else(|| DEFAULT_HEALTH_PATH.to_string());
    // The path becomes part of a request line, so it must not contain whitespace or line breaks.
    if !health_path.starts_with('/') || !health_path.bytes().all(|b| b.is_ascii_graphic()) {
        return Err(ItemError::new(item, "healthPath", ConfigurationProblem::MalformedHealthPath));
    }
    let max_connections = form.max_connections.map_or(u32::MAX, WholeNumber::saturating_u32);
    if max_connections == 0 {
        return Err(ItemError::new(item, "lineCap", ConfigurationProblem::NoConnections));
    }
    let slow_start = match form.slow_start_s {
        None | Some(0.0) => Duration::ZERO,
        Some(seconds) if seconds > 0.0 => duration(item, "coldS", seconds)?,
        Some(_) => return Err(ItemError::new(item, "coldS", ConfigurationProblem::NegativeSlowStart)),
    };
    let slow_start_rate = form.slow_start_rate.unwrap_or(f64::INFINITY);
    if slow_start_rate.is_nan() || slow_start_rate < 0.0 {
        return Err(ItemError::new(item, "coldRateS", ConfigurationProblem::NegativeSlowStartRate));
    }
    Ok(Destination {
        name: form.name,
        health_path,
        max_connections,
        slow_start,
        slow_start_rate,
        version: form.version.0,
        protocol: form.protocol.unwrap_or_else(|| DEFAULT_PROTOCOL.to_string()),
        tls: form.tls.unwrap_or(false),
    })
}
