//! The process lifecycle of a node: startup, reload and stop on signals, graceful shutdown.
use crate::disk::DiskError;
use crate::graceful_stop::Phase;
use crate::node_state::NodeState;
use crate::settings::NodeSettings;
use crate::{reload, startup};
use anyhow::Result;
use silvercross_time::Instant;
use slog::{error, info, Logger};
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::{signal, SignalKind};
use tokio::task::JoinHandle;

/// Interval at which a stopping process checks its stop phase.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which shutdown checks whether what it waits for is done.
const END_CHECK_INTERVAL: Duration = Duration::from_millis(25);
/// Time for the other nodes to learn that this one leaves.
const LEAVE_PROPAGATION_TIME: Duration = Duration::from_millis(60);

/// Runs a node until it is told to stop or fails.
///
/// # Errors
/// A failure to start, or a failed disk. It is also logged.
pub(crate) fn run(
    settings: NodeSettings,
    log: Logger,
    settings_path: &Path,
    with_event_stream: bool,
) -> Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let local = tokio::task::LocalSet::new();
    let name = settings.name.clone();
    let served = serve(settings, log.clone(), settings_path, with_event_stream);
    let result = local.block_on(&runtime, served);
    if let Err(e) = &result {
        error!(log, "cannot run"; "why" => format!("{e:#}"), "at" => name);
    }
    result
}

async fn serve(
    settings: NodeSettings,
    log: Logger,
    settings_path: &Path,
    with_event_stream: bool,
) -> Result<()> {
    let node = startup::start(settings, log, settings_path, with_event_stream).await?;
    let (node_state, mut disk_task) = (node.node_state, node.disk_task);
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            error = disk_failure(&mut disk_task) => {
                return Err(DiskError::FailedWhileRunning(Box::new(error)).into());
            }
            _ = hangup.recv() => {
                reload::reload(&node_state, true);
            }
        }
    }
    stop(&node_state).await;
    Ok(())
}

/// Waits until the disk has failed, and returns why.
async fn disk_failure(task: &mut Option<JoinHandle<DiskError>>) -> DiskError {
    match task {
        Some(task) => task.await.unwrap_or_else(|error| DiskError::ThreadEnded { cause: error.to_string() }),
        None => std::future::pending().await,
    }
}

/// Stops gracefully: serves until the platform, which probes once a second, was told "not ready" twice, answers what was read,
/// and ends within the grace period.
async fn stop(node_state: &Rc<NodeState>) {
    node_state.begin_stop();
    let end_by = serve_until_shutdown(node_state).await;
    // From here on no connection is accepted; requests accepted so far are answered before the end.
    node_state.close_idle_connections();
    node_state.close_listeners();
    // A replica that can be replaced stays until it is replaced, because a second loss would leave no majority.
    wait_while(node_state, end_by, || node_state.peers.is_replica_needed()).await;
    node_state.peers.leave_membership(node_state);
    tokio::time::sleep(LEAVE_PROPAGATION_TIME).await;
    wait_while(node_state, end_by, || node_state.is_busy()).await;
    let counters = &node_state.counters;
    info!(node_state.log, "ended"; "open" => counters.open_requests.get(),
        "is_grace_over" => node_state.now() >= end_by, "client_connections" => counters.client_connections.get(),
        "gate_connections" => counters.hop_connections.get());
}

/// Serves until no more requests are to be accepted; returns the deadline of the process.
async fn serve_until_shutdown(node_state: &Rc<NodeState>) -> Instant {
    let (mut is_closing_idle, mut end_by) = (false, node_state.now());
    loop {
        tokio::time::sleep(STOP_CHECK_INTERVAL).await;
        let Some(progress) = node_state.stop_progress() else { return end_by };
        end_by = progress.end_by;
        match progress.phase {
            Phase::Serve => {}
            Phase::CloseIdle if is_closing_idle => {}
            Phase::CloseIdle => {
                is_closing_idle = true;
                node_state.close_idle_connections();
            }
            Phase::Shut => return end_by,
        }
    }
}

/// Waits while the condition holds, at the latest until the deadline of the process.
async fn wait_while(node_state: &NodeState, end_by: Instant, condition: impl Fn() -> bool) {
    while condition() && node_state.now() < end_by {
        tokio::time::sleep(END_CHECK_INTERVAL).await;
    }
}
