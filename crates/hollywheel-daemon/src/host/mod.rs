//! One host of the system: its parts, its start and its shutdown.

mod error;
mod parts;
mod running;
mod runs;

pub use error::HostError;
pub use parts::HostComponents;
pub(crate) use parts::{bearer_value, transport_identity};
pub use running::RunningHost;
