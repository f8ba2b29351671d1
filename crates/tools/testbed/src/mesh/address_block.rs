//! A block of loopback addresses and ports that no other run has.
use crate::identifiers::unique_number;
use anyhow::{bail, Result};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// What a machine listens for at a port of its own.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Port {
    /// Upstreams and operators.
    Control = 0,
    /// Other sidecars' requests to the upstream.
    Inbound = 4,
    /// The platform.
    Ready = 5,
    /// The upstream itself.
    Upstream = 8,
    /// The machine's clients.
    Outbound = 9,
}

const PORTS: [Port; 5] = [Port::Control, Port::Inbound, Port::Ready, Port::Upstream, Port::Outbound];
/// Ports from the first to the last.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PortRange {
    pub(crate) first: u16,
    pub(crate) last: u16,
}

/// Ports between sidecars, counted from a machine's first port.
pub(crate) const INTERNAL_PORTS: PortRange = PortRange { first: 20, last: 35 };
/// Blocks that are tried before none is found.
const MAX_BLOCK_ATTEMPTS: usize = 64;
/// The lowest first port. The highest is below the ports that the system hands out by itself.
const LOWEST_PORT: u16 = 20_000;
/// Between two first ports.
const PORT_STEP: u16 = 50;
/// First ports.
const PORT_BLOCKS: u64 = 200;
/// The last number of the address at which a block is held.
const MARK_HOST: u8 = 254;

/// Held while a process is started, and while ports are tried: a process that is being started inherits for a moment what listens
/// here.
static START_LOCK: Mutex<()> = Mutex::new(());

/// No process is started and no port tried by others for as long as this lives.
pub(crate) fn lock_starts() -> MutexGuard<'static, ()> {
    START_LOCK.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Addresses for machines, and the ports of each.
#[derive(Debug)]
pub(crate) struct AddressBlock {
    second: u8,
    third: u8,
    first_port: u16,
    // Held for as long as the block is ours.
    _mark: TcpListener,
}

impl AddressBlock {
    /// One at which nothing listens.
    pub(crate) fn find(machines: usize) -> Result<Self> {
        let _no_starts = lock_starts();
        for _ in 0..MAX_BLOCK_ATTEMPTS {
            let number = unique_number();
            let (second, third) = ((1 + (number >> 8) % 254) as u8, number as u8);
            let first_port = LOWEST_PORT + ((number >> 32) % PORT_BLOCKS) as u16 * PORT_STEP;
            let mark = (Ipv4Addr::new(127, second, third, MARK_HOST), first_port);
            let Ok(mark) = TcpListener::bind(mark) else { continue };
            let block = AddressBlock { second, third, first_port, _mark: mark };
            if (0..machines).all(|machine| block.is_free(machine)) {
                return Ok(block);
            }
        }
        bail!("no free addresses on loopback")
    }

    fn is_free(&self, machine: usize) -> bool {
        let address = self.address(machine);
        let internal = INTERNAL_PORTS.first..=INTERNAL_PORTS.last;
        let is_free = |port: u16| TcpListener::bind((address, self.first_port + port)).is_ok();
        PORTS.iter().all(|port| is_free(*port as u16))
            && internal.clone().all(is_free)
            && internal.clone().all(|port| UdpSocket::bind((address, self.first_port + port)).is_ok())
    }

    /// A machine's address.
    pub(crate) fn address(&self, machine: usize) -> Ipv4Addr {
        Ipv4Addr::new(127, self.second, self.third, 1 + machine as u8)
    }

    /// A machine's address with a port.
    pub(crate) fn at(&self, machine: usize, port: Port) -> SocketAddr {
        self.at_offset(machine, port as u16)
    }

    /// A machine's address with one of the ports between sidecars, from the first on.
    pub(crate) fn internal(&self, machine: usize, number: u16) -> SocketAddr {
        self.at_offset(machine, INTERNAL_PORTS.first + number)
    }

    /// The last of the ports between sidecars.
    pub(crate) fn last_internal_port(&self) -> u16 {
        self.first_port + INTERNAL_PORTS.last
    }

    fn at_offset(&self, machine: usize, offset: u16) -> SocketAddr {
        SocketAddr::from((self.address(machine), self.first_port + offset))
    }
}
