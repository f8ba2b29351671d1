//! One version of one item, either sent in a call or current.

use std::hash::Hasher;

use silvercross_config_item::{canonical_json, Entry, Item};
use silvercross_throttle::MemberItemVersion;
use siphasher::sip::SipHasher13;

use crate::client_limits::ClientLimits;
use crate::destination::Destination;
use crate::route::Route;

/// Kinds of items, each with its own names. The numbers are part of hashes stored on disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ItemKind {
    /// A route.
    Route = 1,
    /// A destination.
    Destination = 2,
    /// The limits for clients, a single item without a name.
    ClientLimits = 3,
    /// A member.
    Member = 4,
    /// How requests name members, a single item without a name.
    MemberIdentification = 5,
}

impl ItemKind {
    /// The kind's name in events.
    pub fn as_str(self) -> &'static str {
        match self {
            ItemKind::Route => "route",
            ItemKind::Destination => "destination",
            ItemKind::ClientLimits => "limits",
            ItemKind::Member => "member",
            ItemKind::MemberIdentification => "membership",
        }
    }
}

/// The content of an item as sent, with what belongs to it elsewhere in the call.
#[derive(Clone, Copy, Debug)]
struct SentContent<'a> {
    raw_json: &'a str,
    /// The host of a route, which is sent outside the route's item; empty for other items.
    virtual_host: &'a str,
}

/// One version of one item.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ItemVersion<'a> {
    pub(crate) kind: ItemKind,
    pub(crate) name: &'a str,
    pub(crate) version: u64,
    /// `None` for a withdrawal.
    content: Option<SentContent<'a>>,
}

/// Hashes of a version of an item and of its content.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct VersionDigest {
    pub(crate) version: u64,
    pub(crate) content: u64,
}

impl<'a> ItemVersion<'a> {
    pub(crate) fn of_route(name: &'a str, entry: &'a Entry<Route>) -> ItemVersion<'a> {
        let content = entry
            .item()
            .map(|item| SentContent { raw_json: &item.raw_json, virtual_host: &item.parsed.virtual_host });
        ItemVersion { kind: ItemKind::Route, name, version: entry.version(), content }
    }

    pub(crate) fn of_destination(name: &'a str, entry: &'a Entry<Destination>) -> ItemVersion<'a> {
        let content = entry.item().map(|item| SentContent { raw_json: &item.raw_json, virtual_host: "" });
        ItemVersion { kind: ItemKind::Destination, name, version: entry.version(), content }
    }

    pub(crate) fn of_limits(item: &'a Item<ClientLimits>) -> ItemVersion<'a> {
        let content = Some(SentContent { raw_json: &item.raw_json, virtual_host: "" });
        ItemVersion { kind: ItemKind::ClientLimits, name: "", version: item.parsed.version, content }
    }

    pub(crate) fn of_member(item: MemberItemVersion<'a>) -> ItemVersion<'a> {
        let kind = if item.name.is_some() { ItemKind::Member } else { ItemKind::MemberIdentification };
        let content = item.raw_json.map(|raw_json| SentContent { raw_json, virtual_host: "" });
        ItemVersion { kind, name: item.name.unwrap_or_default(), version: item.version, content }
    }

    /// Whether this version withdraws the item.
    pub(crate) fn is_withdrawal(&self) -> bool {
        self.content.is_none()
    }

    pub(crate) fn digest(&self) -> VersionDigest {
        VersionDigest { version: self.version_hash(), content: self.content_hash() }
    }

    /// Hash of kind, name and version.
    pub(crate) fn version_hash(&self) -> u64 {
        stable_hash(&[&[self.kind as u8], self.name.as_bytes(), &self.version.to_le_bytes()])
    }

    /// Hash of the content; the same for any notation of the same JSON.
    pub(crate) fn content_hash(&self) -> u64 {
        let Some(SentContent { raw_json, virtual_host }) = self.content else { return stable_hash(&[]) };
        let canonical = canonical_json(raw_json);
        stable_hash(&[canonical.as_deref().unwrap_or(raw_json).as_bytes(), virtual_host.as_bytes()])
    }
}

/// SipHash-1-3 of the parts, each preceded by its length. It is stored on disk, so it must be the same on every machine
/// and in every build.
pub(crate) fn stable_hash(parts: &[&[u8]]) -> u64 {
    let mut hasher = SipHasher13::new();
    for part in parts {
        hasher.write(&(part.len() as u64).to_le_bytes());
        hasher.write(part);
    }
    hasher.finish()
}
