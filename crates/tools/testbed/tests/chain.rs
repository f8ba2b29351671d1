//! The real program, many processes of it on loopback, with stand-ins around them.
use silvercross_testbed::client::{self, Client, Kind};
use silvercross_testbed::faults::{ask, Clients};
use silvercross_testbed::line::call;
use silvercross_testbed::mesh::Plan;
use silvercross_testbed::operator::{patch, Route};
use silvercross_testbed::station::Manner;
use silvercross_testbed::village::{told, LIMIT};
use silvercross_testbed::witness::{judge, Tried};
use silvercross_testbed::{program, until, Village};
use std::path::PathBuf;
use std::sync::OnceLock;
use std::time::Duration;

fn the_program() -> PathBuf {
    static PROGRAM: OnceLock<PathBuf> = OnceLock::new();
    PROGRAM.get_or_init(|| program::find().expect("the program is built")).clone()
}

async fn village(side: usize, manner: Manner) -> Village {
    let plan = Plan { side, ..Plan::default() };
    Village::open(&plan, manner, &the_program()).await.expect("it starts")
}

/// Ask once in each kind from each side, for each service.
async fn round(v: &Village) -> Vec<Tried> {
    let mut all = Vec::new();
    for m in v.mesh.sides() {
        let mut client = Client::new(v.mesh.outbound(m));
        for service in v.services() {
            for kind in Kind::ALL {
                all.push(ask(&mut client, kind, service, &v.mesh.machines[m].service).await);
            }
        }
    }
    all
}

/// All were served, once where they may run once, with the right answer.
fn served(v: &Village, all: &[Tried]) {
    let judged = judge(all, &v.runs);
    assert!(judged.faults.is_empty() && judged.served == all.len(), "{judged:?}");
}

/// Acknowledged is what is read back.
async fn kept(v: &Village) {
    let whole = v.operator.get().await.expect("Config.Get");
    assert_eq!(v.operator.missing(&whole), Vec::<String>::new());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_calm_mesh_serves_and_takes_changes() {
    let v = village(4, Manner::default()).await;
    served(&v, &round(&v).await);

    // A large body goes through whole, both sidecars between.
    let (from, to) = (v.mesh.sides().start, v.mesh.sides().start + 1);
    let (sender, service) = (&v.mesh.machines[from].service, &v.mesh.machines[to].service);
    let mut client = Client::new(v.mesh.outbound(from));
    let (id, target) = (client::id(), format!("{}large", Kind::Upload.lane(service)));
    let body: Vec<u8> = (0..1 << 20).map(|n| (n * 7 % 251) as u8).collect();
    let came = client.ask(&target, &id, &body).await;
    served(&v, &[Tried { id, kind: Kind::Upload, target, sender: sender.clone(), body, came }]);

    // What was never routed is 404, whatever its host; a route dropped becomes so, a route moved is served elsewhere.
    assert_eq!(client.ask("/never/there", &client::id(), b"").await.status(), Some(404));
    let (one, other) = (&v.services()[0], &v.services()[1]);
    let moved = Route { service: other.clone(), ..Route::of(one, Kind::Safe) };
    let dropped = format!("r-{one}-unsafe");
    v.operator.patch(&patch(&[moved], &[&dropped], 3)).await.expect("taken");
    // An older change that comes again changes nothing.
    v.operator.patch(&patch(&[Route::of(one, Kind::Safe)], &[], 2)).await.expect("taken");
    let right: Vec<String> =
        v.stations.values().filter(|s| s.service() == other).map(|s| s.id().to_string()).collect();
    for m in v.mesh.sides() {
        let at = v.mesh.outbound(m);
        until("the change takes hold", LIMIT, || async {
            let id = client::id();
            let came = Client::new(at).ask(&format!("/{one}/safe/x"), &id, b"").await;
            let gone = Client::new(at).ask(&format!("/{one}/unsafe/x"), &client::id(), b"x").await;
            came.status() == Some(200)
                && gone.status() == Some(404)
                && v.runs.of(&id).iter().all(|s| right.contains(s))
        })
        .await
        .expect("at every side");
    }
    // A call that is wrong in one place changes nothing.
    let mut wrong = patch(&[Route::of(one, Kind::Unsafe)], &[], 9);
    wrong["deliver"]["depots"][0]["lanes"][0]["destination"] = "nobody".into();
    assert!(v.operator.patch(&wrong).await.is_err());
    kept(&v).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn nothing_more_goes_to_a_zone_that_is_evacuated_nor_to_an_upstream_that_drains() {
    let mut v = village(6, Manner::default()).await;
    let sides: Vec<usize> = v.mesh.sides().collect();
    let zone = v.mesh.machines[sides[0]].zone.clone();
    v.operator.evacuate(&zone, true).await.expect("taken");
    v.until_told("evacuated", &sides, |s| s["evacuated"] == serde_json::json!([zone]))
        .await
        .expect("everywhere");
    let ran = |v: &Village, ids: &[String]| ids.iter().map(|i| v.runs.at(i)).sum::<u64>();
    let ids = v.of_zone(&zone);
    let before = ran(&v, &ids);
    served(&v, &round(&v).await);
    assert_eq!(ran(&v, &ids), before);
    v.operator.evacuate(&zone, false).await.expect("taken");
    v.until_told("taken back", &sides, |s| s["evacuated"] == serde_json::json!([]))
        .await
        .expect("everywhere");

    let drains = v.stations[&sides[1]].id().to_string();
    assert!(v.stations[&sides[1]].drain().await, "acknowledged");
    until("sends have ended", LIMIT, || async {
        let before = v.runs.at(&drains);
        served(&v, &round(&v).await);
        v.runs.at(&drains) == before
    })
    .await
    .expect("in time");
    let before = v.runs.at(&drains);
    served(&v, &round(&v).await);
    assert_eq!(v.runs.at(&drains), before);
    let station = v.stations.remove(&sides[1]).expect("there");
    assert!(station.sign_off().await, "acknowledged");
    v.settled().await.expect("all know that it has gone");
    served(&v, &round(&v).await);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_core_that_is_killed_and_wiped_does_no_harm() {
    let mut v = village(2, Manner::default()).await;
    let extra = |n: u64| {
        let route = Route::of(&v.services()[0], Kind::Safe);
        patch(&[Route { name: "r-extra".into(), lane: format!("/extra/{n}/"), ..route }], &[], n)
    };
    let calls = [extra(2), extra(5)];
    v.mesh.kill(0).expect("killed");
    v.mesh.wipe(0).expect("wiped");
    served(&v, &round(&v).await);
    v.operator.patch(&calls[0]).await.expect("taken without it");
    v.mesh.start(0, false).expect("started");
    let at = v.mesh.control(0);
    until("the wiped one knows what was acknowledged", LIMIT, || async {
        let said = v.operator.once(at, "GET", "/-/Config.Get", b"").await;
        said.is_ok_and(|a| {
            a.status == 200
                && serde_json::from_slice(&a.body).is_ok_and(|w| v.operator.missing(&w).is_empty())
        })
    })
    .await
    .expect("in time");
    // The call may have been answered by another: only once it votes may the next one go.
    v.until_told("it is repaired", &[0], |s| s["ledger"]["voter"] == true).await.expect("in time");
    v.mesh.kill(1).expect("killed");
    v.operator.patch(&calls[1]).await.expect("taken with it");
    served(&v, &round(&v).await);
    kept(&v).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn what_may_run_once_runs_once_though_upstreams_cut_and_sidecars_die() {
    let mut v = village(4, Manner { cut_every: 5, ..Manner::default() }).await;
    let sides: Vec<usize> = v.mesh.sides().collect();
    let clients = Clients::start(&v);
    clients.more(300).await.expect("served");
    v.mesh.kill(sides[0]).expect("killed");
    clients.more(200).await.expect("served");
    v.mesh.start(sides[0], false).expect("started");
    v.settled().await.expect("it is back");
    v.mesh.freeze(sides[1]).expect("frozen");
    clients.more(50).await.expect("served");
    v.mesh.thaw(sides[1]).expect("thawed");
    clients.more(100).await.expect("served");
    let tried = clients.end().await;
    v.idle().await.expect("all has ended");
    let judged = judge(&tried, &v.runs);
    assert!(judged.faults.is_empty(), "{judged:?}");
    let cut = tried.iter().filter(|t| t.kind != Kind::Safe && t.came.status() == Some(502)).count();
    assert!(cut > 0 && judged.served > judged.tried / 2, "{judged:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_sidecar_told_to_end_answers_what_it_read_and_ends() {
    let mut v = village(2, Manner { work: Duration::from_millis(400), ..Manner::default() }).await;
    let sides: Vec<usize> = v.mesh.sides().collect();
    let (at, service) = (v.mesh.outbound(sides[0]), v.mesh.machines[sides[1]].service.clone());
    let sender = v.mesh.machines[sides[0]].service.clone();
    let open = tokio::spawn(async move { ask(&mut Client::new(at), Kind::Unsafe, &service, &sender).await });
    until("it is at work", LIMIT, || std::future::ready(v.runs.working() > 0)).await.expect("sent");
    v.mesh.terminate(sides[0]).expect("told");
    let ready = v.mesh.ready(sides[0]);
    until("the platform is told no", LIMIT, || async {
        matches!(call(ready, "GET", "/-/ready", b"", Duration::from_secs(1)).await, Ok(a) if a.status == 503)
    })
    .await
    .expect("503");
    served(&v, &[open.await.expect("it ends")]);
    until("it ends", LIMIT, || std::future::ready(v.mesh.has_ended(sides[0]))).await.expect("ends");
    let gone = v.mesh.machines[sides[0]].ip.to_string();
    let core = v.mesh.control(0);
    until("the others know", LIMIT, || async {
        let state = told(core, "/-/Post.State").await;
        let mut nodes = state["nodes"].as_array().into_iter().flatten();
        nodes.all(|n| n["node"] != gone.as_str() || n["gone"] == true)
    })
    .await
    .expect("they do");
}
