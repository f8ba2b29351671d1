//! An operator that sends one change after the other, each until it is acknowledged.
use crate::client::RequestKind;
use crate::operator::{patch, Route};
use crate::testbed::Testbed;
use crate::wait::WAIT_TIMEOUT;
use anyhow::{bail, Result};
use serde_json::Value;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::Instant;

/// Routes that are changed in turn.
const CHANGED_ROUTES: u64 = 40;
/// The version of the first change: those below are the first configuration's.
const FIRST_VERSION: u64 = 10;
/// Between two looks at how far the writer has come.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

fn change(service: &str, version: u64) -> Value {
    let number = version % CHANGED_ROUTES;
    let (name, path_prefix) = (format!("r-change-{number}"), format!("/change/{number}/"));
    let route = Route { name, path_prefix, ..Route::of(service, RequestKind::Safe) };
    patch(&[route], &[], version)
}

/// An operator that goes on changing routes for as long as it lives.
pub(crate) struct Writer {
    acknowledged: Arc<AtomicU64>,
    task: JoinHandle<Result<()>>,
}

impl Drop for Writer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Writer {
    pub(crate) fn start(testbed: &Testbed, interval: Duration) -> Self {
        let acknowledged: Arc<AtomicU64> = Arc::default();
        let (operator, count) = (testbed.operator.clone(), acknowledged.clone());
        let service = testbed.services()[0].clone();
        let task = tokio::spawn(async move {
            for version in FIRST_VERSION.. {
                let operator = operator.beginning_at(version as usize);
                operator.patch(&change(&service, version)).await?;
                count.fetch_add(1, Relaxed);
                tokio::time::sleep(interval).await;
            }
            Ok(())
        });
        Writer { acknowledged, task }
    }

    /// Changes that were acknowledged.
    pub(crate) fn count(&self) -> u64 {
        self.acknowledged.load(Relaxed)
    }

    /// Wait until so many more are acknowledged; each may take as long as anything here.
    pub(crate) async fn wait_for_more(&self, more: u64, what: &str) -> Result<()> {
        let (mut last, mut since) = (self.count(), Instant::now());
        let target = last + more;
        while last < target {
            if self.task.is_finished() || since.elapsed() > WAIT_TIMEOUT {
                bail!("{what}: the operator got no further than {last} changes");
            }
            tokio::time::sleep(POLL_INTERVAL).await;
            if self.count() > last {
                (last, since) = (self.count(), Instant::now());
            }
        }
        Ok(())
    }
}
