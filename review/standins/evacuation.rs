//! A control node stands still while the operator calls it, and wakes after newer orders were acknowledged.
use crate::harness::*;

pub fn run(record: &Record) -> Result<bool, Failure> {
    // Two sidecars in zone-b, one in zone-a, each with an upstream of the one service.
    let mut mesh = Mesh::new(&[(0, "boards"), (1, "boards"), (1, "boards")], record)?;
    mesh.start_all()?;
    let operator = Operator::new(&mesh, record);
    let routes = [RouteItem {
        name: "r-read",
        lane: "/read/",
        kind: "safe",
        service: "boards",
        deadline_s: 4.0,
        attempts: 2,
    }];
    operator.order(0, "/-/Config.Patch", &configuration(&["boards"], &routes, 1))?;
    let work = Work { work_s: 0.05, body_bytes: 1500, send_s: 0.0 };
    let upstreams: Vec<Upstream> =
        (3..6).map(|machine| Upstream::start(&mesh, machine, work, record)).collect::<Result<_, _>>()?;
    mesh.wait_until_ready(20.0)?;
    let _platform = Platform::start(&mesh);
    let mut clients: Vec<Clients> = (3..6)
        .zip(["a", "b", "c"])
        .map(|(machine, tag)| {
            Clients::start(record, mesh.outbound(machine), "GET", "/read/1", tag, 20.0, 4000)
        })
        .collect();
    wait(4.0);
    let zone = mesh.zone_name(4);
    operator.order(0, &format!("/-/Evacuate.Start/{zone}"), "")?;
    wait(1.5);
    // The operator takes the evacuation back, and calls the third control node first.
    let frozen = 2;
    if with_trouble() {
        mesh.signal(frozen, "STOP")?;
        wait(0.3);
    }
    let ended_at = operator.order(frozen, &format!("/-/Evacuate.End/{zone}"), "")?;
    wait(0.5);
    // Then it evacuates the zone again. This stands until the end.
    let started_at = operator.order(0, &format!("/-/Evacuate.Start/{zone}"), "")?;
    wait(1.0);
    let mut in_touch_from = started_at;
    if with_trouble() {
        mesh.signal(frozen, "CONT")?;
        in_touch_from = record.now() + CONTACT_S;
    }
    let judged_from = (started_at + EVACUATE_S).max(in_touch_from);
    record.tell(&format!("End acknowledged at {ended_at:.3} s, the newer Start at {started_at:.3} s; judged from {judged_from:.3} s on"));
    wait(judged_from - record.now() + 6.0);
    for client in &mut clients {
        client.stop();
    }
    let mut late = 0;
    for upstream in &upstreams[1..] {
        let arrivals = upstream.arrivals();
        let between = arrivals.iter().filter(|a| a.at > started_at + 1.0 && a.at <= judged_from).count();
        let after = arrivals.iter().filter(|a| a.at > judged_from).count();
        record.tell(&format!(
            "upstream {} in {zone}: {} requests in all, {between} from 1 s after the acknowledgement on, {after} later than {judged_from:.3} s",
            upstream.id, arrivals.len()
        ));
        late += after;
    }
    let other = upstreams[0].arrivals().iter().filter(|a| a.at > judged_from).count();
    record.tell(&format!("the upstream in another zone got {other} in that time"));
    record.tell(&format!("{late} requests reached upstreams of {zone} more than {EVACUATE_S} s after its evacuation was acknowledged, and it was not taken back since"));
    (0..3).for_each(|number| mesh.record_log(number, &["\"evacuation\"", "acknowledged"]));
    Ok(late == 0)
}
