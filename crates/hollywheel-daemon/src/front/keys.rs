//! Endpoint that issues idempotency keys.

use hollywheel_node::GrantedKey;
use hollywheel_types::IdempotencyKey;
use http::{HeaderMap, StatusCode};
use serde::Serialize;

use super::problem::{CallFault, key_problem};
use super::request::parse_key;
use super::state::FrontState;
use crate::web::{BufferedReply, json_reply, problem_reply};

/// JSON body of the response to `POST /v1/keys`.
#[derive(Debug, Serialize)]
struct KeyAnswer {
    idempotency_key: IdempotencyKey,
    /// Time in milliseconds within which the key must first be used.
    expires_ms: u64,
}

impl KeyAnswer {
    fn of(granted: GrantedKey) -> Self {
        Self {
            idempotency_key: granted.key,
            expires_ms: u64::try_from(granted.expires.as_millis()).unwrap_or(u64::MAX),
        }
    }
}

/// Issues an idempotency key to the workspace of the caller.
pub(super) async fn issue_key(
    state: &FrontState,
    headers: &HeaderMap,
) -> Result<BufferedReply, CallFault> {
    let key = parse_key(headers)?;
    let current = state.config.in_force().ok_or(CallFault::NotReady)?;
    let workspace = current.keys.find(&key).ok_or(CallFault::NoKey)?.clone();
    let result = state.core.issue_key(workspace).await;
    Ok(match result.map_err(|_| CallFault::Busy)? {
        Ok(granted) => json_reply(StatusCode::CREATED, &KeyAnswer::of(granted)),
        Err(refusal) => problem_reply(&key_problem(&refusal)),
    })
}
