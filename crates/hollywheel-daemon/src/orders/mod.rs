//! Task that runs the order state machine, which places models on backend servers.

mod handle;
mod task;

pub use handle::{OrderHandle, order_channel};
pub use task::{OrderEffects, OrderTask};
