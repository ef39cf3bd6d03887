//! Requests that are handed to the issuers of their keys.

use std::time::Duration;

use hollywheel_node::{CallerRequest, ForwardEnd, Refusal, RefusalReason, ReplyPart};
use hollywheel_transport::ForwardOutcome;
use hollywheel_types::ExecutionVerdict;
use hollywheel_wire::{ForwardAnswer, ForwardedRequest};
use tokio::sync::{mpsc, oneshot};

use crate::core::CoreHandle;

/// Bounds the parts of a reply; a request that was handed over has one.
const REPLY_QUEUE: usize = 2;

/// When a request that found the queue full should be handed over again.
const FULL_RETRY: Duration = Duration::from_secs(1);

/// Returns the message for a request; none if it has no key or no time.
pub(super) fn write_request(request: CallerRequest) -> Option<ForwardedRequest> {
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

/// Reads what became of a request that was handed over. An answer that is not understood says
/// nothing about the request.
pub(super) fn read_outcome(outcome: ForwardOutcome) -> ForwardEnd {
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
            // A later version may know more reasons; the verdict is what counts.
            reason: RefusalReason::find(&reason).unwrap_or(RefusalReason::IssuerUnreachable),
            retry_after,
        }),
    }
}

/// Runs a request that another host handed over, as a request of this host's own.
pub(super) fn run_forward(
    core: &CoreHandle,
    request: ForwardedRequest,
    reply: oneshot::Sender<ForwardAnswer>,
) {
    let (sender, mut parts) = mpsc::channel(REPLY_QUEUE);
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
            retry_after: Some(FULL_RETRY),
        });
        return;
    }
    tokio::spawn(async move {
        while let Some(part) = parts.recv().await {
            if let Some(answer) = answer_of(part) {
                let _ = reply.send(answer);
                return;
            }
        }
    });
}

fn answer_of(part: ReplyPart) -> Option<ForwardAnswer> {
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
