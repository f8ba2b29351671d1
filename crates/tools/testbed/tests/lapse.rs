//! A member's trial lapses on the real program: alike on every node, for reads alone, until it is renewed.
use serde_json::json;
use silvercross_testbed::client::{Client, Outcome, RequestKind};
use silvercross_testbed::evacuations::{AbandonedOrder, Abandonment};
use silvercross_testbed::identifiers::attempt_id;
use silvercross_testbed::mesh::MeshPlan;
use silvercross_testbed::testbed::{get_json, METRICS_PATH};
use silvercross_testbed::upstream::UpstreamBehaviour;
use silvercross_testbed::{program, wait_until, Testbed, WAIT_TIMEOUT};
use std::time::{Duration, Instant};

/// The step in an answer, and how long it took.
async fn attempt(client: &mut Client, kind: RequestKind, service: &str) -> (Option<String>, Duration) {
    let (id, began) = (attempt_id(), Instant::now());
    let body = if kind == RequestKind::Safe { "" } else { "order" };
    match client.send(&format!("{}x", kind.path_prefix(service)), &id, body.as_bytes()).await {
        Outcome::Answer(a) if a.status == 200 => (a.step, began.elapsed()),
        outcome => panic!("{kind:?}: {outcome:?}"),
    }
}

/// Wait until each node tells this edition and step.
async fn everywhere(testbed: &Testbed, edition: u64, step: u64) {
    for m in 0..testbed.mesh.machines.len() {
        let at = testbed.mesh.control(m);
        wait_until("the step is there", WAIT_TIMEOUT, || async {
            let said = get_json(at, "/-/Members.List").await;
            said["members"][0]["step"] == step && said["members"][0]["edition"] == edition
        })
        .await
        .expect("alike on every node");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_lapsed_trials_reads_wait_on_every_node_until_it_is_renewed() {
    let plan = MeshPlan { side_count: 3, ..MeshPlan::default() };
    let program = program::find().expect("the program is built");
    let testbed = Testbed::start(&plan, UpstreamBehaviour::default(), &program).await.expect("it starts");
    let service = testbed.services()[0].clone();
    let out: Vec<_> = testbed.mesh.side_machines().map(|m| testbed.mesh.outbound(m)).collect();
    let side = testbed.mesh.side_machines().start;
    // Where no member was sent, nothing of it shows.
    let mut member = Client::new(out[0]).with_header("Club", "k");
    assert_eq!(attempt(&mut member, RequestKind::Safe, &service).await.0, None);
    assert!(get_json(testbed.mesh.control(side), METRICS_PATH).await.get("members").is_none());
    assert!(testbed.operator.configuration().await.expect("Config.Get").get("members").is_none());

    let item = json!({ "name": "ana b", "key": "k", "plan": "trial", "lapsesInS": 0.1, "edition": 1, "note": "kept",
        "slowing": { "fullShare": 0.5, "spanS": 1, "steps": 1 } });
    let call = json!({ "deliver": { "membership": { "header": "club", "edition": 1 }, "members": [item] } });
    testbed.operator.patch(&call).await.expect("taken");
    assert_eq!(testbed.operator.configuration().await.expect("Config.Get")["members"][0], item);
    everywhere(&testbed, 1, 1).await;
    // A read's wait is between half and all of half its target of 0.6 s.
    let (least, step) = (Duration::from_millis(150), Some("1/1".to_string()));
    for to in &out {
        let mut member = Client::new(*to).with_header("Club", "k");
        let (given, took) = attempt(&mut member, RequestKind::Safe, &service).await;
        assert!(given == step && took >= least, "{given:?} {took:?}");
        assert_eq!(attempt(&mut member, RequestKind::Unsafe, &service).await.0, step);
        // Several keys, or one nobody has, name nobody.
        for mut other in [
            Client::new(*to).with_header("Club", "k").with_header("Club", "k"),
            Client::new(*to).with_header("club", "K"),
        ] {
            assert_eq!(attempt(&mut other, RequestKind::Safe, &service).await.0, None);
        }
    }
    let figures = get_json(testbed.mesh.control(side), METRICS_PATH).await;
    assert_eq!((&figures["members"]["tenths"][10], &figures["members"]["waits"][10]), (&json!(1), &json!(1)));

    // At a sidecar, which names a control node; a name is written as in any path.
    testbed.operator.call("POST", "/-/Members.Renew/ana%20b", br#"{"lapsesInS":1000}"#).await.expect("taken");
    everywhere(&testbed, 2, 0).await;
    assert_eq!(attempt(&mut member, RequestKind::Safe, &service).await.0, Some("0/1".to_string()));
}

/// How long a caller waits for the answer of a control process that stands still, before it goes on.
const CALLER_PATIENCE: Duration = Duration::from_millis(300);

/// Guards against a renewal that lay unread and is carried out after the trial was ended by a newer call.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_renewal_that_lay_unread_is_not_carried_out_after_a_newer_call() {
    let plan = MeshPlan { side_count: 1, ..MeshPlan::default() };
    let program = program::find().expect("the program is built");
    let testbed = Testbed::start(&plan, UpstreamBehaviour::default(), &program).await.expect("it starts");
    let item = json!({ "name": "ana", "key": "k", "plan": "trial", "lapsesInS": 1000, "edition": 1,
        "slowing": { "fullShare": 0.5, "spanS": 1, "steps": 1 } });
    let call = json!({ "deliver": { "membership": { "header": "club", "edition": 1 }, "members": [item] } });
    testbed.operator.patch(&call).await.expect("taken");
    everywhere(&testbed, 1, 0).await;
    for (frozen, abandonment) in Abandonment::ALL.into_iter().enumerate() {
        let (frozen, edition) = (frozen % 3, 2 + frozen as u64);
        let address = testbed.mesh.control(frozen);
        let renewal =
            AbandonedOrder::begin(address, "/-/Members.Renew/ana", abandonment).await.expect("connected");
        testbed.mesh.freeze(frozen).expect("frozen");
        let kept_connection = renewal.leave(CALLER_PATIENCE).await.expect("written");
        let others = testbed.operator.beginning_at((frozen + 1) % 3);
        others.call("POST", "/-/Members.Lapse/ana", b"").await.expect("taken");
        testbed.mesh.thaw(frozen).expect("thawed");
        everywhere(&testbed, edition, 1).await;
        // The process that stood still has handled what lay there once it answers a later order.
        let later = testbed.operator.beginning_at(frozen);
        later.call("POST", "/-/Evacuate.End/hill", b"").await.expect("taken");
        everywhere(&testbed, edition, 1).await;
        drop(kept_connection);
    }
}
