//! Gateways in a run on sockets: each a real process, and between the sites a link of the emulator's own, which passes bytes on
//! after the way they have, keeps silent while it is cut, and resets what was open when it stands again.
use super::processes::{Files, Process, Started};
use super::{connect, reset, shut_or_open, Conn, Driver, What, LIMITS, START};
use silvercross_core::interface::Micros;
use silvercross_emulator::chance::{mix, unit};
use silvercross_emulator::list::{Health, Listed};
use silvercross_net::registry::{Interest, Watched};
use silvercross_net::table::Handle;
use std::collections::VecDeque;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// So much is read of an end at a time: a message is no longer, and a connection carries one at a time.
const AT_A_TIME: usize = 256 * 1024;

/// A gateway's process.
pub struct Gateway {
    pub process: Option<Process>,
    life: u32,
    near: Option<SocketAddr>,
    link: Option<SocketAddr>,
    list_at: SocketAddr,
    /// It was told to drain, and may end by itself.
    drains: bool,
    /// Where it finds each far gateway.
    links: Vec<(Handle, SocketAddr)>,
}

/// One end of a connection over the link.
pub struct Link {
    socket: Watched<TcpStream>,
    other: Option<Handle>,
    sites: (usize, usize),
    /// On the way to this end, with when it is there; an empty one is the end.
    coming: VecDeque<(Micros, Vec<u8>)>,
    out: Vec<u8>,
    /// Something was lost on it: it is silent until it is reset.
    stuck: bool,
}

impl Driver {
    /// Listening sockets for the lists and the links of all gateways.
    pub(super) fn add_gateways(&mut self) -> io::Result<()> {
        let n = self.world.script.gateways();
        let servers = self.listeners.len();
        for g in 0..n {
            let sidecar = self.sidecars.len() + 2 * g + 1;
            let (_, list_at) = self.add_listener(|socket| Conn::ListListener { socket, sidecar })?;
            let mut links = Vec::new();
            let site = |g: usize| self.world.site(servers + 2 * g);
            let far: Vec<usize> = (0..n).filter(|to| site(*to) != site(g)).collect();
            for to in far {
                links.push(self.add_listener(|socket| Conn::LinkListener {
                    socket,
                    from: g,
                    to,
                    fillers: Vec::new(),
                })?);
            }
            let (process, life, near, link) = (None, 0, None, None);
            self.gateways.push(Gateway { process, life, near, link, list_at, drains: false, links });
        }
        Ok(())
    }

    fn gateway_site(&self, g: usize) -> usize {
        self.world.site(self.listeners.len() + 2 * g)
    }

    /// A gateway as its site's sidecars are told of it.
    pub(super) fn gateway_host(&self, l: &Listed) -> serde_json::Value {
        let g = (l.server - self.listeners.len()) / 2;
        let sites = &self.world.script.sites;
        let far = &sites[(self.gateway_site(g) + 1) % sites.len()].name;
        let dial = self.gateways[g].near.unwrap_or(SocketAddr::from(([127, 0, 0, 1], 9)));
        let health = match l.health {
            Health::Ready => "ready",
            Health::Draining => "draining",
            Health::Gone => "gone",
        };
        serde_json::json!({"host": format!("g-{g}"), "dial": dial.to_string(), "block": 1_000_000 + g, "site": far,
            "class": "gateway", "health": health, "share": 1.0, "born_ms": 0})
    }

    /// Who sent an attempt that came to a server from a site: its own sidecar, or a gateway there. Which of several gateways it
    /// was is not known here; the first one's list is held against drains.
    pub(super) fn sender(&self, sidecar: usize, site: usize) -> usize {
        if self.world.sidecar_site(sidecar) == site {
            return sidecar;
        }
        let there = (0..self.gateways.len()).find(|g| self.gateway_site(*g) == site);
        there.map_or(sidecar, |g| self.sidecars.len() + 2 * g + 1)
    }

    fn spawn_gateway(&mut self, g: usize) -> Result<(), String> {
        let Some(spec) = self.world.script.gateway.clone() else { return Ok(()) };
        let (half, site) = (self.sidecars.len() + 2 * g + 1, self.gateway_site(g));
        let life = self.gateways[g].life + 1;
        let sites = &self.world.script.sites;
        let far = &sites[(site + 1) % sites.len()].name;
        let known = self.hosts(half, &self.world.known(half));
        let seed = mix(self.world.seed ^ mix(half as u64) ^ (u64::from(life) << 48));
        let settings = serde_json::json!({
            "name": format!("g{g}"), "listen": "127.0.0.1:0", "discovery": self.gateways[g].list_at.to_string(),
            "seed": format!("{seed:016x}"), "limits": {"cores": 1.0, "memory_mb": LIMITS.0, "sockets": LIMITS.1},
            "known": {"seq": self.world.known_seq(), "whole": true, "hosts": known},
            "settings": self.world.script.settings_json(half, site as u32),
        });
        let path = super::processes::write_config(self.folder.path(), half, &settings)?;
        let peers: Vec<String> = self.gateways[g].links.iter().map(|l| l.1.to_string()).collect();
        let text = format!(
            "name = \"g{g}\"\nsite = {:?}\nfar = {far:?}\nsettings = {path:?}\n[near]\nlisten = \"127.0.0.1:0\"\n[link]\n\
             listen = \"127.0.0.1:0\"\npeers = {peers:?}\nfirst = {}\nmost = {}\nholds_ms = {}\nask_ms = {}\n",
            sites[site].name,
            spec.first,
            spec.most,
            spec.holds_ms as u64,
            (spec.state_ms as u64).max(50)
        );
        let file = self.folder.path().join(format!("g{g}.toml"));
        std::fs::write(&file, text).map_err(|e| format!("{}: {e}", file.display()))?;
        let wake = self.wake.0.try_clone().map_err(|e| e.to_string())?;
        let number = self.sidecars.len() + g;
        let config = file.display().to_string();
        let role = if self.program.args.is_empty() {
            vec!["gateway", "--config", &config]
        } else {
            vec!["--gateway", &config]
        };
        let process = Process::start(
            &self.program,
            &role,
            Files { config: &path, fleet: None },
            number,
            life,
            self.started.0.clone(),
            wake,
        )?;
        let gateway = &mut self.gateways[g];
        (gateway.process, gateway.life, gateway.near, gateway.link) = (Some(process), life, None, None);
        gateway.drains = false;
        Ok(())
    }

    /// Start all gateways, and wait until each says where it listens: the sidecars' lists name them.
    pub(super) fn start_gateways(&mut self) -> Result<(), String> {
        for g in 0..self.gateways.len() {
            self.spawn_gateway(g)?;
        }
        let began = Instant::now();
        while self.gateways.iter().any(|g| g.near.is_none()) {
            let left = START.checked_sub(began.elapsed()).ok_or("the gateways did not start in time")?;
            if let Ok(s) = self.started.1.recv_timeout(left.min(Duration::from_millis(200))) {
                self.has_started(&s)?;
            }
        }
        Ok(())
    }

    pub(super) fn gateway_started(&mut self, s: &Started) -> Result<(), String> {
        let g = s.number - self.sidecars.len();
        let gateway = &mut self.gateways[g];
        if gateway.life != s.life {
            return Ok(());
        }
        let last = gateway.process.as_ref().map_or(String::new(), Process::last_line);
        if s.at.is_none() {
            return Err(format!("gateway g{g} did not start: {last}"));
        }
        (gateway.near, gateway.link) = (s.at, s.link);
        Ok(())
    }

    pub(super) fn gateway_turns(&mut self, g: usize, up: bool) {
        self.gateways[g].process = None;
        self.gateways[g].link = None;
        if up {
            if let Err(why) = self.spawn_gateway(g) {
                self.void = Some(why);
            }
        }
    }

    pub(super) fn gateway_drains(&mut self, g: usize) {
        self.gateways[g].drains = true;
        if let Some(p) = &self.gateways[g].process {
            p.ask_to_stop();
        }
    }

    pub(super) fn look_after_gateways(&mut self) -> Result<(), String> {
        for (i, g) in self.gateways.iter_mut().enumerate().filter(|(_, g)| !g.drains) {
            if let Some(how) = g.process.as_mut().and_then(Process::has_ended) {
                return Err(format!("gateway g{i} ended by itself: {how}"));
            }
        }
        Ok(())
    }

    pub(super) fn link_accept(&mut self, handle: Handle) {
        while let Some(Conn::LinkListener { socket, from, to, .. }) = self.table.get(handle) {
            let Ok((near, _)) = socket.get().accept() else { return };
            let sites = (self.gateway_site(*from), self.gateway_site(*to));
            let far = self.gateways[*to].link.and_then(|at| connect(at).ok());
            // Nobody is there: its machine says so, after the way there and back; here at once.
            let Some(far) = far else {
                reset(&near);
                continue;
            };
            let near = self.add_link(near, sites, None);
            let far = near.and_then(|near| self.add_link(far.into(), (sites.1, sites.0), Some(near)));
            if let Some(Conn::Link(link)) = near.and_then(|n| self.table.get_mut(n)) {
                link.other = far;
            }
        }
    }

    fn add_link(
        &mut self,
        stream: TcpStream,
        sites: (usize, usize),
        other: Option<Handle>,
    ) -> Option<Handle> {
        let _ = stream.set_nonblocking(true);
        let _ = stream.set_nodelay(true);
        let registry = self.registry.clone();
        let made = self.table.insert_with(|h| {
            let socket = registry.watch(stream, h.number() as usize, Interest::Both)?;
            let (coming, out) = (VecDeque::new(), Vec::new());
            Ok::<_, io::Error>(Conn::Link(Box::new(Link { socket, other, sites, coming, out, stuck: false })))
        });
        made.ok().flatten()
    }

    fn end_link(&mut self, handle: Handle, with_reset: bool) {
        if let Some(Conn::Link(link)) = self.table.remove(handle) {
            if with_reset {
                reset(link.socket.get());
            }
            if let Some(Conn::Link(other)) = link.other.and_then(|o| self.table.remove(o)) {
                if with_reset {
                    reset(other.socket.get());
                }
            }
        }
    }

    /// Bytes have come at one end, or there is room again.
    pub(super) fn link_ready(&mut self, now: Micros, handle: Handle) {
        let Some(Conn::Link(link)) = self.table.get_mut(handle) else { return };
        if !link.out.is_empty() && flush(link).is_err() {
            return self.end_link(handle, true);
        }
        let Some(Conn::Link(link)) = self.table.get_mut(handle) else { return };
        if link.out.is_empty() {
            let _ = link.socket.set(Interest::Read);
        }
        let (sites, other) = (link.sites, link.other);
        let mut bytes = vec![0; 64 * 1024];
        let mut come = Vec::new();
        let ended = loop {
            match link.socket.get().read(&mut bytes) {
                Ok(0) => break true,
                Ok(n) => come.extend_from_slice(&bytes[..n]),
                Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::NotConnected) => {
                    break false
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => break true,
            }
            if come.len() >= AT_A_TIME {
                break false;
            }
        };
        if come.is_empty() && !ended {
            return;
        }
        let Some(other) = other else { return };
        if !self.world.joined(sites.0, sites.1) {
            // Lost on the way; neither end hears of it.
            for end in [handle, other] {
                if let Some(Conn::Link(link)) = self.table.get_mut(end) {
                    link.stuck = true;
                    let _ = link.socket.set(Interest::Nothing);
                }
            }
            return;
        }
        let target = self.listeners.len()
            + 2 * (0..self.gateways.len()).find(|g| self.gateway_site(*g) == sites.1).unwrap_or(0);
        let way = self.world.delay_from(sites.0, target, unit(self.world.seed ^ now as u64, handle.number()));
        let Some(Conn::Link(to)) = self.table.get_mut(other) else { return };
        // In order: what left later is not there sooner.
        let due = (now + way).max(to.coming.back().map_or(0, |c| c.0));
        if !come.is_empty() {
            to.coming.push_back((due, come));
        }
        if ended {
            to.coming.push_back((due, Vec::new()));
            if let Some(Conn::Link(from)) = self.table.get_mut(handle) {
                let _ = from.socket.set(Interest::Nothing);
            }
        }
        self.at(due, What::Pass(other.number()));
    }

    /// What was under way to one end of a connection is there.
    pub(super) fn pass(&mut self, now: Micros, handle: Handle) {
        loop {
            let Some(Conn::Link(link)) = self.table.get_mut(handle) else { return };
            if link.stuck || link.coming.front().is_none_or(|c| c.0 > now) {
                return;
            }
            let Some((_, bytes)) = link.coming.pop_front() else { return };
            if bytes.is_empty() {
                return self.end_link(handle, false);
            }
            link.out.extend_from_slice(&bytes);
            if flush(link).is_err() {
                return self.end_link(handle, true);
            }
        }
    }

    /// Doors in front of links that are cut fall silent; what was lost on a link that stands again is reset.
    pub(super) fn mute_links(&mut self) {
        for g in 0..self.gateways.len() {
            for (handle, at) in self.gateways[g].links.clone() {
                let Some(Conn::LinkListener { from, to, .. }) = self.table.get(handle) else { continue };
                let cut = !self.world.joined(self.gateway_site(*from), self.gateway_site(*to));
                if let Some(Conn::LinkListener { socket, fillers, .. }) = self.table.get_mut(handle) {
                    shut_or_open(socket, fillers, at, cut);
                }
            }
        }
        let stuck = |(h, c): (Handle, &Conn)| match c {
            Conn::Link(l) if l.stuck && self.world.joined(l.sites.0, l.sites.1) => Some(h),
            _ => None,
        };
        let again: Vec<Handle> = self.table.iter().filter_map(stuck).collect();
        again.into_iter().for_each(|h| self.end_link(h, true));
    }
}

fn flush(link: &mut Link) -> io::Result<()> {
    while !link.out.is_empty() {
        match link.socket.get().write(&link.out) {
            Ok(n) => drop(link.out.drain(..n)),
            Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::NotConnected) => {
                return link.socket.set(Interest::Both)
            }
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
    link.socket.set(Interest::Read)
}
