//! Operators' files are read with the position of everything in them, and written so that they are read back.
use crate::items::{read, write, Item, ItemKind, Position};
use serde_json::json;

const FILE: &str = "# the shop\n[destinations.quotes]\nline_cap = 120\ncold_s = 3\n\n[routes.r-1]\ndepot = \"shop.example\"\n\
    lane = \"/q/\"\nkind = \"safe\"\ndeadline_s = 5\nsplit = { quotes = 0.9, \"o.ld\" = 0.1 }\nedition = 4\n\n\
    [withdraw]\nroutes = [\"r-9\"]\ndestinations = { old = 3 }\n";

fn at(line: usize, column: usize) -> Position {
    Position { line, column }
}

#[test]
fn a_file_is_read_as_items_with_their_positions() {
    let items = read(FILE).expect("well-formed");
    let route = &items[1];
    assert_eq!((route.kind, route.position, route.version), (ItemKind::Route, at(6, 9), Some(4)));
    assert_eq!(route.field_positions["deadlineS"], at(10, 14));
    let fields = route.fields.as_ref().expect("set");
    assert_eq!(fields["split"][0], json!({ "destination": "o.ld", "share": 0.1 }));
    assert_eq!(fields["routeKind"], "safe");
    let withdrawn: Vec<_> =
        items[2..].iter().map(|item| (item.name.as_str(), item.version, item.fields.is_none())).collect();
    assert_eq!(withdrawn, [("r-9", None, true), ("old", Some(3), true)]);
}

#[test]
fn every_fault_comes_with_line_and_column() {
    let bad =
        FILE.replace("line_cap", "linecap").replace("cold_s = 3", "cold_s = 1e999").replace("\"r-9\"", "9");
    let faults = read(&bad).expect_err("three faults");
    let positions: Vec<Position> = faults.iter().map(|fault| fault.position).collect();
    assert_eq!(positions, [at(3, 1), at(4, 10), at(15, 11)], "{faults:?}");
    let broken = read("[a\nb = 1\n").expect_err("not TOML");
    assert_eq!(broken[0].position.line, 1);
    assert_eq!(read("{\"deliver\":\n  {\"x\" 1}}").expect_err("not JSON")[0].position.line, 2);
}

#[test]
fn what_is_written_is_read_back() {
    let items = read(FILE).expect("well-formed");
    let text = write(&items[..2]).expect("all keys are known");
    let again = read(&text).expect("well-formed");
    let content = |item: &Item| {
        (item.kind, item.name.clone(), item.virtual_host.clone(), item.fields.clone(), item.version)
    };
    assert_eq!(
        items[..2].iter().map(content).collect::<Vec<_>>(),
        again.iter().map(content).collect::<Vec<_>>()
    );
}
