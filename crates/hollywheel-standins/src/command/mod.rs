//! The subcommands, one file each.

mod engine;
mod flag;
mod platform;
mod pool;
mod run;
mod service;

pub(crate) use run::run;
