//! One host of the system: its components, start and shutdown.

mod children;
mod components;
mod error;
mod running;

pub use components::HostComponents;
pub(crate) use components::{bearer_value, transport_identity};
pub use error::HostError;
pub use running::RunningHost;
