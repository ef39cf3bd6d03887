//! QUIC transport between hosts, authenticated by mutual TLS.

mod connections;
mod error;
mod identity;
mod incoming;
mod quic;
mod request;
mod settings;
mod transport;
mod verifier;

pub use error::TransportError;
pub use request::{ForwardOutcome, HostRequest};
pub use settings::{TransportIdentity, TransportSettings};
pub use transport::{HostTransport, TrafficCount};
