//! What the listeners for callers and for operators share.

mod body;
mod connections;
mod problem;
mod server;

pub use body::{BodyFault, discard_body, read_body};
pub use connections::{ConnectionLimit, LimitBuilder};
pub use problem::{ProblemReply, json_reply, problem_reply};
pub use server::{WebServer, bind_listener, close_listener};
