//! In the package, because a binary has no library to import.
use super::step_header::header_values;
use super::{lapsed_item, percent_decoded, renewed_item, set_step_header};
use serde_json::{json, Value};
use silvercross_throttle::ThrottleStep;

#[test]
fn a_members_header_is_found_whole_and_a_foreign_step_is_left_out() {
    let lines = b"Club-Id: other\r\nclub:  k 1 \r\nX: club: no\r\nCLUB: two\r\n";
    let all: Vec<&[u8]> = header_values(lines, "club").collect();
    assert_eq!(all, [&b"k 1"[..], b"two"]);
    let mut lines = b"A: 1\r\nmember-step: 9/9\r\nB: 2\r\n".to_vec();
    set_step_header(&mut lines, Some(ThrottleStep { step: 3, total_steps: 24 }));
    assert_eq!(lines, b"A: 1\r\nB: 2\r\nMember-Step: 3/24\r\n");
}

#[test]
fn a_renewal_keeps_the_item_and_raises_its_version() {
    let item = r#"{"name":"ana b","key":"k","plan":"trial","lapsesAt":5,"edition":7,"note":"x"}"#;
    let read =
        |patch: String| serde_json::from_str::<Value>(&patch).expect("JSON")["deliver"]["members"][0].clone();
    let new = read(renewed_item(item, br#"{"lapsesInS":9}"#).expect("valid"));
    let wanted =
        json!({ "name": "ana b", "key": "k", "plan": "trial", "lapsesInS": 9, "edition": 8, "note": "x" });
    assert_eq!(new, wanted);
    assert_eq!(read(renewed_item(item, br#"{"plan":"full"}"#).expect("valid")).get("lapsesAt"), None);
    assert!(renewed_item(item, b"").is_err() && renewed_item(&new.to_string(), b"").is_ok());
    for body in [&b"[]"[..], b"{", br#"{"key":"other"}"#] {
        assert!(renewed_item(item, body).is_err());
    }
    assert_eq!(read(lapsed_item(item).expect("valid"))["lapsesInS"], 0.001);
    let decoded = (percent_decoded("ana%20b"), percent_decoded("a%2"), percent_decoded("%ff"));
    assert_eq!(decoded, (Some("ana b".to_string()), None, None));
}
