//! Complete answers and problems.

use hollywheel_node::ReplyPart;
use hollywheel_types::{RequestId, TokenCount};
use http::{Response, StatusCode};
use serde::Serialize;
use tokio::sync::mpsc;

use super::body::FrontBody;
use super::event_stream::stream_reply;
use super::guard::CallerGuard;
use super::problem::{CallFault, fault_problem, refusal_problem};
use crate::web::{json_reply, problem_reply};

/// Holds a complete answer.
#[derive(Debug, Serialize)]
pub(super) struct CompleteAnswer {
    request: RequestId,
    output: String,
    tokens: TokenCount,
    replayed: bool,
}

impl CompleteAnswer {
    pub(super) const fn new(
        request: RequestId,
        output: String,
        tokens: TokenCount,
        replayed: bool,
    ) -> Self {
        Self {
            request,
            output,
            tokens,
            replayed,
        }
    }
}

/// Waits for the reply of a request and writes it.
pub(super) async fn write_reply(
    request: RequestId,
    stream: bool,
    mut parts: mpsc::Receiver<ReplyPart>,
    mut guard: CallerGuard,
) -> Response<FrontBody> {
    while let Some(part) = parts.recv().await {
        match part {
            // A stream begins with its first part, so that a refusal before it has a status.
            ReplyPart::Token { .. } if stream => return stream_reply(request, part, parts, guard),
            ReplyPart::Token { .. } => {}
            ReplyPart::Complete { .. } if stream => {
                return stream_reply(request, part, parts, guard);
            }
            ReplyPart::Complete {
                output,
                tokens,
                replayed,
            } => {
                guard.finish();
                let answer = CompleteAnswer::new(request, output, tokens, replayed);
                return json_reply(StatusCode::OK, &answer).map(FrontBody::whole);
            }
            ReplyPart::Refused(refusal) => {
                guard.finish();
                return problem_reply(&refusal_problem(request, &refusal)).map(FrontBody::whole);
            }
        }
    }
    problem_reply(&fault_problem(&CallFault::ReplyLost)).map(FrontBody::whole)
}
