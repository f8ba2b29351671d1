//! What holding costs: keyed requests of a class that is held and of one that is not, by turns, through the same sidecars of a
//! fleet of processes, at several numbers of connections and of groups. Pairs in one run; nothing here is a verdict.
use crate::fleet::stand_ins::{told, upstream, Effects};
use crate::records::clients::call;
use crate::sockets::{write_config, Files, Process, Program};
use clap::Args;
use hdrhistogram::Histogram;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::net::UnixStream;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Processes have so long to start, and groups to get their holders.
const START: Duration = Duration::from_secs(20);
/// An answer has to come by then.
const PATIENCE: Duration = Duration::from_secs(5);

/// What to measure.
#[derive(Debug, Args)]
pub struct CostArgs {
    /// The sidecar's program; none: the rehearsal's own copy.
    #[arg(long)]
    pub sidecar: Option<PathBuf>,
    /// Connections at a time, each number by itself.
    #[arg(long, value_delimiter = ',', default_value = "1,16,64")]
    pub connections: Vec<usize>,
    /// Groups, each number with a fleet of its own.
    #[arg(long, value_delimiter = ',', default_value = "1")]
    pub groups: Vec<u32>,
    /// Sidecars of the fleet.
    #[arg(long, default_value_t = 3)]
    pub members: usize,
    /// Seconds of each turn.
    #[arg(long, default_value_t = 2.0)]
    pub seconds: f64,
    /// Turns of each class.
    #[arg(long, default_value_t = 3)]
    pub turns: usize,
}

struct Fleet {
    _folder: tempfile::TempDir,
    _processes: Vec<Process>,
    fronts: Vec<SocketAddr>,
    over: Arc<AtomicBool>,
}

/// Measure, and print a table.
pub fn run(args: &CostArgs, program: &Program) -> Result<bool, String> {
    println!("| groups | connections | class | requests/s | p50 ms | p99 ms | marked |");
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for groups in &args.groups {
        let fleet = begin(args, *groups, program)?;
        let count = Arc::new(AtomicU64::new(0));
        for connections in &args.connections {
            let mut sums: Vec<(Histogram<u64>, u64, u64)> = Vec::new();
            for _ in 0..2 {
                sums.push((Histogram::new(3).map_err(|e| e.to_string())?, 0, 0));
            }
            for _ in 0..args.turns {
                for (class, sum) in ["free", "pay"].iter().zip(&mut sums) {
                    let (h, answers, marked) = turn(&fleet, class, *connections, args.seconds, &count)?;
                    sum.0.add(&h).map_err(|e| e.to_string())?;
                    (sum.1, sum.2) = (sum.1 + answers, sum.2 + marked);
                }
            }
            for (class, (h, answers, marked)) in ["not held", "held"].iter().zip(&sums) {
                println!(
                    "| {groups} | {connections} | {class} | {:.0} | {:.2} | {:.2} | {:.3} |",
                    *answers as f64 / args.seconds / args.turns as f64,
                    h.value_at_quantile(0.5) as f64 / 1e3,
                    h.value_at_quantile(0.99) as f64 / 1e3,
                    *marked as f64 / (*answers).max(1) as f64
                );
            }
        }
        fleet.over.store(true, Ordering::Relaxed);
    }
    Ok(true)
}

fn begin(args: &CostArgs, groups: u32, program: &Program) -> Result<Fleet, String> {
    let folder = tempfile::Builder::new().prefix("rehearse-cost-").tempdir().map_err(|e| e.to_string())?;
    let over: Arc<AtomicBool> = Arc::default();
    let effects =
        Effects { history: Arc::default(), origin: Arc::new(Mutex::new(Instant::now())), gather: 0 };
    let up = upstream("s-0".into(), Arc::default(), effects, over.clone()).map_err(|e| e.to_string())?;
    let ports: Vec<SocketAddr> = (0..args.members)
        .map(|_| TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()))
        .collect::<std::io::Result<_>>()
        .map_err(|e| e.to_string())?;
    let (tell, started) = channel();
    let (wake, _kept) = UnixStream::pair().map_err(|e| e.to_string())?;
    let mut processes = Vec::new();
    for (n, at) in ports.iter().enumerate() {
        let class = |name: &str| {
            serde_json::json!({"name": name, "effect": "by_key", "dedup_scope": "zone", "key_ttl_s": 60.0, "aim_s": 0.5,
                "deadline_s": 2.0})
        };
        let config = serde_json::json!({
            "name": format!("n{n}"), "listen": "127.0.0.1:0", "management": "127.0.0.1:0", "discovery": "127.0.0.1:1",
            "seed": format!("{:016x}", n + 1), "limits": {"memory_mb": 64, "sockets": 512},
            "known": {"seq": 1, "whole": true, "hosts": [{"host": "s-0", "dial": up.to_string(), "site": "a", "class": "k",
                "block": 0, "health": "ready", "share": 1.0, "born_ms": 7}]},
            "settings": {"areas": ["a"], "shapes": ["k"], "discovery": "on_request", "classes": [class("pay"), class("free")],
                "limits": {"attempts_cap": 3, "connect_timeout_s": 0.25, "may_cancel": true, "second_copies": true}, "rules": {}},
        });
        let path = write_config(folder.path(), n, &config)?;
        let text = format!(
            "name = \"cost\"\nidentity = \"{:032x}\"\nlisten = \"{at}\"\nfolder = {:?}\nperiod_ms = 200.0\nseeds = [\"{}\"]\n\
             [records]\ngroups = {groups}\nelection_ms = 1000.0\n[[records.class]]\nname = \"pay\"\nwindow_s = 60.0\n",
            7,
            folder.path().join(format!("disk-{n}")),
            ports[0]
        );
        let file = folder.path().join(format!("fleet-{n}.toml"));
        std::fs::write(&file, text).map_err(|e| e.to_string())?;
        let files = Files { config: &path, fleet: Some(&file) };
        let wake = wake.try_clone().map_err(|e| e.to_string())?;
        processes.push(Process::start(program, &[], files, n, 1, tell.clone(), wake)?);
    }
    let (mut fronts, mut doors) = (vec![None; args.members], vec![None; args.members]);
    for _ in 0..args.members {
        let s = started.recv_timeout(START).map_err(|_| "the processes did not start in time")?;
        (fronts[s.number], doors[s.number]) = (s.at, s.management);
    }
    let fronts: Vec<SocketAddr> = fronts.into_iter().flatten().collect();
    let door = doors[0].filter(|_| fronts.len() == args.members).ok_or("a process did not start")?;
    thread::sleep(Duration::from_secs(2));
    call(door, "POST /admin/records/found HTTP/1.1\r\nHost: door\r\n\r\n", PATIENCE);
    let began = Instant::now();
    loop {
        let v = told(door, "/admin/records", PATIENCE).unwrap_or_default();
        let whole = |g: &serde_json::Value| g["known"]["voters"].as_array().map_or(0, Vec::len) >= 3;
        if v["groups"].as_array().is_some_and(|g| !g.is_empty() && g.iter().all(whole)) {
            break;
        }
        if began.elapsed() > START {
            return Err("the groups did not get their holders in time".into());
        }
        thread::sleep(Duration::from_millis(50));
    }
    Ok(Fleet { _folder: folder, _processes: processes, fronts, over })
}

/// So many connections ask one thing after the other for so long: how long each took, how many, and how many were marked.
fn turn(
    fleet: &Fleet,
    class: &str,
    connections: usize,
    seconds: f64,
    count: &Arc<AtomicU64>,
) -> Result<(Histogram<u64>, u64, u64), String> {
    let end = Instant::now() + Duration::from_secs_f64(seconds);
    let all: Vec<_> = (0..connections)
        .map(|n| {
            let (at, class, count) = (fleet.fronts[n % fleet.fronts.len()], class.to_string(), count.clone());
            thread::spawn(move || one(at, &class, end, &count))
        })
        .collect();
    let mut sum = Histogram::new(3).map_err(|e| e.to_string())?;
    let (mut answers, mut marked) = (0, 0);
    for t in all {
        let (h, a, m) =
            t.join().map_err(|_| "a client panicked")?.map_err(|e| format!("a client failed: {e}"))?;
        sum.add(&h).map_err(|e| e.to_string())?;
        (answers, marked) = (answers + a, marked + m);
    }
    Ok((sum, answers, marked))
}

fn one(
    at: SocketAddr,
    class: &str,
    end: Instant,
    count: &AtomicU64,
) -> std::io::Result<(Histogram<u64>, u64, u64)> {
    let mut h = Histogram::new(3).map_err(std::io::Error::other)?;
    let (mut answers, mut marked) = (0, 0);
    let mut stream = TcpStream::connect(at)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(PATIENCE))?;
    let (mut text, mut piece) = (Vec::new(), [0; 4096]);
    while Instant::now() < end {
        let id = count.fetch_add(1, Ordering::Relaxed);
        let head = format!(
            "POST /api/x HTTP/1.1\r\nHost: api\r\nX-Correlation-Id: {id:016x}\r\nX-Service-Class: {class}\r\nIdempotency-Key: {id:x}\r\n\
             X-Time-Left-Ms: 2000\r\nContent-Length: 0\r\n\r\n"
        );
        let began = Instant::now();
        stream.write_all(head.as_bytes())?;
        text.clear();
        loop {
            match stream.read(&mut piece)? {
                0 => return Err(std::io::ErrorKind::UnexpectedEof.into()),
                n => text.extend_from_slice(&piece[..n]),
            }
            let whole = String::from_utf8_lossy(&text);
            let Some((head, body)) = whole.split_once("\r\n\r\n") else { continue };
            let length = head.lines().find_map(|l| l.strip_prefix("Content-Length: ")?.parse::<usize>().ok());
            if length.is_none_or(|n| body.len() >= n) {
                answers += u64::from(head.starts_with("HTTP/1.1 200"));
                marked += u64::from(head.contains("\r\nX-Held: 1"));
                break;
            }
        }
        let _ = h.record(began.elapsed().as_micros() as u64);
    }
    Ok((h, answers, marked))
}
