//! The loop's side towards other sidecars of the fleet: datagrams read and sent, exchanges begun and answered, what membership
//! says handed to the facade. It translates; who is there is decided in `crates/control/swim`. Work for peers comes after answers
//! to clients, and is bounded in each turn.
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

const DATAGRAMS: usize = usize::MAX - 5;
const LISTENER: usize = usize::MAX - 6;
const SEAT_0: usize = usize::MAX - 256;
/// Exchanges at a time, begun here and elsewhere, and peers that say what they have to say beside membership.
const SEATS: usize = 128;
/// Datagrams read in one turn of the loop.
const A_TURN: usize = 64;
/// An exchange that takes longer is given up, in microseconds.
const EXCHANGE: Micros = 5_000_000;
/// A peer that has said nothing for so long may come again.
const SILENT: Micros = 30_000_000;
/// A smaller number of senders holds once nothing has changed for so many periods; a greater one at once.
const AGED: Micros = 10;
/// The folder's list of others is looked at so often, in periods.
const KEEP: Micros = 10;
/// A datagram is no longer than this, whatever comes.
const DATAGRAM: usize = 2048;

/// A member's sockets and what it decides by.
pub struct Fleet {
    pub(super) members: Members,
    datagrams: Watched<UdpSocket>,
    listener: Watched<TcpListener>,
    seats: [Option<Conn>; SEATS],
    folder: Option<Folder>,
    at: SocketAddr,
    period: Micros,
    /// When the loop is to come back to it.
    due: Micros,
    /// The number of senders by the settings, a smaller one that is due, and when.
    configured: u32,
    smaller: Option<(u32, Micros)>,
    keep_at: Micros,
}

impl Fleet {
    /// Everything watched.
    pub fn new(peers: Peers, registry: &Registry, configured: u32) -> io::Result<Self> {
        Ok(Fleet {
            members: peers.members,
            datagrams: registry.watch(peers.datagrams, DATAGRAMS, Interest::Read)?,
            listener: registry.watch(peers.listener, LISTENER, Interest::Read)?,
            seats: std::array::from_fn(|_| None),
            folder: peers.folder,
            at: peers.at,
            period: peers.period,
            due: Micros::MAX,
            configured,
            smaller: None,
            keep_at: 0,
        })
    }

    /// Whether a readiness is the fleet's.
    pub fn is_key(key: usize) -> bool {
        key == DATAGRAMS || key == LISTENER || (SEAT_0..SEAT_0 + SEATS).contains(&key)
    }
}

/// A connection on its way, from the address that this member listens at: its peers know it by that.
fn connect(from: SocketAddr, to: SocketAddr) -> io::Result<std::net::TcpStream> {
    let socket = Socket::new(Domain::for_address(to), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_nonblocking(true)?;
    socket.set_tcp_nodelay(true)?;
    if from.is_ipv4() == to.is_ipv4() {
        socket.bind(&SocketAddr::new(from.ip(), 0).into())?;
    }
    match socket.connect(&to.into()) {
        // Under way: `EINPROGRESS`, 115 on Linux, has no kind of its own.
        Err(e) if e.kind() != io::ErrorKind::WouldBlock && e.raw_os_error() != Some(115) => Err(e),
        _ => Ok(socket.into()),
    }
}

impl EventLoop {
    pub(super) fn fleet_ready(&mut self, key: usize) {
        match key {
            DATAGRAMS => self.read_datagrams(),
            LISTENER => self.accept_exchanges(),
            key => self.exchange_ready(key - SEAT_0),
        }
        self.mind_fleet();
    }

    fn read_datagrams(&mut self) {
        let now = self.balancer.now();
        let Some(fleet) = &mut self.fleet else { return };
        let mut bytes = [0; DATAGRAM];
        for _ in 0..A_TURN {
            match fleet.datagrams.get().recv_from(&mut bytes) {
                Ok((n, _)) => fleet.members.handle_datagram(now, &bytes[..n]),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                // What an earlier datagram met at its end, told here: that end is gone, and probes will show it.
                Err(_) => {}
            }
        }
    }

    fn accept_exchanges(&mut self) {
        let (now, registry) = (self.balancer.now(), self.registry.clone());
        let Some(fleet) = &mut self.fleet else { return };
        for _ in 0..SEATS {
            let Ok((socket, _)) = fleet.listener.get().accept() else { return };
            let seat = fleet.seat();
            fleet.seats[seat] = None;
            let watched = socket
                .set_nonblocking(true)
                .and_then(|()| registry.watch(socket, SEAT_0 + seat, Interest::Read));
            fleet.seats[seat] = watched.ok().map(|s| Conn::asked(s, now));
        }
    }

    fn exchange_ready(&mut self, seat: usize) {
        let now = self.balancer.now();
        let Some(fleet) = &mut self.fleet else { return };
        let Some(Some(conn)) = fleet.seats.get_mut(seat) else { return };
        let mut got = conn.advance();
        while let Got::Batch(bytes) = got {
            let taken = self.batch_came(now, &bytes);
            let Some(Some(conn)) = self.fleet.as_mut().and_then(|f| f.seats.get_mut(seat)) else { return };
            got = if taken { conn.taken(now) } else { Got::Ended };
            self.stirred = true;
        }
        let Some(fleet) = &mut self.fleet else { return };
        let Some(Some(conn)) = fleet.seats.get_mut(seat) else { return };
        let stays = match got {
            Got::Nothing | Got::Batch(_) => true,
            Got::Ended => false,
            Got::Body(body) if conn.is_asking() => {
                if let Err(bad) = fleet.members.handle_exchange_response(now, &body) {
                    debug!(self.log, "an exchange was not taken"; "why" => ?bad);
                }
                false
            }
            Got::Body(body) => match fleet.members.handle_exchange(now, &body) {
                Ok(answer) => conn.answer(200, &answer) != Got::Ended,
                Err(bad) => {
                    debug!(self.log, "an exchange was not answered"; "why" => ?bad);
                    conn.answer(400, b"") != Got::Ended
                }
            },
        };
        if !stays {
            fleet.seats[seat] = None;
        }
    }

    /// Let time pass for membership, send what it wants sent, hand on what it says.
    pub(super) fn mind_fleet(&mut self) {
        let (now, registry) = (self.balancer.now(), self.registry.clone());
        let Some(fleet) = &mut self.fleet else { return };
        fleet.members.tick(now);
        while let Some((to, bytes)) = fleet.members.poll_send() {
            // What the machine does not take is lost, as datagrams may be.
            let _ = fleet.datagrams.get().send_to(&bytes, to);
        }
        for seat in &mut fleet.seats {
            *seat = seat.take().filter(|c| c.since + if c.stays { SILENT } else { EXCHANGE } > now);
        }
        while let Some(exchange) = fleet.members.poll_exchange() {
            let seat = fleet.seat();
            fleet.seats[seat] = None;
            let made = connect(fleet.at, exchange.to)
                .and_then(|socket| registry.watch(socket, SEAT_0 + seat, Interest::Both));
            fleet.seats[seat] = made.ok().map(|s| Conn::asking(s, now, &exchange.bytes));
        }
        let mut events = Vec::new();
        while let Some(event) = fleet.members.poll_event() {
            events.push(event);
        }
        if let Some(folder) = fleet.folder.as_mut().filter(|_| now >= fleet.keep_at) {
            fleet.keep_at = now + KEEP * fleet.period;
            folder.keep(fleet.members.others().map(|s| s.record.at).collect());
        }
        events.into_iter().for_each(|e| self.fleet_says(now, e));
        self.mind_senders(now);
        self.wake_for_fleet(now);
        self.do_steps();
    }

    fn wake_for_fleet(&mut self, now: Micros) {
        let Some(fleet) = &mut self.fleet else { return };
        let smaller = fleet.smaller.map_or(Micros::MAX, |s| s.1);
        // Never at once: a timer that is always due would hold the loop.
        let wake = fleet.members.next_deadline().min(smaller).max(now + 1_000);
        if wake < fleet.due || fleet.due <= now {
            fleet.due = wake;
            self.balancer.set_timer(wake, Wake::Fleet);
        }
    }

    /// The timer has come; an older one that was overtaken is passed over.
    pub(super) fn fleet_woken(&mut self) {
        let now = self.balancer.now();
        if self.fleet.as_ref().is_some_and(|f| f.due <= now) {
            self.mind_fleet();
        }
    }

    fn fleet_says(&mut self, now: Micros, event: Event) {
        let Some(fleet) = &mut self.fleet else { return };
        match event {
            Event::View(view) => {
                let (live, failed) = fleet.members.size();
                if let Some(n) = fleet.members.senders() {
                    fleet.smaller = Some((n as u32, now + AGED * fleet.period));
                }
                if self.view_told.pass(now).is_some() || self.view != Some(view) {
                    info!(self.log, "fleet"; "view" => view.name(), "live" => live, "failed" => failed);
                }
                self.view = Some(view);
            }
            Event::Changed { id, name, state, by } => {
                if state == State::Suspect {
                    debug!(self.log, "member"; "name" => name, "id" => id.to_string(), "state" => state.name(), "by" => by.to_string());
                } else if let Some(before) = self.members_told.pass(now) {
                    info!(self.log, "member"; "name" => name, "id" => id.to_string(), "state" => state.name(), "by" => by.to_string(),
                        "untold" => before);
                }
            }
            Event::Drain(d) => {
                info!(self.log, "another sidecar says that an upstream drains"; "host" => &d.host, "seq" => d.seq);
                let turn = self.balancer.peer_reported_drain(&d.host, d.born_ms, true);
                self.absorb(turn);
            }
            Event::Refuted(state) => {
                info!(self.log, "this member was held to be gone, and said no"; "held" => state.name());
            }
            Event::StoodDown { same_identity, other } => {
                warn!(self.log, "this process stands down from the fleet and serves on"; "same_identity" => same_identity,
                    "other" => other.to_string(), "why" => "another process has its identity or its name");
            }
            Event::DuplicateMember { same_identity, other } => {
                warn!(self.log, "another process has this member's identity or name, and has to stand down";
                    "same_identity" => same_identity, "other" => other.to_string());
            }
        }
    }

    /// A greater number of senders holds at once, a smaller one once it has aged: too few would overfeed cold upstreams.
    fn mind_senders(&mut self, now: Micros) {
        let Some(fleet) = &mut self.fleet else { return };
        let Some((n, at)) = fleet.smaller else { return };
        if n < self.balancer.instances() && now < at {
            return;
        }
        fleet.smaller = None;
        let turn = self.balancer.set_instances(n);
        self.absorb(turn);
    }

    /// Other settings named a number of senders: the fleet's own comes after it has aged again.
    pub(super) fn fleet_reconfigured(&mut self) {
        let now = self.balancer.now();
        if let Some(fleet) = &mut self.fleet {
            fleet.configured = self.balancer.instances();
            if let Some(n) = fleet.members.senders() {
                fleet.smaller = Some((n as u32, now + AGED * fleet.period));
            }
        }
    }

    /// The own list has come. What others said that is newer than it is laid over it; what is older is over.
    pub(super) fn list_for_fleet(&mut self, seq: u64, news: &mut DiscoveryEvent) {
        let DiscoveryEvent::List { whole, hosts } = news else { return };
        let Some(fleet) = &mut self.fleet else { return };
        let entries = hosts.iter().map(|h| (h.name.as_str(), h.started_ms, h.health == Health::Draining));
        let over = fleet.members.update_endpoint_list(seq, *whole, entries);
        for h in hosts.iter_mut().filter(|h| h.health == Health::Ready) {
            if fleet.members.is_draining(&h.name, h.started_ms) || self.ordered.contains(&h.name) {
                h.health = Health::Draining;
            }
        }
        for d in over.iter().filter(|d| !hosts.iter().any(|h| h.name == d.host)) {
            let turn = self.balancer.peer_reported_drain(&d.host, d.born_ms, false);
            self.absorb(turn);
        }
    }

    /// A planned stop is told to the others.
    pub(super) fn leave_fleet(&mut self) {
        if let Some(fleet) = &mut self.fleet {
            fleet.members.leave();
        }
        self.mind_fleet();
    }

    /// The fleet as this member sees it, as JSON.
    pub(super) fn fleet_told(&self) -> Option<String> {
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
            "sent": f.sent, "sent_bytes": f.sent_bytes, "taken": f.accepted, "came_bytes": f.received_bytes,
            "strange": f.foreign, "spoilt": f.corrupt, "version": f.unsupported_version,
            "replayed": f.replayed, "flood": f.rate_limited, "unsent": f.send_queue_full,
            "turned_away": f.rejected_members, "probes": f.probes, "late": f.late_probes,
            "suspected": f.suspected, "refuted": f.refuted, "failed": f.failed, "refutations": f.refutations,
            "overslept": f.pauses,
            "exchanges": f.exchanges, "exchanged_bytes": f.exchanged_bytes,
        });
        let me = m.me();
        let told = serde_json::json!({
            "id": me.id.to_string(), "name": me.name, "at": me.at.to_string(), "incarnation": me.incarnation.0,
            "view": m.view().name(), "live": live, "failed": failed, "senders": m.senders(),
            "senders_in_force": self.balancer.instances(), "senders_configured": fleet.configured,
            "digest": format!("{:016x}", m.digest()), "doubt": m.local_health_multiplier(),
            "drains": m.draining_hosts().collect::<Vec<_>>(), "others": others, "figures": figures,
        });
        Some(told.to_string() + "\n")
    }

    /// The fleet's lines among the figures.
    pub(super) fn fleet_figures(&self) -> String {
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
    /// A connection to another member, on its way.
    pub(super) fn reach(&self, to: SocketAddr) -> io::Result<std::net::TcpStream> {
        connect(self.at, to)
    }

    /// A free seat, or that of whoever has sat longest.
    fn seat(&self) -> usize {
        let longest = |(i, s): (usize, &Option<Conn>)| (s.as_ref().map_or(Micros::MIN, |c| c.since), i);
        self.seats.iter().enumerate().map(longest).min().map_or(0, |(_, i)| i)
    }
}
