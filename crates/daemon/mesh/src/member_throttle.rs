//! MemberThrottle on one node: whose a request is and how long it waits, how far each member's lapse has come, and, where this node
//! owns a lapse's key, the duty to take it on. Everything is decided in `silvercross-throttle`. Where no member stands, a request
//! costs one look at a flag here, and nothing runs.
use crate::control_value::{ControlChange, CONFIGURATION};
use crate::node_state::NodeState;
use crate::wire::RequestHead;
use serde_json::{json, Map, Value};
use silvercross_control_store::{CallOutcome, Epoch};
use silvercross_mesh_config::Route;
use silvercross_throttle::{
    lapse_key, member_of_lapse_key, ClockSettings, DelayDecision, DelayQueue, DelayTicket, LapseState,
    LapseTime, LapseTimer, LapseTransition, LapseView, Member, MemberIndex, MemberList, PeerClockReading,
    Plan, RequestIdentity, RequestThrottle, RouteKind, ThrottleStep, TrustedClock,
};
use slog::{debug, info};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::{oneshot, Notify};

/// On answers to members' requests: the step that held for it.
const STEP: &str = "Member-Step";
/// Requests that wait at a time; further ones go on at once.
const WAITING: usize = 1024;
/// Bytes of their bodies.
const WAITING_BYTES: usize = 8 << 20;
/// An owner looks after what is due so often.
const DUTY: Duration = Duration::from_millis(200);
/// Lapses it looks at each time; the rest come next.
const AT_ONCE: usize = 128;
/// The clocks are read so often, in microseconds.
const READ: i64 = 1_000_000;
/// Others are asked for their time so often where it is known, in microseconds.
const ASK: i64 = 10_000_000;

/// A key's content as told: its round and owner, and the lapse.
type Told = (Epoch, LapseState);

/// The members, as one node knows them.
pub struct MemberThrottle {
    /// A header names members.
    looks: Cell<bool>,
    directory: RefCell<Rc<MemberIndex>>,
    board: RefCell<LapseView>,
    /// Every lapse that was told, by member; no more than pages of state.
    told: RefCell<BTreeMap<String, Told>>,
    parked: RefCell<DelayQueue<oneshot::Sender<()>>>,
    duty: RefCell<Duty>,
    changed: Notify,
    waits: [Cell<u64>; 11],
    turned: Cell<u64>,
}

/// What the owner of keys remembers.
struct Duty {
    clerk: LapseTimer,
    clock: TrustedClock,
    read: i64,
    asked: i64,
    /// The time of day was known at the last look.
    known: bool,
    /// The lapses looked after, and under which ownership.
    mine: BTreeMap<String, Epoch>,
    /// To be looked at though not due.
    stirred: BTreeSet<String>,
}

/// What becomes of a request at its head.
pub enum ThrottleDecision {
    /// It goes on, after it has waited for so many microseconds.
    Proceed {
        /// The step that holds for it to its end, if it is a member's on trial.
        standing: Option<ThrottleStep>,
        /// How long it has waited.
        delayed: i64,
    },
    /// It has too little time left; it is to come back after so many microseconds.
    Reject {
        /// The step in force.
        standing: ThrottleStep,
        /// When to come back.
        retry_after: i64,
    },
    /// It names no member, and such are refused.
    UnknownMember,
}

/// Takes a request out of those that wait, however its waiting ends.
struct Seat<'m>(&'m MemberThrottle, DelayTicket);

impl Drop for Seat<'_> {
    fn drop(&mut self) {
        self.0.parked.borrow_mut().cancel(self.1);
    }
}

impl MemberThrottle {
    /// None stand yet. `single`: this is the only holder of the ledger.
    pub fn new(single: bool) -> Self {
        let duty = Duty {
            clerk: LapseTimer::new(),
            clock: TrustedClock::new(ClockSettings::default(), single),
            read: i64::MIN / 2,
            asked: i64::MIN / 2,
            known: false,
            mine: BTreeMap::new(),
            stirred: BTreeSet::new(),
        };
        MemberThrottle {
            looks: Cell::new(false),
            directory: RefCell::default(),
            board: RefCell::new(LapseView::new()),
            told: RefCell::default(),
            parked: RefCell::new(DelayQueue::new(WAITING, WAITING_BYTES)),
            duty: RefCell::new(duty),
            changed: Notify::new(),
            waits: Default::default(),
            turned: Cell::new(0),
        }
    }

    /// Whether requests are to be looked at. Until a call sends members' header they are not.
    pub fn is_enabled(&self) -> bool {
        self.looks.get()
    }

    fn stand(&self) -> bool {
        self.directory.borrow().members().next().is_some()
    }

    fn directory(&self) -> Rc<MemberIndex> {
        self.directory.borrow().clone()
    }

    /// These members stand from now on.
    pub fn roll(&self, node_state: &NodeState, roll: &MemberList) {
        let directory = Rc::new(MemberIndex::new(roll));
        self.looks.set(directory.header().is_some());
        {
            let mut board = self.board.borrow_mut();
            board.retain_members(|name| directory.member(name).is_some());
            for (name, (_, lapse)) in self.told.borrow().iter() {
                if directory.member(name).is_some() {
                    tell(node_state, name, board.observe(node_state.now().as_micros(), name, lapse));
                }
            }
        }
        self.duty.borrow_mut().stirred.extend(directory.members().map(|member| member.name.clone()));
        *self.directory.borrow_mut() = directory;
        self.changed.notify_one();
    }

    /// A key's content is told; `None`: nothing was written there yet.
    pub fn lapse(
        &self,
        node_state: &NodeState,
        key: &str,
        revision: (u64, u64, u64),
        lapse: Option<LapseState>,
    ) {
        let Some(name) = member_of_lapse_key(key) else { return };
        let lapse = lapse.unwrap_or_default();
        tell(node_state, name, self.board.borrow_mut().observe(node_state.now().as_micros(), name, &lapse));
        let epoch = Epoch { round: revision.0, owner: revision.1 as u32 };
        self.told.borrow_mut().insert(name.to_string(), (epoch, lapse));
        self.duty.borrow_mut().stirred.insert(name.to_string());
        self.changed.notify_one();
    }

    /// This holder's time of day and whether it was set lately; nothing where no member stands and it is not looked after.
    pub fn time_told(&self, now: i64) -> Option<(i64, bool)> {
        let duty = self.duty.borrow();
        (self.stand() && duty.read > 0).then(|| (wall(), duty.clock.stepped(now)))
    }

    /// Another holder's time of day.
    pub fn heard(&self, voice: PeerClockReading) {
        self.duty.borrow_mut().clock.observe_peer(voice);
    }

    /// The process stops: all that wait go on, and nothing waits any more.
    pub fn release(&self) {
        for waiting in self.parked.borrow_mut().release_all() {
            let _ = waiting.send(());
        }
    }

    /// Counters; nothing where no member was ever sent.
    pub fn figures(&self) -> Option<Value> {
        if !self.is_enabled() && !self.stand() {
            return None;
        }
        let directory = self.directory();
        let parked = self.parked.borrow();
        let waits: Vec<u64> = self.waits.iter().map(Cell::get).collect();
        Some(json!({
            "standing": directory.members().count(), "tenths": self.board.borrow().count_by_tenth(directory.members()),
            "waits": waits, "turned": self.turned.get(), "passed": parked.bypassed(), "waiting": parked.len(),
            "bytes": parked.bytes(),
        }))
    }

    /// Look after the lapses whose keys this node owns, and, where it owns the configuration, after those that have none yet.
    fn look(&self, node_state: &Rc<NodeState>) {
        let now = node_state.now().as_micros();
        let mut duty = self.duty.borrow_mut();
        let duty = &mut *duty;
        if now - duty.read >= READ {
            duty.read = now;
            if duty.clock.observe_local(now, wall()) {
                info!(node_state.log, "the time of day was set");
            }
        }
        let known = duty.clock.wall_time(now).is_some();
        if known && !duty.known {
            // What waits for the time of day need not wait for its next look.
            duty.stirred.extend(duty.mine.keys().cloned());
        }
        duty.known = known;
        if now - duty.asked >= if known { ASK } else { READ } {
            duty.asked = now;
            node_state.peers.ask_time(node_state);
        }
        let directory = self.directory();
        let told = self.told.borrow();
        let settled = node_state.peers.control_store(|l| l.owned_keys()).unwrap_or_default();
        let mut mine: BTreeMap<String, Epoch> = BTreeMap::new();
        for (key, epoch, _) in settled {
            if key == CONFIGURATION {
                let unwritten =
                    directory.members().filter(|m| m.lapse_time.is_some() && !told.contains_key(&m.name));
                mine.extend(unwritten.map(|m| (m.name.clone(), epoch)));
            } else if let Some(name) = member_of_lapse_key(&key) {
                mine.insert(name.to_string(), epoch);
            }
        }
        for name in duty.mine.keys().filter(|name| !mine.contains_key(*name)) {
            duty.clerk.forget(name);
        }
        for (name, epoch) in &mine {
            if duty.mine.get(name) != Some(epoch) {
                duty.stirred.insert(name.clone());
            }
        }
        duty.mine = mine;
        duty.stirred.retain(|name| duty.mine.contains_key(name));
        let mut names: BTreeSet<String> = duty.clerk.due(now, AT_ONCE).into_iter().collect();
        names.extend(duty.stirred.iter().take(AT_ONCE).cloned());
        for name in names {
            let Some(epoch) = duty.mine.get(&name).copied() else { continue };
            let blank = LapseState::default();
            let page = match told.get(&name) {
                // The owner's own word on the key, written anew, is on its way here.
                Some((under, _)) if *under != epoch => continue,
                Some((_, page)) => page,
                None => &blank,
            };
            duty.stirred.remove(&name);
            let advice = duty.clerk.decide(now, &name, epoch, page, directory.member(&name), &duty.clock);
            if let Some(change) = advice.proposal {
                let node_state = node_state.clone();
                tokio::task::spawn_local(async move {
                    let order = ControlChange::Lapse(change.clone());
                    let verdict = node_state.peers.ask(&node_state, &lapse_key(&name), Some(order)).await;
                    if let Some(CallOutcome::Rejected(refusal)) = verdict {
                        debug!(node_state.log, "a lapse's change is refused"; "member" => &name,
                            "change" => format!("{change:?}"), "why" => refusal.reason);
                    }
                });
            }
        }
    }
}

/// One line for each change.
fn tell(node_state: &NodeState, name: &str, turn: Option<LapseTransition>) {
    let Some(LapseTransition { to, .. }) = turn else { return };
    info!(node_state.log, "member"; "name" => name, "step" => to.step, "of" => to.total_steps, "lapsed" => to.begun, "edition" => to.version);
}

fn wall() -> i64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    i64::try_from(since.as_micros()).unwrap_or(i64::MAX)
}

/// Look after lapses, for as long as the process lives; sleeps while no member stands.
pub async fn duty(node_state: Rc<NodeState>) {
    loop {
        if node_state.member_throttle.stand() {
            node_state.member_throttle.look(&node_state);
            tokio::time::sleep(DUTY).await;
        } else {
            node_state.member_throttle.changed.notified().await;
        }
    }
}

/// Find out whose a request is, and have it wait. Its body was taken but it was sent nowhere.
pub async fn throttle_request(
    node_state: &NodeState,
    asked: &RequestHead,
    route: &Route,
    id: &str,
    budget: i64,
    bytes: usize,
) -> ThrottleDecision {
    let members = &node_state.member_throttle;
    let directory = members.directory();
    let Some(header) = directory.header() else {
        return ThrottleDecision::Proceed { standing: None, delayed: 0 };
    };
    let member = match directory.identify(values(&asked.forwarded_lines, header)) {
        RequestIdentity::Member(member) => member,
        RequestIdentity::Anonymous => return ThrottleDecision::Proceed { standing: None, delayed: 0 },
        RequestIdentity::Reject => return ThrottleDecision::UnknownMember,
    };
    if member.plan == Plan::Full {
        return ThrottleDecision::Proceed { standing: None, delayed: 0 };
    }
    let from = node_state.now().as_micros();
    let standing = members.board.borrow().status(from, member).throttle_step;
    let kind = match route.kind {
        silvercross_mesh_config::RouteKind::Safe => RouteKind::Safe,
        silvercross_mesh_config::RouteKind::Unsafe => RouteKind::Unsafe,
        silvercross_mesh_config::RouteKind::Upload => RouteKind::Upload,
    };
    let terms = RequestThrottle::at_head(member, standing, kind, id.as_bytes(), route.latency_target, budget);
    let standing = terms.throttle_step();
    let wait = match terms.decision() {
        DelayDecision::Forward => return ThrottleDecision::Proceed { standing: Some(standing), delayed: 0 },
        DelayDecision::Reject { retry_after } => {
            members.turned.set(members.turned.get() + 1);
            return ThrottleDecision::Reject { standing, retry_after };
        }
        DelayDecision::Delay(wait) => wait,
    };
    let (to, released) = oneshot::channel();
    let parked = members.parked.borrow_mut().push(from, wait, bytes, to);
    let Ok(ticket) = parked else {
        return ThrottleDecision::Proceed { standing: Some(standing), delayed: 0 };
    };
    let seat = Seat(members, ticket);
    let tenth = (standing.step * 10).div_ceil(standing.total_steps.max(1)).min(10) as usize;
    members.waits[tenth].set(members.waits[tenth].get() + 1);
    let _ = tokio::time::timeout(Duration::from_micros(wait as u64), released).await;
    drop(seat);
    ThrottleDecision::Proceed {
        standing: Some(standing),
        delayed: (node_state.now().as_micros() - from).max(0),
    }
}

/// The values of a header among lines that go on.
fn values<'l>(lines: &'l [u8], header: &'l str) -> impl Iterator<Item = &'l [u8]> + 'l {
    lines.split(|b| *b == b'\n').filter_map(move |line| {
        let (name, value) = line.split_at_checked(header.len())?;
        let value = value.strip_prefix(b":").filter(|_| name.eq_ignore_ascii_case(header.as_bytes()))?;
        Some(value.trim_ascii())
    })
}

/// Put the step in an answer's lines; one that came from elsewhere is left out.
pub fn set_step_header(lines: &mut Vec<u8>, standing: Option<ThrottleStep>) {
    if values(lines, STEP).next().is_some() {
        let mut kept = Vec::with_capacity(lines.len());
        for line in lines.split_inclusive(|b| *b == b'\n') {
            if values(line, STEP).next().is_none() {
                kept.extend_from_slice(line);
            }
        }
        *lines = kept;
    }
    if let Some(standing) = standing {
        lines.extend_from_slice(format!("{STEP}: {standing}\r\n").as_bytes());
    }
}

fn row(node_state: &NodeState, member: &Member, owners: &BTreeMap<String, (u64, u64, u64)>) -> Value {
    let members = &node_state.member_throttle;
    let row = members.board.borrow().status(node_state.now().as_micros(), member);
    let due = match member.lapse_time {
        Some(LapseTime::At(at)) => Some(at),
        _ => members
            .told
            .borrow()
            .get(&member.name)
            .filter(|t| t.1.version == Some(member.version))
            .and_then(|t| t.1.due),
    };
    let owner = owners.get(&lapse_key(&member.name));
    json!({
        "name": member.name, "plan": if member.plan == Plan::Full { "full" } else { "trial" }, "edition": member.version,
        "step": row.throttle_step.step, "of": row.throttle_step.total_steps, "lapsed": row.begun,
        "ageS": row.age.map(|us| us as f64 / 1e6), "lapsesAt": due.map(|us| us as f64 / 1e6),
        "owner": owner.map(|r| Ipv4Addr::from_bits(r.1 as u32).to_string()), "round": owner.map(|r| r.0),
    })
}

/// The members as they stand on this node, and where the others can be asked the same.
pub fn list(node_state: &NodeState) -> Value {
    let directory = node_state.member_throttle.directory();
    let owners = node_state.revisions();
    let rows: Vec<Value> = directory.members().map(|member| row(node_state, member, &owners)).collect();
    let nodes: Vec<Value> = node_state.peers.membership(|r| {
        let there = r.records().filter(|n| !n.gone && n.body.control > 0);
        let at = |ip: u32, port: u16| format!("{}:{port}", Ipv4Addr::from_bits(ip));
        there
            .map(|n| json!({ "zone": n.zone, "core": n.is_control, "control": at(n.node.0, n.body.control) }))
            .collect()
    });
    let (stand, duty) = (node_state.member_throttle.stand(), node_state.member_throttle.duty.borrow());
    let clock = (node_state.settings.core && stand).then(
        || json!({ "known": duty.clock.wall_time(node_state.now().as_micros()).is_some(), "set": duty.clock.stepped(node_state.now().as_micros()) }),
    );
    json!({ "node": node_state.settings.node, "zone": node_state.settings.zone, "core": node_state.settings.core, "control": node_state.settings.control,
        "header": directory.header(), "clock": clock, "members": rows, "nodes": nodes })
}

/// A name out of a call's path, where `%20` stands for a blank.
pub fn plain(path: &str) -> Option<String> {
    let mut bytes = Vec::with_capacity(path.len());
    let mut rest = path.as_bytes();
    while let Some((first, after)) = rest.split_first() {
        if *first == b'%' {
            let code = std::str::from_utf8(after.get(..2)?).ok()?;
            bytes.push(u8::from_str_radix(code, 16).ok()?);
            rest = after.get(2..)?;
        } else {
            bytes.push(*first);
            rest = after;
        }
    }
    String::from_utf8(bytes).ok()
}

fn next_edition(item: &str) -> Result<Map<String, Value>, String> {
    let Ok(Value::Object(mut item)) = serde_json::from_str(item) else {
        return Err("the item can't be read (send it anew with Config.Patch)".to_string());
    };
    let version = item.get("edition").and_then(|e| e.as_u64().or_else(|| e.as_f64().map(|e| e as u64)));
    item.insert("edition".to_string(), json!(version.unwrap_or(0).saturating_add(1)));
    Ok(item)
}

fn patch(item: Map<String, Value>) -> String {
    json!({ "deliver": { "members": [item] } }).to_string()
}

/// The call that renews a member: its item at the next edition with what `body` changes of it. Without a body a trial that was
/// given for a span gets the same span again.
pub fn renewed(item: &str, body: &[u8]) -> Result<String, String> {
    const MAY: [&str; 4] = ["plan", "lapsesAt", "lapsesInS", "slowing"];
    let mut item = next_edition(item)?;
    let given = if body.trim_ascii().is_empty() { b"{}" } else { body };
    let Ok(Value::Object(given)) = serde_json::from_slice(given) else {
        return Err("the body is no JSON object (send {\"lapsesInS\":...} or nothing)".to_string());
    };
    if let Some(key) = given.keys().find(|key| !MAY.contains(&key.as_str())) {
        return Err(format!("{key}: is not changed by a renewal (give one of {MAY:?}, or use Config.Patch)"));
    }
    let full = given.get("plan").is_some_and(|plan| plan == "full");
    let when = given.contains_key("lapsesAt") || given.contains_key("lapsesInS");
    if !when && !full && item.get("lapsesInS").is_none_or(Value::is_null) {
        return Err("lapsesInS: is missing, and so are lapsesAt and plan (say until when)".to_string());
    }
    if when || full {
        item.remove("lapsesAt");
        item.remove("lapsesInS");
    }
    if when && !full {
        item.insert("plan".to_string(), json!("trial"));
    }
    item.extend(given);
    Ok(patch(item))
}

/// The call that ends a member's trial now.
pub fn lapsed(item: &str) -> Result<String, String> {
    let mut item = next_edition(item)?;
    item.remove("lapsesAt");
    item.insert("lapsesInS".to_string(), json!(0.001));
    item.insert("plan".to_string(), json!("trial"));
    Ok(patch(item))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_members_header_is_found_whole_and_a_foreign_step_is_left_out() {
        let lines = b"Club-Id: other\r\nclub:  k 1 \r\nX: club: no\r\nCLUB: two\r\n";
        let all: Vec<&[u8]> = values(lines, "club").collect();
        assert_eq!(all, [&b"k 1"[..], b"two"]);
        let mut lines = b"A: 1\r\nmember-step: 9/9\r\nB: 2\r\n".to_vec();
        set_step_header(&mut lines, Some(ThrottleStep { step: 3, total_steps: 24 }));
        assert_eq!(lines, b"A: 1\r\nB: 2\r\nMember-Step: 3/24\r\n");
    }

    #[test]
    fn a_renewal_keeps_the_item_and_raises_its_edition() {
        let item = r#"{"name":"ana b","key":"k","plan":"trial","lapsesAt":5,"edition":7,"note":"x"}"#;
        let read = |patch: String| {
            serde_json::from_str::<Value>(&patch).expect("JSON")["deliver"]["members"][0].clone()
        };
        let new = read(renewed(item, br#"{"lapsesInS":9}"#).expect("valid"));
        let wanted = json!({ "name": "ana b", "key": "k", "plan": "trial", "lapsesInS": 9, "edition": 8, "note": "x" });
        assert_eq!(new, wanted);
        assert_eq!(read(renewed(item, br#"{"plan":"full"}"#).expect("valid")).get("lapsesAt"), None);
        assert!(renewed(item, b"").is_err() && renewed(&new.to_string(), b"").is_ok());
        for body in [&b"[]"[..], b"{", br#"{"key":"other"}"#] {
            assert!(renewed(item, body).is_err());
        }
        assert_eq!(read(lapsed(item).expect("valid"))["lapsesInS"], 0.001);
        assert_eq!((plain("ana%20b").as_deref(), plain("a%2"), plain("%ff")), (Some("ana b"), None, None));
    }
}
