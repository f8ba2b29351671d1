//! `doctor`: compares the views of all nodes and says what differs and the likely reason.
//!
//! The checks decide without I/O, each from the same [`Subject`]. Read on at [`subject`], then any of the checks.
mod control_nodes;
mod evacuations;
mod finding;
mod membership;
mod propagation;
mod routes;
mod services;
mod settings;
mod subject;
mod upstreams;

pub(crate) use finding::{Finding, FindingKey, Severity};

use crate::mesh_client::MeshView;
use serde_json::Value;
use std::collections::BTreeSet;
use subject::Subject;

/// What is not as it should be, the worst first. `configuration` holds all items, where they are known.
pub(crate) fn diagnose(view: &MeshView, configuration: Option<&Value>) -> Vec<Finding> {
    let subject = Subject::new(view);
    let mut found = membership::check(&subject);
    found.extend(propagation::check(&subject));
    found.extend(evacuations::check(&subject));
    found.extend(upstreams::check(&subject));
    found.extend(services::check(&subject));
    found.extend(control_nodes::check(&subject));
    found.extend(settings::check(&subject));
    found.extend(configuration.into_iter().flat_map(|configuration| routes::check(&subject, configuration)));
    found.sort();
    found
}

/// What was found both times: the rest passed by itself.
pub(crate) fn lasting(first: &[Finding], second: Vec<Finding>) -> Vec<Finding> {
    let before: BTreeSet<FindingKey> = first.iter().map(Finding::key).collect();
    second.into_iter().filter(|finding| before.contains(&finding.key())).collect()
}
