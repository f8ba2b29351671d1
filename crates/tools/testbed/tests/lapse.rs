//! A member's trial lapses on the real program: alike on every node, for reads alone, until it is renewed.
use serde_json::json;
use silvercross_testbed::client::{self, Came, Client, Kind};
use silvercross_testbed::mesh::Plan;
use silvercross_testbed::station::Manner;
use silvercross_testbed::village::{told, LIMIT};
use silvercross_testbed::{program, until, Village};
use std::time::{Duration, Instant};

/// The step in an answer, and how long it took.
async fn ask(client: &mut Client, kind: Kind, service: &str) -> (Option<String>, Duration) {
    let (id, began) = (client::id(), Instant::now());
    let body = if kind == Kind::Safe { "" } else { "order" };
    match client.ask(&format!("{}x", kind.lane(service)), &id, body.as_bytes()).await {
        Came::Answer(a) if a.status == 200 => (a.step, began.elapsed()),
        came => panic!("{kind:?}: {came:?}"),
    }
}

/// Wait until each node tells this edition and step.
async fn everywhere(v: &Village, edition: u64, step: u64) {
    for m in 0..v.mesh.machines.len() {
        let at = v.mesh.control(m);
        until("the step is there", LIMIT, || async {
            let said = told(at, "/-/Members.List").await;
            said["members"][0]["step"] == step && said["members"][0]["edition"] == edition
        })
        .await
        .expect("alike on every node");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_lapsed_trials_reads_wait_on_every_node_until_it_is_renewed() {
    let plan = Plan { side: 3, ..Plan::default() };
    let program = program::find().expect("the program is built");
    let v = Village::open(&plan, Manner::default(), &program).await.expect("it starts");
    let service = v.services()[0].clone();
    let out: Vec<_> = v.mesh.sides().map(|m| v.mesh.outbound(m)).collect();
    let side = v.mesh.sides().start;
    // Where no member was sent, nothing of it shows.
    let mut member = Client::new(out[0]).with("Club", "k");
    assert_eq!(ask(&mut member, Kind::Safe, &service).await.0, None);
    assert!(told(v.mesh.control(side), "/-/Post.Figures").await.get("members").is_none());
    assert!(v.operator.get().await.expect("Config.Get").get("members").is_none());

    let item = json!({ "name": "ana b", "key": "k", "plan": "trial", "lapsesInS": 0.1, "edition": 1, "note": "kept",
        "slowing": { "fullShare": 0.5, "spanS": 1, "steps": 1 } });
    let call = json!({ "deliver": { "membership": { "header": "club", "edition": 1 }, "members": [item] } });
    v.operator.patch(&call).await.expect("taken");
    assert_eq!(v.operator.get().await.expect("Config.Get")["members"][0], item);
    everywhere(&v, 1, 1).await;
    // A read's wait is between half and all of half its target of 0.6 s.
    let (least, step) = (Duration::from_millis(150), Some("1/1".to_string()));
    for to in &out {
        let mut member = Client::new(*to).with("Club", "k");
        let (told, took) = ask(&mut member, Kind::Safe, &service).await;
        assert!(told == step && took >= least, "{told:?} {took:?}");
        assert_eq!(ask(&mut member, Kind::Unsafe, &service).await.0, step);
        // Several keys, or one nobody has, name nobody.
        for mut other in
            [Client::new(*to).with("Club", "k").with("Club", "k"), Client::new(*to).with("club", "K")]
        {
            assert_eq!(ask(&mut other, Kind::Safe, &service).await.0, None);
        }
    }
    let figures = told(v.mesh.control(side), "/-/Post.Figures").await;
    assert_eq!((&figures["members"]["tenths"][10], &figures["members"]["waits"][10]), (&json!(1), &json!(1)));

    // At a carrier, which names an office; a name is written as in any path.
    v.operator.call("POST", "/-/Members.Renew/ana%20b", br#"{"lapsesInS":1000}"#).await.expect("taken");
    everywhere(&v, 2, 0).await;
    assert_eq!(ask(&mut member, Kind::Safe, &service).await.0, Some("0/1".to_string()));
}
