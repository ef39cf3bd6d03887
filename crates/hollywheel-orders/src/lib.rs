//! Placement of models on engines, protected by leases with fencing tokens.
//!
//! One host at a time holds the lease of a pool and sends its engines orders to load or unload
//! models, until the engines hold what the configuration asks for.

mod lease;
mod machine;
mod message;
mod placement;
mod plan;

pub use machine::OrderMachine;
pub use message::{
    EngineReport, OrderAction, OrderAnswer, OrderCall, OrderId, OrderInput, OrderOutput,
    OrderSettings, OrderTicket,
};
