//! Tests of the running program over sockets.
mod common;
use common::*;
use std::io::Read;
use std::sync::atomic::Ordering;

const BUDGET_MS: u64 = 6_000;

#[test]
fn a_call_is_passed_on_and_its_answer_comes_back_unchanged() {
    let up = Upstream::start(ok("served"));
    let sidecar = Sidecar::start(nowhere(), &[entry("s-1", up.address, "ready")]);
    let mut client = sidecar.connect();
    assert_eq!(client.request("GET /healthz HTTP/1.1\r\n\r\n").status(), 200);
    let mut ids = Vec::new();
    for _ in 0..3 {
        let text = call("commit", BUDGET_MS, "an order");
        let answer = client.request(&text);
        assert_eq!((answer.status(), answer.body.as_slice()), (200, &b"served"[..]));
        assert_eq!(answer.header("X-Note"), Some("kept"));
        ids.push(text.lines().nth(2).expect("an id").to_string());
        // An upstream connection is reused only after a short idle time.
        std::thread::sleep(std::time::Duration::from_millis(20));
    }
    let seen = up.seen.lock().expect("whole");
    assert!(seen[0].head.starts_with("POST /api HTTP/1.1\r\n"), "{}", seen[0].head);
    assert!(seen.iter().zip(&ids).all(|(m, id)| m.head.contains(id.as_str())));
    assert_eq!(seen[0].body, b"an order");
    let left: u64 = seen[0].header("X-Time-Left-Ms").and_then(|v| v.parse().ok()).expect("a number");
    assert!((1..=BUDGET_MS).contains(&left), "{left}");
    assert_eq!(up.accepted.load(Ordering::SeqCst), 1, "the connection is used again");
}

#[test]
fn an_idle_connection_is_not_used_where_the_upstream_may_be_closing_it() {
    let up = Upstream::start(ok("served"));
    let quick = config(nowhere(), &[entry("s-1", up.address, "ready")], 1024).replace("60.0", "0.000002");
    let sidecar = Sidecar::with(&quick);
    let mut client = sidecar.connect();
    for _ in 0..3 {
        assert_eq!(client.request(&call("commit", BUDGET_MS, "")).status(), 200);
    }
    assert_eq!(up.accepted.load(Ordering::SeqCst), 3);
}

#[test]
fn requests_may_come_in_pieces_in_chunks_and_ahead_of_their_turn() {
    let up = Upstream::start(ok("served"));
    let sidecar = Sidecar::start(nowhere(), &[entry("s-1", up.address, "ready")]);
    let mut client = sidecar.connect();
    for byte in call("commit", BUDGET_MS, "bit by bit").chars() {
        client.send_text(&byte.to_string());
    }
    assert_eq!(client.receive().status(), 200);
    let chunked = call("commit", BUDGET_MS, "").replace("Content-Length: 0", "Transfer-Encoding: chunked");
    let both = format!("{chunked}4\r\nin c\r\n5\r\nhunks\r\n0\r\n\r\n{}", call("read", BUDGET_MS, "next"));
    client.send_text(&both);
    assert_eq!([client.receive().status(), client.receive().status()], [200, 200]);
    let seen = up.seen.lock().expect("whole");
    let bodies: Vec<&[u8]> = seen.iter().map(|m| m.body.as_slice()).collect();
    assert_eq!(bodies, [&b"bit by bit"[..], b"in chunks", b"next"]);
}

#[test]
fn a_buffer_full_passes_and_what_is_larger_than_any_does_not() {
    let big = "x".repeat(64 * 1024);
    let up = Upstream::start(ok(&big));
    let sidecar = Sidecar::start(nowhere(), &[entry("s-1", up.address, "ready")]);
    let mut client = sidecar.connect();
    let answer = client.request(&call("commit", BUDGET_MS, &big));
    assert_eq!((answer.status(), answer.body.len()), (200, big.len()));
    let head = call("commit", BUDGET_MS, "").replace("Content-Length: 0", "Content-Length: 99000000");
    assert_eq!(client.request(&head).status(), 413);
    assert!(client.is_closed());
    assert_eq!(up.requests(), 1);
}

#[test]
fn the_largest_body_passes_in_the_smallest_chunks_both_ways() {
    let big: String = (0..64 * 1024).map(|n| char::from(b'a' + (n % 26) as u8)).collect();
    let mut chunks: String = big.chars().map(|c| format!("1\r\n{c}\r\n")).collect();
    chunks.push_str("0\r\n\r\n");
    let up = Upstream::start(Behavior::Responds(format!(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{chunks}"
    )));
    let sidecar = Sidecar::start(nowhere(), &[entry("s-1", up.address, "ready")]);
    let head = call("commit", BUDGET_MS, "").replace("Content-Length: 0", "Transfer-Encoding: chunked");
    let answer = sidecar.connect().request(&format!("{head}{chunks}"));
    assert_eq!((answer.status(), answer.body == big.as_bytes()), (200, true));
    assert!(up.seen.lock().expect("whole")[0].body == big.as_bytes());
}

#[test]
fn an_answer_in_pieces_is_passed_on_whole() {
    for text in [
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nser\r\n3\r\nved\r\n0\r\n\r\n",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nserved",
        // Delimited by an orderly close of the connection.
        "HTTP/1.1 200 OK\r\n\r\nserved",
        "HTTP/1.0 200 OK\r\n\r\nserved",
    ] {
        let up = Upstream::start(Behavior::Trickles(text.into()));
        let sidecar = Sidecar::start(nowhere(), &[entry("s-1", up.address, "ready")]);
        let answer = sidecar.connect().request(&call("commit", BUDGET_MS, ""));
        assert_eq!((answer.status(), answer.body.as_slice()), (200, &b"served"[..]), "{text}");
    }
}

#[test]
fn bad_input_is_told_so_and_the_sidecar_goes_on() {
    let up = Upstream::start(ok("served"));
    let sidecar = Sidecar::start(nowhere(), &[entry("s-1", up.address, "ready")]);
    let good = call("commit", BUDGET_MS, "x");
    let long = format!("GET /api HTTP/1.1\r\nX-Long: {}\r\n\r\n", "a".repeat(20_000));
    let cases = [
        (400, "NOT HTTP AT ALL\r\n\r\n".to_string()),
        (400, good.replace("commit", "no-such-class")),
        (400, good.replace("X-Service-Class: commit\r\n", "")),
        (400, good.replace("commit", "change")),
        (400, good.replace("Host:", "Connection: X-Correlation-Id\r\nHost:")),
        (400, good.replace("X-Time-Left-Ms: 6000", "X-Time-Left-Ms: soon")),
        (400, good.replace("Content-Length: 1", "Content-Length: -1")),
        (400, good.replace("Content-Length: 1", "Content-Length: 1\r\nTransfer-Encoding: chunked")),
        (431, long),
    ];
    for (status, text) in cases {
        let mut client = sidecar.connect();
        let answer = client.request(&text);
        assert_eq!(answer.status(), status, "{text:.80}");
        assert_eq!(answer.header("Connection"), Some("close"));
        assert!(client.is_closed(), "{text:.80}");
    }
    let mut client = sidecar.connect();
    assert_eq!(client.request("GET /elsewhere HTTP/1.1\r\n\r\n").status(), 404);
    assert_eq!(client.request("PUT /api HTTP/1.1\r\nContent-Length: 0\r\n\r\n").status(), 405);
    assert_eq!(up.requests(), 0, "no request reached the upstream");
    assert_eq!(client.request(&good).status(), 200);
}

#[test]
fn the_id_of_an_open_request_is_refused_and_that_request_goes_on() {
    let (go, behavior) = ok_after_signal("served");
    let up = Upstream::start(behavior);
    let sidecar = Sidecar::start(nowhere(), &[entry("s-1", up.address, "ready")]);
    let (mut first, mut second) = (sidecar.connect(), sidecar.connect());
    let text = call("commit", BUDGET_MS, "");
    first.send_text(&text);
    until("the attempt", || (up.requests() == 1).then_some(()));
    assert_eq!(second.request(&text).status(), 409);
    assert!(second.is_closed());
    go.send(()).expect("waited for");
    assert_eq!(first.receive().body, b"served");
    assert_eq!(up.requests(), 1);
    // The id is free again once the request is answered.
    go.send(()).expect("waited for");
    assert_eq!(first.request(&text).status(), 200);
}

#[test]
fn who_says_nothing_or_never_ends_is_let_go() {
    let up = Upstream::start(ok("served"));
    let sidecar = Sidecar::start(nowhere(), &[entry("s-1", up.address, "ready")]);
    let (mut silent, mut asked, mut slow) = (sidecar.connect(), sidecar.connect(), sidecar.connect());
    assert_eq!(asked.request(&call("commit", BUDGET_MS, "")).status(), 200);
    // An endless head: its timeout runs from the first byte, whatever follows.
    slow.write.set_nodelay(true).expect("set");
    slow.send_text("GET /api HTTP/1.1\r\n");
    let mut writer = slow.write.try_clone().expect("copied");
    std::thread::spawn(move || {
        use std::io::Write;
        while writer.write_all(b"X: 1\r\n").is_ok() {
            std::thread::sleep(std::time::Duration::from_millis(100));
        }
    });
    assert_eq!(slow.receive().status(), 408);
    assert!(silent.is_closed() && asked.is_closed());
}

#[test]
fn silent_connections_give_way_to_those_that_ask() {
    let up = Upstream::start(ok("served"));
    let sidecar = Sidecar::with(&config(nowhere(), &[entry("s-1", up.address, "ready")], 64));
    // One used connection, then many silent ones: these evict each other, not the used one.
    let mut used = sidecar.connect();
    assert_eq!(used.request(&call("commit", BUDGET_MS, "")).status(), 200);
    let mut silent = Vec::new();
    for _ in 0..40 {
        silent.push(sidecar.connect());
        std::thread::sleep(std::time::Duration::from_millis(10));
    }
    assert!(silent[0].is_closed());
    assert_eq!(used.request(&call("commit", BUDGET_MS, "")).status(), 200);
    assert_eq!(sidecar.connect().request(&call("commit", BUDGET_MS, "")).status(), 200);
}

#[test]
fn a_body_of_any_size_is_not_read_to_its_end() {
    let sidecar = Sidecar::start(nowhere(), &[]);
    let mut client = sidecar.connect();
    let head = call("commit", BUDGET_MS, "").replace("Content-Length: 0", "Content-Length: 60000000");
    assert_eq!(client.request(&head).status(), 413);
    use std::io::Write;
    client.write.set_write_timeout(Some(WAIT_LIMIT)).expect("set");
    let piece = vec![b'x'; 1 << 20];
    let taken = (0..60).take_while(|_| client.write.write_all(&piece).is_ok()).count();
    assert!(taken < 60, "the connection is closed before all of it was read");
}

#[test]
fn requests_far_ahead_of_their_answers_are_bounded() {
    let up = Upstream::start(ok("served"));
    let sidecar = Sidecar::start(nowhere(), &[entry("s-1", up.address, "ready")]);
    let mut client = sidecar.connect();
    client.send_text(&(0..60).map(|_| call("commit", BUDGET_MS, "")).collect::<String>());
    let answers: Vec<u16> =
        std::iter::from_fn(|| read_message(&mut client.read)).map(|m| m.status()).collect();
    assert_eq!(answers.last(), Some(&429));
    assert!(answers.len() < 30 && answers[..answers.len() - 1].iter().all(|s| *s == 200), "{answers:?}");
}

#[test]
fn an_answer_that_does_not_end_fails_long_before_its_time_is_up() {
    for text in [
        "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
        "HTTP/1.1 200 OK\r\nX-Long: a",
        "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n",
    ] {
        let up = Upstream::start(Behavior::RespondsAndHangs(text.into()));
        // The only upstream, and a distant deadline: only the handling of this response can end the wait.
        let slow = config(nowhere(), &[entry("s-1", up.address, "ready")], 1024).replace("6.0", "600.0");
        let sidecar = Sidecar::with(&slow);
        assert_eq!(sidecar.connect().request(&call("commit", 600_000, "")).status(), 502, "{text}");
        until("its connection's end", || (up.ended.load(Ordering::SeqCst) == 1).then_some(()));
    }
}

#[test]
fn what_comes_behind_an_answer_is_nobodys_answer() {
    let up = Upstream::start(Behavior::EchoesTwice);
    let sidecar = Sidecar::start(nowhere(), &[entry("s-1", up.address, "ready")]);
    let mut client = sidecar.connect();
    for n in 0..30 {
        let body = format!("order {n}");
        let answer = client.request(&call("commit", BUDGET_MS, &body));
        assert_eq!((answer.status(), String::from_utf8_lossy(&answer.body).as_ref()), (200, body.as_str()));
    }
}

#[test]
fn an_unsafe_request_that_may_have_run_is_not_sent_again() {
    let unsaid = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n".to_string();
    for behavior in [
        Behavior::Closes,
        Behavior::Responds(unsaid),
        Behavior::Trickles("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf".into()),
        Behavior::Responds("HTTP/1.1 200 OK\r\nContent-Length: 9x\r\n\r\nserved".into()),
    ] {
        let upstreams = [Upstream::start(behavior.clone()), Upstream::start(behavior)];
        let known: Vec<_> =
            upstreams.iter().enumerate().map(|(i, u)| entry(&format!("s-{i}"), u.address, "ready")).collect();
        let sidecar = Sidecar::start(nowhere(), &known);
        assert_eq!(sidecar.connect().request(&call("commit", BUDGET_MS, "")).status(), 502);
        assert_eq!(upstreams[0].requests() + upstreams[1].requests(), 1);
    }
}

#[test]
fn an_unsafe_request_that_never_ran_goes_elsewhere() {
    let up = Upstream::start(ok("served"));
    let turned = "HTTP/1.1 503 Full\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n".to_string();
    let full = Upstream::start(Behavior::Responds(turned));
    let refused = [entry("s-1", nowhere(), "ready"), entry("s-2", up.address, "ready")];
    let sidecar = Sidecar::start(nowhere(), &refused);
    let mut client = sidecar.connect();
    for _ in 0..4 {
        assert_eq!(client.request(&call("commit", BUDGET_MS, "")).status(), 200);
    }
    let sidecar =
        Sidecar::start(nowhere(), &[entry("s-1", full.address, "ready"), entry("s-2", up.address, "ready")]);
    let mut client = sidecar.connect();
    for _ in 0..4 {
        assert_eq!(client.request(&call("commit", BUDGET_MS, "")).status(), 200);
    }
    assert!(full.requests() > 0, "the full upstream was never tried");
}

#[test]
fn a_request_turned_away_by_all_is_refused_with_advice() {
    let turned = "HTTP/1.1 503 Full\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n".to_string();
    let full = Upstream::start(Behavior::Responds(turned));
    let sidecar = Sidecar::start(nowhere(), &[entry("s-1", full.address, "ready")]);
    let answer = sidecar.connect().request(&call("commit", BUDGET_MS, ""));
    assert_eq!(answer.status(), 503);
    let advice: f64 = answer.header("Retry-After").and_then(|v| v.parse().ok()).expect("a number");
    assert!(advice > 0.0 && advice <= 2.0, "{advice}");
}

#[test]
fn a_silent_upstream_is_given_up_at_the_deadline_and_its_connection_closed() {
    let up = Upstream::start(Behavior::Hangs);
    let sidecar = Sidecar::start(nowhere(), &[entry("s-1", up.address, "ready")]);
    assert_eq!(sidecar.connect().request(&call("commit", 300, "")).status(), 502);
    until("the attempt's end", || (up.ended.load(Ordering::SeqCst) == 1).then_some(()));
}

#[test]
fn a_client_that_hangs_up_ends_its_attempt() {
    let up = Upstream::start(Behavior::Hangs);
    let sidecar = Sidecar::start(nowhere(), &[entry("s-1", up.address, "ready")]);
    let mut client = sidecar.connect();
    client.send_text(&call("commit", BUDGET_MS, ""));
    until("the attempt", || (up.requests() == 1).then_some(()));
    drop(client);
    until("the attempt's end", || (up.ended.load(Ordering::SeqCst) == 1).then_some(()));
    assert_eq!(sidecar.connect().request("GET /healthz HTTP/1.1\r\n\r\n").status(), 200);
}

#[test]
fn the_list_is_followed_and_bad_news_leave_it_as_it_is() {
    let (old, new) = (Upstream::start(ok("old")), Upstream::start(ok("new")));
    let discovery = Discovery::start(list(2, true, &[entry("s-1", old.address, "ready")]));
    let sidecar = Sidecar::start(discovery.address, &[]);
    let mut client = sidecar.connect();
    // Ready once an upstream is known.
    until("readiness", || (client.request("GET /healthz HTTP/1.1\r\n\r\n").status() == 200).then_some(()));
    assert_eq!(client.request(&call("commit", BUDGET_MS, "")).body, b"old");
    // The same name at another address.
    discovery.send_line(&list(3, false, &[entry("s-1", new.address, "ready")]));
    until("the move", || (client.request(&call("commit", BUDGET_MS, "")).body == b"new").then_some(()));
    until("its idle connection's end", || (old.ended.load(Ordering::SeqCst) == 1).then_some(()));
    discovery.send_line("{\"seq\":4,\"hosts\":[{\"host\":");
    until("another watch", || (discovery.watches() == 2).then_some(()));
    assert!(
        discovery.asked.lock().expect("whole")[1].contains("since=3"),
        "resumes after the last valid change"
    );
    assert!([&b"old"[..], b"new"].contains(&client.request(&call("commit", BUDGET_MS, "")).body.as_slice()));
}

#[test]
fn a_draining_upstream_gets_nothing_new() {
    let (stays, drains) = (Upstream::start(ok("stays")), Upstream::start(ok("drains")));
    let both = [entry("s-1", stays.address, "ready"), entry("s-2", drains.address, "ready")];
    let discovery = Discovery::start(list(2, true, &both));
    let sidecar = Sidecar::start(discovery.address, &both);
    let mut client = sidecar.connect();
    until("both in use", || {
        let answer = client.request(&call("read", BUDGET_MS, ""));
        (answer.status() == 200 && stays.requests() > 0 && drains.requests() > 0).then_some(())
    });
    until("the watch", || (discovery.watches() == 1).then_some(()));
    discovery.send_line(&list(3, false, &[entry("s-2", drains.address, "draining")]));
    until("the end of its idle connections", || {
        (drains.ended.load(Ordering::SeqCst) == drains.accepted.load(Ordering::SeqCst)).then_some(())
    });
    let before = drains.requests();
    for _ in 0..20 {
        assert_eq!(client.request(&call("read", BUDGET_MS, "")).body, b"stays");
    }
    assert_eq!(drains.requests(), before);
}

#[test]
fn a_watch_that_ends_or_falls_silent_is_begun_anew() {
    let up = Upstream::start(ok("served"));
    let discovery = Discovery::start(list(2, true, &[entry("s-1", up.address, "ready")]));
    let sidecar = Sidecar::start(discovery.address, &[]);
    until("the watch", || (discovery.watches() == 1).then_some(()));
    discovery.end_chunks();
    until("a new watch after the last chunk", || (discovery.watches() == 2).then_some(()));
    // From here on the fake discovery sends nothing, not even the heartbeats of an unchanged list.
    until("a new watch after silence", || (discovery.watches() == 3).then_some(()));
    let log = sidecar.log.lock().expect("whole");
    let why: Vec<_> = log.iter().filter(|l| l.contains("broke off")).collect();
    assert!(why[0].contains("Closed") && why[1].contains("silence"), "{why:?}");
}

#[test]
fn without_discovery_the_known_list_serves_and_the_watch_is_tried_again() {
    let up = Upstream::start(ok("served"));
    let sidecar = Sidecar::start(nowhere(), &[entry("s-1", up.address, "ready")]);
    let mut client = sidecar.connect();
    until("two failed tries", || {
        assert_eq!(client.request(&call("commit", BUDGET_MS, "")).status(), 200);
        let log = sidecar.log.lock().expect("whole");
        (log.iter().filter(|l| l.contains("discovery")).count() >= 2).then_some(())
    });
}

#[test]
fn requests_leave_no_line_in_the_log_unless_asked_for() {
    let up = Upstream::start(ok("served"));
    for (level, lines) in [(None, false), (Some("debug"), true)] {
        let mut command = command(&config(nowhere(), &[entry("s-1", up.address, "ready")], 1024));
        if let Some(level) = level {
            command.env("SILVERCROSS_LOG", level);
        }
        let mut sidecar = Sidecar::run(command);
        let mut client = sidecar.connect();
        for _ in 0..30 {
            assert_eq!(client.request(&call("commit", BUDGET_MS, "")).status(), 200);
        }
        sidecar.terminate();
        assert!(sidecar.ended().success());
        until("the last line", || sidecar.has_logged("stopped").then_some(()));
        assert_eq!(sidecar.has_logged("attempt\""), lines);
        assert!(sidecar.has_logged("\"served\":30"));
    }
}

#[test]
fn a_new_configuration_moves_discovery_and_nothing_else() {
    let (old, new) = (Upstream::start(ok("old")), Upstream::start(ok("new")));
    let first = Discovery::start(list(7, true, &[entry("s-1", old.address, "ready")]));
    let second = Discovery::start(list(3, true, &[entry("s-2", new.address, "ready")]));
    // The environment variable overrides the file at the start, but not once the file has been replaced.
    let mut command = command(&config(nowhere(), &[], 1024));
    command.env("PROXY_DISCOVERY", first.address.to_string());
    let mut sidecar = Sidecar::run(command);
    let mut client = sidecar.connect();
    until("a list", || (client.request("GET /healthz HTTP/1.1\r\n\r\n").status() == 200).then_some(()));
    assert_eq!(client.request(&call("commit", BUDGET_MS, "")).body, b"old");
    // A file that can't be parsed changes nothing and is logged in one line.
    sidecar.reload("{\"name\":");
    until("the log line", || sidecar.has_logged("the configuration stays as it was").then_some(()));
    assert_eq!(client.request(&call("commit", BUDGET_MS, "")).body, b"old");
    // A new discovery address: its full list is requested, while the client's connection and the current list stay.
    sidecar.reload(&config(second.address, &[], 1024));
    until("the second watch", || (second.watches() == 1).then_some(()));
    assert!(
        second.asked.lock().expect("whole")[0].contains("since=0"),
        "versions of the first service do not apply to the second"
    );
    until("its list", || (client.request(&call("commit", BUDGET_MS, "")).body == b"new").then_some(()));
    second.send_line(&list(
        4,
        false,
        &[entry("s-1", old.address, "ready"), entry("s-2", new.address, "gone")],
    ));
    until("its change", || (client.request(&call("commit", BUDGET_MS, "")).body == b"old").then_some(()));
    assert_eq!(first.watches(), 1, "the first discovery gets no further watch");
    sidecar.terminate();
    assert!(sidecar.ended().success());
}

#[test]
fn a_new_configuration_is_followed_at_once_where_the_old_discovery_is_down() {
    let up = Upstream::start(ok("served"));
    let discovery = Discovery::start(list(1, true, &[entry("s-1", up.address, "ready")]));
    let sidecar = Sidecar::start(nowhere(), &[]);
    until("a failed watch", || sidecar.has_logged("discovery broke off").then_some(()));
    sidecar.reload(&config(discovery.address, &[], 1024));
    let mut client = sidecar.connect();
    until("the list", || (client.request("GET /healthz HTTP/1.1\r\n\r\n").status() == 200).then_some(()));
    assert_eq!(client.request(&call("commit", BUDGET_MS, "")).body, b"served");
}

#[test]
fn a_stop_finishes_what_was_taken_and_takes_what_still_comes() {
    let (go, behavior) = ok_after_signal("served");
    let up = Upstream::start(behavior);
    let mut sidecar = Sidecar::start(nowhere(), &[entry("s-1", up.address, "ready")]);
    let (mut busy, mut idle) = (sidecar.connect(), sidecar.connect());
    assert_eq!(idle.request("GET /healthz HTTP/1.1\r\n\r\n").status(), 200);
    busy.send_text(&call("commit", BUDGET_MS, ""));
    until("the attempt", || (up.requests() == 1).then_some(()));
    sidecar.terminate();
    assert!(idle.is_closed(), "an idle connection is closed");
    // A new connection is still accepted and its request answered.
    let mut late = sidecar.connect();
    late.send_text(&call("commit", BUDGET_MS, ""));
    until("the late attempt", || (up.requests() == 2).then_some(()));
    for _ in 0..2 {
        go.send(()).expect("waited for");
    }
    for client in [&mut busy, &mut late] {
        let answer = client.receive();
        assert_eq!((answer.status(), answer.body.as_slice()), (200, &b"served"[..]));
        assert_eq!(answer.header("Connection"), Some("close"));
        assert!(client.is_closed());
    }
    assert!(sidecar.ended().success());
}

#[test]
fn a_stop_answers_even_what_no_upstream_answers() {
    let up = Upstream::start(Behavior::Hangs);
    let mut sidecar = Sidecar::start(nowhere(), &[entry("s-1", up.address, "ready")]);
    let mut client = sidecar.connect();
    client.send_text(&call("commit", 600_000, ""));
    until("the attempt", || (up.requests() == 1).then_some(()));
    sidecar.terminate();
    assert_eq!(client.receive().status(), 502);
    assert!(sidecar.ended().success());
}

#[test]
fn at_the_limit_of_descriptors_more_connections_are_still_accepted_and_told_no() {
    let (go, behavior) = ok_after_signal("served");
    let up = Upstream::start(behavior);
    // 64 descriptors, less those the process needs, leave 14 for applications and as many for upstreams.
    // Many names for one upstream, so that no request is refused for its load.
    let known: Vec<_> = (0..16).map(|n| entry(&format!("s-{n}"), up.address, "ready")).collect();
    let sidecar = Sidecar::with(&config(nowhere(), &known, 64));
    let send_call = |_| {
        let mut client = sidecar.connect();
        client.send_text(&call("commit", 600_000, ""));
        client
    };
    let mut busy: Vec<_> = (0..14).map(send_call).collect();
    until("all requests at the upstream", || (up.requests() == 14).then_some(()));
    // More than can be accepted at once: each is refused in turn.
    let mut more: Vec<_> = (0..40).map(send_call).collect();
    for client in &mut more {
        let answer = client.receive();
        assert_eq!((answer.status(), answer.header("Connection")), (503, Some("close")));
        client.write.shutdown(std::net::Shutdown::Both).expect("closed");
    }
    assert_eq!(up.requests(), 14);
    (0..14).for_each(|_| go.send(()).expect("waited for"));
    assert!(busy.iter_mut().all(|c| c.receive().status() == 200));
    go.send(()).expect("waited for");
    assert_eq!(send_call(0).receive().status(), 200);
}

#[test]
fn idle_connections_give_way_to_new_ones_at_the_limit() {
    let up = Upstream::start(ok("served"));
    let sidecar = Sidecar::with(&config(nowhere(), &[entry("s-1", up.address, "ready")], 64));
    // Each is used and kept open: more connections than descriptors, yet none is refused.
    let mut clients = Vec::new();
    for _ in 0..100 {
        let mut client = sidecar.connect();
        assert_eq!(client.request(&call("commit", BUDGET_MS, "")).status(), 200);
        clients.push(client);
    }
    assert!(clients[0].is_closed(), "the longest idle connection is closed");
    assert_eq!(clients[99].request(&call("commit", BUDGET_MS, "")).status(), 200);
}

#[test]
fn the_time_of_a_request_sent_ahead_runs_while_it_waits() {
    let (go, behavior) = ok_after_signal("served");
    let up = Upstream::start(behavior);
    let sidecar = Sidecar::start(nowhere(), &[entry("s-1", up.address, "ready")]);
    let mut client = sidecar.connect();
    client.send_text(&call("commit", BUDGET_MS, ""));
    until("the first attempt", || (up.requests() == 1).then_some(()));
    client.send_text(&call("commit", 5_000, ""));
    std::thread::sleep(std::time::Duration::from_millis(100));
    go.send(()).expect("waited for");
    until("the second attempt", || (up.requests() == 2).then_some(()));
    go.send(()).expect("waited for");
    assert_eq!([client.receive().status(), client.receive().status()], [200, 200]);
    let seen = up.seen.lock().expect("whole");
    let left: u64 = seen[1].header("X-Time-Left-Ms").and_then(|v| v.parse().ok()).expect("a number");
    // The margin of 10 ms and most of the wait are deducted.
    assert!(left <= 4_920, "{left}");
}

#[test]
fn a_bad_configuration_is_one_plain_line() {
    let good = config(nowhere(), &[], 1024);
    for bad in ["{".to_string(), good.replace("127.0.0.1:0", "here"), good.replace("repeatable", "odd")] {
        let mut child = command(&bad).spawn().expect("started");
        let status = until("its end", || child.try_wait().expect("asked"));
        let mut said = String::new();
        child.stderr.take().expect("piped").read_to_string(&mut said).expect("text");
        assert!(!status.success());
        assert!(said.starts_with("silvercross: ") && said.lines().count() == 1, "{said}");
    }
}
