//! Gateway process on the users' platform: forwards callers' requests to backend servers.
//!
//! This crate holds the sockets, timers and tasks; the scheduling and routing decisions are made
//! by `hollywheel-serving`. The process is single-threaded, and all tasks share one `HostState`.

mod batch_coordinator;
mod body;
mod caller_server;
mod cold_servers;
mod command;
mod config_fetch;
mod connect;
mod connection_pool;
mod containment;
mod crash_evidence;
mod evacuations;
mod events;
mod follow;
mod host;
mod host_rows;
mod limited_body;
mod log;
mod memory_budget;
mod metered_stream;
mod metrics;
mod open_stream;
mod peer_client;
mod peer_server;
mod plain_call;
mod request;
mod respond;
mod results;
mod run;
mod server_attempt;
mod server_limits;
mod stage_client;
mod stage_run;
mod status_server;
mod store_client;
mod store_feed;
mod stream_call;
mod stream_forward;
mod stream_place;
mod supervisor;
mod unanswered;

pub use command::run_gateway;
pub use events::{GatewayEvent, events_table};
