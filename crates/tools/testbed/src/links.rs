//! Links between the machines of a mesh, which can be cut: each machine calls the others at a port of its own, where a relay
//! stands that knows who calls whom by it. What a machine hears through one comes from the caller's address.
use crate::mesh::Mesh;
use anyhow::{Context, Result};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// A relay's own connection is up within this.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Between two attempts to listen again after a cut.
const REOPEN_INTERVAL: Duration = Duration::from_millis(20);
/// The largest datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 1 << 16;

/// Which machines don't hear each other, by their numbers; empty: all do.
#[derive(Clone, Debug, Default)]
struct Partition {
    these: Vec<usize>,
    /// `None`: all that are not among `these`.
    those: Option<Vec<usize>>,
}

impl Partition {
    fn separates(&self, a: usize, b: usize) -> bool {
        let is_from_these = |from: &usize, to: &usize| self.these.contains(from) && self.is_among_those(to);
        is_from_these(&a, &b) || is_from_these(&b, &a)
    }

    fn is_among_those(&self, machine: &usize) -> bool {
        match &self.those {
            Some(those) => those.contains(machine),
            None => !self.these.contains(machine),
        }
    }
}

/// All links of a mesh. Dropping it ends them.
#[derive(Debug)]
pub struct Links {
    partition: watch::Sender<Partition>,
    tasks: Vec<JoinHandle<()>>,
}

/// What stands between one machine and another, in one direction of calls.
#[derive(Clone, Debug)]
struct Relay {
    from: usize,
    to: usize,
    /// Where the caller is heard from.
    caller: SocketAddr,
    /// Where it calls, and the relay listens.
    called: SocketAddr,
    /// Where the other machine listens.
    target: SocketAddr,
    /// What a connection carries in each direction, in bytes a second.
    bytes_per_second: Option<u64>,
    partition: watch::Receiver<Partition>,
}

/// A relay's sockets.
struct RelaySockets {
    listener: TcpListener,
    /// Takes the caller's datagrams.
    near: UdpSocket,
    /// Sends them on.
    far: UdpSocket,
}

impl Drop for Links {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

impl Links {
    /// Between all machines of a mesh that was prepared for it.
    ///
    /// # Errors
    /// When a relay can't listen.
    pub async fn between(mesh: &Mesh) -> Result<Self> {
        let (partition, changes) = watch::channel(Partition::default());
        let mut tasks = Vec::new();
        let count = mesh.machines.len();
        let pairs = (0..count).flat_map(|from| (0..count).map(move |to| (from, to)));
        for (from, to) in pairs.filter(|(from, to)| from != to) {
            let (caller, target) = (mesh.internal(from), mesh.internal(to));
            let called = SocketAddr::new(target.ip(), caller.port());
            // Control machines are linked as well as they can be, as in service.
            let is_thin = !(mesh.machines[from].is_control && mesh.machines[to].is_control);
            let bytes_per_second = mesh.link_bytes_per_second().filter(|_| is_thin);
            let relay =
                Relay { from, to, caller, called, target, bytes_per_second, partition: changes.clone() };
            let sockets = relay.open().await.with_context(|| format!("a link at {called}"))?;
            tasks.push(tokio::spawn(relay.run(sockets)));
        }
        Ok(Links { partition, tasks })
    }

    /// Cut these machines off from all others; among themselves they still hear each other. What is on its way is lost,
    /// connections stay silent, new ones are refused.
    pub fn cut(&self, machines: &[usize]) {
        self.partition.send_replace(Partition { these: machines.to_vec(), those: None });
    }

    /// Cut these machines off from those; all others hear both.
    pub fn cut_between(&self, these: &[usize], those: &[usize]) {
        let those = Some(those.to_vec());
        self.partition.send_replace(Partition { these: these.to_vec(), those });
    }

    /// All hear all again; connections that were cut are reset.
    pub fn join(&self) {
        self.partition.send_replace(Partition::default());
    }
}

/// Bytes that a thin connection passes on at a time.
const THIN_CHUNK_BYTES: usize = 4 * 1024;

/// Pass on what comes in both directions until either ends.
async fn copy_both_ways(near: &mut TcpStream, far: &mut TcpStream, bytes_per_second: Option<u64>) {
    let Some(rate) = bytes_per_second else {
        let _ = tokio::io::copy_bidirectional(near, far).await;
        return;
    };
    let ((near_read, near_write), (far_read, far_write)) = (near.split(), far.split());
    tokio::select! {
        _ = copy_at_rate(near_read, far_write, rate) => {}
        _ = copy_at_rate(far_read, near_write, rate) => {}
    }
}

/// Pass on what comes, at so many bytes a second, until either end ends.
async fn copy_at_rate(mut from: impl AsyncRead + Unpin, mut to: impl AsyncWrite + Unpin, rate: u64) {
    let mut chunk = vec![0; THIN_CHUNK_BYTES];
    let mut free_at = tokio::time::Instant::now();
    while let Ok(length) = from.read(&mut chunk).await {
        if length == 0 || to.write_all(&chunk[..length]).await.is_err() {
            return;
        }
        let transfer = Duration::from_secs_f64(length as f64 / rate as f64);
        free_at = free_at.max(tokio::time::Instant::now()) + transfer;
        tokio::time::sleep_until(free_at).await;
    }
}

impl Relay {
    fn is_cut(&self, partition: &Partition) -> bool {
        partition.separates(self.from, self.to)
    }

    async fn open(&self) -> std::io::Result<RelaySockets> {
        let far = UdpSocket::bind((self.caller.ip(), 0)).await?;
        let listener = TcpListener::bind(self.called).await?;
        Ok(RelaySockets { listener, near: UdpSocket::bind(self.called).await?, far })
    }

    async fn open_again(&self) -> RelaySockets {
        loop {
            if let Ok(sockets) = self.open().await {
                return sockets;
            }
            tokio::time::sleep(REOPEN_INTERVAL).await;
        }
    }

    async fn run(mut self, mut sockets: RelaySockets) {
        loop {
            if !self.relay_until_cut(&sockets).await {
                return;
            }
            drop(sockets);
            let this = self.clone();
            if self.partition.wait_for(|partition| !this.is_cut(partition)).await.is_err() {
                return;
            }
            sockets = self.open_again().await;
        }
    }

    /// Whether the link was cut; otherwise all links end.
    async fn relay_until_cut(&self, sockets: &RelaySockets) -> bool {
        let mut datagram = vec![0; MAX_DATAGRAM_BYTES];
        let mut partition = self.partition.clone();
        let cut = partition.wait_for(|partition| self.is_cut(partition));
        tokio::pin!(cut);
        loop {
            tokio::select! {
                biased;
                change = &mut cut => return change.is_ok(),
                accepted = sockets.listener.accept() => if let Ok((stream, _)) = accepted {
                    tokio::spawn(self.clone().relay_connection(stream));
                },
                received = sockets.near.recv_from(&mut datagram) => if let Ok((length, from)) = received {
                    if from.ip() == self.caller.ip() {
                        // A datagram that does not fit in is lost, as on a link.
                        let _ = sockets.far.try_send_to(&datagram[..length], self.target);
                    }
                },
            }
        }
    }

    async fn relay_connection(mut self, mut stream: TcpStream) {
        let Ok(socket) = tokio::net::TcpSocket::new_v4() else { return };
        if socket.bind(SocketAddr::new(self.caller.ip(), 0)).is_err() {
            return;
        }
        let connecting = tokio::time::timeout(CONNECT_TIMEOUT, socket.connect(self.target));
        let Ok(Ok(mut onward)) = connecting.await else { return };
        let _ = (stream.set_nodelay(true), onward.set_nodelay(true));
        let this = self.clone();
        tokio::select! {
            biased;
            change = self.partition.wait_for(|partition| this.is_cut(partition)) => if change.is_err() {
                return;
            },
            _ = copy_both_ways(&mut stream, &mut onward, self.bytes_per_second) => return,
        }
        // Silent until the machines are joined.
        let _ = self.partition.wait_for(|partition| !this.is_cut(partition)).await;
    }
}
