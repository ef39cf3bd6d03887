//! The task that owns the install machine.

mod handle;
mod task;

pub use handle::{InstallHandle, InstallMessage};
pub use task::{InstallEffects, InstallTask, install_channel};
