//! A bare forwarder on the same poller as the sidecar: what this machine allows when nothing is read or decided.
use polling::Events;
use silvercross_net::registry::{Interest, Registry, Watched};
use silvercross_net::table::{Handle, Table};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};

const LISTENER: usize = usize::MAX - 1;

/// One half of a pair: what it holds is on its way out of it.
struct Half {
    socket: Watched<TcpStream>,
    other: Option<Handle>,
    out: Vec<u8>,
}

/// Serve until the process ends. Says where it listens as a sidecar does.
pub fn run(to: SocketAddr) -> io::Result<()> {
    let registry = Registry::new()?;
    let listener = TcpListener::bind("127.0.0.1:0")?;
    listener.set_nonblocking(true)?;
    eprintln!("{{\"msg\":\"started\",\"listen\":\"{}\"}}", listener.local_addr()?);
    let listener = registry.watch(listener, LISTENER, Interest::Read)?;
    let (mut table, mut events): (Table<Half>, _) = (Table::default(), Events::new());
    loop {
        registry.wait(&mut events, None)?;
        for event in events.iter() {
            if event.key == LISTENER {
                while let Ok((near, _)) = listener.get().accept() {
                    if let Ok(far) = TcpStream::connect(to) {
                        pair(&registry, &mut table, near, far)?;
                    }
                }
                continue;
            }
            let handle = Handle::from_number(event.key as u64);
            if pass(&mut table, handle).is_err() {
                let other = table.remove(handle).and_then(|h| h.other);
                other.and_then(|o| table.remove(o));
            }
        }
    }
}

fn pair(registry: &Registry, table: &mut Table<Half>, near: TcpStream, far: TcpStream) -> io::Result<()> {
    let mut add = |stream: TcpStream, other: Option<Handle>| {
        stream.set_nonblocking(true)?;
        stream.set_nodelay(true)?;
        let made = table.insert_with(|h| {
            let socket = registry.watch(stream, h.number() as usize, Interest::Read)?;
            Ok::<_, io::Error>(Half { socket, other, out: Vec::new() })
        })?;
        made.ok_or_else(|| io::Error::other("the table is full"))
    };
    let near = add(near, None)?;
    let far = add(far, Some(near))?;
    if let Some(half) = table.get_mut(near) {
        half.other = Some(far);
    }
    Ok(())
}

fn pass(table: &mut Table<Half>, handle: Handle) -> io::Result<()> {
    flush(table, handle)?;
    let mut bytes = [0; 16 * 1024];
    loop {
        let Some(half) = table.get_mut(handle) else { return Ok(()) };
        let n = match half.socket.get().read(&mut bytes) {
            Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
            Ok(n) => n,
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(()),
            Err(e) => return Err(e),
        };
        let Some(other) = half.other else { return Ok(()) };
        if let Some(to) = table.get_mut(other) {
            to.out.extend_from_slice(&bytes[..n]);
        }
        flush(table, other)?;
    }
}

fn flush(table: &mut Table<Half>, handle: Handle) -> io::Result<()> {
    let Some(half) = table.get_mut(handle) else { return Ok(()) };
    while !half.out.is_empty() {
        match half.socket.get().write(&half.out) {
            Ok(n) => drop(half.out.drain(..n)),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => return half.socket.set(Interest::Both),
            Err(e) => return Err(e),
        }
    }
    half.socket.set(Interest::Read)
}
