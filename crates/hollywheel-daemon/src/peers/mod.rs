//! Calls to other hosts.

mod caller;

pub use caller::PeerCaller;
