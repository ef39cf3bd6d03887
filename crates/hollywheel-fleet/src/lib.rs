//! Starts a whole system of processes on loopback for trials.
//!
//! The daemon itself starts no processes. This tool starts the daemons and the stand-ins as separate
//! processes, so that trials and the quick start use them as operators run them. It shuts down only
//! the processes that it started, by process id.

mod app;
mod commands;
mod error;
mod fleet;
mod host;
mod http;
mod keys;
mod objects;
mod process;
mod record;
mod standin;
mod timeline;

pub use app::{build_command, run};
pub use error::FleetError;
pub use objects::replace_addresses;
pub use record::{FleetRecord, HostRecord, StandinRecord};
pub use timeline::{FaultAction, FaultTimeline, TimedFault};
