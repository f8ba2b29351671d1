//! What an upstream answers with, so that the checker can tell whose answer to what it is.
use crate::http_connection::Request;
use crate::identifiers::hash;

/// The header that holds an answer's stamp. A name of the wire.
pub(super) const STAMP_HEADER: &str = "Postmark";

/// The body that an upstream answers with: who served what, and what came of the request's body.
pub fn response_body(upstream: &str, request: &Request) -> String {
    let id = request.attempt_id.as_deref().unwrap_or("-");
    let sender = request.sender.as_deref().unwrap_or("-");
    let (length, hash, target) = (request.body.len(), hash(&request.body), &request.target);
    format!("{upstream} served {id} {target} from {sender} with {length} bytes {hash:016x}\n")
}

/// The stamp of an answer.
pub fn stamp(upstream: &str, attempt_id: &str, body: &[u8]) -> String {
    let (id_hash, body_hash) = (hash(attempt_id.as_bytes()) as u32, hash(body));
    format!("{upstream}.{id_hash:08x}.{}.{body_hash:016x}", body.len())
}
