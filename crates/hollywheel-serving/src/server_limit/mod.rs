//! Limits on the rate of requests that backend servers name in their responses.
//!
//! A limit holds for the requests of all hosts together. Every host keeps a [`LimitTable`] of what
//! servers and other hosts say about limits. One host per server, chosen like any other duty, grants
//! the permits to send requests to it from a [`PermitLedger`].

mod ledger;
mod table;

use std::time::Duration;

use hollywheel_types::RequestRate;

pub use ledger::{PermitLedger, PermitVerdict};
pub use table::{LimitChange, LimitNotice, LimitStatement, LimitTable};

/// The lowest rate that is assumed for a limit, in requests per second. A server that names a lower
/// one still gets a request now and then, whose response may show that the limit has ended.
const MIN_RATE: f64 = 0.1;
/// The time for which the state of a server that is not in use is kept. Its entry may be missing
/// for some seconds although the server lives, for example while the store is restored.
const KEEP_TIME: Duration = Duration::from_secs(30);

/// Returns the time between two requests at a rate.
fn request_interval(rate: RequestRate) -> Duration {
    Duration::from_secs_f64(1.0 / rate.get().max(MIN_RATE))
}
