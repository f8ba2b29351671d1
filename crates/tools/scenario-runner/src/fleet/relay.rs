//! What lies between real processes: an address in front of each, through which all others reach it. Datagrams and connections
//! that come there are told apart by the address they come from, each machine having one of its own, and are passed on as the
//! links of that pair allow at the moment. One thread for datagrams; one for each connection, of which there are few.
use super::links::{Links, Micros};
use polling::Events;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use silvercross_net::registry::{Interest, Registry, Watched};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::io::{self, Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

/// How often a relay's threads look whether they are to end.
const LOOK: Duration = Duration::from_millis(20);
/// Datagrams held back at once; past it they are lost.
const HELD: usize = 20_000;

/// What relays go by.
pub struct Net {
    /// What the links do.
    pub links: Links,
    /// Behind each address in front: which machine, and where its process listens; `None`: nobody is there.
    pub fronts: BTreeMap<SocketAddr, (usize, Option<SocketAddr>)>,
    period: Micros,
    rng: Pcg32,
}

/// All relays of a run. Dropping it ends them.
pub struct Relays {
    net: Arc<Mutex<Net>>,
    over: Arc<AtomicBool>,
    new: std::sync::mpsc::Sender<UdpSocket>,
    /// Datagrams carried, and lost to faults.
    pub carried: Arc<AtomicU64>,
    /// Those lost to faults.
    pub lost: Arc<AtomicU64>,
    /// The latest that one went on after its time, in microseconds.
    pub late: Arc<AtomicU64>,
}

/// The address that a machine's processes use: what tells where something comes from.
pub fn machine_ip(machine: usize) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, 77, (machine / 250) as u8, (machine % 250) as u8 + 1))
}

fn machine_of(ip: IpAddr) -> Option<usize> {
    match ip {
        IpAddr::V4(v4) if v4.octets()[..2] == [127, 77] => {
            Some(usize::from(v4.octets()[2]) * 250 + usize::from(v4.octets()[3]).checked_sub(1)?)
        }
        _ => None,
    }
}

impl Relays {
    /// None yet.
    pub fn new(links: Links, period: Micros, seed: u64) -> io::Result<Self> {
        let net = Net { links, fronts: BTreeMap::new(), period, rng: Pcg32::seed_from_u64(seed ^ 0x7e1a) };
        let (new, sockets) = std::sync::mpsc::channel();
        let relays = Relays {
            net: Arc::new(Mutex::new(net)),
            over: Arc::default(),
            new,
            carried: Arc::default(),
            lost: Arc::default(),
            late: Arc::default(),
        };
        let (net, over) = (relays.net.clone(), relays.over.clone());
        let counts = (relays.carried.clone(), relays.lost.clone(), relays.late.clone());
        let registry = Registry::new()?;
        thread::spawn(move || datagrams(&registry, &net, &over, &sockets, &counts));
        Ok(relays)
    }

    /// Change what relays go by.
    pub fn net(&self) -> MutexGuard<'_, Net> {
        self.net.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// An address in front of a machine's next process.
    pub fn front(&self, machine: usize) -> io::Result<SocketAddr> {
        // One number for both: datagrams and exchanges go to one address.
        for _ in 0..50 {
            let listener = TcpListener::bind(("127.0.0.1", 0))?;
            let at = listener.local_addr()?;
            let Ok(socket) = UdpSocket::bind(at) else { continue };
            socket.set_nonblocking(true)?;
            listener.set_nonblocking(true)?;
            self.net().fronts.insert(at, (machine, None));
            let _ = self.new.send(socket);
            let (net, over) = (self.net.clone(), self.over.clone());
            thread::spawn(move || connections(&listener, at, &net, &over));
            return Ok(at);
        }
        Err(io::Error::other("no port is free for both datagrams and connections"))
    }
}

impl Drop for Relays {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
    }
}

/// When it goes on, its order, by which socket, where, and what.
type OnItsWay = (Micros, u64, usize, SocketAddr, Vec<u8>);
type Counts = (Arc<AtomicU64>, Arc<AtomicU64>, Arc<AtomicU64>);

fn datagrams(
    registry: &Registry,
    net: &Mutex<Net>,
    over: &AtomicBool,
    new: &std::sync::mpsc::Receiver<UdpSocket>,
    (carried, lost, late): &Counts,
) {
    let origin = Instant::now();
    let mut sockets: Vec<(Watched<UdpSocket>, SocketAddr)> = Vec::new();
    let mut held: BinaryHeap<Reverse<OnItsWay>> = BinaryHeap::new();
    let (mut order, mut events) = (0u64, Events::new());
    let mut bytes = [0; 2048];
    while !over.load(Ordering::Relaxed) {
        while let Ok(socket) = new.try_recv() {
            let Ok(at) = socket.local_addr() else { continue };
            if let Ok(watched) = registry.watch(socket, sockets.len(), Interest::Read) {
                sockets.push((watched, at));
            }
        }
        let now = origin.elapsed().as_micros() as Micros;
        let next = held.peek().map_or(LOOK, |Reverse(h)| Duration::from_micros((h.0 - now).max(0) as u64));
        if registry.wait(&mut events, Some(next.min(LOOK))).is_err() {
            return;
        }
        let now = origin.elapsed().as_micros() as Micros;
        for event in events.iter() {
            let Some((socket, front)) = sockets.get(event.key) else { continue };
            for _ in 0..64 {
                let Ok((n, from)) = socket.get().recv_from(&mut bytes) else { break };
                let mut net = net.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
                let net = &mut *net;
                let Some((machine, Some(to))) = net.fronts.get(front).copied() else { continue };
                // What comes from no machine comes from the rehearsal itself, by no link.
                let copies = match machine_of(from.ip()) {
                    Some(from) => net.links.carry(from, machine, n, net.period, &mut net.rng),
                    None => vec![super::links::Copy { after: 0, spoilt: None }],
                };
                carried.fetch_add(1, Ordering::Relaxed);
                lost.fetch_add(u64::from(copies.is_empty()), Ordering::Relaxed);
                for copy in copies {
                    let mut bytes = bytes[..n].to_vec();
                    if let Some(bit) = copy.spoilt.filter(|b| b / 8 < n) {
                        bytes[bit / 8] ^= 1 << (bit % 8);
                    }
                    order += 1;
                    if held.len() < HELD {
                        held.push(Reverse((now + copy.after, order, event.key, to, bytes)));
                    }
                }
            }
        }
        while held.peek().is_some_and(|Reverse(h)| h.0 <= now) {
            let Some(Reverse((at, _, socket, to, bytes))) = held.pop() else { break };
            late.fetch_max((now - at).max(0) as u64, Ordering::Relaxed);
            if let Some((socket, _)) = sockets.get(socket) {
                let _ = socket.get().send_to(&bytes, to);
            }
        }
    }
}

fn connections(listener: &TcpListener, front: SocketAddr, net: &Arc<Mutex<Net>>, over: &Arc<AtomicBool>) {
    while !over.load(Ordering::Relaxed) {
        match listener.accept() {
            Ok((near, from)) => {
                let (net, over) = (net.clone(), over.clone());
                thread::spawn(move || carry(near, from, front, &net, &over));
            }
            Err(_) => thread::sleep(Duration::from_millis(2)),
        }
    }
}

/// Carry one connection until an end closes; what a cut link holds up stays silent.
fn carry(near: TcpStream, from: SocketAddr, front: SocketAddr, net: &Mutex<Net>, over: &AtomicBool) {
    let link = || {
        let net = net.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        let (machine, to) = net.fronts.get(&front).copied()?;
        let other = machine_of(from.ip())?;
        Some((net.links.of(other, machine), net.links.of(machine, other), to))
    };
    let silent = |l: &super::links::Link| l.cut || l.half_open || l.loss >= 1.0;
    let Some((way, _, to)) = link() else { return };
    if way.refuse {
        let _ = socket2::SockRef::from(&near).set_linger(Some(Duration::ZERO));
        return;
    }
    let Some(to) = to else { return };
    let (mut far, mut opened) = (None, false);
    let mut ended = [false; 2];
    let _ = near.set_nonblocking(true);
    let mut bytes = [0; 16 * 1024];
    let began = Instant::now();
    while !over.load(Ordering::Relaxed) && began.elapsed() < Duration::from_secs(60) {
        let Some((way, back, _)) = link() else { return };
        if silent(&way) || silent(&back) {
            thread::sleep(Duration::from_millis(5));
            continue;
        }
        if !opened {
            thread::sleep(Duration::from_micros((way.delay + back.delay).max(0) as u64));
            far = TcpStream::connect_timeout(&to, Duration::from_secs(2)).ok();
            opened = true;
            let Some(far) = &far else { return };
            let _ = far.set_nonblocking(true);
        }
        let Some(far) = far.as_ref() else { return };
        let mut moved = false;
        for (i, (mut a, mut b, link)) in [(&near, far, way), (far, &near, back)].into_iter().enumerate() {
            if ended[i] {
                continue;
            }
            match a.read(&mut bytes) {
                Ok(0) => {
                    let _ = b.shutdown(std::net::Shutdown::Write);
                    ended[i] = true;
                    if ended == [true; 2] {
                        return;
                    }
                }
                Ok(n) => {
                    moved = true;
                    let slow = if link.rate > 0.0 { n as f64 / link.rate } else { 0.0 };
                    thread::sleep(Duration::from_secs_f64(slow.min(5.0) + link.delay as f64 / 1e6));
                    let _ = b.set_nonblocking(false);
                    let sent = b.write_all(&bytes[..n]);
                    let _ = b.set_nonblocking(true);
                    if sent.is_err() {
                        return;
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return,
            }
        }
        if !moved {
            thread::sleep(Duration::from_millis(1));
        }
    }
}

/// Bytes of chance for strangers.
pub fn chance(seed: u64) -> impl RngCore {
    Pcg32::seed_from_u64(seed)
}
