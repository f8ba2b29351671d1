//! The mesh's configuration, decided without I/O: the items an operator sends ([`read_patch`]), what of them is in
//! force ([`Configuration`]: the highest edition of each name holds, whether it sets or drops; [`Whole`] once members
//! were sent; [`Tracked`] with what stood before) and where a request goes ([`Table`]).
#![forbid(unsafe_code)]

mod canonical;
mod configuration;
mod history;
mod items;
#[doc(hidden)]
pub mod mutant;
mod read;
mod table;
mod tracked;
mod whole;

pub use configuration::{Configuration, MAX_DROPPED, MAX_ITEMS};
pub use history::{History, MAX_OVERTAKEN};
pub use items::{Change, Destination, Fault, Kind, Limits, Route, MAX_TIME_US};
pub use read::{read_call, read_patch, MAX_BODY, MAX_NAME};
pub use table::Table;
pub use tracked::Tracked;
pub use whole::{Call, Whole, MAX_MEMBERS, MAX_MEMBER_NAME, MAX_ROLL};
