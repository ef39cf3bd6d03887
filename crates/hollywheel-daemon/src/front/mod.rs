//! HTTP front end for callers.

mod activity;
mod answer;
mod auth;
mod body;
mod event_stream;
mod guard;
mod keys;
mod problem;
mod request;
mod route;
mod server;
mod state;
mod trace_parent;

pub use problem::{CallFault, fault_problem, refusal_problem};
pub use request::{CallHead, RunBody, parse_body, parse_head};
pub use server::start_front;
pub use state::{FrontSettings, FrontState};
pub use trace_parent::TraceParent;
