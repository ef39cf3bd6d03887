//! The command-line tool for operators.
//!
//! Each command has a module in `commands`; [`commands::CommandName`] lists all of them.

mod app;
mod certificates;
mod client;
mod commands;
mod context;
mod error;
mod log_lines;
mod object_files;
mod outcome_plot;
mod output;

pub use app::{build_command, run};
pub use client::{AdminClient, ClientSettings};
pub use commands::CommandName;
pub use error::CliError;
pub use output::{OutputFormat, TextTable};
