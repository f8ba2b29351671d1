//! Sidecars in the test process on loopback sockets, with the test's own clients and upstreams. Records and configuration
//! are applied directly instead of through membership.
mod control_calls;
mod relay;
pub(crate) mod routes;
mod scripted_mesh;
mod sidecar;
mod sidecar_pair;
mod test_connection;
mod upstream;

pub(crate) use control_calls::{call, CallResponse};
pub(crate) use relay::{Relay, RelayAction};
pub(crate) use scripted_mesh::{
    post, post_head, scripted_mesh, upload_head, ClientResult, ScriptedMesh, GOOD_RESPONSE,
};
pub(crate) use sidecar::{
    start_sidecar, start_sidecar_at, start_sidecar_with_settings, Sidecar, SidecarOptions, StartedSidecar,
    SERVICE,
};
pub(crate) use sidecar_pair::{
    accept_connection, accept_request, SidecarPair, UpstreamLocation, UPSTREAM_LOCATIONS,
};
pub(crate) use test_connection::{
    header_value, patterned_bytes, status, ReceivedBody, TestConnection, ATTEMPT_ID_LINE,
};
pub(crate) use upstream::{answer_all, bind_upstream, upstream_response_head, BoundUpstream};

use std::future::Future;
use std::time::Duration;
use tokio::time::timeout;

/// The longest that a test waits for one event.
const EVENT_TIMEOUT: Duration = Duration::from_secs(20);

/// Runs a test on a single-threaded runtime, as sidecars run.
pub(crate) fn run(test: impl Future<Output = ()>) {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().expect("runtime is built");
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, async {
        timeout(3 * EVENT_TIMEOUT, test).await.expect("test within its timeout");
    });
}

/// Like [`run`], in paused time, which advances only while all tasks are idle.
pub(crate) fn run_paused(test: impl Future<Output = ()>) {
    let mut runtime = tokio::runtime::Builder::new_current_thread();
    let runtime = runtime.enable_all().start_paused(true).build().expect("runtime is built");
    tokio::task::LocalSet::new().block_on(&runtime, test);
}
