//! Replies as server-sent events.

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
use super::guard::CallerGuard;
use super::problem::{CallFault, fault_problem, refusal_problem};

/// Gives the time without events after which a comment is written, so that a caller who has
/// left is noticed.
const COMMENT_INTERVAL: Duration = Duration::from_secs(2);

#[derive(Serialize)]
struct TokenEvent<'a> {
    index: TokenIndex,
    text: &'a str,
}

/// Holds the state between two events.
struct EventSource {
    request: RequestId,
    first: Option<ReplyPart>,
    parts: mpsc::Receiver<ReplyPart>,
    guard: CallerGuard,
    ended: bool,
}

impl EventSource {
    async fn next_event(mut self) -> Option<(Result<Bytes, Infallible>, Self)> {
        if self.ended {
            return None;
        }
        let event = match self.first.take() {
            Some(part) => self.write_part(part),
            None => self.wait_part().await,
        };
        Some((Ok(Bytes::from(event)), self))
    }

    async fn wait_part(&mut self) -> String {
        match tokio::time::timeout(COMMENT_INTERVAL, self.parts.recv()).await {
            Ok(Some(part)) => self.write_part(part),
            Ok(None) => {
                self.ended = true;
                let problem = fault_problem(&CallFault::ReplyLost);
                event_text("problem", &problem.details())
            }
            Err(_) => ":\n\n".to_owned(),
        }
    }

    fn write_part(&mut self, part: ReplyPart) -> String {
        let request = self.request;
        match part {
            ReplyPart::Token { index, text } => {
                event_text("token", &TokenEvent { index, text: &text })
            }
            ReplyPart::Complete {
                output,
                tokens,
                replayed,
            } => {
                self.end();
                let answer = CompleteAnswer::new(request, output, tokens, replayed);
                event_text("complete", &answer)
            }
            ReplyPart::Refused(refusal) => {
                self.end();
                event_text("problem", &refusal_problem(request, &refusal).details())
            }
        }
    }

    const fn end(&mut self) {
        self.ended = true;
        self.guard.finish();
    }
}

fn event_text(name: &str, data: &impl Serialize) -> String {
    let data = serde_json::to_string(data).unwrap_or_default();
    format!("event: {name}\ndata: {data}\n\n")
}

/// Builds a reply that writes events as they come.
pub(super) fn stream_reply(
    request: RequestId,
    first: ReplyPart,
    parts: mpsc::Receiver<ReplyPart>,
    guard: CallerGuard,
) -> Response<FrontBody> {
    let source = EventSource {
        request,
        first: Some(first),
        parts,
        guard,
        ended: false,
    };
    let events = stream::unfold(source, EventSource::next_event);
    let mut reply = Response::new(FrontBody::stream(events));
    let headers = reply.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
    reply
}
