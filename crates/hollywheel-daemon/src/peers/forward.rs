//! Forwarding of requests to the hosts that issued their idempotency keys.

use std::time::Duration;

use hollywheel_node::{CallerRequest, ForwardEnd, Refusal, RefusalReason, ReplyPart};
use hollywheel_transport::ForwardOutcome;
use hollywheel_types::ExecutionVerdict;
use hollywheel_wire::{ForwardAnswer, ForwardedRequest};
use tokio::sync::{mpsc, oneshot};

use crate::core::CoreHandle;

/// Capacity of the reply queue. A forwarded request does not stream, so its reply has one part.
const REPLY_QUEUE_CAPACITY: usize = 2;

/// Retry delay returned for a request that was shed because the queue of this host is full.
const SHED_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Converts a request to its wire message. Returns `None` if it has no idempotency key or no
/// time-out.
pub(super) fn to_wire_request(request: CallerRequest) -> Option<ForwardedRequest> {
    Some(ForwardedRequest {
        request: request.request,
        workspace: request.workspace,
        pipeline: request.pipeline,
        input: request.input,
        key: request.idempotency_key?,
        timeout: request.timeout?,
        max_tokens: request.max_tokens,
        received_at: request.received_at,
    })
}

/// Converts the outcome of a forwarded request. An unknown refusal reason is replaced, since the
/// verdict alone tells whether the request ran.
pub(super) fn forward_end(outcome: ForwardOutcome) -> ForwardEnd {
    match outcome {
        ForwardOutcome::NotSent => ForwardEnd::NotSent,
        ForwardOutcome::Lost => ForwardEnd::Lost,
        ForwardOutcome::Answer(ForwardAnswer::Complete {
            output,
            tokens,
            replayed,
        }) => ForwardEnd::Complete {
            output,
            tokens,
            replayed,
        },
        ForwardOutcome::Answer(ForwardAnswer::Refused {
            verdict,
            reason,
            retry_after,
        }) => ForwardEnd::Refused(Refusal {
            verdict,
            // A host with a newer version may send a reason that this one does not know.
            reason: RefusalReason::find(&reason).unwrap_or(RefusalReason::IssuerUnreachable),
            retry_after,
        }),
    }
}

/// Runs a request forwarded by another host as if a caller had sent it to this host.
pub(super) fn submit_forwarded(
    core: &CoreHandle,
    request: ForwardedRequest,
    reply: oneshot::Sender<ForwardAnswer>,
) {
    let (sender, mut parts) = mpsc::channel(REPLY_QUEUE_CAPACITY);
    let request = CallerRequest {
        request: request.request,
        workspace: request.workspace,
        pipeline: request.pipeline,
        input: request.input,
        idempotency_key: Some(request.key),
        timeout: Some(request.timeout),
        max_tokens: request.max_tokens,
        stream: false,
        received_at: request.received_at,
    };
    if core.submit(request, sender).is_err() {
        let _ = reply.send(ForwardAnswer::Refused {
            verdict: ExecutionVerdict::NotRun,
            reason: "overloaded".to_owned(),
            retry_after: Some(SHED_RETRY_DELAY),
        });
        return;
    }
    tokio::spawn(async move {
        while let Some(part) = parts.recv().await {
            if let Some(answer) = forward_answer(part) {
                let _ = reply.send(answer);
                return;
            }
        }
    });
}

fn forward_answer(part: ReplyPart) -> Option<ForwardAnswer> {
    match part {
        ReplyPart::Token { .. } => None,
        ReplyPart::Complete {
            output,
            tokens,
            replayed,
        } => Some(ForwardAnswer::Complete {
            output,
            tokens,
            replayed,
        }),
        ReplyPart::Refused(refusal) => Some(ForwardAnswer::Refused {
            verdict: refusal.verdict,
            reason: refusal.reason.name().to_owned(),
            retry_after: refusal.retry_after,
        }),
    }
}
