//! The task that removes old rows from the table service.

mod task;

pub use task::RetentionTask;
