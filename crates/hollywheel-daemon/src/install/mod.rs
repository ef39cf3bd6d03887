//! Task that runs the install state machine, which publishes, fetches and installs configurations.

mod handle;
mod task;

pub use handle::{InstallHandle, InstallMessage};
pub use task::{InstallEffects, InstallTask, install_channel};
