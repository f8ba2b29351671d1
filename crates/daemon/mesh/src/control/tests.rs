//! Tests of the call listener. Inside the crate, since a binary can't be imported.
use super::call::{Call, HandlerFuture, ReceivedCall};
use super::listener::MAX_CONNECTIONS;
use super::response::CallResponse;
use super::{listen, READY_CALLS};
use crate::node_state::NodeState;
use crate::tests::support::{self, SidecarOptions, TestConnection};
use std::rc::Rc;
use tokio::io::AsyncWriteExt;

/// Bytes of the response of [`LONG_READ`].
const LONG_BODY_BYTES: usize = 6 << 20;

/// A call whose response is larger than what the system takes for a caller that does not read.
const LONG_READ: Call = Call { method: "GET", path: "/long", handler: long_read, ends_with_caller: false };

fn long_read<'c>(_: &'c Rc<NodeState>, _: &'c ReceivedCall<'c>) -> HandlerFuture<'c> {
    Box::pin(async { CallResponse::json(200, "x".repeat(LONG_BODY_BYTES)) })
}

/// An order that is under way until its caller leaves.
const PENDING_ORDER: Call =
    Call { method: "POST", path: "/order/{}", handler: pending_order, ends_with_caller: true };

fn pending_order<'c>(_: &'c Rc<NodeState>, _: &'c ReceivedCall<'c>) -> HandlerFuture<'c> {
    Box::pin(std::future::pending())
}

/// Guards against an order that is carried out although its caller has closed its connection, or its sending direction.
#[test]
fn an_order_is_given_up_once_its_caller_has_closed_and_not_before() {
    support::run(async {
        let unused_address = support::bind_upstream().await.address;
        let sidecar = support::start_sidecar(1, unused_address, SidecarOptions::default()).await;
        let support::BoundUpstream { listener, address: call_address } = support::bind_upstream().await;
        tokio::task::spawn_local(listen(sidecar.node_state.clone(), listener, &[&PENDING_ORDER]));
        let abandoned = &sidecar.node_state.counters.abandoned_calls;
        let order = b"POST /order/a HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n";

        let mut waiting = TestConnection::connect(call_address).await;
        waiting.send(order).await;
        let mut half_closed = TestConnection::connect(call_address).await;
        half_closed.send(order).await;
        half_closed.stream.shutdown().await.expect("shut down");
        assert_eq!(support::status(&half_closed.read_head().await), "503");
        let mut closed = TestConnection::connect(call_address).await;
        closed.send(order).await;
        drop(closed);
        while abandoned.get() < 2 {
            tokio::task::yield_now().await;
        }
        assert!(waiting.is_open_and_quiet().await);
        assert_eq!(abandoned.get(), 2, "the one that waits is not given up");
    });
}

/// Guards against a control node that ends while a call is coming in, or before its response has been read.
#[test]
fn a_call_keeps_a_stopping_process_until_its_response_is_read() {
    support::run(async {
        let unused_address = support::bind_upstream().await.address;
        let sidecar = support::start_sidecar(1, unused_address, SidecarOptions::default()).await;
        let support::BoundUpstream { listener, address: call_address } = support::bind_upstream().await;
        let node_state = sidecar.node_state.clone();
        tokio::task::spawn_local(listen(node_state.clone(), listener, &[&LONG_READ]));
        let mut caller = TestConnection::connect(call_address).await;
        caller.send(b"GET /long HTTP/1.1\r\n").await;
        assert!(caller.is_open_and_quiet().await);
        assert!(node_state.is_busy(), "the call is coming in");
        caller.send(b"Host: h\r\n\r\n").await;
        let head = caller.read_head().await;
        node_state.begin_stop();
        assert!(node_state.is_busy(), "the response is not read yet");
        let body = caller.read_body(&head).await;
        assert!(body.is_complete && body.bytes.len() == LONG_BODY_BYTES, "{}", body.bytes.len());
        drop(caller);
        while node_state.is_busy() {
            tokio::task::yield_now().await;
        }
    });
}

#[test]
fn calls_beyond_the_limit_are_closed_and_counted() {
    support::run(async {
        let unused_address = support::bind_upstream().await.address;
        let sidecar = support::start_sidecar(1, unused_address, SidecarOptions::default()).await;
        let support::BoundUpstream { listener, address: call_address } = support::bind_upstream().await;
        tokio::task::spawn_local(listen(sidecar.node_state.clone(), listener, &READY_CALLS));
        let mut open = Vec::new();
        for _ in 0..MAX_CONNECTIONS {
            open.push(TestConnection::connect(call_address).await);
        }
        assert_eq!(TestConnection::connect(call_address).await.receive().await, 0);
        assert_eq!(sidecar.node_state.counters.rejected_calls.get(), 1);
        open[0].send(b"GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n").await;
        assert_eq!(support::status(&open[0].read_head().await), "200");
    });
}
