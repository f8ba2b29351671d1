//! Operation of the running program: management requests, changes of settings, and replacement of the process.
mod common;
use common::*;
use std::collections::HashSet;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::Command;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const BUDGET_MS: u64 = 6_000;

/// Starts a sidecar with a management endpoint on a port chosen by the system.
fn with_management(config: &str) -> Sidecar {
    let mut command = command(config);
    command.env("PROXY_MANAGEMENT", "127.0.0.1:0");
    Sidecar::run(command)
}

fn exchange(at: SocketAddr, text: &str) -> String {
    let mut stream = TcpStream::connect(at).expect("accepted");
    stream.set_read_timeout(Some(WAIT_LIMIT)).expect("set");
    stream.write_all(text.as_bytes()).expect("written");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("a whole answer, then the end");
    answer
}

fn get(at: SocketAddr, path: &str) -> String {
    exchange(at, &format!("GET {path} HTTP/1.1\r\nHost: a\r\n\r\n"))
}

fn status(answer: &str) -> u16 {
    answer.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
}

/// The metric whose line begins with `name`.
fn metric(at: SocketAddr, name: &str) -> u64 {
    let answer = get(at, "/admin/stats");
    let of = |l: &str| l.strip_prefix(name).and_then(|rest| rest.trim().parse().ok());
    answer.lines().find_map(of).unwrap_or_else(|| panic!("no {name} in {answer}"))
}

fn class_metric(at: SocketAddr, what: &str, class: &str) -> u64 {
    metric(at, &format!("svc_{what}_total{{priority=\"{class}\"}}"))
}

fn healthy(at: SocketAddr) -> bool {
    // Nothing answers before the process listens and after it has ended.
    let Ok(mut stream) = TcpStream::connect(at) else { return false };
    let mut answer = String::new();
    let asked = stream.write_all(b"GET /admin/health HTTP/1.1\r\n\r\n");
    asked.is_ok() && stream.read_to_string(&mut answer).is_ok() && status(&answer) == 200
}

#[test]
fn the_door_answers_each_call_and_no_other() {
    let discovery = Discovery::start(list(1, true, &[]));
    let up = Upstream::start(ok("served"));
    let sidecar = with_management(&config(discovery.address, &[entry("s-1", up.address, "ready")], 1024));
    let endpoint = sidecar.management.expect("management");
    assert_eq!(status(&get(endpoint, "/admin/health")), 503, "not ready before the first list");
    discovery.wait_for_watches(1);
    let tell = list(2, true, &[entry("s-1", up.address, "ready"), entry("s-2", up.address, "draining")]);
    discovery.send_line(&tell);
    until("healthy status", || healthy(endpoint).then_some(()));
    assert_eq!((metric(endpoint, "svc_registry_entries"), metric(endpoint, "svc_out_of_rotation")), (2, 1));
    assert_eq!(status(&get(endpoint, "/admin")), 404);
    assert_eq!(status(&exchange(endpoint, "POST /admin/stats HTTP/1.1\r\nContent-Length: 0\r\n\r\n")), 405);
    assert_eq!(status(&exchange(endpoint, "what?\r\n\r\n")), 400);
    let long = format!("GET /admin/stats HTTP/1.1\r\nX: {}\r\n\r\n", "a".repeat(5_000));
    assert_eq!(status(&exchange(endpoint, &long)), 431);
    assert_eq!(
        status(&get(sidecar.address, "/admin/stats").replace('\0', "")),
        404,
        "management is not served on the application port"
    );
}

#[test]
fn without_an_address_there_is_no_door() {
    let sidecar = Sidecar::start(nowhere(), &[]);
    assert_eq!(sidecar.management, None);
}

#[test]
fn the_figures_are_what_clients_and_upstreams_saw() {
    let up = Upstream::start(ok("served"));
    let bad = Upstream::start(Behavior::Responds("HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n".into()));
    for (upstream, what) in [(&up, "fulfilled"), (&bad, "faulted")] {
        let sidecar = with_management(&config(nowhere(), &[entry("s-1", upstream.address, "ready")], 1024));
        let endpoint = sidecar.management.expect("management");
        let mut client = sidecar.connect();
        for _ in 0..7 {
            client.request(&call("commit", BUDGET_MS, ""));
        }
        assert_eq!((class_metric(endpoint, what, "commit"), class_metric(endpoint, what, "read")), (7, 0));
        assert_eq!(metric(endpoint, "svc_relayed_total"), upstream.requests() as u64);
        assert_eq!(metric(endpoint, "svc_open_requests"), 0);
    }
    // Without an upstream the request is refused and nothing is relayed.
    let sidecar = with_management(&config(nowhere(), &[], 1024));
    let endpoint = sidecar.management.expect("management");
    assert_eq!(sidecar.connect().request(&call("read", BUDGET_MS, "")).status(), 503);
    assert_eq!((class_metric(endpoint, "throttled", "read"), metric(endpoint, "svc_relayed_total")), (1, 0));
}

#[test]
fn the_door_stays_open_where_applications_and_silent_callers_take_all() {
    let (_go, behavior) = ok_after_signal("served");
    let up = Upstream::start(behavior);
    let sidecar = with_management(&config(nowhere(), &[entry("s-1", up.address, "ready")], 64));
    let endpoint = sidecar.management.expect("management");
    // Requests that hang (few enough that the core, which has no observations yet, refuses none), connections beyond the
    // limit, and silent management connections.
    let mut hanging: Vec<Client> = (0..4).map(|_| sidecar.connect()).collect();
    hanging.iter_mut().for_each(|c| c.send_text(&call("commit", BUDGET_MS, "")));
    let _crowd: Vec<Client> = (0..80).map(|_| sidecar.connect()).collect();
    let _silent: Vec<TcpStream> = (0..40).map(|_| TcpStream::connect(endpoint).expect("accepted")).collect();
    until("the open requests", || (metric(endpoint, "svc_open_requests") == 4).then_some(()));
    assert_eq!(status(&get(endpoint, "/admin/health")), 503, "not ready before the first list");
}

#[test]
fn a_stopping_process_says_no() {
    let (go, behavior) = ok_after_signal("served");
    let up = Upstream::start(behavior);
    let mut sidecar = with_management(&config(nowhere(), &[entry("s-1", up.address, "ready")], 1024));
    let endpoint = sidecar.management.expect("management");
    until("healthy status", || healthy(endpoint).then_some(()));
    let mut client = sidecar.connect();
    client.send_text(&call("commit", BUDGET_MS, ""));
    until("the attempt", || (up.requests() == 1).then_some(()));
    sidecar.terminate();
    until("the stopping status", || get(endpoint, "/admin/health").contains("stopping").then_some(()));
    assert_eq!(metric(endpoint, "svc_open_requests"), 1);
    go.send(()).expect("waited for");
    assert_eq!(client.receive().status(), 200);
    assert!(sidecar.ended().success());
}

/// Reserves a port for as long as the value lives, without listening on it.
struct Port {
    _held: socket2::Socket,
    at: SocketAddr,
}

impl Port {
    fn reserve() -> Port {
        let socket =
            socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
        socket.set_reuse_address(true).expect("set");
        socket.set_reuse_port(true).expect("set");
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a port");
        let at = socket.local_addr().ok().and_then(|a| a.as_socket()).expect("bound");
        Port { _held: socket, at }
    }
}

fn shared_folder(name: &str) -> PathBuf {
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&dir);
    std::fs::create_dir_all(&dir).expect("made");
    dir
}

fn replacement(config: &str, at: SocketAddr, dir: &PathBuf) -> Command {
    let mut command = command(config);
    command.env("PROXY_LISTEN", at.to_string()).env("PROXY_MANAGEMENT", "127.0.0.1:0").env("TMPDIR", dir);
    command
}

#[derive(Default)]
struct Outcomes {
    sent: AtomicUsize,
    served: AtomicUsize,
    /// Ids of requests whose connection was refused, reset, or closed without a response.
    unanswered: Mutex<Vec<String>>,
    /// Statuses other than 200.
    other_statuses: Mutex<Vec<u16>>,
}

/// Sends requests, reusing the connection while the sidecar keeps it open, and records their outcomes.
fn client(at: SocketAddr, seen: &Outcomes, over: &AtomicBool) {
    let mut kept: Option<Client> = None;
    while !over.load(Ordering::SeqCst) {
        let text = call("commit", BUDGET_MS, "an order");
        let id = text.lines().nth(2).expect("an id").to_string();
        seen.sent.fetch_add(1, Ordering::SeqCst);
        let answer = kept.take().or_else(|| connect(at)).and_then(|mut c| {
            c.write.write_all(text.as_bytes()).ok()?;
            let answer = read_message(&mut c.read)?;
            kept = (answer.header("connection") != Some("close")).then_some(c);
            Some(answer.status())
        });
        match answer {
            Some(200) => drop(seen.served.fetch_add(1, Ordering::SeqCst)),
            Some(status) => seen.other_statuses.lock().expect("whole").push(status),
            None => seen.unanswered.lock().expect("whole").push(id),
        }
        thread::sleep(Duration::from_millis(2));
    }
}

fn connect(at: SocketAddr) -> Option<Client> {
    let stream = TcpStream::connect(at).ok()?;
    stream.set_read_timeout(Some(WAIT_LIMIT)).ok()?;
    Some(Client { read: std::io::BufReader::new(stream.try_clone().ok()?), write: stream })
}

#[test]
fn fifty_upgrades_under_load_lose_nothing() {
    const UPGRADES: usize = 50;
    let up = Upstream::start(ok("served"));
    let discovery = Discovery::start(list(1, true, &[entry("s-1", up.address, "ready")]));
    let (port, dir) = (Port::reserve(), shared_folder("upgrades"));
    let file = config(discovery.address, &[entry("s-1", up.address, "ready")], 1024);
    let mut old = Sidecar::run(replacement(&file, port.at, &dir));
    until("healthy status", || healthy(old.management.expect("management")).then_some(()));
    let (seen, over) = (Arc::new(Outcomes::default()), Arc::new(AtomicBool::new(false)));
    // Few enough that the core, which has no observations at its start, refuses none.
    let clients: Vec<_> = (0..4)
        .map(|_| {
            let (seen, over, at) = (seen.clone(), over.clone(), port.at);
            thread::spawn(move || client(at, &seen, &over))
        })
        .collect();
    for _ in 0..UPGRADES {
        let new = Sidecar::run(replacement(&file, port.at, &dir));
        until("healthy status", || healthy(new.management.expect("management")).then_some(()));
        let before = seen.served.load(Ordering::SeqCst);
        old.terminate();
        assert!(old.ended().success());
        until("service", || (seen.served.load(Ordering::SeqCst) > before + 20).then_some(()));
        old = new;
    }
    over.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|c| c.join().expect("a client's end"));
    let ran: HashSet<String> = up
        .seen
        .lock()
        .expect("whole")
        .iter()
        .filter_map(|m| m.head.lines().find(|l| l.starts_with("X-Correlation-Id")).map(str::to_string))
        .collect();
    let unanswered = seen.unanswered.lock().expect("whole");
    assert_eq!(
        unanswered.iter().filter(|id| ran.contains(*id)).count(),
        0,
        "requests ran at the upstream but got no response"
    );
    assert_eq!(*seen.other_statuses.lock().expect("whole"), Vec::<u16>::new());
    assert!(
        unanswered.len() <= 2 * UPGRADES,
        "{} of {:?} requests found no open connection",
        unanswered.len(),
        seen.sent
    );
    println!("{} of {:?} requests found no open connection", unanswered.len(), seen.sent);
}

#[test]
fn a_successor_that_dies_or_never_gets_ready_changes_nothing() {
    let up = Upstream::start(ok("served"));
    let discovery = Discovery::start(list(1, true, &[entry("s-1", up.address, "ready")]));
    let (port, dir) = (Port::reserve(), shared_folder("dies"));
    let file = config(discovery.address, &[entry("s-1", up.address, "ready")], 1024);
    let mut old = Sidecar::run(replacement(&file, port.at, &dir));
    until("healthy status", || healthy(old.management.expect("management")).then_some(()));
    // A successor without a list accepts no connections: its configured list is empty and discovery is unreachable.
    let not_ready = Sidecar::run(replacement(&config(nowhere(), &[], 1024), port.at, &dir));
    assert!(!healthy(not_ready.management.expect("management")));
    for _ in 0..20 {
        assert_eq!(old.connect().request(&call("commit", BUDGET_MS, "")).status(), 200);
    }
    drop(not_ready);
    // With the successor gone the old process stops as usual: it keeps accepting connections for a while.
    let mut client = old.connect();
    assert_eq!(client.request(&call("commit", BUDGET_MS, "")).status(), 200);
    old.terminate();
    until("the stop", || old.has_logged("stopping").then_some(()));
    assert_eq!(old.connect().request(&call("commit", BUDGET_MS, "")).status(), 200);
    assert!(old.ended().success());
}

#[test]
fn new_settings_are_taken_whole_and_broken_ones_not_at_all_under_open_requests() {
    let (go, behavior) = ok_after_signal("served");
    let up = Upstream::start(behavior);
    let good = config(nowhere(), &[entry("s-1", up.address, "ready")], 1024);
    let sidecar = with_management(&good);
    let endpoint = sidecar.management.expect("management");
    let mut open = sidecar.connect();
    open.send_text(&call("commit", BUDGET_MS, ""));
    until("the attempt", || (up.requests() == 1).then_some(()));
    let class = r#"{"name":"commit","aim_s":2.5,"deadline_s":6.0,"effect":"once","importance":1.0}"#;
    let broken: Vec<String> = [
        (good.as_str(), ""),
        ("}", ""),
        (class, r#"{"name":"commit","aim_s":2.5,"deadline_s":0,"effect":"once","importance":1.0}"#),
        (class, r#"{"name":"commit","aim_s":2.5,"deadline_s":-6.0,"effect":"once","importance":1.0}"#),
        (class, r#"{"name":"commit","aim_s":-1,"deadline_s":6.0,"effect":"once","importance":1.0}"#),
        (class, r#"{"name":"commit","aim_s":2.5,"deadline_s":"6","effect":"once","importance":1.0}"#),
        (class, r#"{"name":"commit","aim_s":2.5,"deadline_s":null,"effect":"once","importance":1.0}"#),
        (class, r#"{"name":"commit","aim_s":2.5,"deadline_s":1e999,"effect":"once","importance":1.0}"#),
        (class, r#"{"name":"commit","aim_s":2.5,"deadline_s":NaN,"effect":"once","importance":1.0}"#),
        (class, r#"{"name":"commit","aim_s":2.5,"effect":"once","importance":1.0}"#),
        (class, r#"{"name":"commit","aim_s":2.5,"deadline_s":6.0,"effect":"odd","importance":1.0}"#),
        (class, r#"{"name":"commit","aim_s":2.5,"deadline_s":6.0,"importance":1.0}"#),
        (class, r#"{"name":"commit","aim_s":2.5,"deadline_s":6.0,"effect":"once"}"#),
        (class, r#"{"name":"read","aim_s":2.5,"deadline_s":6.0,"effect":"once","importance":1.0}"#),
        (class, r#"{"aim_s":2.5,"deadline_s":6.0,"effect":"once","importance":1.0}"#),
        (class, "7"),
        (r#""attempts_cap":4"#, r#""attempts_cap":0"#),
        (r#""attempts_cap":4"#, r#""attempts_cap":-4"#),
        (r#""attempts_cap":4"#, r#""attempts_cap":2.5"#),
        (r#""attempts_cap":4,"#, ""),
        (r#""rules":{"drain_grace_s":2.0}"#, r#""rules":{}"#),
        (r#""settings":"#, r#""setting":"#),
        (r#""memory_mb":192,"#, ""),
    ]
    .iter()
    .map(|(from, to)| good.replacen(from, to, 1))
    .collect();
    for (n, text) in broken.iter().enumerate() {
        sidecar.reload(text);
        until("a rejection", || (metric(endpoint, "svc_cfg_invalid_total") == n as u64 + 1).then_some(()));
    }
    assert_eq!(metric(endpoint, "svc_cfg_accepted_total"), 0);
    // One class is added, one removed.
    sidecar.reload(&good.replacen("\"name\":\"commit\"", "\"name\":\"order\"", 1));
    until("the new configuration", || (metric(endpoint, "svc_cfg_accepted_total") == 1).then_some(()));
    assert_eq!(class_metric(endpoint, "fulfilled", "order"), 0);
    let mut client = sidecar.connect();
    assert_eq!(client.request(&call("commit", BUDGET_MS, "")).status(), 400, "dropped");
    let mut client = sidecar.connect();
    client.send_text(&call("order", BUDGET_MS, ""));
    until("its attempt", || (up.requests() == 2).then_some(()));
    go.send(()).and_then(|()| go.send(())).expect("waited for");
    assert_eq!((open.receive().status(), client.receive().status()), (200, 200));
    assert_eq!(
        (class_metric(endpoint, "fulfilled", "commit"), class_metric(endpoint, "fulfilled", "order")),
        (1, 1)
    );
}

#[test]
fn a_successor_serves_in_the_dark_from_the_known_list_and_outlives_the_old_one_killed() {
    let up = Upstream::start(ok("served"));
    let (port, dir) = (Port::reserve(), shared_folder("dark"));
    // Discovery is unreachable: each process uses the list it already has.
    let file = config(nowhere(), &[entry("s-1", up.address, "ready")], 1024);
    let mut old = Sidecar::run(replacement(&file, port.at, &dir));
    until("healthy status", || healthy(old.management.expect("management")).then_some(()));
    let new = Sidecar::run(replacement(&file, port.at, &dir));
    // Either process may be reloaded in the meantime.
    old.reload(&file);
    new.reload(&file);
    until("healthy status", || healthy(new.management.expect("management")).then_some(()));
    until("the new configuration", || {
        let taken = |s: &Sidecar| metric(s.management.expect("bound"), "svc_cfg_accepted_total") == 1;
        (taken(&old) && taken(&new)).then_some(())
    });
    old.child.kill().expect("killed");
    old.ended();
    for _ in 0..20 {
        assert_eq!(new.connect().request(&call("commit", BUDGET_MS, "")).status(), 200);
    }
    until("the old process to be gone", || new.has_logged("\"paired\":false").then_some(()));
}
