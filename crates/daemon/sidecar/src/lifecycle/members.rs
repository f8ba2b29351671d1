//! The command `members`: asks running sidecars over their doors who is in the fleet, and where their views differ.
use clap::Args;
use serde_json::Value;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A door that has not answered by then is told of as silent.
const PATIENCE: Duration = Duration::from_secs(3);
/// An answer is no longer.
const LONGEST: u64 = 4 << 20;

/// What is asked.
#[derive(Debug, Args)]
pub struct Order {
    /// A sidecar's management address; several: with commas.
    #[arg(long, required = true, value_delimiter = ',')]
    at: Vec<SocketAddr>,
    /// Print what it told, as JSON.
    #[arg(long)]
    json: bool,
    /// Ask all of them and show where they differ; the exit code is 0 only if they don't.
    #[arg(long)]
    compare: bool,
}

/// Ask, and print. The error is one plain line.
pub fn run(order: &Order, out: &mut impl Write) -> Result<(), String> {
    let told: Vec<(SocketAddr, Result<Value, String>)> = order.at.iter().map(|at| (*at, ask(*at))).collect();
    let io = |e: std::io::Error| format!("cannot write: {e}");
    let mut silent = 0;
    for (at, value) in &told {
        match value {
            Ok(value) if order.json => writeln!(out, "{value}").map_err(io)?,
            Ok(value) if !order.compare => show(value, out).map_err(io)?,
            Ok(_) => {}
            Err(why) => {
                silent += 1;
                writeln!(out, "{at}: {why}").map_err(io)?;
            }
        }
    }
    if order.compare {
        let good: Vec<_> = told.iter().filter_map(|(at, v)| Some((at, v.as_ref().ok()?))).collect();
        let differ = compare(&good, out).map_err(io)?;
        if differ > 0 {
            return Err(format!("{differ} of {} differ from the first", good.len()));
        }
    }
    match silent {
        0 => Ok(()),
        n => Err(format!("{n} of {} did not tell", told.len())),
    }
}

fn ask(at: SocketAddr) -> Result<Value, String> {
    let fault = |e: std::io::Error| format!("it can't be asked: {e}");
    let mut socket = TcpStream::connect_timeout(&at, PATIENCE).map_err(fault)?;
    socket.set_read_timeout(Some(PATIENCE)).map_err(fault)?;
    socket.write_all(b"GET /admin/members HTTP/1.1\r\nHost: door\r\n\r\n").map_err(fault)?;
    let mut text = String::new();
    socket.take(LONGEST).read_to_string(&mut text).map_err(fault)?;
    let (head, body) = text.split_once("\r\n\r\n").ok_or("it told nothing")?;
    if !head.starts_with("HTTP/1.1 200 ") {
        return Err(body.trim().to_string());
    }
    serde_json::from_str(body).map_err(|e| format!("it told what is no list: {e}"))
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

/// Members that one holds to be there, by identity and name.
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

/// How many see others than the first one does.
fn compare(told: &[(&SocketAddr, &Value)], out: &mut impl Write) -> std::io::Result<usize> {
    let Some((first_at, first)) = told.first() else { return Ok(0) };
    let base = live(first);
    writeln!(out, "{first_at} ({}): {} live, {}", first["name"], base.len(), first["view"])?;
    let mut differ = 0;
    for (at, v) in &told[1..] {
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
