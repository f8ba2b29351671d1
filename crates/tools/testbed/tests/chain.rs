//! The real program, many processes of it on loopback, with stand-ins around them.
use silvercross_testbed::checker::{check_attempts, Attempt};
use silvercross_testbed::client::{Client, RequestKind};
use silvercross_testbed::http_connection::call;
use silvercross_testbed::identifiers::attempt_id;
use silvercross_testbed::mesh::MeshPlan;
use silvercross_testbed::operator::{patch, Route};
use silvercross_testbed::testbed::{get_json, STATE_PATH};
use silvercross_testbed::traffic::{attempt, Clients};
use silvercross_testbed::upstream::UpstreamBehaviour;
use silvercross_testbed::{program, wait_until, Testbed, WAIT_TIMEOUT};
use std::path::PathBuf;
use std::sync::OnceLock;
use std::time::Duration;

fn the_program() -> PathBuf {
    static PROGRAM: OnceLock<PathBuf> = OnceLock::new();
    PROGRAM.get_or_init(|| program::find().expect("the program is built")).clone()
}

async fn start_testbed(side: usize, behaviour: UpstreamBehaviour) -> Testbed {
    let plan = MeshPlan { side_count: side, ..MeshPlan::default() };
    Testbed::start(&plan, behaviour, &the_program()).await.expect("it starts")
}

/// Ask once in each kind from each side, for each service.
async fn round(testbed: &Testbed) -> Vec<Attempt> {
    let mut all = Vec::new();
    for m in testbed.mesh.side_machines() {
        let mut client = Client::new(testbed.mesh.outbound(m));
        for service in testbed.services() {
            for kind in RequestKind::ALL {
                all.push(attempt(&mut client, kind, service, &testbed.mesh.machines[m].service).await);
            }
        }
    }
    all
}

/// All were served, once where they may run once, with the right answer.
fn served(testbed: &Testbed, all: &[Attempt]) {
    let verdict = check_attempts(all, &testbed.executions);
    assert!(verdict.faults.is_empty() && verdict.served == all.len(), "{verdict:?}");
}

/// Acknowledged is what is read back.
async fn kept(testbed: &Testbed) {
    let whole = testbed.operator.configuration().await.expect("Config.Get");
    assert_eq!(testbed.operator.missing_from(&whole), Vec::<String>::new());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_calm_mesh_serves_and_takes_changes() {
    let testbed = start_testbed(4, UpstreamBehaviour::default()).await;
    served(&testbed, &round(&testbed).await);

    // A large body goes through whole, both sidecars between.
    let (from, to) = (testbed.mesh.side_machines().start, testbed.mesh.side_machines().start + 1);
    let (sender, service) = (&testbed.mesh.machines[from].service, &testbed.mesh.machines[to].service);
    let mut client = Client::new(testbed.mesh.outbound(from));
    let (id, target) = (attempt_id(), format!("{}large", RequestKind::Upload.path_prefix(service)));
    let body: Vec<u8> = (0..1 << 20).map(|n| (n * 7 % 251) as u8).collect();
    let outcome = client.send(&target, &id, &body).await;
    served(
        &testbed,
        &[Attempt { id, kind: RequestKind::Upload, target, sender: sender.clone(), body, outcome }],
    );

    // What was never routed is 404, whatever its host; a route dropped becomes so, a route moved is served elsewhere.
    assert_eq!(client.send("/never/there", &attempt_id(), b"").await.status(), Some(404));
    let (one, other) = (&testbed.services()[0], &testbed.services()[1]);
    let moved = Route { service: other.clone(), ..Route::of(one, RequestKind::Safe) };
    let dropped = format!("r-{one}-unsafe");
    testbed.operator.patch(&patch(&[moved], &[&dropped], 3)).await.expect("taken");
    // An older change that comes again changes nothing.
    testbed.operator.patch(&patch(&[Route::of(one, RequestKind::Safe)], &[], 2)).await.expect("taken");
    let right: Vec<String> =
        testbed.upstreams.values().filter(|s| s.service() == other).map(|s| s.id().to_string()).collect();
    for m in testbed.mesh.side_machines() {
        let at = testbed.mesh.outbound(m);
        wait_until("the change takes hold", WAIT_TIMEOUT, || async {
            let id = attempt_id();
            let outcome = Client::new(at).send(&format!("/{one}/safe/x"), &id, b"").await;
            let gone = Client::new(at).send(&format!("/{one}/unsafe/x"), &attempt_id(), b"x").await;
            outcome.status() == Some(200)
                && gone.status() == Some(404)
                && testbed.executions.upstreams_of(&id).iter().all(|s| right.contains(s))
        })
        .await
        .expect("at every side");
    }
    // A call that is wrong in one place changes nothing.
    let mut wrong = patch(&[Route::of(one, RequestKind::Unsafe)], &[], 9);
    wrong["deliver"]["depots"][0]["lanes"][0]["destination"] = "nobody".into();
    assert!(testbed.operator.patch(&wrong).await.is_err());
    kept(&testbed).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn nothing_more_goes_to_a_zone_that_is_evacuated_nor_to_an_upstream_that_drains() {
    let mut testbed = start_testbed(6, UpstreamBehaviour::default()).await;
    let sides: Vec<usize> = testbed.mesh.side_machines().collect();
    let zone = testbed.mesh.machines[sides[0]].zone.clone();
    testbed.operator.set_evacuated(&zone, true).await.expect("taken");
    testbed
        .wait_for_state("evacuated", &sides, |s| s["evacuated"] == serde_json::json!([zone]))
        .await
        .expect("everywhere");
    let ran =
        |testbed: &Testbed, ids: &[String]| ids.iter().map(|i| testbed.executions.count_at(i)).sum::<u64>();
    let ids = testbed.upstreams_in_zone(&zone);
    let before = ran(&testbed, &ids);
    served(&testbed, &round(&testbed).await);
    assert_eq!(ran(&testbed, &ids), before);
    testbed.operator.set_evacuated(&zone, false).await.expect("taken");
    testbed
        .wait_for_state("taken back", &sides, |s| s["evacuated"] == serde_json::json!([]))
        .await
        .expect("everywhere");

    let drains = testbed.upstreams[&sides[1]].id().to_string();
    assert!(testbed.upstreams[&sides[1]].drain().await, "acknowledged");
    wait_until("sends have ended", WAIT_TIMEOUT, || async {
        let before = testbed.executions.count_at(&drains);
        served(&testbed, &round(&testbed).await);
        testbed.executions.count_at(&drains) == before
    })
    .await
    .expect("in time");
    let before = testbed.executions.count_at(&drains);
    served(&testbed, &round(&testbed).await);
    assert_eq!(testbed.executions.count_at(&drains), before);
    let upstream = testbed.upstreams.remove(&sides[1]).expect("there");
    assert!(upstream.sign_off().await, "acknowledged");
    testbed.wait_until_settled().await.expect("all know that it has gone");
    served(&testbed, &round(&testbed).await);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_core_that_is_killed_and_wiped_does_no_harm() {
    let mut testbed = start_testbed(2, UpstreamBehaviour::default()).await;
    let extra = |n: u64| {
        let route = Route::of(&testbed.services()[0], RequestKind::Safe);
        patch(&[Route { name: "r-extra".into(), path_prefix: format!("/extra/{n}/"), ..route }], &[], n)
    };
    let calls = [extra(2), extra(5)];
    testbed.mesh.kill(0).expect("killed");
    testbed.mesh.wipe(0).expect("wiped");
    served(&testbed, &round(&testbed).await);
    testbed.operator.patch(&calls[0]).await.expect("taken without it");
    testbed.mesh.start(0, false).expect("started");
    let at = testbed.mesh.control(0);
    wait_until("the wiped one knows what was acknowledged", WAIT_TIMEOUT, || async {
        let said = testbed.operator.call_once(at, "GET", "/-/Config.Get", b"").await;
        said.is_ok_and(|a| {
            a.status == 200
                && serde_json::from_slice(&a.body).is_ok_and(|w| testbed.operator.missing_from(&w).is_empty())
        })
    })
    .await
    .expect("in time");
    // The call may have been answered by another: only once it votes may the next one go.
    testbed.wait_for_state("it is repaired", &[0], |s| s["ledger"]["voter"] == true).await.expect("in time");
    testbed.mesh.kill(1).expect("killed");
    testbed.operator.patch(&calls[1]).await.expect("taken with it");
    served(&testbed, &round(&testbed).await);
    kept(&testbed).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn what_may_run_once_runs_once_though_upstreams_cut_and_sidecars_die() {
    let mut testbed =
        start_testbed(4, UpstreamBehaviour { cut_every: 5, ..UpstreamBehaviour::default() }).await;
    let sides: Vec<usize> = testbed.mesh.side_machines().collect();
    let clients = Clients::start(&testbed);
    clients.wait_for_more(300).await.expect("served");
    testbed.mesh.kill(sides[0]).expect("killed");
    clients.wait_for_more(200).await.expect("served");
    testbed.mesh.start(sides[0], false).expect("started");
    testbed.wait_until_settled().await.expect("it is back");
    testbed.mesh.freeze(sides[1]).expect("frozen");
    clients.wait_for_more(50).await.expect("served");
    testbed.mesh.thaw(sides[1]).expect("thawed");
    clients.wait_for_more(100).await.expect("served");
    let attempts = clients.end().await;
    testbed.wait_until_idle().await.expect("all has ended");
    let verdict = check_attempts(&attempts, &testbed.executions);
    assert!(verdict.faults.is_empty(), "{verdict:?}");
    let cut =
        attempts.iter().filter(|t| t.kind != RequestKind::Safe && t.outcome.status() == Some(502)).count();
    assert!(cut > 0 && verdict.served > verdict.attempts / 2, "{verdict:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_sidecar_told_to_end_answers_what_it_read_and_ends() {
    let mut testbed = start_testbed(
        2,
        UpstreamBehaviour { work: Duration::from_millis(400), ..UpstreamBehaviour::default() },
    )
    .await;
    let sides: Vec<usize> = testbed.mesh.side_machines().collect();
    let (at, service) = (testbed.mesh.outbound(sides[0]), testbed.mesh.machines[sides[1]].service.clone());
    let sender = testbed.mesh.machines[sides[0]].service.clone();
    let open =
        tokio::spawn(
            async move { attempt(&mut Client::new(at), RequestKind::Unsafe, &service, &sender).await },
        );
    wait_until("it is at work", WAIT_TIMEOUT, || std::future::ready(testbed.executions.in_flight() > 0))
        .await
        .expect("sent");
    testbed.mesh.terminate(sides[0]).expect("told");
    let ready = testbed.mesh.ready(sides[0]);
    wait_until("the platform is told no", WAIT_TIMEOUT, || async {
        matches!(call(ready, "GET", "/-/ready", b"", Duration::from_secs(1)).await, Ok(a) if a.status == 503)
    })
    .await
    .expect("503");
    served(&testbed, &[open.await.expect("it ends")]);
    wait_until("it ends", WAIT_TIMEOUT, || std::future::ready(testbed.mesh.has_ended(sides[0])))
        .await
        .expect("ends");
    let gone = testbed.mesh.machines[sides[0]].address.to_string();
    let core = testbed.mesh.control(0);
    wait_until("the others know", WAIT_TIMEOUT, || async {
        let state = get_json(core, STATE_PATH).await;
        let mut nodes = state["nodes"].as_array().into_iter().flatten();
        nodes.all(|n| n["node"] != gone.as_str() || n["gone"] == true)
    })
    .await
    .expect("they do");
}
