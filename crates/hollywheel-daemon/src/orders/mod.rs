//! The task that owns the order machine.

mod handle;
mod task;

pub use handle::{OrderHandle, order_channel};
pub use task::{OrderEffects, OrderTask};
