//! One run of a cell: two hosts, fake servers, a fake table service and a caller.

mod backend;
mod carry_out;
mod deliver;
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
