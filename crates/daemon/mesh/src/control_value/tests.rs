//! Tests of control store values and changes. Inside the crate, since a binary can't be imported.
use super::*;
use silvercross_control_store::StoredKey;

#[test]
fn a_key_takes_only_what_it_holds() {
    let mut zone = ControlValue::Blank;
    assert_eq!(zone.apply(&ControlChange::Evacuate(true)), Ok(true));
    assert_eq!(zone.apply(&ControlChange::Evacuate(true)), Ok(false));
    let patch = silvercross_mesh_config::parse_change(b"{}").expect("well-formed");
    assert!(zone.apply(&ControlChange::Patch(patch)).is_err());
    assert!(zone
        .apply(&ControlChange::Lapse(silvercross_throttle::LapseChange::Begin { version: 1 }))
        .is_err());
    assert!(zone.apply(&ControlChange::Call(Box::default())).is_err());
    assert_eq!(zone, ControlValue::Evacuation(true));
}

/// Evacuation changes carry no version: a repeated one changes nothing, and one after its opposite is applied as new, since
/// a late duplicate can't be told apart.
#[test]
fn an_evacuation_again_is_acknowledged_and_the_last_order_holds() {
    let mut zone = ControlValue::Blank;
    for (on, changed) in [(true, true), (true, false), (false, true), (false, false), (true, true)] {
        assert_eq!(zone.apply(&ControlChange::Evacuate(on)), Ok(changed));
        assert_eq!(zone, ControlValue::Evacuation(on));
    }
}

/// Compatibility: data written before members existed is readable, and without members the encoding is unchanged.
#[test]
fn without_members_disk_and_links_hold_the_bytes_they_held_before_there_were_any() {
    let patch = br#"{"withdraw":{"routes":[{"name":"r","edition":2}]}}"#;
    let patch = silvercross_mesh_config::parse_change(patch).expect("well-formed");
    let mut configuration = ControlValue::Blank;
    configuration.apply(&ControlChange::Patch(patch.clone())).expect("valid");
    let before: [(ControlValue, &[u8]); 3] = [
        (ControlValue::Blank, &[1, 107, 6, 0, 4, 0, 6, 0, 4, 0, 6, 0, 0]),
        (ControlValue::Evacuation(true), &[1, 107, 6, 0, 4, 0, 6, 0, 4, 0, 6, 0, 2, 1]),
        (configuration, &[1, 107, 6, 0, 4, 0, 6, 0, 4, 0, 6, 0, 1, 1, 1, 114, 1, 6, 2, 6, 1, 0, 0, 6, 1]),
    ];
    for (old_value, bytes) in before {
        let (promised, accepted) = Default::default();
        let stored = StoredKey { key: "k".to_string(), promised, accepted, value: old_value };
        assert_eq!(bitcode::encode(&stored), bytes, "{:?}", stored.value);
        assert_eq!(bitcode::decode::<StoredKey<ControlValue>>(bytes).ok(), Some(stored));
    }
    assert_eq!(bitcode::encode(&ControlChange::Evacuate(true)), [1, 1]);
    assert_eq!(bitcode::encode(&ControlChange::Patch(patch)), [0, 1, 1, 114, 1, 6, 2, 6, 0, 0, 0]);
}

/// Superseded versions are stored with the key but not published to nodes.
#[test]
fn nodes_get_what_stands_alone() {
    let patch = |body: &str| {
        ControlChange::Patch(silvercross_mesh_config::parse_change(body.as_bytes()).expect("well-formed"))
    };
    let destination = |edition: u64, path: &str| {
        patch(&format!(
            r#"{{"deliver":{{"destinations":[{{"name":"d","healthPath":"{path}","edition":{edition}}}]}}}}"#
        ))
    };
    let mut control_value = ControlValue::Blank;
    assert_eq!(control_value.apply(&patch("{}")), Ok(false));
    assert_eq!(control_value, ControlValue::Blank);
    assert_eq!(control_value.apply(&destination(1, "/a")), Ok(true));
    assert!(matches!(control_value, ControlValue::Configuration(_)));
    assert_eq!(control_value.apply(&destination(2, "/b")), Ok(true));
    assert!(matches!(control_value, ControlValue::Versioned(_)));
    let mut plain = ControlValue::Blank;
    assert_eq!(plain.apply(&destination(2, "/b")), Ok(true));
    assert_eq!(bitcode::encode(&control_value.clone().published()), bitcode::encode(&plain));
    // The history survives encoding.
    let mut again: ControlValue = bitcode::decode(&bitcode::encode(&control_value)).expect("it decodes");
    assert_eq!(again, control_value);
    assert_eq!(again.apply(&destination(1, "/a")), Ok(false));
    assert!(again.apply(&destination(1, "/c")).expect_err("another content").conflict);
    assert_eq!(again, control_value);
    // A later call that adds members.
    let members = br#"{"deliver":{"members":[{"name":"ana","key":"k","plan":"full","edition":1}]}}"#;
    let members = silvercross_mesh_config::parse_update(members).expect("well-formed");
    assert_eq!(control_value.apply(&ControlChange::Call(Box::new(members))), Ok(true));
    assert!(matches!(control_value.published(), ControlValue::WithMembers(_)));
}

/// Delivered values leave out the raw JSON, which no sidecar reads and which slows relaying over links of low bandwidth. It was three
/// quarters of a change that relays took 0.3 s to pass on.
#[test]
fn what_is_delivered_routes_alike_in_less_than_half_of_the_bytes() {
    let routes: Vec<String> = (0..310)
        .map(|number| {
            format!(
                r#"{{"name":"r-xd9d{number}","lane":"/lepu{number}/","routeKind":"safe","deadlineS":4,"targetS":0.6,"priority":2,"destination":"d","attempts":2,"edition":1{number}}}"#
            )
        })
        .collect();
    let call = format!(
        r#"{{"deliver":{{"destinations":[{{"name":"d","healthPath":"/h","edition":1}}],"depots":[{{"depot":"jepu9.example","lanes":[{}]}}]}}}}"#,
        routes.join(",")
    );
    let patch = silvercross_mesh_config::parse_change(call.as_bytes()).expect("well-formed");
    let mut control_value = ControlValue::Blank;
    control_value.apply(&ControlChange::Patch(patch)).expect("valid");
    let (whole, delivered) = (control_value.clone(), control_value.delivered());
    let (whole_bytes, bytes) = (bitcode::encode(&whole).len(), bitcode::encode(&delivered).len());
    assert!(bytes * 2 < whole_bytes, "{bytes} of {whole_bytes}");
    let table = |value: &ControlValue| match value {
        ControlValue::Configuration(configuration) => {
            silvercross_mesh_config::RoutingTable::new(configuration)
        }
        other => panic!("{other:?}"),
    };
    assert_eq!(table(&whole), table(&delivered));
}

/// Guards against acknowledging a configuration larger than a control entry, which every sidecar would drop.
#[test]
fn what_nodes_could_not_be_given_is_rejected_and_may_still_shrink() {
    let long = "x".repeat(2_000);
    let patch = |first: usize, count: usize, set: bool, edition: u64| {
        let names: Vec<String> = (first..first + count).map(|number| format!("r-{number}")).collect();
        let set_item = |name: &String| {
            format!(
                r#"{{"name":"{name}","lane":"/{name}-{long}/","routeKind":"safe","deadlineS":4,"targetS":0.6,"priority":2,"destination":"d","attempts":2,"edition":{edition}}}"#
            )
        };
        let drop_item = |name: &String| format!(r#"{{"name":"{name}","edition":{edition}}}"#);
        let call = if set {
            let items: Vec<String> = names.iter().map(set_item).collect();
            format!(
                r#"{{"deliver":{{"destinations":[{{"name":"d","healthPath":"/h","edition":1}}],"depots":[{{"depot":"h.example","lanes":[{}]}}]}}}}"#,
                items.join(",")
            )
        } else {
            let items: Vec<String> = names.iter().map(drop_item).collect();
            format!(r#"{{"withdraw":{{"routes":[{}]}}}}"#, items.join(","))
        };
        ControlChange::Patch(silvercross_mesh_config::parse_change(call.as_bytes()).expect("well-formed"))
    };
    let mut value = ControlValue::Blank;
    assert_eq!(value.apply(&patch(0, 1_500, true, 1)), Ok(true), "3 MB");
    let before = value.clone();
    let rejection = value.apply(&patch(1_500, 1_500, true, 1)).expect_err("6 MB");
    assert!(!rejection.conflict && rejection.reason.contains("withdraw"), "{rejection}");
    assert_eq!(value, before, "no part of it is applied");
    let delivered = |value: &ControlValue| bitcode::encode(&value.clone().delivered()).len();
    assert!(delivered(&value) <= MAX_CONTROL_ENTRY_BYTES);
    assert_eq!(value.apply(&patch(0, 1_000, false, 2)), Ok(true));
    assert_eq!(value.apply(&patch(1_500, 1_000, true, 1)), Ok(true), "there is space again");
    assert!(delivered(&value) <= MAX_CONTROL_ENTRY_BYTES);
}
