//! In the package, because a binary has no library to import.
use super::query::{EventQuery, EVENTS_PATH};

#[test]
fn a_query_is_read_or_its_fault_is_named() {
    let target = "/-/Post.Events?kind=node,item&zone=a%2Db&follow=1&limit=9";
    let query = EventQuery::read(target, b"").expect("well-formed");
    assert!(query.follow && query.limit == 9);
    assert_eq!(
        (query.filter.kinds, query.filter.zones),
        (vec!["node".into(), "item".into()], vec!["a-b".to_string()])
    );
    for (target, body, word) in [
        ("?limit=0", &b""[..], "limit"),
        ("?limit=99999", b"", "limit"),
        ("?x=1", b"", "not known"),
        ("?after=AAAA", b"", "cursor"),
        ("", b"\xff", "no text"),
        ("?zone=%zz", b"zz", "cursor"),
    ] {
        let error = EventQuery::read(&format!("{EVENTS_PATH}{target}"), body).err().expect(target);
        assert!(error.to_string().contains(word), "{target}: {error}");
    }
}
