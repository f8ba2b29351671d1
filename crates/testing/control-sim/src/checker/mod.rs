//! The checker: what operators and processes saw, held against one plain map in which the highest version of a name wins and
//! nothing acknowledged is lost.
//!
//! It shares no type with the deciders. The rules are in `values` (what was in force), `orders` (which order holds), `calls` (what operators heard) and
//! `incarnations` (what each process had); each returns the first violation it finds.

mod calls;
mod incarnations;
mod orders;
mod values;

use crate::history::{History, Operation};
use crate::violation::Violation;

pub use incarnations::READY_WAIT_LIMIT;

/// Holds a history against all rules, key by key.
pub fn check(history: &History) -> Result<(), Box<Violation>> {
    let keys = history.operations.iter().map(|operation| operation.key + 1).max().unwrap_or(0);
    for key in 0..keys {
        let operations: Vec<&Operation> =
            history.operations.iter().filter(|operation| operation.key == key).collect();
        let values = values::by_revision(history, key)?;
        calls::check_reads(&operations)?;
        values::check_contents(&operations, &values)?;
        values::check_acknowledged(&operations, &values)?;
        orders::check(&operations, &values)?;
        calls::check_acknowledged_once(&operations)?;
        calls::check_rejections(&operations)?;
        incarnations::check(history, &operations, key)?;
    }
    Ok(())
}
