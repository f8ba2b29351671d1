//! A node's life as a process: started, told to reload or to stop by signals, ended in order.
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

/// Between two looks at what a process that stops is to do.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Between two looks at whether something that the end waits for is done.
const END_CHECK_INTERVAL: Duration = Duration::from_millis(25);
/// The other nodes hear that this one leaves within this.
const LEAVE_TIME: Duration = Duration::from_millis(60);

/// Run a node until it is told to stop or can't go on.
///
/// # Errors
/// What keeps it from starting, or a disk that failed. It is logged too.
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

/// Why the disk has failed, once it has.
async fn disk_failure(task: &mut Option<JoinHandle<DiskError>>) -> DiskError {
    match task {
        Some(task) => task.await.unwrap_or_else(|error| DiskError::ThreadEnded { cause: error.to_string() }),
        None => std::future::pending().await,
    }
}

/// The platform asks once a second and must be told "not ready" twice; what was read is answered; then the end, within the
/// grace.
async fn stop(node_state: &Rc<NodeState>) {
    node_state.begin_stop();
    let end_by = serve_until_shut(node_state).await;
    // From now on nobody gets in; whoever did meanwhile is answered before the end.
    node_state.close_idle_connections();
    node_state.close_listeners();
    // A replica that can be replaced stays until it is, for a second loss would leave no majority.
    wait_while(node_state, end_by, || node_state.peers.is_replica_needed()).await;
    node_state.peers.leave_membership(node_state);
    tokio::time::sleep(LEAVE_TIME).await;
    wait_while(node_state, end_by, || node_state.is_busy()).await;
    info!(node_state.log, "ended"; "open" => node_state.open_requests.get());
}

/// Serve on until nobody is to get in any more; by when the process ends.
async fn serve_until_shut(node_state: &Rc<NodeState>) -> Instant {
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

/// Wait while this is so, at the latest until the process ends.
async fn wait_while(node_state: &NodeState, end_by: Instant, is_so: impl Fn() -> bool) {
    while is_so() && node_state.now() < end_by {
        tokio::time::sleep(END_CHECK_INTERVAL).await;
    }
}
