//! Replies streamed as server-sent events.

use std::convert::Infallible;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use hollywheel_node::ReplyPart;
use hollywheel_types::{RequestId, TokenIndex};
use http::Response;
use http::header::{CACHE_CONTROL, CONTENT_TYPE, HeaderValue};
use serde::Serialize;
use tokio::sync::mpsc;

use super::answer::CompleteAnswer;
use super::body::FrontBody;
use super::guard::DisconnectGuard;
use super::problem::{CallFault, fault_problem, refusal_problem};

/// Idle time after which a comment is sent. A disconnected caller is only detected when a write
/// fails.
const COMMENT_INTERVAL: Duration = Duration::from_secs(2);

/// JSON data of a `token` event.
#[derive(Serialize)]
struct TokenEvent<'a> {
    index: TokenIndex,
    text: &'a str,
}

/// Source of the events of one reply.
struct EventSource {
    request: RequestId,
    first: Option<ReplyPart>,
    parts: mpsc::Receiver<ReplyPart>,
    guard: DisconnectGuard,
    ended: bool,
}

impl EventSource {
    async fn next_event(mut self) -> Option<(Result<Bytes, Infallible>, Self)> {
        if self.ended {
            return None;
        }
        let event = match self.first.take() {
            Some(part) => self.format_part(part),
            None => self.next_part_event().await,
        };
        Some((Ok(Bytes::from(event)), self))
    }

    async fn next_part_event(&mut self) -> String {
        match tokio::time::timeout(COMMENT_INTERVAL, self.parts.recv()).await {
            Ok(Some(part)) => self.format_part(part),
            Ok(None) => {
                self.ended = true;
                let problem = fault_problem(&CallFault::ReplyLost);
                format_event("problem", &problem.details())
            }
            Err(_) => ":\n\n".to_owned(),
        }
    }

    fn format_part(&mut self, part: ReplyPart) -> String {
        let request = self.request;
        match part {
            ReplyPart::Token { index, text } => {
                format_event("token", &TokenEvent { index, text: &text })
            }
            ReplyPart::Complete {
                output,
                tokens,
                replayed,
            } => {
                self.finish();
                let answer = CompleteAnswer::new(request, output, tokens, replayed);
                format_event("complete", &answer)
            }
            ReplyPart::Refused(refusal) => {
                self.finish();
                format_event("problem", &refusal_problem(request, &refusal).details())
            }
        }
    }

    const fn finish(&mut self) {
        self.ended = true;
        self.guard.finish();
    }
}

fn format_event(name: &str, data: &impl Serialize) -> String {
    let data = serde_json::to_string(data).unwrap_or_default();
    format!("event: {name}\ndata: {data}\n\n")
}

/// Builds a response that streams the parts of a reply as events, starting with `first`.
pub(super) fn stream_reply(
    request: RequestId,
    first: ReplyPart,
    parts: mpsc::Receiver<ReplyPart>,
    guard: DisconnectGuard,
) -> Response<FrontBody> {
    let source = EventSource {
        request,
        first: Some(first),
        parts,
        guard,
        ended: false,
    };
    let events = stream::unfold(source, EventSource::next_event);
    let mut reply = Response::new(FrontBody::chunked(events));
    let headers = reply.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
    reply
}
