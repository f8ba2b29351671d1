//! The command `members`: queries the management listeners of running sidecars for the fleet's members, and compares their
//! views.
use clap::Args;
use serde_json::Value;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Timeout for connecting to a sidecar's management address, and for each read from it.
const TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum size of a response, in bytes.
const MAX_RESPONSE_BYTES: u64 = 4 << 20;

/// Arguments of `members`.
#[derive(Debug, Args)]
pub struct Order {
    /// A sidecar's management address; several are separated by commas.
    #[arg(long, required = true, value_delimiter = ',')]
    at: Vec<SocketAddr>,
    /// Print the responses as JSON.
    #[arg(long)]
    json: bool,
    /// Query all of them and show where their views differ; the exit code is 0 only if they agree.
    #[arg(long)]
    compare: bool,
}

/// Queries the sidecars and prints the result. The error is a single line.
pub fn run(order: &Order, out: &mut impl Write) -> Result<(), String> {
    let views: Vec<(SocketAddr, Result<Value, String>)> =
        order.at.iter().map(|at| (*at, fetch_members(*at))).collect();
    let io = |e: std::io::Error| format!("cannot write: {e}");
    let mut failed_count = 0;
    for (at, value) in &views {
        match value {
            Ok(value) if order.json => writeln!(out, "{value}").map_err(io)?,
            Ok(value) if !order.compare => show(value, out).map_err(io)?,
            Ok(_) => {}
            Err(why) => {
                failed_count += 1;
                writeln!(out, "{at}: {why}").map_err(io)?;
            }
        }
    }
    if order.compare {
        let good: Vec<_> = views.iter().filter_map(|(at, v)| Some((at, v.as_ref().ok()?))).collect();
        let differ = compare(&good, out).map_err(io)?;
        if differ > 0 {
            return Err(format!("{differ} of {} differ from the first", good.len()));
        }
    }
    match failed_count {
        0 => Ok(()),
        n => Err(format!("{n} of {} did not answer", views.len())),
    }
}

fn fetch_members(at: SocketAddr) -> Result<Value, String> {
    let fault = |e: std::io::Error| format!("request failed: {e}");
    let mut socket = TcpStream::connect_timeout(&at, TIMEOUT).map_err(fault)?;
    socket.set_read_timeout(Some(TIMEOUT)).map_err(fault)?;
    socket.write_all(b"GET /admin/members HTTP/1.1\r\nHost: door\r\n\r\n").map_err(fault)?;
    let mut text = String::new();
    socket.take(MAX_RESPONSE_BYTES).read_to_string(&mut text).map_err(fault)?;
    let (head, body) = text.split_once("\r\n\r\n").ok_or("incomplete response")?;
    if !head.starts_with("HTTP/1.1 200 ") {
        return Err(body.trim().to_string());
    }
    serde_json::from_str(body).map_err(|e| format!("invalid response: {e}"))
}

fn show(v: &Value, out: &mut impl Write) -> std::io::Result<()> {
    let text = |v: &Value| v.as_str().unwrap_or("-").to_string();
    writeln!(
        out,
        "{} ({}) sees its fleet {}: {} live, {} failed, {} counted as sending",
        text(&v["name"]),
        text(&v["id"]),
        text(&v["view"]),
        v["live"],
        v["failed"],
        v["senders_in_force"]
    )?;
    writeln!(
        out,
        "{:<16} {:<20} {:<8} {:>9} {:>9} {:<21} last told by",
        "name", "identity", "state", "since s", "heard s", "at"
    )?;
    for o in v["others"].as_array().into_iter().flatten() {
        let heard = o["heard_s"].as_f64().map_or("never".into(), |h| format!("{h:.1}"));
        writeln!(
            out,
            "{:<16} {:<20} {:<8} {:>9.1} {heard:>9} {:<21} {}",
            text(&o["name"]),
            text(&o["id"]),
            text(&o["state"]),
            o["since_s"].as_f64().unwrap_or(0.0),
            text(&o["at"]),
            text(&o["by"])
        )?;
    }
    Ok(())
}

/// Members that a sidecar regards as alive or suspect, and the sidecar itself: identity and name, sorted.
fn live(v: &Value) -> Vec<(String, String)> {
    let mut live: Vec<(String, String)> = v["others"]
        .as_array()
        .into_iter()
        .flatten()
        .filter(|o| o["state"] == "alive" || o["state"] == "suspect")
        .chain(std::iter::once(v))
        .map(|o| (o["id"].as_str().unwrap_or("").into(), o["name"].as_str().unwrap_or("").into()))
        .collect();
    live.sort();
    live
}

/// Prints the differences from the first sidecar's view; returns the number of sidecars whose view differs.
fn compare(views: &[(&SocketAddr, &Value)], out: &mut impl Write) -> std::io::Result<usize> {
    let Some((first_at, first)) = views.first() else { return Ok(0) };
    let base = live(first);
    writeln!(out, "{first_at} ({}): {} live, {}", first["name"], base.len(), first["view"])?;
    let mut differ = 0;
    for (at, v) in &views[1..] {
        let other = live(v);
        writeln!(out, "{at} ({}): {} live, {}", v["name"], other.len(), v["view"])?;
        differ += usize::from(other != base);
        for (id, name) in other.iter().filter(|m| !base.contains(m)) {
            writeln!(out, "  sees {name} ({id}), which the first does not")?;
        }
        for (id, name) in base.iter().filter(|m| !other.contains(m)) {
            writeln!(out, "  does not see {name} ({id}), which the first does")?;
        }
    }
    Ok(differ)
}
