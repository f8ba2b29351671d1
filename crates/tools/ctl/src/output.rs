//! What commands print: lines for people, or one JSON value for scripts; tables.
use serde_json::Value;

/// Print the result of a command: the value where JSON was asked for, else the lines.
pub(crate) fn print_result(as_json: bool, value: &Value, lines: &[String]) {
    if as_json {
        println!("{value}");
    } else {
        lines.iter().for_each(|line| println!("{line}"));
    }
}

/// Rows with columns as wide as they have to be.
pub(crate) fn table(head: &[&str], rows: &[Vec<String>]) -> String {
    let mut widths: Vec<usize> = head.iter().map(|title| title.len()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let head: Vec<String> = head.iter().map(|title| title.to_string()).collect();
    let mut text = String::new();
    for row in std::iter::once(&head).chain(rows) {
        let cells: Vec<String> =
            row.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}")).collect();
        text.push_str(cells.join("  ").trim_end());
        text.push('\n');
    }
    text
}
