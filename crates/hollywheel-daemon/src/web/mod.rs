//! HTTP server parts shared by the listeners for callers and for operators.

mod body;
mod connections;
mod problem;
mod server;

pub use body::{BodyReadError, discard_body, operator_body_stream, read_body};
pub use connections::{ConnectionGuard, ConnectionLimit, LimitBuilder};
pub use problem::{BufferedReply, ProblemReply, json_reply, problem_reply};
pub use server::{ShutdownMode, WebServer, bind_listener, close_listener};
