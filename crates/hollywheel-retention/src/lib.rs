//! Removal of expired rows from the table service: decided claims and old configuration rows.
//!
//! [`RetentionMachine`] does no I/O: it takes the time, the alive hosts and the replies of the
//! table service, and returns the calls to make.

mod expiry;
mod machine;
mod message;
mod settings;
mod sweep;
mod sweeper;

pub use expiry::is_expired;
pub use machine::RetentionMachine;
pub use message::{RetentionInput, RetentionOutput, RetentionTicket};
pub use settings::RetentionSettings;
pub use sweeper::is_sweeper;
