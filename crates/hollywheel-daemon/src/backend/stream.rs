//! Streamed responses of stages that generate tokens.

use bytes::{Buf, Bytes, BytesMut};
use hollywheel_node::{AttemptCall, AttemptEvent, NodeInput};
use http::Response;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::caller::BackendCaller;
use super::wire::StreamLine;
use crate::core::CoreHandle;

/// Maximum length of a line in bytes.
const MAX_LINE_BYTES: usize = 64 * 1024;
/// Maximum length of a stream in bytes.
const MAX_STREAM_BYTES: usize = 64 * 1024 * 1024;

/// Splits the body of a response into lines.
struct LineReader {
    body: Incoming,
    buffer: BytesMut,
    received_bytes: usize,
}

impl LineReader {
    fn new(body: Incoming) -> Self {
        Self {
            body,
            buffer: BytesMut::new(),
            received_bytes: 0,
        }
    }

    /// Returns the next complete line, or `None` if the stream breaks, ends or exceeds a limit.
    async fn next_line(&mut self) -> Option<Bytes> {
        let mut searched = 0;
        loop {
            if let Some(at) = self.buffer[searched..].iter().position(|b| *b == b'\n') {
                let line = self.buffer.split_to(searched + at).freeze();
                self.buffer.advance(1);
                return Some(line);
            }
            searched = self.buffer.len();
            if searched > MAX_LINE_BYTES || self.received_bytes > MAX_STREAM_BYTES {
                return None;
            }
            let frame = self.body.frame().await?.ok()?;
            if let Ok(data) = frame.into_data() {
                self.received_bytes += data.len();
                self.buffer.extend_from_slice(&data);
            }
        }
    }
}

/// Reads a stream, sends its tokens to the decision machine and returns the last event. A stream
/// without an explicit end line is broken.
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
            caller.record_load(call, core, line.load.take()).await;
            return end_event(caller, call, &line);
        }
        let Some(event) = token_event(&mut line) else {
            caller.log_invalid(call, "stream line without index or text");
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
            caller.log_invalid(call, "end line of the stream without request or stage");
            AttemptEvent::Broken
        }
    }
}
