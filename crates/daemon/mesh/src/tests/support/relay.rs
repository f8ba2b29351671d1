//! A TCP relay in front of a sidecar's gate that breaks connections between sidecars.
use super::{Sidecar, TestConnection};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

/// What a relay does with a connection.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum RelayAction {
    /// Both directions are forwarded until either ends.
    Forward,
    /// The request is forwarded; once [`Relay::reset`] is notified, both sides are reset.
    ResetWhenNotified,
    /// The request is forwarded, its response dropped, then both sides are reset.
    DropResponse,
    /// The request is withheld, and the origin's side is reset.
    KeepRequest,
}

/// A relay in front of a sidecar's gate.
#[derive(Clone)]
pub(crate) struct Relay {
    pub(crate) address: SocketAddr,
    /// The address that connections are forwarded to.
    pub(crate) to: Rc<Cell<SocketAddr>>,
    /// Actions for the next connections, in order; further connections are forwarded.
    pub(crate) actions: Rc<RefCell<VecDeque<RelayAction>>>,
    /// The bytes of withheld requests.
    pub(crate) kept: Rc<RefCell<Vec<u8>>>,
    pub(crate) reset: Rc<Notify>,
}

fn reset_on_close(stream: TcpStream) {
    let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
}

impl Relay {
    /// Starts a relay in front of a gate, and gives the origin the relay's address for that gate.
    pub(crate) async fn between(origin: &Sidecar, gate: &Sidecar) -> Relay {
        let listener = TcpListener::bind((gate.ip, 0)).await.expect("free port");
        let address = listener.local_addr().expect("bound listener");
        let relay = Relay {
            address,
            to: Rc::new(Cell::new(gate.inbound)),
            actions: Rc::default(),
            kept: Rc::default(),
            reset: Rc::default(),
        };
        origin.learn_sidecar(&gate.reached_at(address));
        let accepting = relay.clone();
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let action = accepting.actions.borrow_mut().pop_front().unwrap_or(RelayAction::Forward);
                tokio::task::spawn_local(accepting.clone().serve(stream, action));
            }
        });
        relay
    }

    async fn serve(self, mut stream: TcpStream, action: RelayAction) {
        if action == RelayAction::KeepRequest {
            let mut connection = TestConnection::from_stream(stream);
            let head = connection.read_head().await;
            self.kept.borrow_mut().extend_from_slice(head.as_bytes());
            return reset_on_close(connection.stream);
        }
        let mut onward = TcpStream::connect(self.to.get()).await.expect("open connection");
        match action {
            RelayAction::DropResponse => {
                let mut connection = TestConnection::from_stream(stream);
                let head = connection.read_head().await;
                let mut onward = TestConnection::from_stream(onward);
                onward.send(head.as_bytes()).await;
                onward.read_head().await;
                reset_on_close(onward.stream);
                reset_on_close(connection.stream);
            }
            _ => {
                let may_reset = action == RelayAction::ResetWhenNotified;
                tokio::select! {
                    _ = tokio::io::copy_bidirectional(&mut stream, &mut onward) => {}
                    () = self.reset.notified(), if may_reset => {
                        reset_on_close(onward);
                        reset_on_close(stream);
                    }
                }
            }
        }
    }
}
