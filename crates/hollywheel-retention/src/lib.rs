//! Removal of old rows from the table service: settled claims and configuration changes.
//!
//! [`RetentionMachine`] is pure: it takes the time, the hosts and the answers of the table
//! service, and returns the calls that follow.

mod duty;
mod expiry;
mod machine;
mod message;
mod settings;
mod sweep;

pub use duty::is_duty_of;
pub use expiry::is_expired;
pub use machine::RetentionMachine;
pub use message::{RetentionInput, RetentionOutput, RetentionTicket};
pub use settings::RetentionSettings;
