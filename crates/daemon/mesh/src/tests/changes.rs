//! What is open while the settings file, the configuration or the process' own state changes ends as if nothing had; and what
//! comes new is treated as what was there.
use crate::control::{self, CONTROL_CALLS, READY_CALLS};
use crate::reload;
use crate::tests::support::{
    self, bytes, stamped, status, value, Sidecar, SidecarOptions, TestConnection, ID,
};
use crate::wire::MAX_BUFFERED_BODY_BYTES;
use std::cell::Cell;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpStream};

/// What happens while a request is open.
#[derive(Clone, Copy, Debug)]
enum Change {
    /// SIGHUP, with other seeds and bounds in the file.
    Settings,
    /// Its route is dropped.
    Dropped,
    /// All routes of its service are dropped.
    AllDropped,
    /// Its route leads to another service, which has no upstream.
    Moved,
    /// Its route is another one: less time, one attempt, other rank.
    Altered,
    /// Limits that it would not keep.
    Limits,
    /// The process is told to end.
    Stop,
}

const CHANGES: [Change; 7] = [
    Change::Settings,
    Change::Dropped,
    Change::AllDropped,
    Change::Moved,
    Change::Altered,
    Change::Limits,
    Change::Stop,
];

/// A request's method, its route, and the sizes of its body and its answer.
const REQUESTS: [(&str, &str, usize, usize); 4] = [
    ("GET", "safe", 0, 500),
    ("POST", "once", 900, 500),
    ("POST", "up", 2 * MAX_BUFFERED_BODY_BYTES, 500),
    ("GET", "safe", 0, 2 * MAX_BUFFERED_BODY_BYTES),
];

/// A route of host `h`.
fn route(name: &str, lane: &str, kind: &str, service: &str, attempts: u32, edition: u64) -> String {
    format!(
        "{{\"name\":\"{name}\",\"lane\":\"/{lane}/\",\"routeKind\":\"{kind}\",\"deadlineS\":20,\"targetS\":1,\"priority\":1,\
         \"destination\":\"{service}\",\"attempts\":{attempts},\"edition\":{edition}}}"
    )
}

fn delivered(routes: &[String]) -> String {
    format!("{{\"deliver\":{{\"depots\":[{{\"depot\":\"h\",\"lanes\":[{}]}}]}}}}", routes.join(","))
}

fn withdrawn(routes: &[&str]) -> String {
    let all: Vec<String> = routes.iter().map(|r| format!("{{\"name\":\"{r}\",\"edition\":5}}")).collect();
    format!("{{\"withdraw\":{{\"routes\":[{}]}}}}", all.join(","))
}

impl Change {
    fn happen(self, at: &Sidecar, of: &str, settings: &(PathBuf, String)) {
        let kind = match of {
            "safe" => "safe",
            "up" => "upload",
            _ => "unsafe",
        };
        match self {
            Change::Settings => {
                let (path, text) = settings;
                std::fs::write(path, format!("{text}seeds: ['127.0.0.9:1']\nbounds: ['drainS=0.1', 'graceS=2']\n"))
                    .expect("written");
                at.node_state.settings_file.begin(path);
                let outcome = reload::reload(&at.node_state, true);
                assert!(matches!(outcome, reload::ReloadOutcome::Reloaded { in_force, .. } if in_force.len() == 2));
            }
            Change::Dropped => at.patch(&withdrawn(&[of])),
            Change::AllDropped => at.patch(&withdrawn(&["safe", "once", "up"])),
            Change::Moved => {
                let item = "{\"name\":\"other\",\"healthPath\":\"/\",\"lineCap\":9,\"coldS\":0,\"coldRateS\":0,\"edition\":5}";
                at.patch(&format!("{{\"deliver\":{{\"destinations\":[{item}]}}}}"));
                at.patch(&delivered(&[route(of, of, kind, "other", 2, 6)]));
            }
            Change::Altered => {
                let item = route(of, of, kind, "quotes", 1, 5);
                at.patch(&delivered(&[item.replace("20,", "0.001,").replace("\"priority\":1", "\"priority\":7")]));
            }
            Change::Limits => at.patch(
                "{\"deliver\":{\"sizeLimits\":{\"envelopeBytes\":10,\"contentBytes\":1,\"envelopeS\":0.001,\"idleS\":0.001,\
                 \"edition\":5}}}",
            ),
            Change::Stop => at.node_state.begin_stop(),
        }
    }
}

#[test]
fn open_requests_complete_whatever_changes_meanwhile() {
    support::run(async {
        let path = std::env::temp_dir().join(format!("silvercross-mesh-changes-{}.yaml", std::process::id()));
        for change in CHANGES {
            for (method, of, body, answer) in REQUESTS {
                let case = format!("{change:?} {method} {of} {body} {answer}");
                let (listener, station) = support::station().await;
                let (_, nobody) = support::station().await;
                let (origin, text) = support::sidecar_of(1, nobody, SidecarOptions::default()).await;
                let (gate, gates) = support::sidecar_of(2, station, SidecarOptions::default()).await;
                gate.beat();
                origin.hears_of(&gate);
                let settings = [(path.clone(), text), (path.clone(), gates)];
                let happen = || {
                    for (at, settings) in [&origin, &gate].into_iter().zip(&settings) {
                        change.happen(at, of, settings);
                    }
                };
                let mut client = TestConnection::to(origin.at).await;
                let sent = bytes(body);
                let head =
                    format!("{method} /{of}/x HTTP/1.1\r\nHost: h\r\n{ID}Content-Length: {body}\r\n\r\n");
                client.say(head.as_bytes()).await;
                // A large body is at its upstream in part; a small one whole.
                let first = if body > MAX_BUFFERED_BODY_BYTES {
                    MAX_BUFFERED_BODY_BYTES + MAX_BUFFERED_BODY_BYTES / 2
                } else {
                    body
                };
                client.say(&sent[..first]).await;
                let (stream, _) = listener.accept().await.expect("a connection");
                let mut upstream = TestConnection::over(stream);
                let asked = upstream.head().await;
                if answer < MAX_BUFFERED_BODY_BYTES {
                    happen();
                }
                client.say(&sent[first..]).await;
                let (came, whole) = upstream.body(&asked).await;
                assert!(whole && came == sent, "{case}");
                let back = bytes(answer);
                let framing = format!("Content-Length: {answer}\r\n");
                upstream.say(stamped(&asked, 200, &framing).as_bytes()).await;
                if answer > MAX_BUFFERED_BODY_BYTES {
                    // A part of the answer is at the client.
                    let told = upstream.say(&back[..MAX_BUFFERED_BODY_BYTES + MAX_BUFFERED_BODY_BYTES / 2]);
                    let (head, ()) = tokio::join!(client.head(), told);
                    happen();
                    let (got, ()) = tokio::join!(
                        client.body(&head),
                        upstream.say(&back[MAX_BUFFERED_BODY_BYTES + MAX_BUFFERED_BODY_BYTES / 2..])
                    );
                    assert!(status(&head) == "200" && got.1 && got.0 == back, "{case}: {head}");
                } else {
                    upstream.say(&back).await;
                    let head = client.head().await;
                    let (got, whole) = client.body(&head).await;
                    assert!(status(&head) == "200" && whole && got == back, "{case}: {head}");
                }
                assert_eq!(gate.node_state.counters.delivered_requests.get(), 1, "{case}");
            }
        }
        std::fs::remove_file(&path).expect("removed");
    });
}

/// An upstream on a connection: answers each request whole.
async fn answers(stream: TcpStream) {
    let mut talk = TestConnection::over(stream);
    loop {
        let head = talk.head().await;
        if head.is_empty() {
            return;
        }
        talk.body(&head).await;
        talk.say(stamped(&head, 200, "Content-Length: 0\r\n").as_bytes()).await;
    }
}

fn serves(listener: TcpListener) {
    tokio::task::spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::task::spawn_local(answers(stream));
        }
    });
}

/// More clients than the upstream has slots ask on old and new routes in turn; what came of it, by route.
#[test]
fn routes_added_later_are_served_like_the_first() {
    const ROUTES: usize = 24;
    const CLIENTS: usize = 24;
    const EACH: usize = 56;
    support::run(async {
        let (listener, station) = support::station().await;
        serves(listener);
        let (_, nobody) = support::station().await;
        let origin = support::sidecar(1, nobody, SidecarOptions::default()).await;
        let gate = support::sidecar(2, station, SidecarOptions::default()).await;
        gate.beat();
        origin.hears_of(&gate);
        // The first routes have their figures by the time the others come.
        let mut talk = TestConnection::to(origin.at).await;
        for _ in 0..200 {
            talk.say(format!("GET /safe/x HTTP/1.1\r\nHost: h\r\n{ID}\r\n").as_bytes()).await;
            let head = talk.head().await;
            talk.body(&head).await;
            assert_eq!(status(&head), "200");
        }
        let later: Vec<String> = (0..ROUTES).map(|n| format!("later-{n}")).collect();
        let items: Vec<String> = later.iter().map(|l| route(l, l, "safe", "quotes", 2, 7)).collect();
        origin.patch(&delivered(&items));
        gate.patch(&delivered(&items));
        let served: Rc<Cell<(u64, u64)>> = Rc::default();
        let mut clients = Vec::new();
        for c in 0..CLIENTS {
            let (at, served, lane) = (origin.at, served.clone(), later[c % ROUTES].clone());
            clients.push(tokio::task::spawn_local(async move {
                let mut talk = TestConnection::to(at).await;
                for n in 0..EACH {
                    let new = n % 2 == 0;
                    let lane = if new { lane.as_str() } else { "safe" };
                    let id = format!("Attempt-Id: c{c}-{n}\r\n");
                    talk.say(format!("GET /{lane}/x HTTP/1.1\r\nHost: h\r\n{id}\r\n").as_bytes()).await;
                    let head = talk.head().await;
                    talk.body(&head).await;
                    let (old, later) = served.get();
                    match (status(&head) == "200", new) {
                        (true, true) => served.set((old, later + 1)),
                        (true, false) => served.set((old + 1, later)),
                        _ => {}
                    }
                }
            }));
        }
        for client in clients {
            client.await.expect("it ends");
        }
        let (old, later) = served.get();
        assert!(old > 0 && later * 10 >= old * 9, "{old} on the first route, {later} on those added later");
    });
}

/// Say something to a listener of calls, on a connection that is kept.
async fn call(talk: &mut TestConnection, method: &str, path: &str, body: &str) -> (String, Vec<u8>) {
    let n = body.len();
    talk.say(format!("{method} {path} HTTP/1.1\r\nHost: c\r\nContent-Length: {n}\r\n\r\n{body}").as_bytes())
        .await;
    let head = talk.head().await;
    let (body, whole) = talk.body(&head).await;
    assert!(whole);
    (head, body)
}

/// Beats of an upstream at its sidecar, while more is open than its upstream has slots for, then as the process stops.
#[test]
fn heartbeats_are_answered_in_few_bytes_while_all_else_waits() {
    support::run(async {
        let (listener, station) = support::station().await;
        let sidecar = support::sidecar(1, station, SidecarOptions::default()).await;
        sidecar.beat();
        let (calls, at) = support::station().await;
        tokio::task::spawn_local(control::listen(sidecar.node_state.clone(), calls, &CONTROL_CALLS));
        // The upstream takes connections and answers nothing.
        let mut held: Vec<TestConnection> = Vec::new();
        for n in 0..40 {
            let mut talk = TestConnection::to(sidecar.at).await;
            let id = format!("Attempt-Id: h{n}\r\n");
            talk.say(format!("POST /once/x HTTP/1.1\r\nHost: h\r\n{id}Content-Length: 0\r\n\r\n").as_bytes())
                .await;
            held.push(talk);
        }
        let (_silent, _) = listener.accept().await.expect("a connection");
        let beat = |state: &str, n: u64| {
            format!(
                "{{\"destination\":\"quotes\",\"zone\":\"a\",\"slots\":8,\"state\":\"{state}\",\"coldLeftS\":0,\"sequence\":{n}}}"
            )
        };
        let long = "x".repeat(8000);
        let cases: BTreeMap<&str, (String, String, &str)> = [
            ("ready", ("Heartbeat/i-127.0.0.1".into(), beat("ready", 2), "200")),
            ("again, late", ("Heartbeat/i-127.0.0.1".into(), beat("ready", 1), "200")),
            ("spoilt", ("Heartbeat/i-127.0.0.1".into(), format!("{{\"{long}\":1}}"), "400")),
            (
                "spoilt name",
                ("Heartbeat/i-127.0.0.1".into(), format!("{{\"state\":{{\"{long}\":1}}}}"), "400"),
            ),
            ("unwell form", ("Heartbeat/i-127.0.0.1".into(), format!("{{\"slots\":\"{long}\"}}"), "400")),
            ("draining", ("Heartbeat/i-127.0.0.1".into(), beat("draining", 3), "200")),
        ]
        .into();
        let mut talk = TestConnection::to(at).await;
        for (name, (path, body, wanted)) in &cases {
            let (head, said) = call(&mut talk, "POST", &format!("/-/Stations.{path}"), body).await;
            assert_eq!(status(&head), *wanted, "{name}");
            assert!(head.len() + said.len() <= 4096, "{name}: {}", said.len());
        }
        sidecar.node_state.begin_stop();
        let (head, _) = call(&mut talk, "POST", "/-/Stations.SignOff/i-127.0.0.1", "").await;
        assert_eq!((status(&head), value(&head, "connection").as_deref()), ("200", Some("close")));
        let (head, _) = call(
            &mut TestConnection::to(at).await,
            "POST",
            "/-/Stations.Heartbeat/i-127.0.0.1",
            &beat("ready", 4),
        )
        .await;
        assert_eq!(status(&head), "409");
    });
}

/// What a process that stops shows: to the platform, to clients, to callers, to the other sidecars.
#[test]
fn a_stopping_process_announces_it_to_all() {
    support::run(async {
        let (listener, station) = support::station().await;
        serves(listener);
        let (_, nobody) = support::station().await;
        let sidecar = support::sidecar(1, nobody, SidecarOptions::default()).await;
        let gate = support::sidecar(2, station, SidecarOptions::default()).await;
        gate.beat();
        sidecar.hears_of(&gate);
        let (calls, ready) = support::station().await;
        tokio::task::spawn_local(control::listen(sidecar.node_state.clone(), calls, &READY_CALLS));
        let (mut platform, mut client) =
            (TestConnection::to(ready).await, TestConnection::to(sidecar.at).await);
        for stopping in [false, true] {
            if stopping {
                sidecar.node_state.begin_stop();
            }
            let (head, why) = call(&mut platform, "GET", "/-/ready", "").await;
            let says = status(&head) == "503" && String::from_utf8_lossy(&why).contains("stopping");
            assert_eq!((says, sidecar.node_state.stopping()), (stopping, stopping), "{head}");
            client.say(format!("GET /safe/x HTTP/1.1\r\nHost: h\r\n{ID}\r\n").as_bytes()).await;
            let said = client.head().await;
            client.body(&said).await;
            assert_eq!(status(&said), "200");
            for head in [head, said] {
                assert_eq!(value(&head, "connection").is_some(), stopping, "{head}");
            }
            assert_eq!(sidecar.node_state.own_record_body().stopping, stopping);
        }
        assert_eq!(client.more().await, 0);
    });
}

/// Follow redirections as callers do; the statuses.
async fn follow(at: SocketAddr, path: &str) -> Vec<String> {
    let (mut at, mut path, mut all) = (at, path.to_string(), Vec::new());
    loop {
        let (head, _) = call(&mut TestConnection::to(at).await, "GET", &path, "").await;
        all.push(status(&head).to_string());
        let Some(to) = value(&head, "location") else {
            return all;
        };
        let (host, rest) = to.strip_prefix("http://").and_then(|t| t.split_once('/')).expect("an address");
        (at, path) = (host.parse().expect("an address"), format!("/{rest}"));
    }
}

/// Each of two machines takes the other for one that holds the control state; neither does.
#[test]
fn a_control_call_is_redirected_at_most_twice() {
    support::run(async {
        let (_, nobody) = support::station().await;
        let mut at = Vec::new();
        let mut sidecars = Vec::new();
        for last in [1, 2] {
            let sidecar = support::sidecar(last, nobody, SidecarOptions::default()).await;
            let calls = TcpListener::bind((sidecar.node_state.settings.ip, 0)).await.expect("a port");
            at.push(calls.local_addr().expect("bound"));
            tokio::task::spawn_local(control::listen(sidecar.node_state.clone(), calls, &CONTROL_CALLS));
            sidecars.push(sidecar);
        }
        assert_eq!(follow(at[0], "/-/Config.Get").await, ["503"]);
        let both: Vec<Ipv4Addr> = sidecars.iter().map(|s| s.node_state.settings.ip).collect();
        sidecars[0].hears_of_core(at[1], "a", false, &both);
        sidecars[1].hears_of_core(at[0], "a", false, &both);
        for path in ["/-/Config.Get", "/-/Config.Get?x=1", "/-/Config.Get?x=1&via=0"] {
            assert_eq!(follow(at[0], path).await, ["307", "307", "503"], "{path}");
        }
        assert_eq!(follow(at[0], "/-/Config.Get?via=1").await, ["307", "503"]);
        for path in ["/-/Config.Get?via=2", "/-/Config.Get?via=x", "/-/Config.Get?via=99999999999"] {
            assert_eq!(follow(at[0], path).await, ["503"], "{path}");
        }
    });
}

/// Which machine a caller is sent to, by what is known of them: the last part of an address, zone, leaving, whom it names.
#[test]
fn a_control_call_is_redirected_to_a_node_that_most_name() {
    support::run(async {
        let (_, nobody) = support::station().await;
        type Known<'k> = (u8, &'k str, bool, &'k [u8]);
        let cases: [(&[Known], Option<u8>); 6] = [
            (&[(11, "b", false, &[]), (12, "a", false, &[11])], None),
            (&[(11, "b", false, &[11, 12, 13]), (12, "a", false, &[11, 12, 13])], Some(12)),
            // Removed, and it has not heard so.
            (
                &[
                    (11, "a", false, &[11, 12, 13]),
                    (12, "b", false, &[12, 13, 14]),
                    (13, "b", false, &[12, 13, 14]),
                    (14, "b", false, &[12, 13, 14]),
                ],
                Some(12),
            ),
            (&[(11, "a", true, &[11, 12]), (12, "b", false, &[11, 12])], Some(12)),
            (&[(11, "a", true, &[11])], Some(11)),
            (&[(11, "a", false, &[11, 12]), (12, "a", false, &[])], Some(11)),
        ];
        for (n, (known, wanted)) in cases.into_iter().enumerate() {
            let sidecar = support::sidecar(1, nobody, SidecarOptions::default()).await;
            let ip = |last: &u8| Ipv4Addr::new(127, 0, 0, *last);
            for (last, zone, leaving, roster) in known {
                let roster: Vec<Ipv4Addr> = roster.iter().map(ip).collect();
                sidecar.hears_of_core((ip(last), 9).into(), zone, *leaving, &roster);
            }
            let to = sidecar.node_state.control_address().map(|at| at.ip());
            assert_eq!(to, wanted.map(|w| ip(&w).into()), "case {n}");
        }
    });
}
