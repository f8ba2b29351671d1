//! Case 5: a sidecar gets SIGTERM while the upstream beside it works on uploads of whose bodies it reads the rest later.
mod kit;
use kit::*;
use std::io::{self, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread;

const SERVICE: &str = "attachments";
/// Bytes of an upload: the site's `media-upload` has 60,000 on average and 360,000 at most.
const BODY_BYTES: usize = 300_000;
/// The upstream reads so much at once, and the rest after `READS_ON_AFTER_S`.
const FIRST_BYTES: usize = 16 * 1024;
const READS_ON_AFTER_S: f64 = 2.5;
/// From the sending of the uploads to SIGTERM.
const SIGTERM_AFTER_S: f64 = 0.3;
const GRACE_S: f64 = 6.0;
const CLIENTS: usize = 4;

/// What an upstream did with a request.
#[derive(Clone)]
struct Run {
    attempt: String,
    began: f64,
    /// When and how its work ended.
    ended: Option<(f64, String)>,
}

/// A stand-in of an upstream, as on the protocol page. It works on a request from its head on.
struct Upstream {
    id: String,
    is_over: AtomicBool,
    sequence: AtomicU64,
    runs: Mutex<Vec<Run>>,
    record: Record,
}

impl Upstream {
    fn start(machine: &Machine, record: &Record) -> io::Result<Arc<Upstream>> {
        let (address, control, zone) = (machine.at(UPSTREAM), machine.at(CONTROL), machine.zone.clone());
        let listener = TcpListener::bind(address)?;
        let upstream = Arc::new(Upstream {
            id: format!("i-{:08x}", random() as u32),
            is_over: AtomicBool::new(false),
            sequence: AtomicU64::new(0),
            runs: Mutex::default(),
            record: record.clone(),
        });
        let this = upstream.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let this = this.clone();
                thread::spawn(move || this.serve(stream));
            }
        });
        let this = upstream.clone();
        thread::spawn(move || {
            while !this.is_over.load(SeqCst) {
                let sequence = this.sequence.fetch_add(1, SeqCst) + 1;
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

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut bytes = Vec::new();
        while let Ok(Some(head)) = read_head(&mut stream, bytes) {
            if head.first_line.starts_with("GET /health ") {
                let answer = format!("HTTP/1.1 200 OK\r\nStation: {}\r\nCold-Ms: 0\r\nContent-Length: 0\r\n\r\n", self.id);
                if stream.write_all(answer.as_bytes()).is_err() {
                    return;
                }
                bytes = head.rest;
                continue;
            }
            let attempt = head.headers.get("attempt-id").cloned().unwrap_or_default();
            let number = {
                let mut runs = self.runs.lock().unwrap();
                runs.push(Run { attempt: attempt.clone(), began: self.record.now(), ended: None });
                runs.len() - 1
            };
            let result = self.work(&mut stream, &head, &attempt);
            let now = self.record.now();
            let how = result.as_ref().map_or_else(|error| error.to_string(), |_| "done".to_string());
            self.runs.lock().unwrap()[number].ended = Some((now, how));
            match result {
                Ok(rest) => bytes = rest,
                Err(_) => return,
            }
        }
    }

    fn work(&self, stream: &mut TcpStream, head: &Head, attempt: &str) -> io::Result<Vec<u8>> {
        let length: usize = head.headers.get("content-length").and_then(|n| n.parse().ok()).unwrap_or(0);
        let mut body = head.rest.clone();
        let at_once = if has_trouble() { FIRST_BYTES.min(length) } else { length };
        read_up_to(stream, &mut body, at_once)?;
        if length > FIRST_BYTES {
            sleep(READS_ON_AFTER_S);
        }
        read_up_to(stream, &mut body, length)?;
        let rest = body.split_off(length);
        let answer = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nPostmark: {}.1\r\nContent-Length: 2\r\n\r\nok",
            self.id
        );
        stream.write_all(answer.as_bytes())?;
        Ok(rest)
    }
}

fn case(record: &Record) -> io::Result<bool> {
    let mut mesh = Deployment::new(&[SERVICE; 3])?;
    mesh.start_all(true)?;
    let mut upstreams = Vec::new();
    for number in mesh.sides() {
        upstreams.push(Upstream::start(&mesh.machines[number], record)?);
    }
    mesh.configure(&first_configuration(&[destination(SERVICE)], &[route("r-media", "/media/", "upload", SERVICE)]))?;
    mesh.wait_until_ready()?;
    sleep(1.5);

    let side = 3;
    let (name, outbound) = (mesh.machines[side].name.clone(), mesh.machines[side].at(OUTBOUND));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let record = record.clone();
            thread::spawn(move || {
                let (attempt, at) = (new_id(), record.now());
                let headers = [("Host", HOST), ("Attempt-Id", attempt.as_str()), ("Deadline-Ms", "5000")];
                let body = vec![b'x'; BODY_BYTES];
                let result = match call(outbound, "POST", "/media/1", &headers, &body, 7.0) {
                    Ok(response) => format!("{} {}", response.status, String::from_utf8_lossy(&response.body).trim()),
                    Err(error) => error.to_string(),
                };
                (attempt, at, record.now(), result)
            })
        })
        .collect();
    sleep(SIGTERM_AFTER_S);
    mesh.signal(side, "TERM")?;
    let signalled = record.line(&format!("SIGTERM to the sidecar of {name}"));
    let mut broken = 0;
    for client in clients {
        let (attempt, at, ended, result) = client.join().map_err(|_| io::ErrorKind::Other)?;
        record.line(&format!("upload {attempt}, {BODY_BYTES} bytes, sent at {at:.3} to {name}: {result} at {ended:.3}"));
        // An answer of the sidecar's own in place of that of an upstream which had begun and was still at work on it,
        // before the last sixth of the grace and before the deadline.
        let has_begun = upstreams.iter().any(|u| u.runs.lock().unwrap().iter().any(|r| r.attempt == attempt && r.began < ended));
        let is_own = !result.starts_with("200");
        let is_excused = ended >= signalled + GRACE_S * 5.0 / 6.0 || ended >= at + 5.0;
        broken += usize::from(has_begun && is_own && !is_excused);
    }
    while !mesh.has_ended(side) && record.now() < signalled + GRACE_S {
        sleep(0.05);
    }
    record.line(&format!("the sidecar of {name} has ended: {}", mesh.has_ended(side)));
    sleep(1.0);
    for (upstream, number) in upstreams.iter().zip(mesh.sides()) {
        upstream.is_over.store(true, SeqCst);
        for run in upstream.runs.lock().unwrap().iter() {
            let ended = run.ended.clone().map_or("at work".to_string(), |(at, how)| format!("{how} at {at:.3}"));
            record.line(&format!("upstream {} of {}: work on {} began at {:.3}: {ended}", upstream.id, mesh.machines[number].name, run.attempt, run.began));
        }
    }
    record.say(&format!("{broken} of {CLIENTS} uploads were broken off after SIGTERM while their upstream was at work on them"));
    Ok(broken > 0)
}

fn main() {
    run_case("case 5: uploads that their upstream reads later, and SIGTERM", case);
}
