//! The operator command-line tool.
//!
//! Each command is a file in `commands`, and [`commands::CommandName`] lists them all.

mod app;
mod certificates;
mod client;
mod commands;
mod context;
mod error;
mod log_lines;
mod object_files;
mod output;

pub use app::{build_command, run};
pub use client::{AdminClient, ClientSettings};
pub use commands::CommandName;
pub use error::CliError;
pub use output::{OutputFormat, TextTable};
