//! Starts a whole system of processes on loopback for trials.
//!
//! The product starts no process; this tool does, so that trials and the quick start meet the
//! daemon and the stand-ins as operators run them. It ends what it started, by process id.

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
