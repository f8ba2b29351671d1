//! A small mesh of the real program on loopback: a machine is an address, a role is a process of ours, and what stands around
//! it (upstreams, clients, an operator) are stand-ins in this process. Everything started ends with its [`Village`].
#![forbid(unsafe_code)]

pub mod client;
pub mod control;
pub mod faults;
pub mod lapse;
pub mod line;
pub mod links;
pub mod load;
pub mod mesh;
pub mod operator;
pub mod program;
pub mod show;
pub mod station;
pub mod village;
pub mod witness;

pub use village::Village;

use std::future::Future;
use std::time::Duration;

/// Between two looks at something that is waited for.
const LOOK: Duration = Duration::from_millis(20);

/// Look until it is so; an error that names what was waited for, if it is not within `limit`.
pub async fn until<F: Future<Output = bool>>(
    what: &str,
    limit: Duration,
    mut look: impl FnMut() -> F,
) -> anyhow::Result<()> {
    let end = tokio::time::Instant::now() + limit;
    while !look().await {
        if tokio::time::Instant::now() >= end {
            anyhow::bail!("{what}: not within {} s", limit.as_secs_f64());
        }
        tokio::time::sleep(LOOK).await;
    }
    Ok(())
}

/// A short hash of bytes (FNV-1a), for stamps that are checked at the other end.
pub fn hash(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(*b)).wrapping_mul(0x0100_0000_01b3))
}

/// A number that no other run has, for names and addresses.
pub fn fresh() -> u64 {
    use std::hash::{BuildHasher, Hasher};
    std::hash::RandomState::new().build_hasher().finish()
}
