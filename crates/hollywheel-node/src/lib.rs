//! Sans-I/O state machine of one host.
//!
//! [`NodeMachine`] admits requests, runs them through the stages of their pipelines and retries,
//! hedges or refuses them. Every input carries the current time and every effect is returned as
//! an output; the state machine reads no clock, opens no socket and starts no thread.

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
