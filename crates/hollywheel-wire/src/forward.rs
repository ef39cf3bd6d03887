//! Requests that are forwarded to the hosts that issued their idempotency keys.

use std::time::Duration;

use hollywheel_types::{
    ExecutionVerdict, IdempotencyKey, PipelineId, RequestId, TokenCount, WallTime, WorkspaceId,
};

use crate::claim::{decode_verdict, encode_verdict};
use crate::error::WireError;
use crate::fields::{parse_name, required};
use crate::generated as wire;

/// A request that is forwarded to the host that issued its idempotency key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ForwardedRequest {
    /// The id of the request.
    pub request: RequestId,
    /// The workspace of the caller.
    pub workspace: WorkspaceId,
    /// The pipeline.
    pub pipeline: PipelineId,
    /// The input of the first stage.
    pub input: String,
    /// The idempotency key.
    pub key: IdempotencyKey,
    /// The time left until the deadline of the request.
    pub timeout: Duration,
    /// The maximum number of tokens that the caller asked for.
    pub max_tokens: Option<TokenCount>,
    /// The wall-clock time at which the request was received; for information only.
    pub received_at: WallTime,
}

/// The outcome of a forwarded request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ForwardAnswer {
    /// The request completed.
    Complete {
        /// The output of the last stage.
        output: String,
        /// The number of tokens generated.
        tokens: TokenCount,
        /// Whether the output was stored by an earlier request with the same key.
        replayed: bool,
    },
    /// The request was rejected or failed.
    Refused {
        /// Whether the request may have run.
        verdict: ExecutionVerdict,
        /// The name of the rejection reason.
        reason: String,
        /// How long to wait before retrying.
        retry_after: Option<Duration>,
    },
}

pub(crate) fn encode_forward_question(request: &ForwardedRequest) -> wire::ForwardQuestion {
    wire::ForwardQuestion {
        request: request.request.0.to_be_bytes().to_vec(),
        workspace: request.workspace.to_string(),
        pipeline: request.pipeline.to_string(),
        input: request.input.clone(),
        key: request.key.to_string(),
        timeout_us: micros_saturating(request.timeout),
        max_tokens: request.max_tokens.map(|most| most.0),
        received_at_ms: request.received_at.0,
    }
}

pub(crate) fn decode_forward_question(
    message: wire::ForwardQuestion,
) -> Result<ForwardedRequest, WireError> {
    let request: [u8; 16] =
        message
            .request
            .as_slice()
            .try_into()
            .map_err(|_| WireError::BadField {
                field: "request",
                expected: "16 bytes",
            })?;
    Ok(ForwardedRequest {
        request: RequestId(u128::from_be_bytes(request)),
        workspace: parse_name("workspace", &message.workspace)?,
        pipeline: parse_name("pipeline", &message.pipeline)?,
        input: message.input,
        key: parse_name("key", &message.key)?,
        timeout: Duration::from_micros(message.timeout_us),
        max_tokens: message.max_tokens.map(TokenCount),
        received_at: WallTime(message.received_at_ms),
    })
}

pub(crate) fn encode_forward_answer(answer: &ForwardAnswer) -> wire::ForwardAnswer {
    use wire::forward_answer::End;
    let end = match answer {
        ForwardAnswer::Complete {
            output,
            tokens,
            replayed,
        } => End::Complete(wire::ForwardComplete {
            output: output.clone(),
            tokens: tokens.0,
            replayed: *replayed,
        }),
        ForwardAnswer::Refused {
            verdict,
            reason,
            retry_after,
        } => End::Refused(wire::ForwardRefusal {
            verdict: encode_verdict(*verdict).into(),
            reason: reason.clone(),
            retry_after_us: retry_after.map(micros_saturating),
        }),
    };
    wire::ForwardAnswer { end: Some(end) }
}

pub(crate) fn decode_forward_answer(
    message: wire::ForwardAnswer,
) -> Result<ForwardAnswer, WireError> {
    use wire::forward_answer::End;
    Ok(match required("end", message.end)? {
        End::Complete(complete) => ForwardAnswer::Complete {
            output: complete.output,
            tokens: TokenCount(complete.tokens),
            replayed: complete.replayed,
        },
        End::Refused(refused) => ForwardAnswer::Refused {
            verdict: decode_verdict(refused.verdict())?,
            reason: refused.reason,
            retry_after: refused.retry_after_us.map(Duration::from_micros),
        },
    })
}

fn micros_saturating(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
