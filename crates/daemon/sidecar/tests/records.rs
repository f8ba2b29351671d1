//! Replicated records among three sidecars: a response recorded through one is replayed by the others, documents and their
//! changes, an ordered drain, detection of a copied store; and without the `records` table the feature is off.
mod common;
use common::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};

fn admin(at: SocketAddr, line: &str) -> (u16, String) {
    let mut stream = TcpStream::connect(at).expect("accepted");
    stream.write_all(format!("{line} HTTP/1.1\r\nHost: a\r\n\r\n").as_bytes()).expect("written");
    let mut text = String::new();
    stream.read_to_string(&mut text).expect("a whole answer");
    let status = text.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
    (status, text.split_once("\r\n\r\n").map_or(String::new(), |t| t.1.trim().to_string()))
}

fn records(at: SocketAddr) -> serde_json::Value {
    serde_json::from_str(&admin(at, "GET /admin/records").1).unwrap_or(serde_json::Value::Null)
}

fn scratch(name: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    std::fs::create_dir_all(&path).expect("made");
    path
}

/// The address on which a process receives messages from other members.
fn fleet_of(s: &Sidecar) -> SocketAddr {
    let told = admin(s.management.expect("management"), "GET /admin/members").1;
    let told: serde_json::Value = serde_json::from_str(&told).expect("a list");
    told["at"].as_str().and_then(|a| a.parse().ok()).expect("an address")
}

fn start(dir: &Path, n: usize, seed: SocketAddr, known: &[String]) -> Sidecar {
    let text = format!(
        "name = \"t\"\nidentity = \"00112233445566778899aabbccddeeff\"\nlisten = \"127.0.0.1:0\"\nfolder = {:?}\nperiod_ms = 50.0\n\
         seeds = [\"{seed}\"]\n[records]\nelection_ms = 300.0\nask_ms = 5000.0\n[[records.class]]\nname = \"change\"\n\
         window_s = 600.0\nwithout = \"refuse\"\n",
        dir.join(format!("disk-{n}"))
    );
    let file = dir.join(format!("{n}.toml"));
    std::fs::write(&file, text).expect("written");
    let mut command = command(&config(nowhere(), known, 256));
    command
        .env("PROXY_MANAGEMENT", "127.0.0.1:0")
        .env("PROXY_NAME", format!("n{n}"))
        .env("PROXY_FLEET", file);
    Sidecar::run(command)
}

fn keyed(id: &str, key: &str) -> String {
    format!(
        "POST /api/x HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: {id}\r\nX-Service-Class: change\r\nIdempotency-Key: {key}\r\n\
         X-Time-Left-Ms: 60000\r\nContent-Length: 0\r\n\r\n"
    )
}

#[test]
fn three_hold_for_each_other() {
    let upstream = Upstream::start(ok("done"));
    let known = [entry("s-a", upstream.address, "ready")];
    let dir = scratch("three");
    let first = start(&dir, 0, nowhere(), &known);
    let seed = fleet_of(&first);
    let mut all = vec![first];
    all.extend((1..3).map(|n| start(&dir, n, seed, &known)));
    let endpoints: Vec<SocketAddr> = all.iter().map(|s| s.management.expect("management")).collect();
    // Until the group is founded no records are held, and the class refuses requests.
    let refused = all[0].connect().request(&keyed("00", "k0"));
    assert_eq!((refused.status(), upstream.requests()), (503, 0));
    assert_eq!(admin(endpoints[0], "POST /admin/records/found").0, 200);
    assert_eq!(admin(endpoints[0], "POST /admin/records/found").0, 409, "the group is founded only once");
    for d in &endpoints {
        until("each member to know three voters", || {
            let v = records(*d);
            (v["groups"][0]["known"]["voters"].as_array()?.len() == 3).then_some(())
        });
    }
    // The response recorded through one is replayed by the others, and the upstream got one request.
    for (n, s) in all.iter().enumerate() {
        let answer = until("a recorded response", || {
            let a = s.connect().request(&keyed(&format!("1{n}"), "k1"));
            (a.status() == 200).then_some(a)
        });
        assert_eq!((answer.header("X-Held"), answer.body.as_slice()), (Some("1"), b"done".as_slice()));
    }
    assert_eq!(upstream.requests(), 1);
    // A document written at one member ends a wait at another.
    let waits = std::thread::spawn({
        let at = endpoints[1];
        move || admin(at, "GET /admin/documents/d?above=0&wait_ms=4000")
    });
    let put = until("the document to be written", || {
        Some(admin(endpoints[2], "POST /admin/documents/d?expect=0&value=x")).filter(|p| p.0 == 200)
    });
    assert_eq!(put.1, "{\"version\":1}");
    let told = waits.join().expect("answered");
    assert!(told.1.contains("\"version\":1") && told.1.contains("\"x\""), "{told:?}");
    assert_eq!(admin(endpoints[0], "POST /admin/documents/d?expect=0&value=y").0, 409);
    // An ordered drain reaches every member.
    assert_eq!(admin(endpoints[1], "POST /admin/drains/s-a").0, 200);
    for d in &endpoints {
        until("the drain to be known", || (records(*d)["drains"][0] == "s-a").then_some(()));
    }
    assert_eq!(admin(endpoints[1], "DELETE /admin/drains/s-a").0, 200);
    // One member dies, and the other two still serve the records. Restarted with a copy of its store, it gets a new identity.
    let id = records(endpoints[2])["id"].clone();
    let mut gone = all.pop().expect("three");
    gone.signal("KILL");
    gone.ended();
    let answer = until("the record to be served by the remaining members", || {
        let a = all[0].connect().request(&keyed("20", "k1"));
        (a.status() == 200).then_some(a)
    });
    assert_eq!((answer.header("X-Held"), upstream.requests()), (Some("1"), 1));
    let store = dir.join("disk-2/records.redb");
    let bytes = std::fs::read(&store).expect("kept");
    // Keeping the old file ensures that the copy gets another inode.
    std::fs::rename(&store, dir.join("moved")).expect("moved");
    std::fs::write(&store, bytes).expect("copied");
    let back = start(&dir, 2, seed, &known);
    assert_ne!(records(back.management.expect("management"))["id"], id);
    assert!(dir.join("disk-2/records.aside-1").exists(), "the copied store is set aside, not deleted");
    until("the log line on the new identity", || back.has_logged("somebody new").then_some(()));
}

#[test]
fn without_the_table_there_is_nothing_of_it() {
    let upstream = Upstream::start(ok("done"));
    let known = [entry("s-a", upstream.address, "ready")];
    let mut command = command(&config(nowhere(), &known, 256));
    command.env("PROXY_MANAGEMENT", "127.0.0.1:0");
    let s = Sidecar::run(command);
    let at = s.management.expect("management");
    for line in [
        "GET /admin/records",
        "POST /admin/records/found",
        "GET /admin/documents/d",
        "POST /admin/drains/s-a",
    ] {
        assert_eq!(admin(at, line).0, 404, "{line}");
    }
    let answer = s.connect().request(&keyed("00", "k"));
    assert_eq!((answer.status(), answer.header("X-Held")), (200, None));
    assert!(!admin(at, "GET /admin/stats").1.contains("svc_records"));
}
