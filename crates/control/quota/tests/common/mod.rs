//! Shared by the tests of this folder: an allowance, and the simulation of random schedules.
#![allow(dead_code, unused_imports, reason = "each test target uses a part of it")]

mod check;
pub mod model;
mod world;

use silvercross_quota::{Allowance, KindQuota, Unit, WhenExhausted, WhenUnreachable};
use silvercross_time::{Duration, Instant};

pub use world::{Totals, World};

pub const MEMBER: &str = "workshop-7";
pub const SECOND: Duration = Duration::from_secs(1);

/// The instant `micros` microseconds after the clock's start.
pub fn at(micros: i64) -> Instant {
    Instant::from_micros(micros)
}

pub fn allowance(amounts: [u64; 3], strict: bool, when_unreachable: WhenUnreachable) -> Allowance {
    let when_exhausted = WhenExhausted::Reject;
    let quota = |amount| Some(KindQuota { amount, unit: Unit::Request, when_exhausted, strict });
    Allowance {
        name: MEMBER.to_string(),
        version: 1,
        window_length: SECOND * 60,
        order_header: Some("x-order".to_string()),
        when_unreachable,
        quotas: amounts.map(quota),
    }
}
