//! Outputs of simulated backend servers, and the ledger of executed calls.

use hollywheel_config::StageKind;
use hollywheel_node::AttemptCall;
use hollywheel_types::{AttemptNonce, IdempotencyKey, MonoTime, RequestId, ServerId, StageId};

/// Action of a backend server on a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LedgerEvent {
    /// The work began.
    Started,
    /// The server refused the call before any processing.
    Refused,
}

/// An entry of the ledger of the backend servers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LedgerEntry {
    /// The time.
    pub at: MonoTime,
    /// The server.
    pub server: ServerId,
    /// The action.
    pub event: LedgerEvent,
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub nonce: AttemptNonce,
    /// The stage.
    pub stage: StageId,
    /// The key, for a non-idempotent stage.
    pub key: Option<IdempotencyKey>,
}

/// Returns the output of a stage that does not generate a stream.
pub fn unary_output(stage: &str, input: &str, previous: &str) -> String {
    format!("{stage}({input}|{previous})")
}

/// Returns a token of a stage that generates a stream.
pub fn token_text(stage: &str, input: &str, previous: &str, index: u32) -> String {
    format!("{stage}.{index}({input}|{previous}) ")
}

/// Returns the output of a call that does not generate a stream.
pub fn call_output(call: &AttemptCall) -> String {
    unary_output(call.stage.as_str(), &call.input, &call.previous)
}

/// Returns a token of a call that generates a stream.
pub fn call_token(call: &AttemptCall, index: u32) -> String {
    token_text(call.stage.as_str(), &call.input, &call.previous, index)
}

/// Returns whether a call is answered by a stream.
pub fn streams(call: &AttemptCall) -> bool {
    call.work == StageKind::Generate
}
