//! Servers that are cold: directly after their start, and whenever they say so.
//!
//! A cold server is slow, has an empty cache and crashes if it gets many requests. Every host keeps a
//! [`ColdTable`] of what entries and responses say. The bound on the requests of all hosts together
//! is enforced with the permits for servers that name a limit, at the rate of [`cold_permit_rate`].

mod table;

use std::time::Duration;

use hollywheel_types::{MonoTime, RequestRate, ServerId};
use xxhash_rust::xxh3::Xxh3;

pub use table::{ColdTable, ColdUpdate};

/// The lowest rate of permits for a cold server. It gets a request now and then, also if the bound
/// leaves no room for two granting hosts.
const MIN_PERMIT_RATE: f64 = 0.5;
/// The number of requests that one granting host may permit in any time span beyond its rate: one for
/// the place that is free at the start, and one that was left free before.
const LEDGER_EXCESS: f64 = 2.0;
/// The number of granting hosts whose requests together stay within the bound: one on each side of a
/// network partition, or the host that loses the duty and the one that gets it.
const GRANTING_HOSTS: f64 = 2.0;

/// The time over which a server gets its share step by step after it was cold: its cache fills within
/// seconds, and a longer time would keep its capacity unused in the burst that often follows.
const RAMP_TIME: Duration = Duration::from_secs(3);
/// The smallest fraction of the ramp by which the load of a server is divided.
const MIN_RAMP_FRACTION: f64 = 0.05;

/// Returns the rate at which one host grants permits for a cold server that tolerates `rate`, if all
/// hosts together may send it `rate * overshoot + slack` requests in any one second.
///
/// The rate leaves room for two hosts that grant at the same time. `k` of them may together reach
/// `k * (rate + 2)` requests in a second: with 12 per second, an overshoot of 1.5 and a slack of 5,
/// that is 23 for two (the bound) and 34.5 for three.
pub fn cold_permit_rate(rate: RequestRate, overshoot: f64, slack: f64) -> RequestRate {
    let bound = rate.get() * overshoot + slack;
    let share = bound / GRANTING_HOSTS - LEDGER_EXCESS;
    let share = if share.is_nan() { 0.0 } else { share };
    RequestRate::per_second(share.min(rate.get()).max(MIN_PERMIT_RATE))
}

/// Returns the share of its work that a server gets which is warm from `warm_at` on: 0 before, then
/// rising to 1.
fn ramp_fraction(now: MonoTime, warm_at: MonoTime) -> f64 {
    (now.since(warm_at).as_secs_f64() / RAMP_TIME.as_secs_f64()).min(1.0)
}

/// Returns the factor by which the load of a server counts which is warm from `warm_at` on.
pub(crate) fn ramp_load_factor(now: MonoTime, warm_at: MonoTime) -> f64 {
    1.0 / ramp_fraction(now, warm_at).max(MIN_RAMP_FRACTION)
}

/// Returns a number between 0 and 1 that is the same on all hosts for a prompt part and a server.
fn ramp_threshold(server: &ServerId, part: u64) -> f64 {
    let mut hasher = Xxh3::new();
    hasher.update(b"ramp");
    hasher.update(&part.to_le_bytes());
    hasher.update(server.as_str().as_bytes());
    hasher.digest() as f64 / u64::MAX as f64
}
