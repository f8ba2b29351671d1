//! Calls of upstreams, operators and the platform: each is declared beside its handler. One connection a task, one call at a
//! time on it.
use crate::control_value::{ControlChange, ControlValue, CONFIGURATION, EVACUATION};
use crate::event_stream;
use crate::member_throttle;
use crate::node_state::{ConnectionKind, GaugeGuard, Heartbeat, NodeState};
use crate::wire::{self, Connection, PeerKind, ReadError, RequestHead};
use serde_json::json;
use silvercross_control_store::CallOutcome;
use silvercross_net::http::Bad;
use slog::info;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::timeout;

/// A connection on which no call comes is closed after this.
const IDLE: Duration = Duration::from_secs(15);
/// A call comes whole within this.
const COMES: Duration = Duration::from_secs(5);
/// Connections at a time; those beyond it are closed.
const CONNECTIONS: u64 = 256;
/// Behind a last answer, what still comes is read away for so long.
const AFTER: Duration = Duration::from_millis(500);
/// No head is larger.
const HEAD: usize = 16 * 1024;

/// No reason is longer: it may quote what was sent, and an upstream reads no answer of over 4 KiB.
const WHY: usize = 512;

/// What a caller is answered.
pub struct Said {
    status: u16,
    lines: String,
    body: String,
    /// Where to go instead.
    to: Option<String>,
}

impl Said {
    fn json(status: u16, body: String) -> Self {
        Said { status, lines: "Content-Type: application/json\r\n".to_string(), body, to: None }
    }

    fn fault(status: u16, why: &str) -> Self {
        let why = &why[..why.floor_char_boundary(WHY)];
        Said::json(status, json!({ "error": why }).to_string())
    }

    fn ok() -> Self {
        Said::json(200, "{}".to_string())
    }

    fn later() -> Self {
        let mut said = Said::fault(503, "not settled here now (send it again, anywhere)");
        said.lines.push_str("Retry-After: 0.2\r\n");
        said
    }
}

type Answering<'c> = Pin<Box<dyn Future<Output = Said> + 'c>>;

/// A call that may be made: method, path with `{}` where a name stands, and who answers.
pub struct Call {
    method: &'static str,
    path: &'static str,
    run: for<'c> fn(&'c Rc<NodeState>, &'c str, &'c [u8]) -> Answering<'c>,
}

macro_rules! call {
    ($name:ident, $method:literal, $path:literal, $run:ident) => {
        #[doc = concat!("`", $method, " ", $path, "`")]
        pub const $name: Call = Call {
            method: $method,
            path: $path,
            run: |node_state, name, body| Box::pin($run(node_state, name, body)),
        };
    };
}

/// All calls at `control`.
pub const CALLS: [&Call; 11] = [
    &HEARTBEAT,
    &SIGN_OFF,
    &PATCH,
    &GET,
    &EVACUATE_START,
    &EVACUATE_END,
    &STATE,
    &FIGURES,
    &MEMBERS_LIST,
    &MEMBERS_RENEW,
    &MEMBERS_LAPSE,
];
/// All calls at `ready`.
pub const READY_CALLS: [&Call; 2] = [&READY, &FIGURES];

call!(HEARTBEAT, "POST", "/-/Stations.Heartbeat/{}", heartbeat);
async fn heartbeat(node_state: &Rc<NodeState>, id: &str, body: &[u8]) -> Said {
    if node_state.settings.station.is_none() {
        return Said::fault(404, "no upstream belongs to this machine (call the sidecar beside it)");
    }
    match serde_json::from_slice::<Heartbeat>(body) {
        Ok(beat) => {
            if node_state.upstream_heartbeat(id, beat) {
                Said::ok()
            } else {
                Said::fault(409, "this life has signed off (start under another id)")
            }
        }
        Err(e) => Said::fault(400, &format!("the beat can't be read: {e}")),
    }
}

call!(SIGN_OFF, "POST", "/-/Stations.SignOff/{}", sign_off);
async fn sign_off(node_state: &Rc<NodeState>, id: &str, _: &[u8]) -> Said {
    node_state.upstream_signed_off(id);
    Said::ok()
}

call!(PATCH, "POST", "/-/Config.Patch", patch);
async fn patch(node_state: &Rc<NodeState>, _: &str, body: &[u8]) -> Said {
    patched(node_state, body, "/-/Config.Patch").await
}

async fn patched(node_state: &Rc<NodeState>, body: &[u8], path: &str) -> Said {
    let order = match silvercross_mesh_config::parse_update(body) {
        Ok(call) if call.members.is_empty() => ControlChange::Patch(call.configuration),
        Ok(call) => ControlChange::Call(Box::new(call)),
        Err(fault) => return Said::fault(400, &fault.to_string()),
    };
    ordered(node_state, CONFIGURATION, order, path).await
}

call!(GET, "GET", "/-/Config.Get", get);
async fn get(node_state: &Rc<NodeState>, _: &str, _: &[u8]) -> Said {
    match node_state.peers.ask(node_state, CONFIGURATION, None).await {
        Some(CallOutcome::Value { value: ControlValue::Configuration(c), .. }) => {
            Said::json(200, c.to_json())
        }
        Some(CallOutcome::Value { value: ControlValue::Whole(w), .. }) => Said::json(200, w.to_json()),
        Some(CallOutcome::Value { .. }) => Said::json(200, "{}".to_string()),
        Some(_) => Said::later(),
        None => elsewhere(node_state, "/-/Config.Get"),
    }
}

call!(EVACUATE_START, "POST", "/-/Evacuate.Start/{}", evacuate_start);
async fn evacuate_start(node_state: &Rc<NodeState>, zone: &str, _: &[u8]) -> Said {
    evacuate(node_state, zone, true).await
}

call!(EVACUATE_END, "POST", "/-/Evacuate.End/{}", evacuate_end);
async fn evacuate_end(node_state: &Rc<NodeState>, zone: &str, _: &[u8]) -> Said {
    evacuate(node_state, zone, false).await
}

async fn evacuate(node_state: &Rc<NodeState>, zone: &str, on: bool) -> Said {
    if !node_state.settings.zones.iter().any(|z| z == zone) {
        return Said::fault(
            400,
            &format!("zone {zone:?}: unknown (name one of {:?})", node_state.settings.zones),
        );
    }
    let path = format!("/-/Evacuate.{}/{zone}", if on { "Start" } else { "End" });
    ordered(node_state, &format!("{EVACUATION}{zone}"), ControlChange::Evacuate(on), &path).await
}

async fn ordered(node_state: &Rc<NodeState>, key: &str, order: ControlChange, path: &str) -> Said {
    node_state.counters.control_calls.set(node_state.counters.control_calls.get() + 1);
    let _open = GaugeGuard::new(node_state, |c| &c.open_control_calls);
    match node_state.peers.ask(node_state, key, Some(order)).await {
        Some(CallOutcome::Committed { revision, changed }) => {
            if changed {
                info!(node_state.log, "acknowledged"; "key" => key, "round" => revision.epoch.round, "change" => revision.sequence);
            }
            Said::ok()
        }
        Some(CallOutcome::Rejected(refusal)) => {
            if let Some(n) = node_state.refusals.due(node_state.now().as_micros()) {
                info!(node_state.log, "refused"; "key" => key, "why" => &refusal.reason, "count" => n);
            }
            if let Some(event_stream) = node_state.event_stream.get() {
                event_stream.refused(node_state, key, &refusal.reason);
            }
            Said::fault(if refusal.conflict { 409 } else { 400 }, &refusal.reason)
        }
        Some(CallOutcome::Value { .. } | CallOutcome::Unknown) => Said::later(),
        None => elsewhere(node_state, path),
    }
}

/// Callers follow so many redirections, and no more.
const FOLLOWED: u32 = 2;
/// In the address that a caller is sent to: how often it was sent on.
const VIA: &str = "via";

/// How often this call was sent on before.
fn sent_on(target: &str) -> u32 {
    let query = target.split_once('?').map_or("", |(_, query)| query);
    let via = query.split('&').find_map(|p| p.strip_prefix(VIA)?.strip_prefix('='));
    via.map_or(0, |n| n.parse().unwrap_or(FOLLOWED))
}

/// A caller is sent on no oftener than it follows: machines may each take the other for one that holds the ledger, while what they
/// know of each other is old.
fn bounded(mut said: Said, target: &str) -> Said {
    let Some(to) = said.to.take() else { return said };
    let n = sent_on(target);
    if n >= FOLLOWED {
        return Said::later();
    }
    said.lines.push_str(&format!("Location: {to}?{VIA}={}\r\n", n + 1));
    said
}

/// This machine holds no ledger: one that does is named.
fn elsewhere(node_state: &NodeState, path: &str) -> Said {
    match node_state.control_address() {
        Some(at) => {
            let to = Some(format!("http://{at}{path}"));
            Said { status: 307, lines: String::new(), body: String::new(), to }
        }
        None => Said::later(),
    }
}

call!(STATE, "GET", "/-/Post.State", state);
async fn state(node_state: &Rc<NodeState>, _: &str, _: &[u8]) -> Said {
    Said::json(200, crate::metrics::state(node_state).to_string())
}

call!(FIGURES, "GET", "/-/Post.Figures", figures);
async fn figures(node_state: &Rc<NodeState>, _: &str, _: &[u8]) -> Said {
    Said::json(200, crate::metrics::figures(node_state).to_string())
}

call!(MEMBERS_LIST, "GET", "/-/Members.List", members_list);
async fn members_list(node_state: &Rc<NodeState>, _: &str, _: &[u8]) -> Said {
    Said::json(200, member_throttle::list(node_state).to_string())
}

call!(MEMBERS_RENEW, "POST", "/-/Members.Renew/{}", members_renew);
async fn members_renew(node_state: &Rc<NodeState>, name: &str, body: &[u8]) -> Said {
    member_changed(node_state, "/-/Members.Renew/", name, |item| member_throttle::renewed(item, body)).await
}

call!(MEMBERS_LAPSE, "POST", "/-/Members.Lapse/{}", members_lapse);
async fn members_lapse(node_state: &Rc<NodeState>, name: &str, _: &[u8]) -> Said {
    member_changed(node_state, "/-/Members.Lapse/", name, member_throttle::lapsed).await
}

/// Read a member's item as it stands, change it, and send it at the next edition. Of two that do so at once, one holds and
/// the other is a conflict, unless both say the same.
async fn member_changed(
    node_state: &Rc<NodeState>,
    call: &str,
    name: &str,
    change: impl FnOnce(&str) -> Result<String, String>,
) -> Said {
    let path = format!("{call}{name}");
    let whole = match node_state.peers.ask(node_state, CONFIGURATION, None).await {
        Some(CallOutcome::Value { value: ControlValue::Whole(whole), .. }) => whole,
        Some(CallOutcome::Value { .. }) => return Said::fault(404, "no member was ever sent"),
        Some(_) => return Said::later(),
        None => return elsewhere(node_state, &path),
    };
    let Some(item) = member_throttle::plain(name).and_then(|name| whole.member_list.raw_json(&name)) else {
        return Said::fault(404, &format!("{name:?} is no member here (see /-/Members.List)"));
    };
    match change(item) {
        Ok(patch) => patched(node_state, patch.as_bytes(), &path).await,
        Err(why) => Said::fault(400, &why),
    }
}

call!(READY, "GET", "/-/ready", ready);
async fn ready(node_state: &Rc<NodeState>, _: &str, _: &[u8]) -> Said {
    match node_state.unready() {
        None => Said::json(200, "{\"ready\":true}".to_string()),
        Some(why) => {
            node_state.count_not_ready_reply();
            Said::fault(503, why)
        }
    }
}

fn find<'c>(calls: &'c [&'c Call], method: &str, target: &str) -> Result<(&'c Call, String), u16> {
    let path = target.split('?').next().unwrap_or("");
    let mut known = false;
    for call in calls {
        let name = match call.path.strip_suffix("{}") {
            Some(before) => path.strip_prefix(before).filter(|n| !n.is_empty() && !n.contains('/')),
            None => (path == call.path).then_some(""),
        };
        let Some(name) = name else { continue };
        if call.method == method {
            return Ok((call, name.to_string()));
        }
        known = true;
    }
    Err(if known { 405 } else { 404 })
}

/// Take calls, for as long as the process lives.
pub async fn listen(node_state: Rc<NodeState>, listener: TcpListener, calls: &'static [&'static Call]) {
    let open = Rc::new(std::cell::Cell::new(0));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        if open.get() >= CONNECTIONS {
            node_state.reject_connection(ConnectionKind::Call);
            continue;
        }
        open.set(open.get() + 1);
        let (node_state, open) = (node_state.clone(), open.clone());
        tokio::task::spawn_local(async move {
            let mut line = Connection::new(stream, PeerKind::External(HEAD));
            let event_stream = loop {
                match one(&node_state, &mut line, calls).await {
                    Next::Call => {}
                    Next::End => break None,
                    Next::EventStream(asked, body) => break Some((asked, body)),
                }
            };
            open.set(open.get() - 1);
            // Readers of the feed have a bound of their own.
            if let Some((asked, body)) = event_stream {
                event_stream::serve(node_state, line, *asked, body).await;
            }
        });
    }
}

/// What follows on a connection.
enum Next {
    Call,
    End,
    EventStream(Box<RequestHead>, Vec<u8>),
}

async fn one(node_state: &Rc<NodeState>, line: &mut Connection, calls: &[&Call]) -> Next {
    let asked = match line.read_request_head(IDLE, COMES, silvercross_mesh_config::MAX_BODY_BYTES).await {
        Ok(asked) => asked,
        Err(ReadError::Invalid(bad)) => {
            return refused(line, &bad).await;
        }
        Err(_) => return Next::End,
    };
    if asked.expects_continue && line.write(b"HTTP/1.1 100 Continue\r\n\r\n").await.is_err() {
        return Next::End;
    }
    let body =
        match timeout(COMES, line.read_body(asked.framing, silvercross_mesh_config::MAX_BODY_BYTES)).await {
            Ok(Ok(body)) => body,
            Ok(Err(ReadError::Invalid(bad))) => {
                return refused(line, &bad).await;
            }
            _ => return Next::End,
        };
    if event_stream::meant(&asked) && find(calls, "GET", STATE.path).is_ok() {
        return Next::EventStream(Box::new(asked), body);
    }
    let said = match find(calls, &asked.method, &asked.target) {
        Ok((call, name)) => bounded((call.run)(node_state, &name, &body).await, &asked.target),
        Err(status) => Said::fault(status, "no such call"),
    };
    // Who calls again goes elsewhere.
    let close = !asked.keep_alive || node_state.stopping();
    let bytes = wire::encode_response(said.status, said.lines.as_bytes(), said.body.as_bytes(), close, false);
    if line.write(&bytes).await.is_ok() && !close {
        Next::Call
    } else {
        Next::End
    }
}

/// A call that can't be read: say why. What still comes of it is read away, else the close would reset and cost the answer.
async fn refused(line: &mut Connection, bad: &Bad) -> Next {
    let bytes = wire::encode_response(wire::error_status(bad), b"", b"", true, false);
    if line.write(&bytes).await.is_ok() {
        line.close_gracefully(AFTER).await;
    }
    Next::End
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::tests::support::{self, SidecarOptions, TestConnection};

    #[test]
    fn calls_beyond_the_bound_are_closed_and_counted() {
        support::run(async {
            let (_, nobody) = support::station().await;
            let sidecar = support::sidecar(1, nobody, SidecarOptions::default()).await;
            let (listener, at) = support::station().await;
            tokio::task::spawn_local(listen(sidecar.node_state.clone(), listener, &READY_CALLS));
            let mut open = Vec::new();
            for _ in 0..CONNECTIONS {
                open.push(TestConnection::to(at).await);
            }
            assert_eq!(TestConnection::to(at).await.more().await, 0);
            assert_eq!(sidecar.node_state.counters.rejected_calls.get(), 1);
            open[0].say(b"GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n").await;
            assert_eq!(support::status(&open[0].head().await), "200");
        });
    }
}
