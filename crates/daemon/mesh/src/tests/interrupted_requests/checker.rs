//! Checks the delivery rules against what the client and the upstreams observed.
use super::case::{Case, Fault, RequestKind, UpstreamBehaviour};
use super::client::{request_body, ClientResponse, Conversation};
use super::upstream::{response_body, UpstreamRun, INTERRUPTED_ID};

/// Describes each violated rule.
pub(super) fn violations(case: Case, conversation: &Conversation, log: &[UpstreamRun]) -> Vec<String> {
    let mut violations = Vec::new();
    if conversation.has_surplus {
        violations.push("MIXED: bytes received beyond the expected responses".to_string());
    }
    violations.extend(reused_after_surplus(case, conversation));
    for run in log {
        let request = if run.id == INTERRUPTED_ID { case.request } else { RequestKind::Once };
        if !conversation.responses.contains_key(run.id.as_str()) || run.body != request_body(request) {
            violations.push(format!("UNASKED: {} with {} bytes", run.id, run.body.len()));
        }
    }
    for (id, response) in &conversation.responses {
        match response {
            Some(response) => violations.extend(check_response(case, id, response, log)),
            // A response whose forwarding has begun can only be aborted.
            None if *id == INTERRUPTED_ID
                && case.upstream == UpstreamBehaviour::ServesLong
                && case.interruption.is_some() => {}
            None => violations.push(format!("{id}: no response")),
        }
    }
    violations
}

/// The request after surplus bytes must be sent on a new connection.
fn reused_after_surplus(case: Case, conversation: &Conversation) -> Option<String> {
    let interruption = case.interruption?;
    let is_surplus = matches!(interruption.fault, Fault::SurplusByte | Fault::DoubleResponse);
    let next = conversation.responses.get("y")?;
    if !is_surplus || next.as_ref().is_some_and(|next| next.status == "200") {
        return None;
    }
    let all = conversation.responses.iter();
    let statuses: Vec<_> = all.map(|(id, r)| (id, r.as_ref().map(|r| &r.status))).collect();
    Some(format!("a connection was used again after a surplus byte: {statuses:?}"))
}

fn check_response(case: Case, id: &str, response: &ClientResponse, log: &[UpstreamRun]) -> Vec<String> {
    let mut violations = Vec::new();
    let is_interrupted = id == INTERRUPTED_ID;
    let is_safe = is_interrupted && case.request == RequestKind::Safe;
    let runs: Vec<&UpstreamRun> = log.iter().filter(|run| run.id == id && run.status != 503).collect();
    let arrived = log.iter().filter(|run| run.id == id).count();
    if runs.len() > if is_safe { 2 } else { 1 } || arrived > 2 {
        violations.push(format!("TWICE: {id} ran {} times and arrived {arrived} times", runs.len()));
    }
    let is_promise = matches!(response.status.as_str(), "408" | "421" | "429" | "503");
    if is_promise && !is_safe && !runs.is_empty() {
        violations.push(format!("REFUSED: {id} with {}, and ran", response.status));
    }
    if response.id != id {
        violations.push(format!("MIXED: {id} received the response to {:?}", response.id));
    }
    let run = response.stamp.as_ref().and_then(|stamp| runs.iter().find(|run| run.stamp == *stamp));
    let is_from_upstream = run.is_some_and(|run| {
        let is_long = is_interrupted && case.upstream == UpstreamBehaviour::ServesLong;
        run.status.to_string() == response.status
            && response.body == response_body(&run.stamp, is_long).into_bytes()
    });
    let is_from_sidecar =
        response.stamp.is_none() && matches!(response.status.as_str(), "502" | "503" | "504");
    if !is_from_upstream && !is_from_sidecar {
        let (status, stamp) = (&response.status, &response.stamp);
        let body = String::from_utf8_lossy(&response.body);
        violations.push(format!("MIXED: {id} with {status} {stamp:?} {body:?}"));
    }
    violations
}
