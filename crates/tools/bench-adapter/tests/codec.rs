//! The wire's lines, good and malformed, through the whole adapter.
use silvercross_bench_adapter::Drill;

const INFO: &str = r#"{"areas": ["a", "b"], "balancers": 2, "classes": [{"aim_s": 0.5, "deadline_s": 2.0, "effect": "repeatable", "importance": 1.0, "late_value": 0.0, "name": "x", "stream": false}], "discovery": "on_request", "limits": {"attempts_cap": 3, "may_cancel": true, "retry_after": true, "max_retry_after_s": 2.0, "second_copies": true, "novelty": 7}, "rules": {"cold_from": 0.3, "drain_grace_s": 1.0, "fall_multiple": 3.0, "fall_s": 3.0, "must_ask_in_s": 10.0, "warm_within_s": 9.0}, "my_zone": 0, "surprise": [1, {"x": 2}]}"#;

fn run(input: &str) -> (Result<(), String>, String) {
    let mut output = Vec::new();
    let ended = Drill::default().run(input.as_bytes(), &mut output);
    (ended, String::from_utf8(output).expect("UTF-8"))
}

fn start(rest: &str) -> String {
    format!(
        "BEGIN_BATCH ts_s=8.5 turn=1\nNEW_INSTANCE who=3 prng=5 info={INFO}\nCENSUS ref=0 elements=2\n\
         ENTRY upstream=u-a lifecycle=Running cohort=0 area=0 machine=0 scale=1\n\
         ENTRY last_start_s=0 upstream=u-b lifecycle=Stopping cohort=0 area=0 machine=0 scale=1.5 odd=1\n\
         FLEET who=3 scope=stale_copy version=1 ref=0\n{rest}"
    )
}

fn good(rest: &str) -> String {
    let (ended, out) = run(&start(rest));
    assert_eq!(ended, Ok(()), "{out}");
    out
}

fn bad(rest: &str) -> String {
    let (ended, out) = run(&start(rest));
    assert!(!out.contains("turn=2"), "half a reply: {out}");
    ended.expect_err("malformed input must end the run")
}

#[test]
fn an_empty_batch_is_answered() {
    let (ended, out) = run("BEGIN_BATCH ts_s=8.41225 turn=1\nGO\n");
    assert_eq!((ended, out.as_str()), (Ok(()), "EOR turn=1\n"));
}

#[test]
fn a_request_goes_to_the_running_upstream_and_is_served() {
    let out = good(
        "REQUEST who=3 ticket=4148961446891972 category=0 grace_s=1.5 name_key=k/1 extra=yes\nGO\n\
         BEGIN_BATCH ts_s=8.6 turn=2\n\
         VERDICT who=3 ticket=4148961446891972 attempt=0 upstream=u-a verdict=0 elapsed_s=0.1 no_more=1 gauge=1,2\n\
         LAPSED who=3 ticket=4148961446891972\nGO\n",
    );
    assert!(out.contains("ISSUE who=3 ticket=4148961446891972 upstream=u-a"), "{out}");
    assert!(out.ends_with("EOR turn=1\nEOR turn=2\n"), "{out}");
}

#[test]
fn a_census_number_is_reused_within_a_batch() {
    // Resolved in order: the second instance sees the second list.
    let again = format!(
        "NEW_INSTANCE who=4 prng=5 info={INFO}\nCENSUS ref=0 elements=1\n\
         ENTRY upstream=u-c lifecycle=Running\nFLEET who=4 scope=stale_copy version=1 ref=0\n\
         REQUEST who=3 ticket=1 category=0 grace_s=1.5\nREQUEST who=4 ticket=2 category=0 grace_s=1.5\nGO\n"
    );
    let out = good(&again);
    assert!(out.contains("ISSUE who=3 ticket=1 upstream=u-a"), "{out}");
    assert!(out.contains("ISSUE who=4 ticket=2 upstream=u-c"), "{out}");
}

#[test]
fn teardown_and_a_new_start_in_one_batch_forget_all() {
    let again = format!(
        "REQUEST who=3 ticket=1 category=0 grace_s=1.5\nGO\nBEGIN_BATCH ts_s=9 turn=2\nTEARDOWN who=3\n\
         NEW_INSTANCE who=3 prng=6 info={INFO}\nCENSUS ref=1 elements=0\n\
         FLEET who=3 scope=stale_copy version=0 ref=1\nREQUEST who=3 ticket=2 category=0 grace_s=1\n\
         LAPSED who=3 ticket=1\nGO\n"
    );
    let out = good(&again);
    assert!(out.contains("NOT_NOW who=3 ticket=2 not_before_for_s=0.190000"), "none listed: {out}");
}

#[test]
fn all_other_events_are_read() {
    let out = good(
        "STARTED who=3 ticket=9 attempt=0 elapsed_s=0.1 upstream=u-a\nDEADLINE_HIT who=3 token=77\n\
         STATUS_BACK who=3 upstream=u-a elapsed_s=0.0014 verdict=0\nWHISPER who=3 neighbour=2 msg=aGkgNw==\n\
         WHISPER who=3 neighbour=2 msg=-\nFLEET who=3 scope=broken version=1\nGO\n",
    );
    assert!(out.ends_with("EOR turn=1\n"), "{out}");
}

#[test]
fn malformed_lines_are_named_and_end_the_run() {
    let cases = [
        ("SURPRISE who=3\nGO\n", "unknown event"),
        ("REQUEST who=3 category=0 grace_s=1\nGO\n", "ticket is missing"),
        ("REQUEST who=3 ticket=1 category=0\nGO\n", "grace_s is missing"),
        ("REQUEST who=3 ticket=1 category=0 grace_s=soon\nGO\n", "grace_s=soon is malformed"),
        ("REQUEST who=3 ticket=1 category=0 grace_s=NaN\nGO\n", "malformed"),
        ("REQUEST who=8 ticket=1 category=0 grace_s=1\nGO\n", "no instance 8"),
        ("VERDICT who=3 ticket=1 attempt=0 upstream=u-a verdict=9 elapsed_s=1\nGO\n", "verdict=9"),
        ("FLEET who=3 scope=patch version=2 ref=7\nGO\n", "no list 7"),
        ("FLEET who=3 scope=odd version=2 ref=0\nGO\n", "scope=odd"),
        ("CENSUS ref=1 elements=2\nENTRY upstream=u-a lifecycle=Running\nGO\n", "lacks entries"),
        ("ENTRY upstream=u-a lifecycle=Running\nGO\n", "beyond its list"),
        ("CENSUS ref=1 elements=1\nENTRY upstream=u-a lifecycle=Asleep\nGO\n", "lifecycle=Asleep"),
        ("NEW_INSTANCE who=4 prng=5 info={\"classes\": []}\nGO\n", "missing field `limits`"),
        ("REQUEST who=3 ticket=1 category=0 grace_s=1\n", "inside a batch"),
    ];
    for (lines, what) in cases {
        let error = bad(&format!("GO\nBEGIN_BATCH ts_s=9 turn=2\n{lines}"));
        assert!(error.contains(what), "{lines:?} gave {error:?}");
        assert!(error.contains("batch 2, line "), "batch and line are named: {error}");
    }
    assert!(run("GO\n").0.expect_err("no batch").contains("outside a batch"));
}
