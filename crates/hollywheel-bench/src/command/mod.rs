//! The subcommands, one file each.

mod check;
mod experiment;
mod load;
mod plot;
mod run;

pub(crate) use run::run;
