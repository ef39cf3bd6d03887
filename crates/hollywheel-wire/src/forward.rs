//! Requests that are handed to the issuers of their keys.

use std::time::Duration;

use hollywheel_types::{
    ExecutionVerdict, IdempotencyKey, PipelineId, RequestId, TokenCount, WallTime, WorkspaceId,
};

use crate::claim::{read_verdict, write_verdict};
use crate::error::WireError;
use crate::fields::{name, present};
use crate::generated as wire;

/// Holds a request that is handed to the host that issued its key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ForwardedRequest {
    /// The request.
    pub request: RequestId,
    /// The workspace of the caller.
    pub workspace: WorkspaceId,
    /// The pipeline.
    pub pipeline: PipelineId,
    /// The input of the first stage.
    pub input: String,
    /// The key.
    pub key: IdempotencyKey,
    /// The time that is left.
    pub timeout: Duration,
    /// The most tokens that the caller wants.
    pub max_tokens: Option<TokenCount>,
    /// The wall-clock time of receipt, for people to read.
    pub received_at: WallTime,
}

/// Tells what became of a request that was handed over.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ForwardAnswer {
    /// The complete answer.
    Complete {
        /// The output of the last stage.
        output: String,
        /// The tokens generated.
        tokens: TokenCount,
        /// Whether the answer comes from an earlier request with the same key.
        replayed: bool,
    },
    /// No complete answer.
    Refused {
        /// Whether the request may have run.
        verdict: ExecutionVerdict,
        /// The name of the reason.
        reason: String,
        /// When to ask again.
        retry_after: Option<Duration>,
    },
}

pub(crate) fn write_forward(request: &ForwardedRequest) -> wire::ForwardQuestion {
    wire::ForwardQuestion {
        request: request.request.0.to_be_bytes().to_vec(),
        workspace: request.workspace.to_string(),
        pipeline: request.pipeline.to_string(),
        input: request.input.clone(),
        key: request.key.to_string(),
        timeout_us: micros(request.timeout),
        max_tokens: request.max_tokens.map(|most| most.0),
        received_at_ms: request.received_at.0,
    }
}

pub(crate) fn read_forward(message: wire::ForwardQuestion) -> Result<ForwardedRequest, WireError> {
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
        workspace: name("workspace", &message.workspace)?,
        pipeline: name("pipeline", &message.pipeline)?,
        input: message.input,
        key: name("key", &message.key)?,
        timeout: Duration::from_micros(message.timeout_us),
        max_tokens: message.max_tokens.map(TokenCount),
        received_at: WallTime(message.received_at_ms),
    })
}

pub(crate) fn write_forward_answer(answer: &ForwardAnswer) -> wire::ForwardAnswer {
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
            verdict: write_verdict(*verdict).into(),
            reason: reason.clone(),
            retry_after_us: retry_after.map(micros),
        }),
    };
    wire::ForwardAnswer { end: Some(end) }
}

pub(crate) fn read_forward_answer(
    message: wire::ForwardAnswer,
) -> Result<ForwardAnswer, WireError> {
    use wire::forward_answer::End;
    Ok(match present("end", message.end)? {
        End::Complete(complete) => ForwardAnswer::Complete {
            output: complete.output,
            tokens: TokenCount(complete.tokens),
            replayed: complete.replayed,
        },
        End::Refused(refused) => ForwardAnswer::Refused {
            verdict: read_verdict(refused.verdict())?,
            reason: refused.reason,
            retry_after: refused.retry_after_us.map(Duration::from_micros),
        },
    })
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
