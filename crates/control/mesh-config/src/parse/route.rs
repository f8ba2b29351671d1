//! Parses a route.

use serde::Deserialize;
use silvercross_config_item::{check_name, ItemError, RouteKind};

use super::fields::{duration, WholeNumber};
use crate::error::{ConfigurationError, ConfigurationProblem};
use crate::route::{Route, WeightedDestination};
use crate::wire::PATH_PREFIX;

/// A route as sent. Attributes give the external names where these differ.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct RouteForm {
    name: String,
    #[serde(rename = "lane")]
    path_prefix: String,
    route_kind: String,
    deadline_s: f64,
    target_s: Option<f64>,
    priority: Option<WholeNumber>,
    #[serde(rename = "attempts")]
    max_attempts: Option<WholeNumber>,
    destination: Option<String>,
    split: Option<Vec<ShareForm>>,
    #[serde(rename = "edition")]
    version: WholeNumber,
    delivery_regions: Option<Vec<String>>,
}

#[derive(Deserialize)]
struct ShareForm {
    destination: String,
    share: f64,
}

/// Converts a route of a virtual host as sent. Errors identify it as `item`.
pub(super) fn parse(item: &str, virtual_host: &str, form: RouteForm) -> Result<Route, ConfigurationError> {
    check_name(item, &form.name)?;
    if !(form.path_prefix.starts_with('/') && form.path_prefix.ends_with('/')) {
        return Err(ItemError::new(item, PATH_PREFIX, ConfigurationProblem::MalformedPathPrefix));
    }
    let Some(kind) = RouteKind::parse(&form.route_kind) else {
        return Err(ItemError::new(item, "routeKind", ConfigurationProblem::UnknownRouteKind));
    };
    let deadline = duration(item, "deadlineS", form.deadline_s)?;
    let latency_target = form.target_s.map_or(Ok(deadline), |s| duration(item, "targetS", s))?;
    let max_attempts = form.max_attempts.map_or(1, WholeNumber::saturating_u32);
    if max_attempts == 0 {
        return Err(ItemError::new(item, "attempts", ConfigurationProblem::NoAttempts));
    }
    Ok(Route {
        split: parse_split(item, form.destination, form.split)?,
        name: form.name,
        virtual_host: virtual_host.to_string(),
        path_prefix: form.path_prefix,
        kind,
        deadline,
        latency_target,
        priority: form.priority.map_or(0, WholeNumber::saturating_u32),
        max_attempts,
        version: form.version.0,
        regions: form.delivery_regions.unwrap_or_default(),
    })
}

/// The destinations of a route, which names either one destination or a split.
fn parse_split(
    item: &str,
    destination: Option<String>,
    shares: Option<Vec<ShareForm>>,
) -> Result<Vec<WeightedDestination>, ConfigurationError> {
    let error = |key: &str, problem| Err(ItemError::new(item, key, problem));
    let split: Vec<WeightedDestination> = match (destination, shares) {
        (Some(name), None) => vec![WeightedDestination { name, weight: 1.0 }],
        (None, Some(shares)) => shares
            .into_iter()
            .map(|form| WeightedDestination { name: form.destination, weight: form.share })
            .collect(),
        (Some(_), Some(_)) => return error("split", ConfigurationProblem::SplitAndDestination),
        (None, None) => return error("destination", ConfigurationProblem::NoDestination),
    };
    if split.is_empty() {
        return error("split", ConfigurationProblem::EmptyDestination);
    }
    if split.iter().any(|to| to.name.is_empty()) {
        return error("destination", ConfigurationProblem::EmptyDestination);
    }
    let sum: f64 = split.iter().map(|to| to.weight).sum();
    if !sum.is_finite() || split.iter().any(|to| !to.weight.is_finite() || to.weight < 0.0) {
        return error("share", ConfigurationProblem::ShareOutOfRange);
    }
    if sum <= 0.0 {
        return error("share", ConfigurationProblem::AllSharesZero);
    }
    Ok(split)
}
