//! The commands of the tool, one module each.

mod check;
mod claims;
mod completion;
mod diff;
mod drain;
mod hash_key;
mod history;
mod hosts;
mod logs;
mod make_ca;
mod make_host_key;
mod pools;
mod publish;
mod registry;
mod rollback;
mod schema;
mod show;
mod status;
mod trace;

pub use registry::CommandName;
