//! Two gateway processes, fake servers at the far site, and a client in place of a sidecar: which requests cross the link,
//! which do not, and which response the client gets.
mod common;

use common::*;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

struct Gateway {
    child: Child,
    near: SocketAddr,
    link: SocketAddr,
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

static STARTED: AtomicUsize = AtomicUsize::new(0);

fn gateway(site: &str, far: &str, peer: SocketAddr, servers: &[SocketAddr]) -> Gateway {
    let n = STARTED.fetch_add(1, Ordering::SeqCst);
    let at = |name: &str| {
        PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("gw-{}-{n}-{name}", std::process::id()))
    };
    let known: Vec<String> = servers
        .iter()
        .enumerate()
        .map(|(i, a)| {
            entry(&format!("s-{i}"), *a, "ready").replace("\"site\":\"a\"", &format!("\"site\":\"{site}\""))
        })
        .collect();
    let my_zone = if site == "home" { 0 } else { 1 };
    let settings = config(nowhere(), &known, 1024)
        .replace("\"areas\":[\"a\"]", &format!("\"areas\":[\"home\",\"far\"],\"my_zone\":{my_zone}"));
    std::fs::write(at("settings.json"), settings).expect("written");
    let text = format!(
        "name = \"{site}\"\nsite = \"{site}\"\nfar = \"{far}\"\nsettings = {:?}\n[near]\nlisten = \"127.0.0.1:0\"\n\
         [link]\nlisten = \"127.0.0.1:0\"\npeers = [\"{peer}\"]\nask_ms = 50\n",
        at("settings.json")
    );
    std::fs::write(at("gateway.toml"), text).expect("written");
    let mut command = Command::new(env!("CARGO_BIN_EXE_silvercross"));
    command.env_clear().arg("gateway").arg("--config").arg(at("gateway.toml"));
    command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
    let mut child = command.spawn().expect("started");
    let mut lines = BufReader::new(child.stderr.take().expect("piped")).lines();
    let first = lines.next().expect("a line").expect("text");
    thread::spawn(move || lines.for_each(drop));
    let said: serde_json::Value =
        serde_json::from_str(&first).unwrap_or_else(|_| panic!("not started: {first}"));
    let address = |key: &str| said[key].as_str().and_then(|a| a.parse().ok()).expect("an address");
    Gateway { child, near: address("near"), link: address("link") }
}

fn client(at: SocketAddr) -> Option<Client> {
    let stream = TcpStream::connect(at).ok()?;
    stream.set_read_timeout(Some(WAIT_LIMIT)).expect("set");
    Some(Client { read: BufReader::new(stream.try_clone().ok()?), write: stream })
}

/// Connects to the near listener, which is closed until the gateway has received an offer from its peer.
fn near_client(g: &Gateway) -> Client {
    until("an offer", || {
        let mut c = client(g.near)?;
        // A connection made before the listener was first closed is refused for lack of capacity.
        c.write.write_all(b"GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n").ok()?;
        (read_message(&mut c.read)?.status() == 200).then_some(c)
    })
}

fn pair(servers: &[SocketAddr]) -> (Gateway, Gateway) {
    let far = gateway("far", "home", nowhere(), servers);
    let home = gateway("home", "far", far.link, &[]);
    (home, far)
}

fn is_unprocessed(m: &Message) -> bool {
    m.status() == 503 && m.header("x-unprocessed") == Some("1")
}

#[test]
fn a_call_crosses_once_and_its_answer_comes_back() {
    let server = Upstream::start(ok("from afar"));
    let (home, far) = pair(&[server.address]);
    let mut c = near_client(&home);
    let answer = c.request(&call("commit", 5_000, "order"));
    assert_eq!((answer.status(), answer.body.as_slice()), (200, &b"from afar"[..]));
    assert_eq!(answer.header("x-gateway-offer"), None, "the offer header is not passed to clients");
    let seen = server.seen.lock().expect("whole");
    assert_eq!(
        (seen.len(), seen[0].header("x-gateway-hops"), seen[0].body.as_slice()),
        (1, Some("home"), &b"order"[..])
    );
    drop(seen);
    // A request that has already crossed the link or left this site is not forwarded; nor is one that arrives over the link
    // without its hops.
    for (at, mark) in
        [(home.near, "far"), (home.near, "home"), (far.link, "far"), (far.link, "home,far"), (far.link, ",")]
    {
        let text = call("read", 5_000, "").replace("Host:", &format!("X-Gateway-Hops: {mark}\r\nHost:"));
        let answer = client(at).expect("open").request(&text);
        assert!(is_unprocessed(&answer), "{mark}: {}", answer.head);
    }
    let answer = client(far.link).expect("open").request(&call("read", 5_000, ""));
    assert!(is_unprocessed(&answer), "{}", answer.head);
    assert_eq!(server.requests(), 1);
    let offer = client(far.link).expect("open").request("GET /gateway/offer HTTP/1.1\r\nHost: a\r\n\r\n");
    assert!(offer.header("x-gateway-offer").is_some_and(|v| v.contains("slots=")), "{}", offer.head);
}

#[test]
fn what_may_have_run_over_there_fails_and_is_sent_nowhere_again() {
    let servers = [Upstream::start(Behavior::Closes), Upstream::start(Behavior::Closes)];
    let (home, _far) = pair(&servers.each_ref().map(|s| s.address));
    let answer = near_client(&home).request(&call("commit", 5_000, "order"));
    assert_eq!((answer.status(), answer.header("x-unprocessed")), (502, None), "{}", answer.head);
    assert_eq!(servers.iter().map(Upstream::requests).sum::<usize>(), 1);
}

#[test]
fn what_was_sent_back_unseen_over_there_is_sent_back_unseen() {
    let full = "HTTP/1.1 503 X\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n";
    let server = Upstream::start(Behavior::Responds(full.into()));
    let (home, _far) = pair(&[server.address]);
    let answer = near_client(&home).request(&call("commit", 5_000, "order"));
    assert!(is_unprocessed(&answer), "{}", answer.head);
}

#[test]
fn with_the_far_gateway_gone_nobody_is_let_in_until_one_is_back() {
    let server = Upstream::start(ok("from afar"));
    let (home, far) = pair(&[server.address]);
    assert_eq!(near_client(&home).request(&call("read", 5_000, "")).status(), 200);
    drop(far);
    until("the listener to close", || client(home.near).is_none().then_some(()));
}

/// Guards against a past fault: with the link cut, connections that were busy when the listener closed stayed open, and
/// every later request on them was returned unprocessed, from which the sidecars concluded that every upstream was slow,
/// those at home included.
#[test]
fn a_connection_that_was_busy_as_the_door_closed_ends_with_its_answer() {
    let server = Upstream::start(Behavior::Hangs);
    let (home, far) = pair(&[server.address]);
    let mut c = near_client(&home);
    c.send_text(&call("commit", 50_000, "order"));
    until("the order to reach the far server", || (server.requests() == 1).then_some(()));
    drop(far);
    let answer = c.receive();
    assert_eq!((answer.status(), answer.header("connection")), (502, Some("close")), "{}", answer.head);
}

#[test]
fn a_peer_that_is_no_gateway_is_never_trusted() {
    // The peer answers without an offer, with a huge one, and with a negative one.
    for offer in [
        "",
        "X-Gateway-Offer: life=1;seq=1;slots=999999999;for_ms=1000\r\n",
        "X-Gateway-Offer: life=1;seq=1;slots=-4;for_ms=1000\r\n",
    ] {
        let peer = Upstream::start(Behavior::Responds(format!(
            "HTTP/1.1 200 OK\r\n{offer}Content-Length: 0\r\n\r\n"
        )));
        let home = gateway("home", "far", peer.address, &[]);
        until("three requests for an offer", || (peer.requests() >= 3).then_some(()));
        assert!(client(home.near).is_none(), "{offer}");
    }
}

#[test]
fn a_gateway_drains_and_ends() {
    let server = Upstream::start(ok("from afar"));
    let (home, mut far) = pair(&[server.address]);
    assert_eq!(near_client(&home).request(&call("read", 5_000, "")).status(), 200);
    let told =
        Command::new("sh").arg("-c").arg(format!("kill -TERM {}", far.child.id())).status().expect("run");
    assert!(told.success());
    let status = until("the gateway to end", || far.child.try_wait().expect("asked"));
    assert!(status.success());
    until("the listener to close", || client(home.near).is_none().then_some(()));
}

/// Bytes of a response that is passed on over a link while it comes.
const LONG_BYTES: usize = 3_000_000;

/// Starts an upstream that sends the second half of a long response after a pause.
fn long_upstream() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = listener.local_addr().expect("bound");
    thread::spawn(move || {
        let mut stream = listener.accept().expect("a connection").0;
        read_message(&mut BufReader::new(stream.try_clone().expect("copied"))).expect("a request");
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {LONG_BYTES}\r\n\r\n");
        stream.write_all(head.as_bytes()).expect("written");
        stream.write_all(&[b'1'; LONG_BYTES / 2]).expect("written");
        thread::sleep(Duration::from_millis(1_600));
        stream.write_all(&[b'2'; LONG_BYTES / 2]).expect("written");
    });
    at
}

/// Guards against a gateway that ends after SIGTERM while a response crosses its link: here, on the other side, or at both.
#[test]
fn a_stop_of_either_gateway_waits_for_a_response_that_crosses() {
    for (home_stops, far_stops) in [(true, false), (false, true), (true, true)] {
        let (mut home, mut far) = pair(&[long_upstream()]);
        let mut c = near_client(&home);
        c.send_text(&call("commit", 6_000, ""));
        assert!(!c.read.fill_buf().expect("a first part").is_empty());
        for gateway in
            [(home_stops, &home), (far_stops, &far)].into_iter().filter_map(|(is, g)| is.then_some(g))
        {
            let kill = format!("kill -TERM {}", gateway.child.id());
            assert!(Command::new("sh").arg("-c").arg(kill).status().expect("run").success());
        }
        let answer = c.receive();
        let whole = [vec![b'1'; LONG_BYTES / 2], vec![b'2'; LONG_BYTES / 2]].concat();
        assert!(answer.body == whole, "home {home_stops}, far {far_stops}: {} bytes", answer.body.len());
        for (stops, gateway) in [(home_stops, &mut home), (far_stops, &mut far)] {
            if stops {
                assert!(until("its end", || gateway.child.try_wait().expect("asked")).success());
            }
        }
    }
}
