//! Authenticated QUIC transport between hosts.

mod error;
mod request;
mod settings;
mod transport;

pub use error::TransportError;
pub use request::HostRequest;
pub use settings::{TransportIdentity, TransportSettings};
pub use transport::HostTransport;
