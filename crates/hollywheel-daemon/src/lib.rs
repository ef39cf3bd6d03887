//! The host daemon: sockets, clocks and threads around the decision machines.

pub mod backend;
mod clock;
mod config_view;
pub mod core;
mod events;
pub mod front;
pub mod metrics;
mod peers;
pub mod settings;
mod traces;
mod web;

pub use clock::{HostClock, random_seed};
pub use config_view::ConfigView;
pub use events::{EventContext, LogEvent, events_table, log_event};
pub use peers::PeerCaller;
pub use traces::{TraceId, TraceRing};
pub use web::{ProblemReply, WebServer, bind_listener};
