//! HTTP interface for operators.

mod access;
mod claims;
mod config;
mod error;
mod query;
mod route;
mod secrets;
mod server;
mod state;
mod status;

pub use access::find_role;
pub use error::AdminError;
pub use secrets::SecretsUpdate;
pub use server::start_admin;
pub use state::{AdminState, MAX_BODY};
