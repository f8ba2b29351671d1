//! Starts the program and fake peers for it. Ports are chosen by the system; waits end as soon as their condition holds, so
//! only a failing test reaches the timeouts.
#![allow(dead_code)]
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Timeout of every wait, longer than any step takes on a slow machine.
pub const WAIT_LIMIT: Duration = Duration::from_secs(60);

pub fn until<T>(what: &str, mut poll: impl FnMut() -> Option<T>) -> T {
    let started = Instant::now();
    loop {
        if let Some(found) = poll() {
            return found;
        }
        assert!(started.elapsed() < WAIT_LIMIT, "timed out waiting for {what}");
        thread::sleep(Duration::from_millis(2));
    }
}

/// An HTTP message read from a stream; the body is delimited by `Content-Length`.
pub struct Message {
    pub head: String,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let line = |l: &'_ &str| l.split_once(": ").is_some_and(|(n, _)| n.eq_ignore_ascii_case(name));
        self.head.lines().find(line).and_then(|l| l.split_once(": ")).map(|(_, v)| v)
    }

    pub fn status(&self) -> u16 {
        self.head.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// Returns `None` if the stream ends or fails before the message is complete.
pub fn read_message(from: &mut impl BufRead) -> Option<Message> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if from.read_line(&mut head).ok()? == 0 {
            return None;
        }
    }
    let mut message = Message { head, body: Vec::new() };
    let length = message.header("content-length").and_then(|v| v.trim().parse().ok()).unwrap_or(0);
    message.body.resize(length, 0);
    from.read_exact(&mut message.body).ok()?;
    Some(message)
}

/// How a fake upstream responds to a request.
#[derive(Clone)]
pub enum Behavior {
    /// Sends these bytes and keeps the connection.
    Responds(String),
    /// Sends these bytes one by one, then closes.
    Trickles(String),
    /// Closes the connection without a response.
    Closes,
    /// Sends nothing until the connection ends.
    Hangs,
    /// Sends these bytes, then nothing until the connection ends.
    RespondsAndHangs(String),
    /// Echoes the request body, and repeats the same response 1 ms later.
    EchoesTwice,
    /// Waits for a signal from the test, then sends these bytes.
    Waits(Arc<Mutex<Receiver<()>>>, String),
}

pub fn ok(body: &str) -> Behavior {
    Behavior::Responds(format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\nX-Note: kept\r\n\r\n{body}",
        body.len()
    ))
}

pub fn ok_after_signal(body: &str) -> (Sender<()>, Behavior) {
    let (go, wait) = channel();
    let Behavior::Responds(text) = ok(body) else { unreachable!() };
    (go, Behavior::Waits(Arc::new(Mutex::new(wait)), text))
}

/// A fake upstream that records the requests it receives.
pub struct Upstream {
    pub address: SocketAddr,
    pub seen: Arc<Mutex<Vec<Message>>>,
    pub accepted: Arc<AtomicUsize>,
    pub ended: Arc<AtomicUsize>,
}

impl Upstream {
    pub fn start(behavior: Behavior) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let new = Upstream {
            address: listener.local_addr().expect("bound"),
            seen: Arc::default(),
            accepted: Arc::default(),
            ended: Arc::default(),
        };
        let (seen, accepted, ended) = (new.seen.clone(), new.accepted.clone(), new.ended.clone());
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                accepted.fetch_add(1, Ordering::SeqCst);
                let (behavior, seen, ended) = (behavior.clone(), seen.clone(), ended.clone());
                thread::spawn(move || {
                    serve(stream, &behavior, &seen);
                    ended.fetch_add(1, Ordering::SeqCst);
                });
            }
        });
        new
    }

    pub fn requests(&self) -> usize {
        self.seen.lock().expect("whole").len()
    }
}

fn serve(stream: TcpStream, behavior: &Behavior, seen: &Mutex<Vec<Message>>) -> Option<()> {
    let mut write = stream.try_clone().ok()?;
    let mut read = BufReader::new(stream);
    loop {
        let message = read_message(&mut read)?;
        seen.lock().expect("whole").push(message);
        match behavior {
            Behavior::Responds(text) => write.write_all(text.as_bytes()).ok()?,
            Behavior::Trickles(text) => {
                for byte in text.as_bytes() {
                    write.write_all(&[*byte]).ok()?;
                    thread::yield_now();
                }
                return None;
            }
            Behavior::Closes => return None,
            Behavior::Hangs => drop(read.read(&mut [0])),
            Behavior::RespondsAndHangs(text) => {
                write.write_all(text.as_bytes()).ok()?;
                drop(read.read(&mut [0]));
            }
            Behavior::EchoesTwice => {
                let body = seen.lock().expect("whole").last().map(|m| m.body.clone()).unwrap_or_default();
                let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
                let answer = [head.as_bytes(), &body].concat();
                write.write_all(&answer).ok()?;
                thread::sleep(Duration::from_millis(1));
                write.write_all(&answer).ok()?;
            }
            Behavior::Waits(wait, text) => {
                wait.lock().expect("whole").recv().ok()?;
                write.write_all(text.as_bytes()).ok()?;
            }
        }
    }
}

/// An address that refuses connections: the port stays bound, without a listener, until the test process ends.
pub fn nowhere() -> SocketAddr {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a port");
    let address = socket.local_addr().ok().and_then(|a| a.as_socket()).expect("bound");
    std::mem::forget(socket);
    address
}

pub fn entry(name: &str, at: SocketAddr, health: &str) -> String {
    format!(
        r#"{{"host":"{name}","dial":"{at}","site":"a","class":"k","block":0,"health":"{health}","share":1.0,"born_ms":0}}"#
    )
}

pub fn list(seq: u64, whole: bool, entries: &[String]) -> String {
    format!(r#"{{"seq":{seq},"whole":{whole},"hosts":[{}]}}"#, entries.join(","))
}

/// A fake discovery service: sends the initial list to every watch and records the watch requests.
pub struct Discovery {
    pub address: SocketAddr,
    pub asked: Arc<Mutex<Vec<String>>>,
    watches: Arc<Mutex<Vec<TcpStream>>>,
}

impl Discovery {
    pub fn start(first: String) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("bound");
        let new = Discovery { address, asked: Arc::default(), watches: Arc::default() };
        let (asked, watches) = (new.asked.clone(), new.watches.clone());
        thread::spawn(move || {
            for mut stream in listener.incoming().map_while(Result::ok) {
                let Ok(copy) = stream.try_clone() else { continue };
                let Some(message) = read_message(&mut BufReader::new(copy)) else { continue };
                let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
                let _ = stream.write_all(format!("{head}{}", chunk(&first)).as_bytes());
                watches.lock().expect("whole").push(stream);
                asked.lock().expect("whole").push(message.head);
            }
        });
        new
    }

    pub fn watches(&self) -> usize {
        self.asked.lock().expect("whole").len()
    }

    /// Waits until at least this many watches have received the initial list.
    pub fn wait_for_watches(&self, watches: usize) {
        until("a watch", || (self.watches() >= watches).then_some(()));
    }

    /// Ends the newest watch with the terminating chunk and keeps its connection open.
    pub fn end_chunks(&self) {
        let mut watches = self.watches.lock().expect("whole");
        watches.last_mut().expect("a watch").write_all(b"0\r\n\r\n").expect("told");
    }

    /// Sends a line to the newest watch.
    pub fn send_line(&self, line: &str) {
        let mut watches = self.watches.lock().expect("whole");
        let newest = watches.last_mut().expect("a watch");
        newest.write_all(chunk(line).as_bytes()).expect("told");
    }
}

fn chunk(line: &str) -> String {
    format!("{:x}\r\n{line}\n\r\n", line.len() + 1)
}

/// A running sidecar process.
pub struct Sidecar {
    pub child: Child,
    pub address: SocketAddr,
    /// The address of the management endpoint.
    pub management: Option<SocketAddr>,
    pub log: Arc<Mutex<Vec<String>>>,
    pub config: PathBuf,
}

static STARTED: AtomicUsize = AtomicUsize::new(0);

pub fn command(config: &str) -> Command {
    let n = STARTED.fetch_add(1, Ordering::SeqCst);
    let mut path = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    path.push(format!("config-{}-{n}.json", std::process::id()));
    std::fs::write(&path, config).expect("written");
    let mut command = Command::new(env!("CARGO_BIN_EXE_silvercross"));
    command
        .env_clear()
        .env("PROXY_CONFIG", path)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::piped());
    command
}

pub fn config(discovery: SocketAddr, known: &[String], sockets: usize) -> String {
    let class = |name: &str, effect: &str| {
        format!(r#"{{"name":"{name}","aim_s":2.5,"deadline_s":6.0,"effect":"{effect}","importance":1.0}}"#)
    };
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"8c1f30d27a5be964",
            "limits":{{"cores":1.0,"memory_mb":192,"sockets":{sockets}}},"known":{},
            "settings":{{"areas":["a"],"shapes":["k"],"balancers":2,"classes":[{},{},{}],"discovery":"on_request",
            "limits":{{"attempts_cap":4,"connect_timeout_s":0.25,"idle_close_s":60.0,"may_cancel":true,
            "retry_after":true,"max_retry_after_s":2.0,"second_copies":true}},"rules":{{"drain_grace_s":2.0}}}}}}"#,
        list(1, true, known),
        class("read", "repeatable"),
        class("commit", "once"),
        class("change", "by_key")
    )
}

impl Sidecar {
    pub fn start(discovery: SocketAddr, known: &[String]) -> Self {
        Self::with(&config(discovery, known, 1024))
    }

    pub fn with(config: &str) -> Self {
        Self::run(command(config))
    }

    pub fn run(mut command: Command) -> Self {
        let mut child = command.spawn().expect("started");
        let log: Arc<Mutex<Vec<String>>> = Arc::default();
        let mut lines = BufReader::new(child.stderr.take().expect("piped"));
        let mut first = String::new();
        lines.read_line(&mut first).expect("a first line");
        let log_too = log.clone();
        thread::spawn(move || {
            for line in lines.lines().map_while(Result::ok) {
                log_too.lock().expect("whole").push(line);
            }
        });
        let said: serde_json::Value =
            serde_json::from_str(&first).unwrap_or_else(|_| panic!("not started: {first}"));
        let address = said["listen"].as_str().and_then(|a| a.parse().ok()).expect("an address");
        let config = command.get_envs().find(|(name, _)| *name == "PROXY_CONFIG").and_then(|(_, v)| v);
        let config = PathBuf::from(config.expect("named"));
        let management = said["management"].as_str().and_then(|a| a.parse().ok());
        Sidecar { child, address, management, log, config }
    }

    pub fn connect(&self) -> Client {
        let stream = TcpStream::connect(self.address).expect("accepted");
        stream.set_read_timeout(Some(WAIT_LIMIT)).expect("set");
        Client { read: BufReader::new(stream.try_clone().expect("copied")), write: stream }
    }

    pub fn terminate(&self) {
        self.signal("TERM");
    }

    pub fn signal(&self, name: &str) {
        let told = Command::new("sh").arg("-c").arg(format!("kill -{name} {}", self.child.id())).status();
        assert!(told.expect("run").success());
    }

    /// Replaces the configuration file and sends SIGHUP.
    pub fn reload(&self, config: &str) {
        let new = self.config.with_extension("new");
        std::fs::write(&new, config).expect("written");
        std::fs::rename(new, &self.config).expect("replaced");
        self.signal("HUP");
    }

    pub fn ended(&mut self) -> ExitStatus {
        until("the end of the program", || self.child.try_wait().expect("asked"))
    }

    pub fn has_logged(&self, word: &str) -> bool {
        self.log.lock().expect("whole").iter().any(|l| l.contains(word))
    }
}

impl Drop for Sidecar {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// An application's connection to the sidecar.
pub struct Client {
    pub read: BufReader<TcpStream>,
    pub write: TcpStream,
}

/// A request with a unique correlation id.
pub fn call(class: &str, time_left_ms: u64, body: &str) -> String {
    static IDS: AtomicUsize = AtomicUsize::new(0x9b1f_03aa);
    let id = IDS.fetch_add(1, Ordering::SeqCst);
    format!(
        "POST /api HTTP/1.1\r\nHost: api.internal\r\nX-Correlation-Id: {id:016x}\r\n\
         X-Service-Class: {class}\r\nX-Time-Left-Ms: {time_left_ms}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

impl Client {
    pub fn send_text(&mut self, text: &str) {
        self.write.write_all(text.as_bytes()).expect("written");
    }

    pub fn receive(&mut self) -> Message {
        read_message(&mut self.read).expect("a whole answer")
    }

    pub fn request(&mut self, text: &str) -> Message {
        self.send_text(text);
        self.receive()
    }

    /// Whether the peer has closed the connection cleanly, with no bytes left to read.
    pub fn is_closed(&mut self) -> bool {
        matches!(self.read.read(&mut [0]), Ok(0))
    }
}
