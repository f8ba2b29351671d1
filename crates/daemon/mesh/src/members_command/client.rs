//! Calls to nodes' control addresses.
use crate::peer_connection;
use anyhow::{anyhow, bail, Context, Result};
use serde_json::Value;
use silvercross_net::http;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::timeout;

/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// The largest response, in bytes.
const MAX_RESPONSE_BYTES: u64 = 32 << 20;
/// Most attempts at a call that is redirected.
const MAX_CALLS: usize = 3;
/// The path at which every node reports its members.
const LIST_PATH: &str = "/-/Members.List";

/// One node's report on members.
pub(super) struct NodeReport {
    /// The node's control address.
    pub(super) address: String,
    /// The node's response; `None`: it did not respond.
    pub(super) members: Option<Value>,
}

struct Response {
    status: u16,
    /// The redirect target.
    location: Option<String>,
    body: Value,
}

/// Makes one call on a connection of its own, which is closed after the response.
async fn call_once(at: SocketAddr, method: &str, path: &str, body: &str) -> Result<Response> {
    let length = body.len();
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {at}\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\
         Connection: close\r\n\r\n{body}"
    );
    let mut stream = peer_connection::connect(None, at, CALL_TIMEOUT).await.context("not reached")?;
    stream.write_all(request.as_bytes()).await?;
    let mut bytes = Vec::new();
    stream.take(MAX_RESPONSE_BYTES).read_to_end(&mut bytes).await?;
    let mut header_storage = http::empty_headers();
    let head = http::response_head(&bytes, &mut header_storage).ok().flatten().context("no answer")?;
    let location = head.headers.one("location").ok().flatten().map(str::to_string);
    let body = serde_json::from_slice(bytes.get(head.len..).unwrap_or_default());
    Ok(Response { status: head.status, location, body: body.unwrap_or(Value::Null) })
}

/// Makes a call and follows redirects.
async fn call(at: SocketAddr, method: &str, path: &str, body: &str) -> Result<Response> {
    let (mut at, mut path) = (at, path.to_string());
    for _ in 0..MAX_CALLS {
        let response = timeout(CALL_TIMEOUT, call_once(at, method, &path, body)).await;
        let response = response.unwrap_or_else(|_| Err(anyhow!("no answer in time"))).context(at)?;
        if response.status != 307 {
            return Ok(response);
        }
        let location = response.location.as_deref();
        let target = location.and_then(|location| location.strip_prefix("http://")?.split_once('/'));
        let (host, rest) = target.with_context(|| format!("{at}: redirect without a valid location"))?;
        (at, path) = (host.parse().with_context(|| format!("{host}: not an address"))?, format!("/{rest}"));
    }
    bail!("{at}: too many redirects")
}

/// Changes a member; `operation` is the call's name after `Members.`.
pub(super) async fn change_member(at: SocketAddr, operation: &str, name: &str, body: &str) -> Result<()> {
    let path = format!("/-/Members.{operation}/{}", percent_encoded(name));
    let response = call(at, "POST", &path, body).await?;
    match response.status {
        200 => Ok(()),
        503 => bail!("{name}: not settled now (look with members show, then send it again)"),
        status => bail!("{status} {}", response.body["error"].as_str().unwrap_or("")),
    }
}

/// Percent-encodes a name for a path.
fn percent_encoded(name: &str) -> String {
    let is_plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-._~".contains(&byte);
    let encoded = |byte: u8| match is_plain(byte) {
        true => char::from(byte).to_string(),
        false => format!("%{byte:02X}"),
    };
    name.bytes().map(encoded).collect()
}

/// The members as reported by each node, first by the node at `at`.
pub(super) async fn ask_all_nodes(at: SocketAddr) -> Result<Vec<NodeReport>> {
    let first = call(at, "GET", LIST_PATH, "").await?.body;
    let nodes = first["nodes"].as_array().into_iter().flatten();
    let mut addresses: Vec<String> =
        nodes.filter_map(|node| node["control"].as_str().map(str::to_string)).collect();
    addresses.sort();
    let others = addresses.into_iter().filter(|address| first["control"].as_str() != Some(address));
    let tasks: Vec<_> = others.map(|address| tokio::spawn(ask_node(address))).collect();
    let mut reports = vec![NodeReport { address: at.to_string(), members: Some(first) }];
    for task in tasks {
        reports.push(task.await?);
    }
    Ok(reports)
}

async fn ask_node(address: String) -> NodeReport {
    let members = match address.parse() {
        Ok(at) => {
            let response = timeout(CALL_TIMEOUT, call(at, "GET", LIST_PATH, "")).await;
            response.ok().and_then(Result::ok).map(|response| response.body)
        }
        Err(_) => None,
    };
    NodeReport { address, members }
}
