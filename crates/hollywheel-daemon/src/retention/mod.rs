//! Task that deletes old claim and configuration rows from the table service.

mod task;

pub use task::RetentionTask;
