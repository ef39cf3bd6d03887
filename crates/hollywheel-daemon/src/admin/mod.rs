//! The listener for operators.

mod access;
mod claims;
mod config;
mod fault;
mod query;
mod route;
mod secrets;
mod server;
mod state;
mod status;

pub use access::find_role;
pub use fault::AdminFault;
pub use secrets::SecretsOrder;
pub use server::start_admin;
pub use state::{AdminState, MAX_BODY};
