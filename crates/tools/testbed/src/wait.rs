//! Waiting for something that other processes do.
use std::future::Future;
use std::time::Duration;

/// Between two looks at something that is waited for.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// How long anything here is waited for, unless a play says otherwise.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Look until it is so.
///
/// # Errors
/// When it is not so within the time-out; the error names what was waited for.
pub async fn wait_until<F: Future<Output = bool>>(
    what: &str,
    timeout: Duration,
    mut look: impl FnMut() -> F,
) -> anyhow::Result<()> {
    let end = tokio::time::Instant::now() + timeout;
    while !look().await {
        if tokio::time::Instant::now() >= end {
            anyhow::bail!("{what}: not within {} s", timeout.as_secs_f64());
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Ok(())
}
