//! Items of the configuration as operators write them. Read on at [`item`], then [`toml_reader`].
//!
//! Whether an item may come into force is not decided here: that is [`crate::plan`]'s, by the rules of the control nodes.
mod item;
mod json_reader;
mod key_names;
mod toml_reader;
mod writer;

pub(crate) use item::{Item, ItemFault, ItemKind, Position, VIRTUAL_HOST_KEY};
pub(crate) use json_reader::items_of;
pub(crate) use writer::write;

/// No file is larger, in bytes.
pub(crate) const MAX_FILE_BYTES: u64 = 8 << 20;

/// Read a file's text, TOML or JSON; JSON begins with a brace.
///
/// # Errors
/// All faults of the file, in its order, each with its position.
pub(crate) fn read(text: &str) -> Result<Vec<Item>, Vec<ItemFault>> {
    if text.trim_start().starts_with('{') {
        json_reader::read(text)
    } else {
        toml_reader::read(text)
    }
}
