//! How much one sidecar bears: open-loop arrivals in steps, against stand-in upstreams that answer at once, and beside it
//! a bare forwarder that passes bytes on the same kind of loop, as this machine's physical limit. Waiting counts from when
//! a request should have been sent, so that a sidecar that stalls cannot hide it by slowing its callers.
mod forwarder;
mod stations;

use crate::sockets::Program;
use hdrhistogram::Histogram;
use serde::Serialize;
use silvercross_core::interface::Micros;
use slog::{info, Logger};
use std::net::SocketAddr;
use std::time::Duration;

/// What to measure.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Requests a second, step by step.
    pub steps: Vec<f64>,
    /// How long each step lasts.
    pub each: Duration,
    /// Stand-in upstreams.
    pub upstreams: usize,
    /// Bytes of a request's body.
    pub body: usize,
}

/// One step.
#[derive(Clone, Debug, Serialize)]
pub struct Step {
    /// `sidecar` or `forwarder`.
    pub of: String,
    /// Requests a second asked for.
    pub asked_per_s: f64,
    /// Answers 200 a second.
    pub served_per_s: f64,
    /// Share of the requests without a 200.
    pub failed: f64,
    /// CPU of the process measured, for a request, in microseconds.
    pub cpu_us: f64,
    /// The share of a core that it used.
    pub core: f64,
    /// Connections opened to upstreams for a request.
    pub connections: f64,
    /// Waiting from the intended send, in ms.
    pub p50_ms: f64,
    /// See there.
    pub p99_ms: f64,
    /// See there.
    pub p999_ms: f64,
    /// How late the generator itself was at worst, in ms.
    pub late_ms: f64,
}

/// What a generator saw in a step.
pub(crate) struct Seen {
    pub asked: u64,
    pub served: u64,
    pub took: Histogram<u64>,
    pub late: Micros,
}

/// CPU that a process has used, in microseconds, in the kernel's ticks of 10 ms.
fn cpu(pid: u32) -> Option<u64> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let rest = text.rsplit_once(')')?.1;
    let field = |n: usize| rest.split_whitespace().nth(n).and_then(|v| v.parse::<u64>().ok());
    Some((field(11)? + field(12)?) * 10_000)
}

/// Measure a sidecar, and the forwarder beside it.
pub fn measure(program: &Program, own: &Program, plan: &Plan, log: &Logger) -> Result<Vec<Step>, String> {
    let mut steps = Vec::new();
    let upstreams = stations::Upstreams::start(plan.upstreams).map_err(|e| format!("upstreams: {e}"))?;
    let sidecar = stations::sidecar(program, &upstreams.addresses)?;
    let forwarder = stations::forwarder(own, upstreams.addresses[0])?;
    for (of, station) in [("sidecar", &sidecar), ("forwarder", &forwarder)] {
        for asked in &plan.steps {
            info!(log, "step"; "of" => of, "asked_per_s" => asked);
            steps.push(step(of, station.at, station.pid(), *asked, plan, &upstreams)?);
        }
    }
    Ok(steps)
}

fn step(
    of: &str,
    at: SocketAddr,
    pid: u32,
    asked: f64,
    plan: &Plan,
    upstreams: &stations::Upstreams,
) -> Result<Step, String> {
    let gone = || format!("the {of} has ended");
    let (before, opened) = (cpu(pid).ok_or_else(gone)?, upstreams.opened());
    let seen = stations::ask(at, asked, plan.each, plan.body).map_err(|e| format!("the load: {e}"))?;
    let (after, opened) = (cpu(pid).ok_or_else(gone)?, upstreams.opened() - opened);
    let each = plan.each.as_secs_f64();
    let per = |v: f64| if seen.asked == 0 { 0.0 } else { v / seen.asked as f64 };
    let at = |q: f64| seen.took.value_at_quantile(q) as f64 / 1e3;
    Ok(Step {
        of: of.into(),
        asked_per_s: asked,
        served_per_s: seen.served as f64 / each,
        failed: 1.0 - per(seen.served as f64),
        cpu_us: per((after - before) as f64),
        core: (after - before) as f64 / 1e6 / each,
        connections: per(opened as f64),
        p50_ms: at(0.5),
        p99_ms: at(0.99),
        p999_ms: at(0.999),
        late_ms: seen.late as f64 / 1e3,
    })
}

/// Be the bare forwarder: bytes in, bytes out, one connection to the upstream for each one taken.
pub fn forward(to: SocketAddr) -> Result<(), String> {
    forwarder::run(to).map_err(|e| format!("the forwarder: {e}"))
}
