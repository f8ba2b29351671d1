//! A heartbeat comes late: after its upstream has signed off, and after the sidecar that acknowledged that was killed
//! and has started again.
use crate::harness::*;

pub fn run(record: &Record) -> Result<bool, Failure> {
    // Two upstreams of one service in two zones; the clients are on a third machine, in the zone of the second.
    let mut mesh = Mesh::new(&[(0, "postings"), (1, "postings"), (1, "boards")], record)?;
    mesh.start_all()?;
    let operator = Operator::new(&mesh, record);
    let routes = [RouteItem {
        name: "r-post",
        lane: "/post/",
        kind: "unsafe",
        service: "postings",
        deadline_s: 5.0,
        attempts: 2,
    }];
    operator.order(0, "/-/Config.Patch", &configuration(&["postings", "boards"], &routes, 1))?;
    let work = Work { work_s: 0.25, body_bytes: 1500, send_s: 0.0 };
    let _stays = Upstream::start(&mesh, 3, work, record)?;
    let mut leaves = Upstream::start(&mesh, 4, work, record)?;
    let _beside_clients = Upstream::start(&mesh, 5, work, record)?;
    mesh.wait_until_ready(20.0)?;
    let _platform = Platform::start(&mesh);
    let mut clients = Clients::start(record, mesh.outbound(5), "POST", "/post/1", "n", 25.0, 5000);
    wait(5.0);
    // A heartbeat of the upstream is under way and will be late. The upstream signs off and serves on for drainS and some
    // seconds longer.
    let late_beat = leaves.take_beat();
    leaves.stop_beats();
    wait(0.2);
    leaves.begin_leaving();
    if !leaves.sign_off() {
        return Err("the sign-off was not acknowledged".into());
    }
    let signed_off_at = record.now();
    let mut in_touch_from = signed_off_at;
    wait(0.3);
    if with_trouble() {
        mesh.signal(4, "KILL")?;
        mesh.wait_for_end(4, 2.0);
        wait(0.3);
        mesh.start(4, false)?;
        in_touch_from = record.now() + CONTACT_S;
        record.tell("the sidecar beside it starts again");
    }
    wait(signed_off_at + 2.2 - record.now());
    if with_trouble() {
        leaves.send_beat(&late_beat);
    }
    // It ends in order, with whatever is at work.
    wait(signed_off_at + 5.2 - record.now());
    let ended_at = record.now();
    leaves.end();
    wait(2.0);
    let answers = clients.stop();
    let arrivals = leaves.arrivals();
    // Later than drainS after the acknowledgement, and sent by the client while all machines were in touch.
    let sent_in_touch = |arrival: &Arrival| {
        answers.iter().any(|a| a.attempt_id == arrival.attempt_id && a.sent_at >= in_touch_from)
    };
    let late: Vec<&Arrival> =
        arrivals.iter().filter(|a| a.at > signed_off_at + DRAIN_S && sent_in_touch(a)).collect();
    record.tell(&format!(
        "sign-off acknowledged at {signed_off_at:.3} s; all machines in touch from {in_touch_from:.3} s on; the upstream ended at {ended_at:.3} s"
    ));
    let soon = arrivals.iter().filter(|a| a.at > signed_off_at + 0.5).count();
    record.tell(&format!("{soon} requests reached it later than 0.5 s after the acknowledgement, {} later than {DRAIN_S} s and sent while all were in touch", late.len()));
    let unanswered = answers.iter().filter(|answer| {
        late.iter().any(|arrival| arrival.attempt_id == answer.attempt_id) && answer.status != Some(200)
    });
    let unanswered: Vec<String> =
        unanswered.map(|answer| format!("{} ({:?})", answer.attempt_id, answer.status)).collect();
    record.tell(&format!(
        "of these, not answered by it since it ended: {} {}",
        unanswered.len(),
        unanswered.join(", ")
    ));
    mesh.record_log(4, &["\"upstream", "\"started\""]);
    Ok(late.is_empty())
}
