//! Answers of stages that generate tokens.

use bytes::{Buf, Bytes, BytesMut};
use hollywheel_node::{AttemptCall, AttemptEvent, NodeInput};
use http::Response;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::caller::BackendCaller;
use super::wire::StreamLine;
use crate::core::CoreHandle;

/// Bounds one line.
const LINE_LIMIT: usize = 64 * 1024;
/// Bounds a whole stream.
const STREAM_LIMIT: usize = 64 * 1024 * 1024;

/// Splits a stream into lines.
struct LineReader {
    body: Incoming,
    buffer: BytesMut,
    taken: usize,
}

impl LineReader {
    fn new(body: Incoming) -> Self {
        Self {
            body,
            buffer: BytesMut::new(),
            taken: 0,
        }
    }

    /// Returns the next whole line; none if the stream breaks, ends or exceeds a limit.
    async fn next_line(&mut self) -> Option<Bytes> {
        let mut searched = 0;
        loop {
            if let Some(at) = self.buffer[searched..].iter().position(|b| *b == b'\n') {
                let line = self.buffer.split_to(searched + at).freeze();
                self.buffer.advance(1);
                return Some(line);
            }
            searched = self.buffer.len();
            if searched > LINE_LIMIT || self.taken > STREAM_LIMIT {
                return None;
            }
            let frame = self.body.frame().await?.ok()?;
            if let Ok(data) = frame.into_data() {
                self.taken += data.len();
                self.buffer.extend_from_slice(&data);
            }
        }
    }
}

/// Reads a stream to its explicit end and returns the last event.
pub(super) async fn read_stream(
    caller: &BackendCaller,
    call: &AttemptCall,
    core: &CoreHandle,
    response: Response<Incoming>,
) -> AttemptEvent {
    let mut lines = LineReader::new(response.into_body());
    while let Some(line) = lines.next_line().await {
        let mut line: StreamLine = match serde_json::from_slice(&line) {
            Ok(line) => line,
            Err(error) => {
                caller.log_invalid(call, &error.to_string());
                return AttemptEvent::Broken;
            }
        };
        if line.end {
            caller.take_load(call, core, line.load.take()).await;
            return end_event(caller, call, &line);
        }
        let Some(event) = token_event(&mut line) else {
            caller.log_invalid(call, "a line without index and text");
            return AttemptEvent::Broken;
        };
        let nonce = call.nonce;
        core.send(NodeInput::Attempt { nonce, event }).await;
    }
    AttemptEvent::Broken
}

fn token_event(line: &mut StreamLine) -> Option<AttemptEvent> {
    Some(AttemptEvent::Token {
        nonce: line.attempt,
        index: line.index?,
        text: line.text.take()?,
    })
}

fn end_event(caller: &BackendCaller, call: &AttemptCall, line: &StreamLine) -> AttemptEvent {
    match line.echo() {
        Some(echo) => AttemptEvent::StreamEnd {
            echo,
            tokens: line.tokens,
        },
        None => {
            caller.log_invalid(call, "an end line without request and stage");
            AttemptEvent::Broken
        }
    }
}
