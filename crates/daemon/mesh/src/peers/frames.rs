//! What goes on a link between sidecars: its form, in frames of `bitcode`, and the two lanes in which frames are written.
use super::RecordBody;
use crate::control_value::{ControlChange, ControlValue};
use bitcode::{Decode, Encode};
use silvercross_control_store::Message as StoreMessage;
use silvercross_mesh_membership::MembershipMessage;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::mpsc;
use tokio::time::timeout;

/// The form of what is said on a link. Another one is told so once and let go.
pub(super) const VERSION: u16 = 2;
/// No parcel is larger.
pub(super) const LARGEST: usize = 16 << 20;
/// Bytes of a large parcel that go at a time. Between them goes what the control store says: its owner's beats may not wait until
/// a page is through a thin link.
pub(super) const PART: usize = 32 * 1024;
/// In a frame's length: it is a part of a large parcel; and it is the last one.
const IS_PART: u32 = 1 << 31;
const IS_LAST: u32 = 1 << 30;
/// An end that takes nothing of what is sent for so long ends the link. A thin link takes longer for a large parcel, but some
/// of it all the time.
pub(super) const UNTAKEN: Duration = Duration::from_millis(1500);
/// The first parcel of a link is no larger.
pub(super) const HELLO: usize = 64;

#[derive(Encode, Decode)]
pub(super) enum Frame {
    Hello {
        version: u16,
        node: u32,
    },
    Round(MembershipMessage<RecordBody>),
    /// Under which version of the roster, and what.
    Store(u64, StoreMessage<ControlValue, ControlChange>),
    /// What time of day is it? Between holders, where there are members.
    Time {
        asked: i64,
    },
    /// It is this; `stepped`: that clock was set lately.
    Told {
        asked: i64,
        wall: i64,
        stepped: bool,
    },
}

/// The frame of a parcel: its length, then its bytes.
pub(super) fn framed(frame: &Frame) -> Vec<u8> {
    let body = bitcode::encode(frame);
    let mut bytes = Vec::with_capacity(body.len() + 4);
    bytes.extend_from_slice(&(body.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&body);
    bytes
}

/// Whether the other end took it all, with no pause as long as `UNTAKEN`.
pub(super) async fn taken(stream: &mut (impl AsyncWriteExt + Unpin), mut bytes: &[u8]) -> bool {
    while !bytes.is_empty() {
        match timeout(UNTAKEN, stream.write(bytes)).await {
            Ok(Ok(n)) if n > 0 => bytes = &bytes[n..],
            _ => return false,
        }
    }
    true
}

/// Writes what waits, until the link ends: parcels of both lanes whole, but large ones of `out` in parts.
pub(super) async fn write_lanes(
    stream: &mut (impl AsyncWriteExt + Unpin),
    mut out: mpsc::Receiver<Rc<Vec<u8>>>,
    mut first: mpsc::Receiver<Rc<Vec<u8>>>,
) {
    let mut large: Option<(Rc<Vec<u8>>, usize)> = None;
    loop {
        // What has gathered goes in one write.
        let mut all = Vec::new();
        while let Ok(bytes) = first.try_recv() {
            all.extend_from_slice(&bytes);
        }
        while large.is_none() && all.len() < PART {
            let Ok(bytes) = out.try_recv() else { break };
            add(&mut all, &mut large, bytes);
        }
        if let Some((bytes, sent)) = large.as_mut() {
            let end = (*sent + PART).min(bytes.len());
            let last = if end == bytes.len() { IS_LAST } else { 0 };
            all.extend_from_slice(&((end - *sent) as u32 | IS_PART | last).to_le_bytes());
            all.extend_from_slice(&bytes[*sent..end]);
            *sent = end;
            large = large.filter(|(bytes, sent)| *sent < bytes.len());
        }
        if all.is_empty() {
            tokio::select! {
                Some(bytes) = first.recv() => all.extend_from_slice(&bytes),
                Some(bytes) = out.recv() => add(&mut all, &mut large, bytes),
                else => return,
            }
        }
        if !taken(stream, &all).await {
            return;
        }
    }
}

/// Adds a frame to what is written, or makes it the large one: its parts are without its length.
fn add(all: &mut Vec<u8>, large: &mut Option<(Rc<Vec<u8>>, usize)>, bytes: Rc<Vec<u8>>) {
    if bytes.len() > PART {
        *large = Some((bytes, 4));
    } else {
        all.extend_from_slice(&bytes);
    }
}

/// The next parcel of at most so many bytes; `parts` is what is there of a large one.
pub(super) async fn frame(
    stream: &mut (impl AsyncReadExt + Unpin),
    parts: &mut Vec<u8>,
    most: usize,
) -> Option<Frame> {
    loop {
        let mut head = [0; 4];
        stream.read_exact(&mut head).await.ok()?;
        let head = u32::from_le_bytes(head);
        let length = (head & !(IS_PART | IS_LAST)) as usize;
        let part = head & IS_PART != 0;
        if length + if part { parts.len() } else { 0 } > most {
            return None;
        }
        // Room grows with what comes, not with what is announced.
        let mut bytes = if part { std::mem::take(parts) } else { Vec::with_capacity(length.min(64 * 1024)) };
        (&mut *stream).take(length as u64).read_to_end(&mut bytes).await.ok().filter(|n| *n == length)?;
        if part && head & IS_LAST == 0 {
            *parts = bytes;
            continue;
        }
        return bitcode::decode(&bytes).ok();
    }
}
