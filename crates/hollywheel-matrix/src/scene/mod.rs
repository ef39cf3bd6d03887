//! Simulation of a cell: two hosts, backend servers, a table service and a caller.

mod backend;
mod deliver;
mod execute;
mod forward;
mod host;
mod inject;
mod log;
mod queue;
mod run;
mod serve;
mod steps;
mod table;

pub use backend::{LedgerEntry, LedgerEvent, token_text, unary_output};
pub use log::{ProcessEnd, SceneLog, SeenPart, SentRequest};
pub use run::{FaultScene, SceneSettings};
pub use table::FakeTable;
