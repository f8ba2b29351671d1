//! Case 6: an order to evacuate that lay in the socket of a control node which stood still is carried out after a newer one.
mod kit;
use kit::*;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread;

const SERVICE: &str = "boards";
const WORK_S: f64 = 0.16;
/// The control node stands still for so long (the site's `node_freeze`: 3.5 and 3.6 s).
const FROZEN_S: f64 = 3.0;
/// The operator goes on to another node after a second of silence, and waits for an answer of the first for so long.
const SILENCE_S: f64 = 1.0;
const RECEIPT_S: f64 = 5.0;
const EVACUATE_S: f64 = 5.0;
/// Machines are in touch so long after the node woke up (`contactS`), and a little longer.
const IN_TOUCH_S: f64 = 3.5;

struct Upstream {
    id: String,
    zone: String,
    is_over: AtomicBool,
    /// Attempt ids and times.
    runs: Mutex<Vec<(String, f64)>>,
    record: Record,
}

impl Upstream {
    fn start(machine: &Machine, record: &Record) -> io::Result<Arc<Upstream>> {
        let (address, control) = (machine.at(UPSTREAM), machine.at(CONTROL));
        let listener = TcpListener::bind(address)?;
        let upstream = Arc::new(Upstream {
            id: format!("i-{:08x}", random() as u32),
            zone: machine.zone.clone(),
            is_over: AtomicBool::new(false),
            runs: Mutex::default(),
            record: record.clone(),
        });
        let this = upstream.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let this = this.clone();
                thread::spawn(move || drop(this.serve(stream)));
            }
        });
        let this = upstream.clone();
        thread::spawn(move || {
            for sequence in 1u64.. {
                if this.is_over.load(SeqCst) {
                    return;
                }
                let zone = &this.zone;
                let body = format!(
                    r#"{{"destination":"{SERVICE}","address":"{address}","zone":"{zone}","edition":"v1","slots":18,"state":"ready","coldLeftS":0,"sequence":{sequence}}}"#
                );
                let headers = [("Content-Type", "application/json")];
                let path = format!("/-/Stations.Heartbeat/{}", this.id);
                let _ = call(control, "POST", &path, &headers, body.as_bytes(), 1.0);
                sleep(HEARTBEAT_S);
            }
        });
        Ok(upstream)
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        let _ = stream.set_nodelay(true);
        let mut bytes = Vec::new();
        while let Some(head) = read_head(&mut stream, bytes)? {
            bytes = head.rest.clone();
            let attempt = head.headers.get("attempt-id").cloned().unwrap_or_default();
            if head.first_line.starts_with("GET /health ") {
                let answer = format!("HTTP/1.1 200 OK\r\nStation: {}\r\nCold-Ms: 0\r\nContent-Length: 0\r\n\r\n", self.id);
                stream.write_all(answer.as_bytes())?;
                continue;
            }
            if head.headers.get("expect-station").is_some_and(|id| *id != self.id) {
                let answer = format!("HTTP/1.1 421 x\r\nAttempt-Id: {attempt}\r\nNot-Delivered: another\r\nContent-Length: 0\r\n\r\n");
                stream.write_all(answer.as_bytes())?;
                continue;
            }
            self.runs.lock().unwrap().push((attempt.clone(), self.record.now()));
            sleep(WORK_S);
            let answer = format!("HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nPostmark: {}.1\r\nContent-Length: 2\r\n\r\nok", self.id);
            stream.write_all(answer.as_bytes())?;
        }
        Ok(())
    }
}

/// The operator: sends an order to the nodes in this order until one answers 200. After a second of silence it goes on to the
/// next; an answer of the first would still be welcome for `receiptS`, then it closes that connection.
fn order(record: &Record, nodes: &[SocketAddr], path: &str) -> io::Result<f64> {
    for to in nodes {
        let sent = record.line(&format!("operator -> {to}: POST {path}"));
        let mut stream = TcpStream::connect_timeout(to, seconds(1.0))?;
        stream.write_all(format!("POST {path} HTTP/1.1\r\nHost: {to}\r\nContent-Length: 0\r\n\r\n").as_bytes())?;
        stream.set_read_timeout(Some(seconds(SILENCE_S)))?;
        match read_head(&mut stream, Vec::new()) {
            Ok(Some(head)) if head.first_line.contains(" 200 ") => {
                return Ok(record.line(&format!("operator <- {to}: 200 for {path}")));
            }
            Ok(head) => {
                record.line(&format!("operator <- {to}: {:?} for {path}", head.map(|h| h.first_line)));
            }
            Err(_) => {
                record.line(&format!("operator: nothing from {to} within a second, goes on to the next"));
                let record = record.clone();
                let to = *to;
                let path = path.to_string();
                thread::spawn(move || {
                    let left = (sent + RECEIPT_S - record.now()).max(0.01);
                    let _ = stream.set_read_timeout(Some(seconds(left)));
                    let late = read_head(&mut stream, Vec::new()).ok().flatten().map(|head| head.first_line);
                    record.line(&format!("operator <- {to}: {late:?} for {path}, late; closes the connection"));
                });
            }
        }
    }
    Err(io::Error::new(io::ErrorKind::TimedOut, "an order is not acknowledged"))
}

fn case(record: &Record) -> io::Result<bool> {
    let mut mesh = Deployment::new(&[SERVICE; 6])?;
    mesh.start_all(true)?;
    let mut upstreams = Vec::new();
    for number in mesh.sides() {
        upstreams.push(Upstream::start(&mesh.machines[number], record)?);
    }
    mesh.configure(&first_configuration(&[destination(SERVICE)], &[route("r-read", "/read/", "safe", SERVICE)]))?;
    mesh.wait_until_ready()?;
    sleep(3.0);
    let is_over = Arc::new(AtomicBool::new(false));
    let sent = Arc::new(Mutex::new(Vec::<(String, f64, u16)>::new()));
    for client in 0..12 {
        let outbound = mesh.machines[3 + client % 6].at(OUTBOUND);
        let (is_over, sent, record) = (is_over.clone(), sent.clone(), record.clone());
        thread::spawn(move || {
            while !is_over.load(SeqCst) {
                let (attempt, at) = (new_id(), record.now());
                let headers = [("Host", HOST), ("Attempt-Id", attempt.as_str()), ("Deadline-Ms", "4000")];
                let status = call(outbound, "GET", "/read/1", &headers, b"", 5.0).map_or(0, |response| response.status);
                sent.lock().unwrap().push((attempt, at, status));
                sleep(0.05);
            }
        });
    }
    let zone = ZONES[1];
    let cores: Vec<SocketAddr> = (0..3).map(|number| mesh.machines[number].at(CONTROL)).collect();
    let (start, end) = (format!("/-/Evacuate.Start/{zone}"), format!("/-/Evacuate.End/{zone}"));
    sleep(0.5);
    order(record, &[cores[0]], &start)?;
    sleep(1.5);
    let frozen_at = record.now();
    if has_trouble() {
        mesh.signal(2, "STOP")?;
        record.line("SIGSTOP to core-3");
    }
    order(record, &[cores[2], cores[0]], &end)?;
    sleep(0.5);
    let acknowledged = order(record, &[cores[0]], &start)?;
    sleep((frozen_at + FROZEN_S - record.now()).max(0.0));
    if has_trouble() {
        mesh.signal(2, "CONT")?;
        record.line("SIGCONT to core-3");
    }
    let judged_from = (acknowledged + EVACUATE_S).max(record.now() + IN_TOUCH_S);
    record.line(&format!("the second evacuation of {zone} was acknowledged at {acknowledged:.3}; judged from {judged_from:.3} on"));
    sleep(judged_from + 3.0 - record.now());
    is_over.store(true, SeqCst);
    sleep(1.0);
    let sent = sent.lock().unwrap();
    let mut broken = 0;
    for upstream in &upstreams {
        upstream.is_over.store(true, SeqCst);
        let runs = upstream.runs.lock().unwrap();
        let late = runs.iter().filter(|(_, at)| *at > judged_from);
        let late = late.filter(|(attempt, _)| sent.iter().any(|(a, _, _)| a == attempt)).count();
        broken += if upstream.zone == zone { late } else { 0 };
        record.line(&format!("upstream {} in {}: {} requests in all, {late} from {judged_from:.3} s on", upstream.id, upstream.zone, runs.len()));
    }
    for (attempt, at, status) in sent.iter() {
        record.line(&format!("request {attempt} sent at {at:.3}: {status}"));
    }
    record.say(&format!(
        "{} requests; {broken} reached upstreams of {zone} more than evacuateS after its evacuation was acknowledged, which nobody took back",
        sent.len()
    ));
    Ok(broken > 0)
}

fn main() {
    run_case("case 6: an order that lay in a socket", case);
}
