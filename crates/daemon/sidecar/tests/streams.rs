//! Messages larger than a buffer pass through the running program complete and in bounded memory; a truncated message is
//! never presented as complete.
mod common;
use common::*;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const BUDGET_MS: u64 = 6_000;
const MB32: usize = 32 << 20;

/// Bytes that vary with their offset, so that lost, repeated or swapped data is detected.
fn body(len: usize) -> Vec<u8> {
    (0..len).map(|n| (n / 7 + n / 65_537) as u8).collect()
}

/// Starts an upstream that runs this function for each connection.
fn upstream(handler: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = listener.local_addr().expect("bound");
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let handler = handler.clone();
            thread::spawn(move || handler(stream));
        }
    });
    at
}

/// Reads a chunked body; `None` if it ends before the last chunk.
fn chunks(from: &mut impl BufRead) -> Option<Vec<u8>> {
    let mut all = Vec::new();
    loop {
        let mut line = String::new();
        from.read_line(&mut line).ok().filter(|n| *n > 0)?;
        let size = usize::from_str_radix(line.trim(), 16).ok()?;
        let at = all.len();
        all.resize(at + size, 0);
        from.read_exact(&mut all[at..]).ok()?;
        let mut end = [0; 2];
        from.read_exact(&mut end).ok()?;
        if size == 0 {
            return Some(all);
        }
    }
}

/// Reads a message with a chunked body or a `Content-Length`; `None` if it is incomplete.
fn read_any(from: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        from.read_line(&mut head).ok().filter(|n| *n > 0)?;
    }
    let mut message = Message { head, body: Vec::new() };
    if message.header("transfer-encoding") == Some("chunked") {
        message.body = chunks(from)?;
        return Some(message);
    }
    let length = message.header("content-length").and_then(|v| v.trim().parse().ok()).unwrap_or(0);
    message.body.resize(length, 0);
    from.read_exact(&mut message.body).ok()?;
    Some(message)
}

/// Starts an upstream that echoes each request body in the given framing.
fn echo(framing: &'static str) -> SocketAddr {
    upstream(move |stream| {
        let mut write = stream.try_clone().expect("copied");
        let mut read = BufReader::new(stream);
        while let Some(m) = read_any(&mut read) {
            let sent = match framing {
                "length" => write
                    .write_all(
                        format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", m.body.len()).as_bytes(),
                    )
                    .and_then(|()| write.write_all(&m.body)),
                "chunks" => {
                    let mut out = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
                    for piece in m.body.chunks(40_001) {
                        out.extend_from_slice(format!("{:x};x=1\r\n", piece.len()).as_bytes());
                        out.extend_from_slice(piece);
                        out.extend_from_slice(b"\r\n");
                    }
                    out.extend_from_slice(b"0\r\nX-Trailer: 1\r\n\r\n");
                    write.write_all(&out)
                }
                _ => {
                    let _ =
                        write.write_all(b"HTTP/1.1 200 OK\r\n\r\n").and_then(|()| write.write_all(&m.body));
                    return;
                }
            };
            if sent.is_err() {
                return;
            }
        }
    })
}

fn head(length: usize) -> String {
    call("commit", BUDGET_MS, "").replace("Content-Length: 0", &format!("Content-Length: {length}"))
}

fn started(at: SocketAddr) -> Sidecar {
    let file = config(nowhere(), &[entry("s-1", at, "ready")], 1024);
    let mut command = command(&file.replace("\"memory_mb\":192", "\"memory_mb\":32"));
    command.env("PROXY_MANAGEMENT", "127.0.0.1:0");
    Sidecar::run(command)
}

/// A field of the process's `/proc` status, in kB.
fn status_of(sidecar: &Sidecar, name: &str) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{}/status", sidecar.child.id())).expect("read");
    let line = status.lines().find_map(|l| l.strip_prefix(name)).expect("there");
    line.trim_matches([':', ' ', '\t']).trim_end_matches(" kB").parse().expect("a number")
}

fn metric(sidecar: &Sidecar, what: &str) -> u64 {
    let mut stream = TcpStream::connect(sidecar.management.expect("management")).expect("accepted");
    stream.write_all(b"GET /admin/stats HTTP/1.1\r\n\r\n").expect("written");
    let mut text = String::new();
    stream.read_to_string(&mut text).expect("a whole answer");
    let start = format!("svc_{what}_total{{priority=\"commit\"}}");
    text.lines().find_map(|l| l.strip_prefix(&start)).and_then(|n| n.trim().parse().ok()).expect("there")
}

#[test]
fn thirty_two_megabytes_pass_both_ways_in_bounded_memory() {
    let sidecar = started(echo("length"));
    let all = Arc::new(body(MB32));
    let clients: Vec<_> = (0..4)
        .map(|n| {
            let (mut client, all) = (sidecar.connect(), all.clone());
            thread::spawn(move || {
                let mut write = client.write.try_clone().expect("copied");
                client.send_text(&head(all.len()));
                let (sent, slow) = (all.clone(), n == 0);
                let writer = thread::spawn(move || {
                    for piece in sent.chunks(1 << 20) {
                        write.write_all(piece).expect("written");
                        thread::sleep(Duration::from_millis(if slow { 5 } else { 0 }));
                    }
                });
                let answer = read_any(&mut client.read).expect("a whole answer");
                writer.join().expect("the writer's end");
                assert_eq!(answer.status(), 200);
                assert!(answer.body == *all, "the response differs from the bytes sent");
                // The connection stays usable.
                assert_eq!(client.request(&call("commit", BUDGET_MS, "small")).body, b"small");
            })
        })
        .collect();
    clients.into_iter().for_each(|c| c.join().expect("a client's end"));
    let peak = status_of(&sidecar, "VmHWM");
    assert!(peak < 24 * 1024, "{peak} kB, with 256 MB passed on");
    assert_eq!(metric(&sidecar, "fulfilled"), 8);
}

#[test]
fn every_framing_passes_both_ways() {
    let all = body(300_000);
    for framing in ["length", "chunks", "close"] {
        let sidecar = started(echo(framing));
        for chunked in [false, true] {
            let mut client = sidecar.connect();
            if chunked {
                let coding = "Transfer-Encoding: chunked\r\nExpect: 100-continue";
                client.send_text(&call("commit", BUDGET_MS, "").replace("Content-Length: 0", coding));
                let mut line = String::new();
                client.read.read_line(&mut line).expect("a word");
                assert!(line.starts_with("HTTP/1.1 100 "), "{line}");
                client.read.read_line(&mut line).expect("its end");
                for piece in all.chunks(9_999) {
                    client.send_text(&format!("{:x}\r\n", piece.len()));
                    client.write.write_all(piece).expect("written");
                    client.send_text("\r\n");
                }
                client.send_text("0\r\n\r\n");
            } else {
                client.send_text(&head(all.len()));
                client.write.write_all(&all).expect("written");
            }
            let answer = read_any(&mut client.read).expect("a whole answer");
            assert_eq!((answer.status(), answer.body == all), (200, true), "{framing} {chunked}");
        }
    }
}

#[test]
fn a_client_of_the_old_version_gets_no_chunks() {
    let sidecar = started(echo("chunks"));
    let (mut client, all) = (sidecar.connect(), body(200_000));
    client.send_text(&head(all.len()).replace("HTTP/1.1", "HTTP/1.0"));
    client.write.write_all(&all).expect("written");
    let mut text = Vec::new();
    client.read.read_to_end(&mut text).expect("an orderly end");
    let at = text.windows(4).position(|w| w == b"\r\n\r\n").expect("a head") + 4;
    let shown = String::from_utf8_lossy(&text[..at]).to_lowercase();
    assert!(!shown.contains("chunked") && shown.contains("connection: close"), "{shown}");
    assert!(text[at..] == all);
}

#[test]
fn an_answer_that_breaks_off_is_never_whole_to_its_client() {
    // The whole head and a part of the body, then the connection ends, in each framing.
    for (lines, reset) in [
        ("Content-Length: 500000\r\n", false),
        ("Content-Length: 500000\r\n", true),
        ("Transfer-Encoding: chunked\r\n", false),
        ("", true),
    ] {
        let at = upstream(move |stream| {
            let mut write = stream.try_clone().expect("copied");
            let mut read = BufReader::new(stream);
            if read_any(&mut read).is_some() {
                let chunk = if lines.starts_with("Transfer") { "493e0\r\n" } else { "" };
                let _ = write.write_all(format!("HTTP/1.1 200 OK\r\n{lines}\r\n{chunk}").as_bytes());
                let _ = write.write_all(&body(200_000));
                // Lets the sidecar pass on the part sent so far.
                thread::sleep(Duration::from_millis(50));
                if reset {
                    let _ = socket2::SockRef::from(&write).set_linger(Some(Duration::ZERO));
                }
            }
        });
        let sidecar = started(at);
        let mut client = sidecar.connect();
        client.send_text(&call("commit", BUDGET_MS, ""));
        let mut text = Vec::new();
        let ended = client.read.read_to_end(&mut text);
        let shown = String::from_utf8_lossy(&text[..text.len().min(200)]).to_string();
        let has = |word: &str| shown.to_lowercase().contains(word);
        let whole = ended.is_ok() && !has("content-length: 500000") && !has("transfer-encoding: chunked");
        assert!(!whole && shown.starts_with("HTTP/1.1 200 OK"), "{lines:?}: {shown}");
        assert!(!text.ends_with(b"0\r\n\r\n"), "{lines:?}: no last chunk");
        until("the fault to be counted", || (metric(&sidecar, "faulted") == 1).then_some(()));
    }
}

#[test]
fn a_body_that_breaks_off_never_runs() {
    let (whole, ended) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let (w, e) = (whole.clone(), ended.clone());
    let at = upstream(move |stream| {
        let mut read = BufReader::new(stream);
        while read_any(&mut read).is_some() {
            w.fetch_add(1, Ordering::SeqCst);
        }
        e.fetch_add(1, Ordering::SeqCst);
    });
    let sidecar = started(at);
    // The client closes in mid-body, sends an invalid chunk, or stops sending.
    let mut client = sidecar.connect();
    client.send_text(&head(1 << 20));
    client.write.write_all(&body(400_000)).expect("written");
    drop(client);
    until("the attempt's end", || (ended.load(Ordering::SeqCst) == 1).then_some(()));
    let mut client = sidecar.connect();
    client
        .send_text(&call("commit", BUDGET_MS, "").replace("Content-Length: 0", "Transfer-Encoding: chunked"));
    client.send_text("186a0\r\n");
    client.write.write_all(&body(100_000)).expect("written");
    client.send_text("not the end of a chunk");
    assert_eq!(client.receive().status(), 400);
    let mut client = sidecar.connect();
    client.send_text(&head(1 << 20));
    client.write.write_all(&body(100_000)).expect("written");
    assert_eq!(client.receive().status(), 408);
    until("the end of all attempts", || (ended.load(Ordering::SeqCst) == 3).then_some(()));
    assert_eq!(whole.load(Ordering::SeqCst), 0);
}

#[test]
fn an_early_no_ends_a_body_and_an_unseen_one_goes_elsewhere_only_while_it_is_held() {
    // Refused before anything past the first buffer was read: the other upstream gets the whole body.
    let seen: Arc<Mutex<Vec<usize>>> = Arc::default();
    let s = seen.clone();
    let good = upstream(move |stream| {
        let mut write = stream.try_clone().expect("copied");
        let mut read = BufReader::new(stream);
        while let Some(m) = read_any(&mut read) {
            s.lock().expect("whole").push(m.body.len());
            let _ = write.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        }
    });
    let refused = nowhere();
    let known = [entry("s-1", refused, "ready"), entry("s-2", good, "ready")];
    let sidecar = Sidecar::start(nowhere(), &known);
    for _ in 0..6 {
        let mut client = sidecar.connect();
        client.send_text(&head(500_000));
        client.write.write_all(&body(500_000)).expect("written");
        assert_eq!(client.receive().status(), 200);
    }
    assert_eq!(*seen.lock().expect("whole"), [500_000; 6]);
    // An upstream that responds with an error in mid-body: the request fails, and the rest of the body is not read.
    let says_no = upstream(|stream| {
        let mut write = stream.try_clone().expect("copied");
        let mut read = BufReader::new(stream);
        let mut some = vec![0; 100_000];
        if read.read_exact(&mut some).is_ok() {
            let _ = write.write_all(b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n");
            let _ = read.read(&mut some);
        }
    });
    let sidecar = Sidecar::start(nowhere(), &[entry("s-1", says_no, "ready")]);
    let mut client = sidecar.connect();
    client.send_text(&head(MB32));
    client.write.write_all(&body(200_000)).expect("written");
    let answer = client.receive();
    assert_eq!((answer.status(), answer.header("connection")), (502, Some("close")));
}

#[test]
fn slow_heads_and_bodies_are_served_and_trickles_are_not() {
    let sidecar = started(echo("length"));
    let all = body(64 * 1024);
    let mut slow = sidecar.connect();
    slow.write.set_nodelay(true).expect("set");
    for piece in head(all.len()).as_bytes().chunks(40) {
        slow.write.write_all(piece).expect("written");
        thread::sleep(Duration::from_millis(100));
    }
    // 64 kB a second: with the head this takes longer than a request may stall.
    for piece in all.chunks(3_200) {
        slow.write.write_all(piece).expect("written");
        thread::sleep(Duration::from_millis(50));
    }
    assert!(read_any(&mut slow.read).expect("an answer").body == all);
    let mut trickle = sidecar.connect();
    trickle.send_text(&head(1 << 20));
    let mut write = trickle.write.try_clone().expect("copied");
    let writer = thread::spawn(move || {
        while write.write_all(b"x").is_ok() {
            thread::sleep(Duration::from_millis(50));
        }
    });
    assert_eq!(trickle.receive().status(), 408);
    drop(trickle);
    writer.join().expect("the writer's end");
}

/// Starts an upstream that answers each request with this body: its second half comes after a pause.
fn pausing(all: Arc<Vec<u8>>, pause: Duration) -> SocketAddr {
    upstream(move |stream| {
        let mut write = stream.try_clone().expect("copied");
        let mut read = BufReader::new(stream);
        while read_any(&mut read).is_some() {
            let (first, rest) = all.split_at(all.len() / 2);
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", all.len());
            let sent = write.write_all(head.as_bytes()).and_then(|()| write.write_all(first));
            thread::sleep(pause);
            if sent.and_then(|()| write.write_all(rest)).is_err() {
                return;
            }
        }
    })
}

/// Guards against a process that ends after SIGTERM while it passes on a response: longer than it listens and stays quiet.
#[test]
fn a_stop_waits_for_a_response_that_is_passed_on() {
    let all = Arc::new(body(3_000_000));
    let mut sidecar = started(pausing(all.clone(), Duration::from_millis(1_600)));
    let mut client = sidecar.connect();
    client.send_text(&call("commit", BUDGET_MS, ""));
    assert!(!client.read.fill_buf().expect("a first part").is_empty());
    sidecar.terminate();
    let answer = read_any(&mut client.read).expect("a whole answer");
    assert!(answer.body == *all, "the response differs from the bytes sent");
    assert!(sidecar.ended().success());
}

/// Connects a client whose system takes few bytes that it has not read.
fn connect_slow_reader(sidecar: &Sidecar) -> Client {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    socket.set_recv_buffer_size(4096).expect("set");
    socket.connect(&sidecar.address.into()).expect("accepted");
    let stream = TcpStream::from(socket);
    Client { read: BufReader::new(stream.try_clone().expect("copied")), write: stream }
}

/// Guards against a close behind a slow reader: the system resets a closed connection on which something comes, and what it had
/// not sent of the response is lost.
#[test]
fn a_slow_reader_gets_its_whole_response_from_a_connection_that_a_stop_closes() {
    let all = Arc::new(body(2_000_000));
    let mut sidecar = started(pausing(all.clone(), Duration::ZERO));
    let mut client = connect_slow_reader(&sidecar);
    client.send_text(&call("commit", BUDGET_MS, ""));
    until("the response is written", || (metric(&sidecar, "fulfilled") == 1).then_some(()));
    sidecar.terminate();
    until("the stop", || sidecar.has_logged("stopping").then_some(()));
    client.send_text(&call("commit", BUDGET_MS, ""));
    let answer = read_any(&mut client.read).expect("a whole answer");
    assert!(answer.body == *all, "the response differs from the bytes sent");
    assert!(sidecar.ended().success());
}
