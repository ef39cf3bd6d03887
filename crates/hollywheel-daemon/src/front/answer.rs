//! Replies to pipeline calls.

use hollywheel_node::ReplyPart;
use hollywheel_types::{RequestId, TokenCount};
use http::{Response, StatusCode};
use serde::Serialize;
use tokio::sync::mpsc;

use super::body::FrontBody;
use super::event_stream::stream_reply;
use super::guard::DisconnectGuard;
use super::problem::{CallFault, fault_problem, refusal_problem};
use crate::web::{json_reply, problem_reply};

/// JSON body of a complete answer, also sent as the last event of a stream.
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

/// Waits for the first parts of a reply and builds the HTTP response, which streams the remaining
/// parts if `stream` is set.
pub(super) async fn write_reply(
    request: RequestId,
    stream: bool,
    mut parts: mpsc::Receiver<ReplyPart>,
    mut guard: DisconnectGuard,
) -> Response<FrontBody> {
    while let Some(part) = parts.recv().await {
        match part {
            // The status line is not sent before the first part has arrived, so that an earlier
            // refusal gets an HTTP status of its own.
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
                return json_reply(StatusCode::OK, &answer).map(FrontBody::buffered);
            }
            ReplyPart::Refused(refusal) => {
                guard.finish();
                return problem_reply(&refusal_problem(request, &refusal)).map(FrontBody::buffered);
            }
        }
    }
    problem_reply(&fault_problem(&CallFault::ReplyLost)).map(FrontBody::buffered)
}
