//! Lines of the event feed are shown with what was left out before them.
use crate::event_text::event_text;
use serde_json::json;

#[test]
fn lines_are_shown_with_what_was_not_sent() {
    let event = json!({ "kind": "upstream", "key": "upstream/10.0.0.4", "service": "quotes", "zone": "a", "after": "1.0.2",
        "missed": 2, "state": { "is": "draining", "id": "u4" } });
    let text = event_text(&event).expect("an event");
    assert!(
        text.starts_with("upstream/10.0.0.4 quotes a: ") && text.ends_with("(2 before it not sent)"),
        "{text}"
    );
    let gap =
        json!({ "gap": "item", "count": 7, "more": false, "why": "not seen here", "snapshot": "http://x" });
    assert!(event_text(&gap).expect("a gap").starts_with("! item: 7 not sent, not seen here"));
    assert_eq!(event_text(&json!({ "cursor": "x" })), None);
}
