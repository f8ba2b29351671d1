//! A bare forwarder as a process of its own: this program's `forward`.
use anyhow::{Context, Result};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};

/// A running forwarder. Dropping it ends it.
pub(crate) struct Forwarder {
    child: Child,
    address: SocketAddr,
}

impl Forwarder {
    /// Start one that forwards to this address.
    ///
    /// # Errors
    /// When it does not say where it listens.
    pub(crate) fn start(to: SocketAddr) -> Result<Self> {
        let mut child = Command::new(std::env::current_exe()?)
            .args(["forward", &to.to_string()])
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()?;
        let mut line = String::new();
        let read = child.stderr.take().map(|stderr| BufReader::new(stderr).read_line(&mut line));
        let mut forwarder = Forwarder { child, address: to };
        read.context("no standard error")??;
        let value: serde_json::Value = serde_json::from_str(&line).unwrap_or_default();
        let address = value["listen"].as_str().and_then(|address| address.parse().ok());
        forwarder.address = address.with_context(|| format!("the forwarder did not start: {line}"))?;
        Ok(forwarder)
    }

    /// Where it listens.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Its process.
    pub(crate) fn pid(&self) -> u32 {
        self.child.id()
    }
}

impl Drop for Forwarder {
    fn drop(&mut self) {
        // One that has ended already is no fault.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
