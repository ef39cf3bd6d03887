//! Publication of new versions, and installation of published versions on a host.

mod catch_up;
mod chain;
mod command;
mod digest;
mod history;
mod machine;
mod message;
mod reader;
pub mod retain;
mod rows;

pub use digest::SetDigest;
pub use machine::InstallMachine;
pub use message::{
    ChangeBatch, ChangeSummary, InstallError, InstallFault, InstallInput, InstallOutput,
    InstallSettings, InstallTicket, PublishCommand, PublishReceipt, RollbackCommand,
};
