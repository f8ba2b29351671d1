//! The commands `records` and `drain`: query the records that running sidecars hold, and give them operators' orders, over
//! their management listeners.
use clap::{Args, Subcommand};
use serde_json::Value;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Timeout for connecting to a sidecar's management address, and for each read from it.
const TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum size of a response, in bytes.
const MAX_RESPONSE_BYTES: u64 = 4 << 20;

/// Arguments of `records`.
#[derive(Debug, Args)]
pub struct Order {
    /// A sidecar's management address; several are separated by commas.
    #[arg(long, global = true, value_delimiter = ',')]
    at: Vec<SocketAddr>,
    /// Print the responses as JSON.
    #[arg(long)]
    json: bool,
    /// Repeat every second.
    #[arg(long)]
    watch: bool,
    #[command(subcommand)]
    act: Option<Act>,
}

#[derive(Debug, Subcommand)]
enum Act {
    /// Found the records at one sidecar; the other members of the fleet join it. Done once in the life of a fleet.
    Found,
    /// Begin a new epoch of a group from the most advanced copy among these sidecars, if a majority of its holders is lost for
    /// good. What only the lost ones held is lost. Without --yes it only prints what would be done.
    Recover {
        /// Number of the group.
        #[arg(long)]
        group: u32,
        /// Carry it out.
        #[arg(long)]
        yes: bool,
    },
}

/// Arguments of `drain`, which drains an upstream for the whole fleet.
#[derive(Debug, Args)]
pub struct Drain {
    /// The upstream's name, as in discovery's lists.
    name: String,
    /// A sidecar's management address.
    #[arg(long)]
    at: SocketAddr,
    /// End the drain.
    #[arg(long)]
    end: bool,
}

/// Runs the command and prints the result. The error is a single line.
pub fn run(order: &Order, out: &mut impl Write) -> Result<(), String> {
    let first = order.at.first().ok_or("--at: a sidecar's management address")?;
    match &order.act {
        None => loop {
            let mut silent = 0;
            for at in &order.at {
                match send_request(*at, "GET", "/admin/records") {
                    Ok(v) if order.json => writeln!(out, "{v}").map_err(write_error)?,
                    Ok(v) => show(*at, &v, out).map_err(write_error)?,
                    Err(why) => {
                        silent += 1;
                        writeln!(out, "{at}: {why}").map_err(write_error)?;
                    }
                }
            }
            if !order.watch {
                return if silent == 0 {
                    Ok(())
                } else {
                    Err(format!("{silent} of {} did not answer", order.at.len()))
                };
            }
            std::thread::sleep(Duration::from_secs(1));
        },
        Some(Act::Found) => {
            let v = send_request(*first, "POST", "/admin/records/found")?;
            writeln!(out, "founded at {first}, epoch {}", v["epoch"]).map_err(write_error)
        }
        Some(Act::Recover { group, yes }) => recover(order, *group, *yes, out),
    }
}

/// Begins or ends a drain.
pub fn drain(order: &Drain, out: &mut impl Write) -> Result<(), String> {
    let method = if order.end { "DELETE" } else { "POST" };
    let v = send_request(order.at, method, &format!("/admin/drains/{}", order.name))?;
    let what = if order.end { "drains no longer by this order" } else { "drains" };
    writeln!(out, "{} {what}; held at version {}", order.name, v["version"]).map_err(write_error)
}

fn write_error(e: std::io::Error) -> String {
    format!("cannot write: {e}")
}

/// Begins a new epoch from the most advanced copy: the one with the later last term, then with the longer log. It has an
/// acknowledged entry if its holder was among those that acknowledged it.
fn recover(order: &Order, group: u32, yes: bool, out: &mut impl Write) -> Result<(), String> {
    let mut best: Option<((u64, u64), SocketAddr)> = None;
    let mut voters = 0;
    for at in &order.at {
        let v = match send_request(*at, "GET", "/admin/records") {
            Ok(v) => v,
            Err(why) => {
                writeln!(out, "{at}: {why}").map_err(write_error)?;
                continue;
            }
        };
        let g = v["groups"].as_array().into_iter().flatten().find(|g| g["group"] == group);
        let Some(copy) = g.map(|g| &g["copy"]).filter(|c| c.is_object() && c["ended"].is_null()) else {
            writeln!(out, "{at}: it holds no copy of group {group}").map_err(write_error)?;
            continue;
        };
        voters = voters.max(g.and_then(|g| g["known"]["voters"].as_array()).map_or(0, Vec::len));
        let position = (copy["last_term"].as_u64().unwrap_or(0), copy["last"].as_u64().unwrap_or(0));
        writeln!(
            out,
            "{at}: entries to {} of term {}, committed to {}",
            position.1, position.0, copy["commit"]
        )
        .map_err(write_error)?;
        if best.is_none_or(|b| position > b.0) {
            best = Some((position, *at));
        }
    }
    let (position, at) = best.ok_or(format!("none of these holds a copy of group {group}"))?;
    writeln!(
        out,
        "the best copy is at {at}; what was acknowledged by other holders alone of its {voters} is lost"
    )
    .map_err(write_error)?;
    if !yes {
        return writeln!(
            out,
            "nothing was done; with --yes a new epoch begins there, which old holders can't join"
        )
        .map_err(write_error);
    }
    let v = send_request(at, "POST", &format!("/admin/records/recover?group={group}"))?;
    writeln!(
        out,
        "epoch {} of group {group} begins at {at} from entry {} of term {}",
        v["epoch"], position.1, position.0
    )
    .map_err(write_error)
}

fn send_request(at: SocketAddr, method: &str, path: &str) -> Result<Value, String> {
    let fault = |e: std::io::Error| format!("request failed: {e}");
    let mut socket = TcpStream::connect_timeout(&at, TIMEOUT).map_err(fault)?;
    socket.set_read_timeout(Some(TIMEOUT)).map_err(fault)?;
    socket.write_all(format!("{method} {path} HTTP/1.1\r\nHost: door\r\n\r\n").as_bytes()).map_err(fault)?;
    let mut text = String::new();
    socket.take(MAX_RESPONSE_BYTES).read_to_string(&mut text).map_err(fault)?;
    let (head, body) = text.split_once("\r\n\r\n").ok_or("incomplete response")?;
    if !head.starts_with("HTTP/1.1 200 ") {
        return Err(body.trim().to_string());
    }
    serde_json::from_str(body).map_err(|e| format!("invalid response: {e}"))
}

fn show(at: SocketAddr, v: &Value, out: &mut impl Write) -> std::io::Result<()> {
    let text = |v: &Value| v.as_str().unwrap_or("nobody").to_string();
    writeln!(
        out,
        "{at} ({}) wants {} holders of each group, and keeps them {}",
        text(&v["id"]),
        v["holders"],
        if v["disk"] == true { "on its disk" } else { "in memory alone" }
    )?;
    for g in v["groups"].as_array().into_iter().flatten() {
        let known = &g["known"];
        if known.is_null() {
            writeln!(out, "  group {}: not known here; was it founded?", g["group"])?;
            continue;
        }
        let list =
            |k: &str| known[k].as_array().into_iter().flatten().map(text).collect::<Vec<_>>().join(" ");
        writeln!(
            out,
            "  group {}: led by {} in term {}; voters {}",
            g["group"],
            text(&known["leader"]),
            known["term"],
            list("voters")
        )?;
        if known["learners"].as_array().is_some_and(|l| !l.is_empty()) {
            writeln!(out, "    catching up: {}", list("learners"))?;
        }
        if let Some(silent) = g["silent_s"].as_f64() {
            writeln!(out, "    it has answered nothing for {silent:.1} s")?;
        }
        let copy = &g["copy"];
        if copy.is_null() {
            continue;
        }
        writeln!(out, "    copy here: entries to {}, committed to {}, applied to {}; {} records, {} documents, {} bytes",
            copy["last"], copy["commit"], copy["applied"], copy["records"], copy["documents"], copy["bytes"])?;
        if let Some(why) = copy["ended"].as_str() {
            writeln!(out, "    this copy has ended: {why}; restart the sidecar, and it is somebody new")?;
        }
        for (id, f) in copy["followers"].as_object().into_iter().flatten() {
            writeln!(
                out,
                "    {id} has it to {}, heard {:.1} s ago",
                f["matched"],
                f["heard_s"].as_f64().unwrap_or(0.0)
            )?;
        }
    }
    let drains: Vec<String> = v["drains"].as_array().into_iter().flatten().map(text).collect();
    if !drains.is_empty() {
        writeln!(out, "  drains by order: {}", drains.join(" "))?;
    }
    Ok(())
}
