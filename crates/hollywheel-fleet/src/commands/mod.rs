//! The subcommands, one file each.

mod run;

pub(crate) use run::{command as run_command, run as run_fleet};
