//! `silvercross-mesh members`: asks one sidecar where the others are, and each of them how far its members are slowed. One moment's
//! table, or one each second.
use crate::peer_connection;
use anyhow::{anyhow, bail, Context, Result};
use serde_json::{json, Value};
use silvercross_net::http;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::timeout;

const HELP: &str = "silvercross-mesh members list|show|renew|lapse --at ADDRESS
  list              every member, and its step over all nodes
  show NAME         one member, node by node
  renew NAME        its slowing ends, and its trial or plan begins anew
    --lapses-in S     a trial for so many seconds; without any of the three for as long as the last time
    --lapses-at T     a trial until T, in seconds since 1970
    --full            no trial any more
  lapse NAME        its trial ends now
  --at ADDRESS      the control address of any sidecar
  --json            list, show: as JSON
  --watch           list, show: again each second, until interrupted
Code 1: not reached or refused; 2: not understood.";
/// A call is answered within this.
const LIMIT: Duration = Duration::from_secs(3);
/// No answer is larger.
const LARGEST: u64 = 32 << 20;
/// So often a call is sent on by the one called.
const FURTHER: usize = 3;

enum Command {
    List,
    Show(String),
    Renew(String, Value),
    Lapse(String),
}

/// Read the rest of the command line and do it.
pub fn run(mut args: pico_args::Arguments) -> Result<()> {
    if args.contains(["-h", "--help"]) {
        println!("{HELP}");
        return Ok(());
    }
    let word = args.subcommand()?;
    let at: Option<SocketAddr> = args.opt_value_from_str("--at")?;
    let (as_json, watch) = (args.contains("--json"), args.contains("--watch"));
    let span: Option<f64> = args.opt_value_from_str("--lapses-in")?;
    let until: Option<f64> = args.opt_value_from_str("--lapses-at")?;
    let full = args.contains("--full");
    let name: Option<String> = args.opt_free_from_str()?;
    let extra = args.finish();
    let command = match (word.as_deref(), name) {
        (Some("list"), None) => Command::List,
        (Some("show"), Some(name)) => Command::Show(name),
        (Some("lapse"), Some(name)) => Command::Lapse(name),
        (Some("renew"), Some(name)) => {
            let mut body = json!({});
            span.into_iter().for_each(|s| body["lapsesInS"] = json!(s));
            until.into_iter().for_each(|t| body["lapsesAt"] = json!(t));
            if full {
                body["plan"] = json!("full");
            }
            Command::Renew(name, body)
        }
        _ => bail!("say what is to be done\n{HELP}"),
    };
    if let Some(extra) = extra.first() {
        bail!("{}: not understood\n{HELP}", extra.to_string_lossy());
    }
    let at = at.ok_or_else(|| anyhow!("--at: missing (give the control address of a sidecar)"))?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let done = runtime.block_on(async {
        match command {
            Command::List => look(at, None, as_json, watch).await,
            Command::Show(name) => look(at, Some(name), as_json, watch).await,
            Command::Renew(name, body) => change(at, "Renew", &name, &body.to_string()).await,
            Command::Lapse(name) => change(at, "Lapse", &name, "").await,
        }
    });
    if let Err(e) = done {
        eprintln!("silvercross-mesh: {e:#}");
        std::process::exit(1);
    }
    Ok(())
}

/// An answer: its status, where it sends the caller, its body.
type Said = (u16, Option<String>, Value);

/// One call on a connection of its own, which ends with the answer.
async fn once(at: SocketAddr, method: &str, path: &str, body: &str) -> Result<Said> {
    let length = body.len();
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {at}\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\
         Connection: close\r\n\r\n{body}"
    );
    let mut stream = peer_connection::connect(None, at, LIMIT).await.context("not reached")?;
    stream.write_all(request.as_bytes()).await?;
    let mut bytes = Vec::new();
    stream.take(LARGEST).read_to_end(&mut bytes).await?;
    let mut room = http::lines();
    let head = http::answer_head(&bytes, &mut room).ok().flatten().context("no answer")?;
    let location = head.headers.one("location").ok().flatten().map(str::to_string);
    let said = serde_json::from_slice(bytes.get(head.len..).unwrap_or_default());
    Ok((head.status, location, said.unwrap_or(Value::Null)))
}

async fn call(at: SocketAddr, method: &str, path: &str, body: &str) -> Result<(u16, Value)> {
    let (mut at, mut path) = (at, path.to_string());
    for _ in 0..FURTHER {
        let answer = timeout(LIMIT, once(at, method, &path, body)).await;
        let (status, location, said) =
            answer.unwrap_or_else(|_| Err(anyhow!("no answer in time"))).context(at)?;
        if status != 307 {
            return Ok((status, said));
        }
        let there = location.as_deref().and_then(|l| l.strip_prefix("http://")?.split_once('/'));
        let (host, rest) = there.with_context(|| format!("{at}: it names nobody to ask"))?;
        (at, path) = (host.parse().with_context(|| format!("{host}: no address"))?, format!("/{rest}"));
    }
    bail!("{at}: sent on again and again")
}

async fn change(at: SocketAddr, what: &str, name: &str, body: &str) -> Result<()> {
    let path = format!("/-/Members.{what}/{}", coded(name));
    let (status, said) = call(at, "POST", &path, body).await?;
    match status {
        200 => Ok(()),
        503 => bail!("{name}: not settled now (look with members show, then send it again)"),
        _ => bail!("{status} {}", said["error"].as_str().unwrap_or("")),
    }
}

/// A name as it stands in a path.
fn coded(name: &str) -> String {
    let plain = |b: u8| b.is_ascii_alphanumeric() || b"-._~".contains(&b);
    name.bytes().map(|b| if plain(b) { char::from(b).to_string() } else { format!("%{b:02X}") }).collect()
}

/// What each node says; `None` where it did not answer.
async fn gather(at: SocketAddr) -> Result<Vec<(String, Option<Value>)>> {
    let (_, first) = call(at, "GET", "/-/Members.List", "").await?;
    let others = first["nodes"].as_array().into_iter().flatten();
    let mut to: Vec<String> = others.filter_map(|n| n["control"].as_str().map(str::to_string)).collect();
    to.sort();
    let tasks: Vec<_> = to
        .into_iter()
        .filter(|there| first["control"].as_str() != Some(there))
        .map(|there| {
            tokio::spawn(async move {
                let said = match there.parse() {
                    Ok(at) => {
                        timeout(LIMIT, call(at, "GET", "/-/Members.List", "")).await.ok().and_then(Result::ok)
                    }
                    Err(_) => None,
                };
                (there, said.map(|(_, said)| said))
            })
        })
        .collect();
    let mut all = vec![(at.to_string(), Some(first))];
    for task in tasks {
        all.push(task.await?);
    }
    Ok(all)
}

async fn look(at: SocketAddr, name: Option<String>, as_json: bool, watch: bool) -> Result<()> {
    loop {
        match gather(at).await {
            Ok(all) => print(&all, name.as_deref(), as_json)?,
            Err(e) if watch => println!("{e:#}"),
            Err(e) => return Err(e),
        }
        if !watch {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
}

fn rows<'a>(said: &'a Value, name: &'a str) -> impl Iterator<Item = &'a Value> {
    said["members"].as_array().into_iter().flatten().filter(move |m| m["name"] == name)
}

fn step(row: &Value) -> String {
    format!("{}/{}", row["step"], row["of"])
}

fn age(row: &Value) -> String {
    row["ageS"].as_f64().map_or("-".to_string(), |s| format!("{s:.1}"))
}

fn print(all: &[(String, Option<Value>)], name: Option<&str>, as_json: bool) -> Result<()> {
    if as_json {
        let nodes: Vec<Value> = all
            .iter()
            .map(|(at, said)| {
                let of = |said: &Value| match name {
                    Some(name) => rows(said, name).cloned().collect(),
                    None => said["members"].as_array().cloned().unwrap_or_default(),
                };
                json!({ "at": at, "node": said.as_ref().map(|s| s["node"].clone()), "members": said.as_ref().map(of) })
            })
            .collect();
        println!("{}", json!({ "nodes": nodes }));
        return Ok(());
    }
    let said = || all.iter().filter_map(|(_, said)| said.as_ref());
    if let Some(name) = name {
        if !said().any(|s| rows(s, name).next().is_some()) {
            bail!("{name:?}: no member on any node (see members list)");
        }
        println!(
            "{:<22} {:<12} {:<6} {:>8} {:>7} {:>7} {:>8}  owner",
            "at", "node", "plan", "edition", "lapsed", "step", "age s"
        );
        for (at, said) in all {
            let row = said.as_ref().and_then(|s| rows(s, name).next());
            let node = said.as_ref().and_then(|s| s["node"].as_str()).unwrap_or("-");
            match row {
                Some(row) => println!(
                    "{at:<22} {node:<12} {:<6} {:>8} {:>7} {:>7} {:>8}  {}",
                    row["plan"].as_str().unwrap_or("-"),
                    row["edition"].to_string(),
                    if row["lapsed"] == true { "yes" } else { "no" },
                    step(row),
                    age(row),
                    row["owner"].as_str().unwrap_or("-")
                ),
                None if said.is_some() => println!("{at:<22} {node:<12} knows no such member"),
                None => println!("{at:<22} does not answer"),
            }
        }
        return Ok(());
    }
    let mut names: Vec<&str> = said()
        .flat_map(|s| s["members"].as_array().into_iter().flatten())
        .filter_map(|m| m["name"].as_str())
        .collect();
    names.sort_unstable();
    names.dedup();
    println!(
        "{:<24} {:<6} {:>8}  steps over {} nodes ({} answered)",
        "member",
        "plan",
        "edition",
        all.len(),
        said().count()
    );
    for name in names {
        let found: Vec<&Value> = said().filter_map(|s| rows(s, name).next()).collect();
        let mut steps: Vec<(u64, String, usize)> = Vec::new();
        for row in &found {
            let text = step(row);
            match steps.iter_mut().find(|s| s.1 == text) {
                Some(s) => s.2 += 1,
                None => steps.push((row["step"].as_u64().unwrap_or(0), text, 1)),
            }
        }
        steps.sort();
        let steps: Vec<String> = steps.into_iter().map(|(_, text, n)| format!("{text} on {n}")).collect();
        let newest = found.iter().max_by_key(|row| row["edition"].as_u64());
        let plan = newest.and_then(|row| row["plan"].as_str()).unwrap_or("-");
        let edition = newest.map_or("-".to_string(), |row| row["edition"].to_string());
        println!("{name:<24} {plan:<6} {edition:>8}  {}", steps.join(", "));
    }
    Ok(())
}
