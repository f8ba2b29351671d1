//! Fleet membership: two members find each other, a drain learned by one keeps the other from the upstream although its own
//! discovery is unreachable, a planned stop is not reported as a failure, and without a fleet file the feature is off.
mod common;
use common::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::Command;

fn members(at: SocketAddr) -> serde_json::Value {
    let mut stream = TcpStream::connect(at).expect("accepted");
    stream.write_all(b"GET /admin/members HTTP/1.1\r\nHost: a\r\n\r\n").expect("written");
    let mut text = String::new();
    stream.read_to_string(&mut text).expect("a whole answer");
    let body = text.split_once("\r\n\r\n").expect("a head").1;
    serde_json::from_str(body).unwrap_or(serde_json::Value::Null)
}

/// A port that is free for datagrams and connections. A TCP socket that does not listen holds it for as long as the tests run, so
/// that port 0 gives it to no other listener; the program, which sets SO_REUSEADDR and names the port, can still bind it.
fn port() -> SocketAddr {
    for _ in 0..50 {
        let socket =
            socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
        socket.set_reuse_address(true).expect("set");
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a port");
        let at = socket.local_addr().ok().and_then(|a| a.as_socket()).expect("bound");
        if UdpSocket::bind(at).is_ok() {
            std::mem::forget(socket);
            return at;
        }
    }
    panic!("no port is free for both datagrams and connections");
}

fn file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{}.toml", std::process::id()));
    std::fs::write(&path, text).expect("written");
    path
}

fn fleet(listen: SocketAddr, seed: SocketAddr) -> String {
    format!(
        "name = \"t\"\nidentity = \"00112233445566778899aabbccddeeff\"\nlisten = \"{listen}\"\nperiod_ms = 50.0\nseeds = [\"{seed}\"]\n"
    )
}

fn start(name: &str, discovery: SocketAddr, known: &[String], fleet: &str) -> Sidecar {
    let mut command = command(&config(discovery, known, 256));
    command
        .env("PROXY_MANAGEMENT", "127.0.0.1:0")
        .env("PROXY_NAME", name)
        .env("PROXY_FLEET", file(name, fleet));
    Sidecar::run(command)
}

#[test]
fn two_find_each_other_and_a_drain_heard_by_one_holds_at_the_other() {
    let (a, b) = (Upstream::start(ok("a")), Upstream::start(ok("b")));
    let (up_a, up_b) = (entry("s-a", a.address, "ready"), entry("s-b", b.address, "ready"));
    let known = [up_a.clone(), up_b.clone()];
    let discovery = Discovery::start(list(1, true, &known));
    let (at_1, at_2) = (port(), port());
    let one = start("fleet-one", discovery.address, &known, &fleet(at_1, at_1));
    // The second member's discovery is unreachable: it has only the configured list.
    let mut two = start("fleet-two", nowhere(), &known, &fleet(at_2, at_1));
    let (endpoint_1, endpoint_2) = (one.management.expect("management"), two.management.expect("management"));
    for endpoint in [endpoint_1, endpoint_2] {
        until("each member to list the other", || (members(endpoint)["live"] == 2).then_some(()));
    }
    until("the watch", || (discovery.watches() > 0).then_some(()));
    discovery.send_line(&list(2, false, &[entry("s-a", a.address, "draining")]));
    until("the drain", || {
        members(endpoint_2)["drains"].as_array().is_some_and(|d| d.iter().any(|h| h == "s-a")).then_some(())
    });
    let before = a.requests();
    for _ in 0..12 {
        let mut client = two.connect();
        assert_eq!(client.request(&call("read", 5_000, "")).status(), 200);
    }
    assert_eq!(
        a.requests(),
        before,
        "the second member learned of the drain from the first alone and avoids the upstream"
    );
    let program = Command::new(env!("CARGO_BIN_EXE_silvercross"))
        .args(["members", "--compare", "--at", &format!("{endpoint_1},{endpoint_2}")])
        .output()
        .expect("run");
    assert!(program.status.success(), "{}", String::from_utf8_lossy(&program.stdout));
    two.terminate();
    assert!(two.ended().success());
    until("the member to be listed as left, not as failed", || {
        let told = members(endpoint_1);
        (told["others"][0]["state"] == "left" && told["failed"] == 0).then_some(())
    });
}

#[test]
fn a_bad_file_is_one_plain_line_and_without_one_there_is_nothing() {
    let bad = file(
        "fleet-bad",
        "name = \"t\"\nidentity = \"12\"\nlisten = \"127.0.0.1:0\"\nseeds = [\"127.0.0.1:1\"]\n",
    );
    let mut command = command(&config(nowhere(), &[], 256));
    let out = command.env("PROXY_FLEET", bad).output().expect("run");
    let said = String::from_utf8_lossy(&out.stderr).into_owned();
    assert!(!out.status.success() && said.contains("identity: 32 hexadecimal digits"), "{said}");
    assert_eq!(said.lines().count(), 1, "{said}");
    let mut without = common::command(&config(nowhere(), &[], 256));
    without.env("PROXY_MANAGEMENT", "127.0.0.1:0");
    let without = Sidecar::run(without);
    assert_eq!(members(without.management.expect("management")), serde_json::Value::Null);
    let pid = without.child.id();
    let udp = std::fs::read_to_string(format!("/proc/{pid}/net/udp")).unwrap_or_default();
    let links = std::fs::read_dir(format!("/proc/{pid}/fd"))
        .expect("there")
        .filter_map(|e| Some(std::fs::read_link(e.ok()?.path()).ok()?.to_string_lossy().into_owned()));
    let sockets: Vec<String> = links
        .filter_map(|l| l.strip_prefix("socket:[").map(|l| l.trim_end_matches(']').to_string()))
        .collect();
    let datagrams =
        udp.lines().skip(1).filter(|l| sockets.iter().any(|s| l.split_whitespace().nth(9) == Some(s)));
    assert_eq!(datagrams.count(), 0, "no UDP socket is open");
}
