//! What a process tells of itself: counters, and the state that operators ask for.
use crate::post::Post;
use serde_json::{json, Value};
use std::net::Ipv4Addr;

/// The counters, by name.
pub fn figures(post: &Post) -> Value {
    let c = &post.counts;
    let (out, waiting) = post.gate.with(|w| w.load());
    let desks: Vec<Value> = post
        .desks()
        .iter()
        .map(|(name, desk)| {
            let (listed, avoided) = desk.rotation();
            json!({ "service": name, "listed": listed, "avoided": avoided, "open": desk.open() })
        })
        .collect();
    let mut all = json!({
        "clients": c.clients.get(), "shutOut": c.shut_out.get(), "hops": c.hops.get(),
        "hopsIdle": c.hops_idle.get(), "hopsShutOut": c.hops_shut_out.get(), "linksShutOut": c.links_shut_out.get(), "callsShutOut": c.calls_shut_out.get(), "requests": c.requests.get(),
        "refused": c.refused.get(), "failed": c.failed.get(), "delivered": c.delivered.get(),
        "turned": c.turned.get(), "beats": c.beats.get(), "calls": c.calls.get(),
        "letters": c.letters.get(), "datagrams": c.datagrams.get(), "strangers": c.strangers.get(),
        "gateOut": out, "gateWaiting": waiting, "idle": post.pool.idle(),
        "asked": c.asked.get(), "recovered": c.recovered.get(), "orphans": c.orphans.get(),
        "receipts": post.receipts.load().0, "keptBytes": post.receipts.load().1,
        "noRoom": c.no_room.get(), "heldBytes": post.stores.held(), "desks": desks,
    });
    if let Some(members) = post.members.figures() {
        all["members"] = members;
    }
    all
}

/// Who is there, what is in force, and, where this machine holds the ledger, its keys.
pub fn state(post: &Post) -> Value {
    let revisions: Vec<Value> = post
        .revisions()
        .iter()
        .map(|(key, r)| json!({ "key": key, "round": r.0, "owner": Ipv4Addr::from_bits(r.1 as u32).to_string(), "change": r.2 }))
        .collect();
    let nodes: Vec<Value> = post.carriers.rounds(|r| {
        r.records()
            .map(|n| {
                json!({ "node": Ipv4Addr::from_bits(n.node.0).to_string(), "zone": n.zone, "core": n.core,
                    "gone": n.gone, "leaving": n.body.leaving,
                    "upstream": n.body.station.as_ref().map(|s| s.id.clone()),
                    "service": n.body.station.as_ref().map(|s| s.service.clone()) })
            })
            .collect()
    });
    let parent = post.carriers.rounds(|r| r.parent()).map(|p| Ipv4Addr::from_bits(p.0).to_string());
    let keys = post.carriers.ledger(|l| {
        l.settled()
            .iter()
            .map(|(key, epoch, at)| json!({ "key": key, "round": epoch.round, "change": at.seq }))
            .collect::<Vec<_>>()
    });
    json!({ "node": post.boot.node, "zone": post.boot.zone, "core": post.boot.core, "parent": parent,
        "configured": post.configured(), "evacuated": post.evacuated(), "revisions": revisions,
        "nodes": nodes, "owns": keys })
}
