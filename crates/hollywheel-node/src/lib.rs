//! The decision machine of one host.
//!
//! A host is one value of [`NodeMachine`]. Every input carries the time; every effect is an
//! output. The machine reads no clock, opens no socket and starts no thread.

mod attempt;
mod call;
mod claim;
mod drain;
mod finish;
mod forward;
mod input;
mod late;
mod machine;
mod nonce;
mod output;
mod receive;
mod retry;
mod run;
mod settings;
mod stage;
mod table;
mod trace;

pub use input::{
    AnswerEcho, AttemptEvent, CallTicket, CallerRequest, ForwardEnd, HostInfo, HostView, NodeInput,
};
pub use machine::NodeMachine;
pub use output::{
    AttemptCall, GrantedKey, NodeEvent, NodeOutput, Refusal, RefusalReason, ReplyPart,
    RequestSummary,
};
pub use settings::NodeSettings;
pub use trace::{TraceLine, TraceOutcome, TraceRecorder, TraceSettings};
