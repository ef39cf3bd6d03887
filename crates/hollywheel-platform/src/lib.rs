//! HTTP client of the platform's table service, object store and host list.

mod client;
mod error;
mod hosts;
mod http_call;
mod service;

pub use client::{PlatformClient, PlatformSettings};
pub use error::PlatformError;
pub use hosts::{HostEntry, HostListing, HostRole, ListedState};
pub use service::{PlatformFuture, PlatformService};
