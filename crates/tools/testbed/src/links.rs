//! Links between the machines of a mesh, which can be cut: each machine calls the others at a port of its own, where a relay
//! stands that knows who calls whom by it. What a machine hears through one comes from the caller's address.
use crate::mesh::Mesh;
use anyhow::{Context, Result};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// A relay's own connection is up within this.
const CONNECT: Duration = Duration::from_millis(500);

/// Machines by number that are cut off from all others, together; empty: nobody is.
type Apart = Vec<usize>;

/// All links of a mesh. Dropping it ends them.
#[derive(Debug)]
pub struct Links {
    apart: watch::Sender<Apart>,
    tasks: Vec<JoinHandle<()>>,
}

/// One machine's way to another.
#[derive(Clone, Debug)]
struct Way {
    from: usize,
    to: usize,
    /// Where the caller is heard from.
    caller: SocketAddr,
    /// Where it calls.
    called: SocketAddr,
    /// Where the other one listens.
    listens: SocketAddr,
    apart: watch::Receiver<Apart>,
}

impl Drop for Links {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

impl Links {
    /// Between all machines of a mesh that was laid out so.
    pub async fn between(mesh: &Mesh) -> Result<Self> {
        let (apart, told) = watch::channel(Apart::new());
        let mut tasks = Vec::new();
        let all = 0..mesh.machines.len();
        for (from, to) in all.clone().flat_map(|a| all.clone().map(move |b| (a, b))).filter(|(a, b)| a != b) {
            let (caller, listens) = (mesh.internal(from), mesh.internal(to));
            let called = SocketAddr::new(listens.ip(), caller.port());
            let way = Way { from, to, caller, called, listens, apart: told.clone() };
            let open = way.open().await.with_context(|| format!("a link at {called}"))?;
            tasks.push(tokio::spawn(way.run(open)));
        }
        Ok(Links { apart, tasks })
    }

    /// Cut these machines off from all others; among themselves they still hear each other. What is on its way is lost,
    /// connections stay silent, new ones are refused.
    pub fn cut(&self, machines: &[usize]) {
        self.apart.send_replace(machines.to_vec());
    }

    /// All hear all again; connections that were cut are reset.
    pub fn join(&self) {
        self.apart.send_replace(Apart::new());
    }
}

impl Way {
    fn is_cut(&self, apart: &Apart) -> bool {
        apart.contains(&self.from) != apart.contains(&self.to)
    }

    async fn open(&self) -> std::io::Result<(TcpListener, UdpSocket, UdpSocket)> {
        let far = UdpSocket::bind((self.caller.ip(), 0)).await?;
        Ok((TcpListener::bind(self.called).await?, UdpSocket::bind(self.called).await?, far))
    }

    async fn run(mut self, open: (TcpListener, UdpSocket, UdpSocket)) {
        let mut open = Some(open);
        loop {
            let (listener, near, far) = match open.take() {
                Some(open) => open,
                None => match self.open().await {
                    Ok(open) => open,
                    Err(_) => {
                        tokio::time::sleep(Duration::from_millis(20)).await;
                        continue;
                    }
                },
            };
            let mut room = vec![0; 1 << 16];
            let mut apart = self.apart.clone();
            let this = self.clone();
            let told = apart.wait_for(|a| this.is_cut(a));
            tokio::pin!(told);
            loop {
                tokio::select! {
                    biased;
                    ended = &mut told => match ended {
                        Ok(_) => break,
                        Err(_) => return,
                    },
                    came = listener.accept() => if let Ok((stream, _)) = came {
                        tokio::spawn(self.clone().carry(stream));
                    },
                    came = near.recv_from(&mut room) => if let Ok((n, from)) = came {
                        if from.ip() == self.caller.ip() {
                            let _ = far.try_send_to(&room[..n], self.listens);
                        }
                    },
                }
            }
            drop((listener, near));
            if self.apart.wait_for(|a| !this.is_cut(a)).await.is_err() {
                return;
            }
        }
    }

    async fn carry(mut self, mut stream: TcpStream) {
        let Ok(socket) = tokio::net::TcpSocket::new_v4() else { return };
        if socket.bind(SocketAddr::new(self.caller.ip(), 0)).is_err() {
            return;
        }
        let Ok(Ok(mut on)) = tokio::time::timeout(CONNECT, socket.connect(self.listens)).await else {
            return;
        };
        let _ = (stream.set_nodelay(true), on.set_nodelay(true));
        let this = self.clone();
        tokio::select! {
            biased;
            ended = self.apart.wait_for(|a| this.is_cut(a)) => if ended.is_err() {
                return;
            },
            _ = tokio::io::copy_bidirectional(&mut stream, &mut on) => return,
        }
        // Silent until the machines are joined.
        let _ = self.apart.wait_for(|a| !this.is_cut(a)).await;
    }
}
