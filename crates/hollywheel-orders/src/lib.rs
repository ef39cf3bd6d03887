//! Placement of models on engines under leases with fencing numbers.

mod machine;
mod message;

pub use machine::OrderMachine;
pub use message::{
    EngineReport, OrderAction, OrderAnswer, OrderCall, OrderId, OrderInput, OrderOutput,
    OrderSettings, OrderTicket,
};
