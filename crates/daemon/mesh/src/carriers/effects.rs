//! What membership and the control store want done, done: sent, written, answered, handed on.
use super::frames::Parcel;
use super::link::CONNECT;
use super::{ip, told, Body, Carriers};
use crate::disk::Write;
use crate::hop;
use crate::leaf::Leaf;
use crate::post::Post;
use silvercross_control_store::{Effect as StoreEffect, Verdict};
use silvercross_mesh_membership::{Effect, Node, Record};
use std::net::SocketAddr;
use std::rc::Rc;

impl Carriers {
    /// Do what membership wants done.
    pub(super) fn effect(&self, post: &Rc<Post>, effect: Effect<Body>) {
        match effect {
            Effect::Link { to } => self.link(post, to.0),
            Effect::Unlink { to } => {
                self.links.borrow_mut().remove(&to.0);
                self.down(post, to.0);
            }
            Effect::Send { to, letter } => self.send(post, to.0, &Parcel::Round(letter)),
            Effect::Datagram { to, datagram } => {
                let bytes = bitcode::encode(&datagram);
                let _ = self.udp.try_send_to(&bytes, SocketAddr::new(ip(to.0), self.port));
                post.counts.datagrams.set(post.counts.datagrams.get() + 1);
            }
            Effect::Try { node } => self.try_link(post, node),
            Effect::ConfirmRevisions { ticket } => {
                let post = post.clone();
                tokio::task::spawn_local(async move {
                    let revisions = post.carriers.confirm(&post).await;
                    post.carriers.rounds.borrow_mut().confirmed(post.now(), ticket, revisions);
                    post.carriers.pump(&post);
                });
            }
            Effect::Record(record) => {
                self.tell_store(post, &record);
                post.record(record);
            }
            Effect::Page { key, revision, bytes } => {
                if let Ok(leaf) = bitcode::decode::<Leaf>(&bytes) {
                    post.page(&key, revision, leaf);
                }
            }
        }
    }

    /// Whether a link to this node could be made.
    fn try_link(&self, post: &Rc<Post>, node: Node) {
        let (post, to) = (post.clone(), SocketAddr::new(ip(node.0), self.port));
        let from = ip(self.me);
        tokio::task::spawn_local(async move {
            let ok = hop::connect(Some(from), to, CONNECT).await.is_some();
            post.carriers.rounds.borrow_mut().tried(post.now(), node, ok);
            post.carriers.pump(&post);
        });
    }

    /// Tell the control store of a machine that may come for a lost replica, or that stops.
    fn tell_store(&self, post: &Rc<Post>, record: &Record<Body>) {
        let Some(l) = &self.ledger else { return };
        // It has a disk, knows who the holders are, and is none of them.
        let told = &record.body;
        let spare = !told.roster.is_empty() && !told.roster.contains(&record.node.0);
        let up = record.core && !record.gone && !told.leaving && spare;
        let node = silvercross_control_store::Node(record.node.0);
        l.borrow_mut().candidate(post.now(), node, up);
        if record.core {
            l.borrow_mut().leaves(post.now(), node, told.leaving);
        }
    }

    /// Do what the control store wants done.
    pub(super) fn deed(&self, post: &Rc<Post>, deed: StoreEffect<Leaf>) {
        match deed {
            StoreEffect::Send { to, version, message } => {
                self.send(post, to.0, &Parcel::Store(version, message))
            }
            StoreEffect::Store { write, metadata, keys } => {
                if let Some(writes) = &self.writes {
                    let _ = writes.send(Write { number: write, metadata, keys });
                }
            }
            StoreEffect::Answer { token, verdict } => {
                if let Some(to) = self.asked.borrow_mut().remove(&token) {
                    let verdict = match verdict {
                        Verdict::Value { revision, value } => {
                            Verdict::Value { revision, value: value.published() }
                        }
                        other => other,
                    };
                    let _ = to.send(verdict);
                }
            }
            StoreEffect::Committed { key, revision, value } => {
                let at = told(revision);
                let value = value.published();
                let bytes = bitcode::encode(&value);
                self.rounds.borrow_mut().post(post.now(), &key, at, bytes);
                post.page(&key, at, value);
            }
        }
    }
}
