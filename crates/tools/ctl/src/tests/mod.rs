//! Tests of the deciding parts, within the crate because a program has no library that files under `tests/` could import.
mod diagnosis;
mod event_text;
mod items;
mod plan;
mod report;
