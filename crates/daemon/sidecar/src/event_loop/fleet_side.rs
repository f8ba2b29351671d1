//! Sockets towards other sidecars of the fleet: datagrams read and sent, exchanges of the full state begun and answered,
//! membership events passed to the balancer. Who is a live member is decided in `crates/control/swim`. Work for other sidecars
//! comes after responses to clients, and is limited in each iteration of the loop.
use super::{EventLoop, Wake};
use crate::lifecycle::fleet::{Folder, Peers};
use crate::wire::fleet::{Conn, Got};
use silvercross_core::interface::Micros;
use silvercross_facade::{DiscoveryEvent, Health};
use silvercross_net::registry::{Interest, Registry, Watched};
use silvercross_swim::{Event, Members, State};
use slog::{debug, info, warn};
use socket2::{Domain, Protocol, Socket, Type};
use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};

const DATAGRAM_KEY: usize = usize::MAX - 5;
const LISTENER_KEY: usize = usize::MAX - 6;
const FIRST_SLOT_KEY: usize = usize::MAX - 256;
/// Maximum number of connections at a time: exchanges begun here or by other members, and connections that carry other
/// members' batches for the records.
const MAX_SLOTS: usize = 128;
/// Maximum number of datagrams read in one iteration of the loop.
const MAX_DATAGRAMS_PER_TURN: usize = 64;
/// An exchange that takes longer is given up.
const EXCHANGE_TIMEOUT: Micros = 5_000_000;
/// A connection on which no batch has arrived for this long is closed; the other member can open a new one.
const BATCH_IDLE_TIMEOUT: Micros = 30_000_000;
/// The number of sidecars that send requests, by which the balancer divides shared budgets, is lowered only after it has not
/// changed for this many protocol periods; it is raised at once.
const FEWER_SENDERS_DELAY_PERIODS: i64 = 10;
/// The addresses of other members that are stored for this member's next start are updated once per this many protocol
/// periods.
const FOLDER_UPDATE_PERIODS: i64 = 10;
/// Maximum length of a datagram that is read, in bytes.
const MAX_DATAGRAM_BYTES: usize = 2048;

/// A member's sockets and its membership.
pub struct Fleet {
    pub(super) members: Members,
    datagrams: Watched<UdpSocket>,
    listener: Watched<TcpListener>,
    slots: [Option<Conn>; MAX_SLOTS],
    /// Storage of this member's identity and of other members' addresses for its next start; `None`: nothing is stored.
    folder: Option<Folder>,
    address: SocketAddr,
    period: Micros,
    /// When membership is to be advanced next.
    due: Micros,
    /// Number of senders according to the settings.
    configured_senders: u32,
    /// Number of senders according to membership that is not in force yet, and from when it applies if it is smaller than the
    /// present one.
    pending_senders: Option<(u32, Micros)>,
    /// When the addresses in `folder` are updated next.
    folder_update_at: Micros,
}

impl Fleet {
    /// Registers the sockets with the poller.
    pub fn new(peers: Peers, registry: &Registry, configured_senders: u32) -> io::Result<Self> {
        Ok(Fleet {
            members: peers.members,
            datagrams: registry.watch(peers.datagrams, DATAGRAM_KEY, Interest::Read)?,
            listener: registry.watch(peers.listener, LISTENER_KEY, Interest::Read)?,
            slots: std::array::from_fn(|_| None),
            folder: peers.folder,
            address: peers.at,
            period: peers.period,
            due: Micros::MAX,
            configured_senders,
            pending_senders: None,
            folder_update_at: 0,
        })
    }

    /// Whether a poller key belongs to the fleet's sockets.
    pub fn is_key(key: usize) -> bool {
        key == DATAGRAM_KEY
            || key == LISTENER_KEY
            || (FIRST_SLOT_KEY..FIRST_SLOT_KEY + MAX_SLOTS).contains(&key)
    }
}

/// Begins a connection from the address that this member listens on, by which the other members know it.
fn connect(from: SocketAddr, to: SocketAddr) -> io::Result<std::net::TcpStream> {
    let socket = Socket::new(Domain::for_address(to), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_nonblocking(true)?;
    socket.set_tcp_nodelay(true)?;
    if from.is_ipv4() == to.is_ipv4() {
        socket.bind(&SocketAddr::new(from.ip(), 0).into())?;
    }
    match socket.connect(&to.into()) {
        // Being established: `EINPROGRESS`, 115 on Linux, has no `ErrorKind`.
        Err(e) if e.kind() != io::ErrorKind::WouldBlock && e.raw_os_error() != Some(115) => Err(e),
        _ => Ok(socket.into()),
    }
}

impl EventLoop {
    pub(super) fn fleet_ready(&mut self, key: usize) {
        match key {
            DATAGRAM_KEY => self.read_datagrams(),
            LISTENER_KEY => self.accept_exchanges(),
            key => self.exchange_ready(key - FIRST_SLOT_KEY),
        }
        self.advance_membership();
    }

    fn read_datagrams(&mut self) {
        let now = self.balancer.now();
        let Some(fleet) = &mut self.fleet else { return };
        let mut bytes = [0; MAX_DATAGRAM_BYTES];
        for _ in 0..MAX_DATAGRAMS_PER_TURN {
            match fleet.datagrams.get().recv_from(&mut bytes) {
                Ok((n, _)) => fleet.members.handle_datagram(now, &bytes[..n]),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                // The error of an earlier datagram whose destination does not listen any more; probes will detect that.
                Err(_) => {}
            }
        }
    }

    fn accept_exchanges(&mut self) {
        let (now, registry) = (self.balancer.now(), self.registry.clone());
        let Some(fleet) = &mut self.fleet else { return };
        for _ in 0..MAX_SLOTS {
            let Ok((socket, _)) = fleet.listener.get().accept() else { return };
            let slot = fleet.slot();
            fleet.slots[slot] = None;
            let watched = socket
                .set_nonblocking(true)
                .and_then(|()| registry.watch(socket, FIRST_SLOT_KEY + slot, Interest::Read));
            fleet.slots[slot] = watched.ok().map(|s| Conn::accepted(s, now));
        }
    }

    fn exchange_ready(&mut self, slot: usize) {
        let now = self.balancer.now();
        let Some(fleet) = &mut self.fleet else { return };
        let Some(Some(conn)) = fleet.slots.get_mut(slot) else { return };
        let mut got = conn.advance();
        while let Got::Batch(bytes) = got {
            let taken = self.batch_received(now, &bytes);
            let Some(Some(conn)) = self.fleet.as_mut().and_then(|f| f.slots.get_mut(slot)) else { return };
            got = if taken { conn.acknowledge_batch(now) } else { Got::Ended };
            self.records_pending = true;
        }
        let Some(fleet) = &mut self.fleet else { return };
        let Some(Some(conn)) = fleet.slots.get_mut(slot) else { return };
        let stays = match got {
            Got::Nothing | Got::Batch(_) => true,
            Got::Ended => false,
            Got::Body(body) if conn.is_initiator() => {
                if let Err(bad) = fleet.members.handle_exchange_response(now, &body) {
                    debug!(self.log, "the response to an exchange was invalid"; "why" => ?bad);
                }
                false
            }
            Got::Body(body) => match fleet.members.handle_exchange(now, &body) {
                Ok(answer) => conn.answer(200, &answer) != Got::Ended,
                Err(bad) => {
                    debug!(self.log, "an exchange was invalid"; "why" => ?bad);
                    conn.answer(400, b"") != Got::Ended
                }
            },
        };
        if !stays {
            fleet.slots[slot] = None;
        }
    }

    /// Advances membership to the present time, sends its datagrams, begins its exchanges and handles its events.
    pub(super) fn advance_membership(&mut self) {
        let (now, registry) = (self.balancer.now(), self.registry.clone());
        let Some(fleet) = &mut self.fleet else { return };
        fleet.members.tick(now);
        while let Some((to, bytes)) = fleet.members.poll_send() {
            // A datagram that the kernel does not accept is lost, as any datagram may be.
            let _ = fleet.datagrams.get().send_to(&bytes, to);
        }
        for slot in &mut fleet.slots {
            *slot = slot
                .take()
                .filter(|c| c.since + if c.persistent { BATCH_IDLE_TIMEOUT } else { EXCHANGE_TIMEOUT } > now);
        }
        while let Some(exchange) = fleet.members.poll_exchange() {
            let slot = fleet.slot();
            fleet.slots[slot] = None;
            let made = connect(fleet.address, exchange.to)
                .and_then(|socket| registry.watch(socket, FIRST_SLOT_KEY + slot, Interest::Both));
            fleet.slots[slot] = made.ok().map(|s| Conn::initiate(s, now, &exchange.bytes));
        }
        let mut events = Vec::new();
        while let Some(event) = fleet.members.poll_event() {
            events.push(event);
        }
        if let Some(folder) = fleet.folder.as_mut().filter(|_| now >= fleet.folder_update_at) {
            fleet.folder_update_at = now + FOLDER_UPDATE_PERIODS * fleet.period;
            folder.keep(fleet.members.others().map(|s| s.record.at).collect());
        }
        events.into_iter().for_each(|e| self.membership_event(now, e));
        self.apply_senders(now);
        self.wake_for_fleet(now);
        self.run_steps();
    }

    fn wake_for_fleet(&mut self, now: Micros) {
        let Some(fleet) = &mut self.fleet else { return };
        let smaller = fleet.pending_senders.map_or(Micros::MAX, |s| s.1);
        // At least 1 ms from now: with a timer that is always due the loop would never wait for sockets.
        let wake = fleet.members.next_deadline().min(smaller).max(now + 1_000);
        if wake < fleet.due || fleet.due <= now {
            fleet.due = wake;
            self.balancer.set_timer(wake, Wake::Fleet);
        }
    }

    /// The timer has expired; one that was set earlier than the present one is ignored.
    pub(super) fn fleet_timer_expired(&mut self) {
        let now = self.balancer.now();
        if self.fleet.as_ref().is_some_and(|f| f.due <= now) {
            self.advance_membership();
        }
    }

    fn membership_event(&mut self, now: Micros, event: Event) {
        let Some(fleet) = &mut self.fleet else { return };
        match event {
            Event::View(view) => {
                let (live, failed) = fleet.members.size();
                if let Some(n) = fleet.members.senders() {
                    fleet.pending_senders =
                        Some((n as u32, now + FEWER_SENDERS_DELAY_PERIODS * fleet.period));
                }
                if self.view_log_pacing.pass(now).is_some() || self.fleet_view != Some(view) {
                    info!(self.log, "this member's view of the fleet or the number of senders changed"; "view" => view.name(), "live" => live, "failed" => failed);
                }
                self.fleet_view = Some(view);
            }
            Event::Changed { id, name, state, by } => {
                if state == State::Suspect {
                    debug!(self.log, "a member is suspected to have failed"; "name" => name, "id" => id.to_string(), "state" => state.name(), "by" => by.to_string());
                } else if let Some(before) = self.member_log_pacing.pass(now) {
                    // `untold`: lines suppressed since the previous one.
                    info!(self.log, "a member's state changed"; "name" => name, "id" => id.to_string(), "state" => state.name(), "by" => by.to_string(),
                        "untold" => before);
                }
            }
            Event::Drain(d) => {
                info!(self.log, "another sidecar reports that an upstream drains"; "host" => &d.host, "seq" => d.seq);
                let decision = self.balancer.peer_reported_drain(&d.host, d.born_ms, true);
                self.queue_steps(decision);
            }
            Event::Refuted(state) => {
                // `held`: the state in which another member reported this one.
                info!(self.log, "this member was reported as suspect or failed, and refuted it"; "held" => state.name());
            }
            Event::StoodDown { same_identity, other } => {
                warn!(self.log, "this process leaves the fleet and continues to serve"; "same_identity" => same_identity,
                    "other" => other.to_string(), "why" => "another process has its identity or its name");
            }
            Event::DuplicateMember { same_identity, other } => {
                warn!(self.log, "another process has this member's identity or name and must leave the fleet";
                    "same_identity" => same_identity, "other" => other.to_string());
            }
        }
    }

    /// Applies a greater number of senders at once and a smaller one after a delay: with too small a number each sidecar would
    /// send too much to cold upstreams.
    fn apply_senders(&mut self, now: Micros) {
        let Some(fleet) = &mut self.fleet else { return };
        let Some((n, at)) = fleet.pending_senders else { return };
        if n < self.balancer.instances() && now < at {
            return;
        }
        fleet.pending_senders = None;
        let decision = self.balancer.set_instances(n);
        self.queue_steps(decision);
    }

    /// New settings contain a number of senders: membership's number applies again after the delay, or at once if greater.
    pub(super) fn fleet_reconfigured(&mut self) {
        let now = self.balancer.now();
        if let Some(fleet) = &mut self.fleet {
            fleet.configured_senders = self.balancer.instances();
            if let Some(n) = fleet.members.senders() {
                fleet.pending_senders = Some((n as u32, now + FEWER_SENDERS_DELAY_PERIODS * fleet.period));
            }
        }
    }

    /// Discovery has sent a list. Drains that other sidecars reported and that are newer than the list are put into it; older
    /// ones are over.
    pub(super) fn apply_reported_drains(&mut self, seq: u64, news: &mut DiscoveryEvent) {
        let DiscoveryEvent::List { whole, hosts } = news else { return };
        let Some(fleet) = &mut self.fleet else { return };
        let entries = hosts.iter().map(|h| (h.name.as_str(), h.started_ms, h.health == Health::Draining));
        let ended = fleet.members.update_endpoint_list(seq, *whole, entries);
        for h in hosts.iter_mut().filter(|h| h.health == Health::Ready) {
            if fleet.members.is_draining(&h.name, h.started_ms) || self.ordered_drains.contains(&h.name) {
                h.health = Health::Draining;
            }
        }
        for d in ended.iter().filter(|d| !hosts.iter().any(|h| h.name == d.host)) {
            let decision = self.balancer.peer_reported_drain(&d.host, d.born_ms, false);
            self.queue_steps(decision);
        }
    }

    /// Announces a planned stop to the other members.
    pub(super) fn leave_fleet(&mut self) {
        if let Some(fleet) = &mut self.fleet {
            fleet.members.leave();
        }
        self.advance_membership();
    }

    /// This member's view of the fleet, as JSON.
    pub(super) fn fleet_json(&self) -> Option<String> {
        let fleet = self.fleet.as_ref()?;
        let (m, now) = (&fleet.members, self.balancer.now());
        let (live, failed) = m.size();
        let others: Vec<serde_json::Value> = m
            .others()
            .map(|s| {
                serde_json::json!({
                    "id": s.record.id.to_string(), "name": s.record.name, "zone": s.record.zone, "at": s.record.at.to_string(),
                    "state": s.state.name(), "incarnation": s.record.incarnation.0, "since_s": (now - s.since) as f64 / 1e6,
                    "heard_s": s.heard_at.map(|h| (now - h) as f64 / 1e6), "by": s.reported_by.to_string(),
                })
            })
            .collect();
        let f = &m.metrics;
        let figures = serde_json::json!({
            "sent": f.sent, "sent_bytes": f.sent_bytes, "taken": f.accepted, "came_bytes": f.received_bytes, "strange": f.foreign,
            "spoilt": f.corrupt, "version": f.unsupported_version, "replayed": f.replayed, "flood": f.rate_limited, "unsent": f.send_queue_full,
            "turned_away": f.rejected_members, "probes": f.probes, "late": f.late_probes, "suspected": f.suspected,
            "refuted": f.refuted, "failed": f.failed, "refutations": f.refutations, "overslept": f.pauses,
            "exchanges": f.exchanges, "exchanged_bytes": f.exchanged_bytes,
        });
        let me = m.me();
        let json = serde_json::json!({
            "id": me.id.to_string(), "name": me.name, "at": me.at.to_string(), "incarnation": me.incarnation.0,
            "view": m.view().name(), "live": live, "failed": failed, "senders": m.senders(),
            "senders_in_force": self.balancer.instances(), "senders_configured": fleet.configured_senders,
            "digest": format!("{:016x}", m.digest()), "doubt": m.local_health_multiplier(),
            "drains": m.draining_hosts().collect::<Vec<_>>(), "others": others, "figures": figures,
        });
        Some(json.to_string() + "\n")
    }

    /// The fleet's metrics.
    pub(super) fn fleet_metrics(&self) -> String {
        let Some(fleet) = &self.fleet else { return String::new() };
        let (m, f) = (&fleet.members, &fleet.members.metrics);
        let mut out = String::new();
        for state in [State::Alive, State::Suspect, State::Failed, State::Left] {
            let n = m.others().filter(|s| s.state == state).count() + usize::from(state == State::Alive);
            out += &format!("svc_members{{state=\"{}\"}} {n}\n", state.name());
        }
        let dropped = [
            ("strange", f.foreign),
            ("spoilt", f.corrupt),
            ("version", f.unsupported_version),
            ("replayed", f.replayed),
            ("flood", f.rate_limited),
        ];
        for (why, n) in dropped {
            out += &format!("svc_members_dropped_total{{reason=\"{why}\"}} {n}\n");
        }
        for (what, n) in [
            ("probes_late_total", f.late_probes),
            ("suspicions_total", f.suspected),
            ("refuted_total", f.refuted),
            ("sent_bytes_total", f.sent_bytes + f.exchanged_bytes),
            ("doubt", u64::from(m.local_health_multiplier())),
            ("drains_heard", m.reported_drains() as u64),
        ] {
            out += &format!("svc_members_{what} {n}\n");
        }
        out + &format!("svc_members_view{{view=\"{}\"}} 1\n", m.view().name())
    }
}

impl Fleet {
    /// Begins a connection to another member.
    pub(super) fn connect_to(&self, to: SocketAddr) -> io::Result<std::net::TcpStream> {
        connect(self.address, to)
    }

    /// A free slot, or the one that has been in use for longest.
    fn slot(&self) -> usize {
        let longest = |(i, s): (usize, &Option<Conn>)| (s.as_ref().map_or(Micros::MIN, |c| c.since), i);
        self.slots.iter().enumerate().map(longest).min().map_or(0, |(_, i)| i)
    }
}
