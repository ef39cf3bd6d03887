//! Placement of models on engines under leases with fencing numbers.

mod duty;
mod lease;
mod machine;
mod message;
mod plan;

pub use machine::OrderMachine;
pub use message::{
    EngineReport, OrderAction, OrderAnswer, OrderCall, OrderId, OrderInput, OrderOutput,
    OrderSettings, OrderTicket,
};
