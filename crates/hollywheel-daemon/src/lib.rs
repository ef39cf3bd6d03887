//! Host daemon: sockets, clocks and tasks around the sans-I/O state machines.

pub mod admin;
pub mod backend;
mod command;
mod config_view;
pub mod core;
mod events;
pub mod front;
mod host;
mod install;
mod key_index;
mod log;
pub mod metrics;
mod orders;
pub mod peers;
mod queue;
pub mod retention;
pub mod settings;
mod supervisor;
mod ticker;
mod traces;
mod web;

pub use command::run_command;
pub use config_view::{ConfigInForce, ConfigView};
pub use events::{EventContext, LogEvent, events_table, log_event};
pub use hollywheel_clock::{HostClock, random_seed};
pub use host::{HostComponents, HostError, RunningHost};
pub use key_index::KeyIndex;
pub use log::start_log;
pub use supervisor::{ChildEntry, HostPhase, RestartPolicy, SupervisorTree, list_children};
pub use traces::{TraceId, TraceRing};
pub use web::{ProblemReply, WebServer, bind_listener};
