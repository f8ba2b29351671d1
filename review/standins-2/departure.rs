//! Case 4: an upstream signs off, its sidecar acknowledges that, all processes of the system are killed and return, and a
//! heartbeat that the upstream had sent before its sign-off comes late.
mod kit;
use kit::*;
use std::collections::BTreeMap;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread;

const SERVICE: &str = "postings";
/// An upstream works so long on a request.
const WORK_S: f64 = 0.21;
const SLOTS: u32 = 18;
/// The first upstream serves on for so long after its sign-off was acknowledged, then it ends.
const SERVES_ON_S: f64 = 9.0;
/// All processes are down for so long (the site's closing fault `kill_all`: 1.5 s).
const DOWN_S: f64 = 0.9;
/// The late heartbeat comes so long after the processes were started again.
const LATE_AFTER_START_S: f64 = 4.5;
/// From so long after their start on, the machines are in touch: twice `contactS`, as a closing fault took the core.
const IN_TOUCH_AFTER_S: f64 = 6.0;
const DRAIN_S: f64 = 2.5;

/// A run of a request at an upstream.
struct Run {
    attempt: String,
    at: f64,
    done: bool,
}

/// A stand-in of an upstream, as on the protocol page.
struct Upstream {
    id: String,
    address: SocketAddr,
    zone: String,
    sequence: AtomicU64,
    is_leaving: AtomicBool,
    has_ended: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
    runs: Mutex<Vec<Run>>,
    record: Record,
}

impl Upstream {
    fn start(machine: &Machine, record: &Record) -> io::Result<Arc<Upstream>> {
        let address = machine.at(UPSTREAM);
        let listener = TcpListener::bind(address)?;
        let upstream = Arc::new(Upstream {
            id: format!("i-{:08x}", random() as u32),
            zone: machine.zone.clone(),
            sequence: AtomicU64::new(0),
            is_leaving: AtomicBool::new(false),
            has_ended: AtomicBool::new(false),
            connections: Mutex::default(),
            runs: Mutex::default(),
            record: record.clone(),
            address,
        });
        let this = upstream.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if this.has_ended.load(SeqCst) {
                    return;
                }
                this.connections.lock().unwrap().extend(stream.try_clone());
                let this = this.clone();
                thread::spawn(move || drop(this.serve(stream)));
            }
        });
        Ok(upstream)
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        let _ = stream.set_nodelay(true);
        let mut bytes = Vec::new();
        while let Some(head) = read_head(&mut stream, bytes)? {
            let header = |name: &str| head.headers.get(name).cloned().unwrap_or_default();
            let length = header("content-length").parse().unwrap_or(0);
            let mut body = head.rest.clone();
            read_up_to(&mut stream, &mut body, length)?;
            bytes = body.split_off(length);
            if head.first_line.starts_with("GET /health ") {
                let status = if self.is_leaving.load(SeqCst) { 503 } else { 200 };
                let answer = format!("HTTP/1.1 {status} x\r\nStation: {}\r\nCold-Ms: 0\r\nContent-Length: 0\r\n\r\n", self.id);
                stream.write_all(answer.as_bytes())?;
                continue;
            }
            let attempt = header("attempt-id");
            let expected = header("expect-station");
            if !expected.is_empty() && expected != self.id {
                let answer = format!("HTTP/1.1 421 x\r\nAttempt-Id: {attempt}\r\nNot-Delivered: another\r\nContent-Length: 0\r\n\r\n");
                stream.write_all(answer.as_bytes())?;
                continue;
            }
            let at = self.record.now();
            let number = {
                let mut runs = self.runs.lock().unwrap();
                runs.push(Run { attempt: attempt.clone(), at, done: false });
                runs.len() - 1
            };
            sleep(WORK_S);
            let answer = format!(
                "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nPostmark: {}.{number}\r\nContent-Length: 2\r\n\r\nok",
                self.id
            );
            stream.write_all(answer.as_bytes())?;
            if !self.has_ended.load(SeqCst) {
                self.runs.lock().unwrap()[number].done = true;
            }
        }
        Ok(())
    }

    /// The text of its next heartbeat.
    fn heartbeat(&self) -> String {
        let (zone, address) = (&self.zone, self.address);
        let sequence = self.sequence.fetch_add(1, SeqCst) + 1;
        format!(
            r#"{{"destination":"{SERVICE}","address":"{address}","zone":"{zone}","edition":"v1","slots":{SLOTS},"state":"ready","coldLeftS":0,"sequence":{sequence}}}"#
        )
    }

    /// Calls a control address; follows a redirect twice.
    fn call(&self, to: SocketAddr, path: &str, body: &str) -> io::Result<u16> {
        let (mut to, mut path) = (to, path.to_string());
        for _ in 0..3 {
            let headers = [("Content-Type", "application/json")];
            let response = call(to, "POST", &path, &headers, body.as_bytes(), 1.0)?;
            let location = response.headers.get("location").and_then(|l| l.strip_prefix("http://"));
            match (response.status, location.and_then(|l| l.split_once('/'))) {
                (307, Some((address, rest))) => {
                    to = address.parse().map_err(|_| io::ErrorKind::InvalidData)?;
                    path = format!("/{rest}");
                }
                (status, _) => return Ok(status),
            }
        }
        Err(io::ErrorKind::InvalidData.into())
    }

    fn end(&self) {
        self.has_ended.store(true, SeqCst);
        self.connections.lock().unwrap().iter().for_each(|stream| drop(stream.shutdown(std::net::Shutdown::Both)));
        // The listener wakes up and ends.
        let _ = TcpStream::connect(self.address);
    }
}

/// A request of a client and how it ended.
struct Sent {
    machine: String,
    attempt: String,
    at: f64,
    ended: f64,
    result: String,
}

fn case(record: &Record) -> io::Result<bool> {
    let mut mesh = Deployment::new(&[SERVICE; 6])?;
    mesh.start_all(true)?;
    let mut upstreams = Vec::new();
    for number in mesh.sides() {
        upstreams.push(Upstream::start(&mesh.machines[number], record)?);
    }
    // The heartbeats of an upstream end with its sign-off.
    for (upstream, number) in upstreams.iter().zip(mesh.sides()) {
        let (upstream, control) = (upstream.clone(), mesh.machines[number].at(CONTROL));
        thread::spawn(move || {
            while !upstream.is_leaving.load(SeqCst) {
                let body = upstream.heartbeat();
                let _ = upstream.call(control, &format!("/-/Stations.Heartbeat/{}", upstream.id), &body);
                sleep(HEARTBEAT_S);
            }
        });
    }
    mesh.configure(&first_configuration(
        &[destination(SERVICE)],
        &[route("r-post", "/post/", "unsafe", SERVICE), route("r-read", "/read/", "safe", SERVICE)],
    ))?;
    mesh.wait_until_ready()?;
    sleep(1.5);

    let (is_over, sent) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(Vec::<Sent>::new())));
    // The platform asks each sidecar once a second; after two misses its clients get no new work until it answers 200.
    let is_in: Vec<Arc<AtomicBool>> = (0..6).map(|_| Arc::new(AtomicBool::new(true))).collect();
    for (number, is_in) in is_in.iter().enumerate() {
        let machine = &mesh.machines[3 + number];
        let (name, ready, is_in) = (machine.name.clone(), machine.at(READY), is_in.clone());
        let (is_over, record) = (is_over.clone(), record.clone());
        thread::spawn(move || {
            let mut misses = 0;
            while !is_over.load(SeqCst) {
                let is_ready = call(ready, "GET", "/-/ready", &[], b"", 1.0).is_ok_and(|response| response.status == 200);
                misses = if is_ready { 0 } else { misses + 1 };
                if is_in.swap(misses < 2, SeqCst) != (misses < 2) {
                    record.line(&format!("platform: {name} is {}", if misses < 2 { "in" } else { "out" }));
                }
                sleep(1.0);
            }
        });
    }
    for client in 0..24 {
        let machine = &mesh.machines[3 + client % 6];
        let (name, outbound, is_in) = (machine.name.clone(), machine.at(OUTBOUND), is_in[client % 6].clone());
        let (is_over, sent, record) = (is_over.clone(), sent.clone(), record.clone());
        thread::spawn(move || {
            while !is_over.load(SeqCst) {
                if !is_in.load(SeqCst) {
                    sleep(0.05);
                    continue;
                }
                let (attempt, at) = (new_id(), record.now());
                let headers = [("Host", HOST), ("Attempt-Id", attempt.as_str()), ("Deadline-Ms", "5000")];
                let result = match call(outbound, "POST", "/post/1", &headers, b"notice", 6.0) {
                    Ok(response) => response.status.to_string(),
                    Err(error) => error.kind().to_string(),
                };
                let ended = record.now();
                sent.lock().unwrap().push(Sent { machine: name.clone(), attempt, at, ended, result });
                sleep(0.1);
            }
        });
    }
    sleep(2.0);

    let (leaver, own, other) = (upstreams[0].clone(), mesh.machines[3].at(CONTROL), mesh.machines[0].at(CONTROL));
    let path = format!("/-/Stations.Heartbeat/{}", leaver.id);
    // This heartbeat is under way for seconds. The upstream hears nothing within a second and calls the next machine.
    let late = leaver.heartbeat();
    let late_sent = record.line(&format!("upstream {} sends a heartbeat that will come late: {late}", leaver.id));
    sleep(1.0);
    let next = leaver.heartbeat();
    let status = leaver.call(other, &path, &next);
    record.line(&format!("no answer within a second: heartbeat to core-1 (redirected to side-1): {status:?}"));
    leaver.is_leaving.store(true, SeqCst);
    let status = leaver.call(own, &format!("/-/Stations.SignOff/{}", leaver.id), "");
    let acknowledged = record.line(&format!("upstream {} signs off at side-1: {status:?}", leaver.id));
    if !matches!(status, Ok(200)) {
        return Err(io::Error::new(io::ErrorKind::Other, "the sign-off is not acknowledged"));
    }
    let ender = leaver.clone();
    thread::spawn(move || {
        sleep(SERVES_ON_S);
        ender.end();
        ender.record.line("the upstream that signed off has ended");
    });
    sleep(0.5);
    if has_trouble() {
        let all = 0..mesh.machines.len();
        mesh.kill(all);
        record.line("all processes of the system are killed");
        sleep(DOWN_S);
        mesh.start_all(false)?;
        record.line("all processes are started again");
    } else {
        sleep(DOWN_S);
    }
    let started = record.now();
    sleep(LATE_AFTER_START_S);
    let status = leaver.call(own, &path, &late);
    record.line(&format!("the late heartbeat comes, {:.1} s late: {status:?}", record.now() - late_sent));
    sleep(acknowledged + SERVES_ON_S + 1.0 - record.now());
    is_over.store(true, SeqCst);
    sleep(5.5);

    let sent = sent.lock().unwrap();
    let by_attempt: BTreeMap<&str, &Sent> = sent.iter().map(|s| (s.attempt.as_str(), s)).collect();
    let (mut late_runs, mut counted, mut lost) = (0, 0, 0);
    for run in leaver.runs.lock().unwrap().iter().filter(|run| run.at > acknowledged + DRAIN_S) {
        late_runs += 1;
        let Some(request) = by_attempt.get(run.attempt.as_str()) else { continue };
        let is_counted = request.at >= started + IN_TOUCH_AFTER_S;
        counted += usize::from(is_counted);
        lost += usize::from(!run.done);
        record.line(&format!(
            "request {} sent at {:.3} to {} reaches {} at {:.3}, {:.2} s after the acknowledgement{}; {} at {:.3}",
            request.attempt, request.at, request.machine, leaver.id, run.at, run.at - acknowledged,
            if is_counted { ", machines in touch" } else { "" }, request.result, request.ended
        ));
    }
    for request in sent.iter() {
        record.line(&format!("request {} at {:.3} to {}: {} at {:.3}", request.attempt, request.at, request.machine, request.result, request.ended));
    }
    for upstream in &upstreams {
        record.line(&format!("{} ran {} requests", upstream.id, upstream.runs.lock().unwrap().len()));
    }
    record.say(&format!(
        "{} requests; {late_runs} reached the upstream later than drainS after its sign-off was acknowledged, {counted} of them sent by machines in touch; {lost} of them were at work when it ended",
        sent.len()
    ));
    Ok(counted > 0)
}

fn main() {
    run_case("case 4: a departure that all processes have forgotten", case);
}
