//! Encodes the parts of a stream as lines.

use std::sync::Arc;

use bytes::Bytes;
use hyper::body::Frame;
use tokio::sync::mpsc;

use crate::message::{EndLine, GenerateCall, TokenLine};
use crate::reply::CutConnection;

use super::batch::StreamPart;
use super::server::EngineServer;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum WriteState {
    Open,
    Whole,
    Cut,
}

/// Encodes the parts of one stream as lines.
pub(super) struct StreamWriter {
    engine: Arc<EngineServer>,
    call: GenerateCall,
    attempt: String,
    parts: mpsc::Receiver<StreamPart>,
    cut_after: Option<u32>,
    sent: u32,
    state: WriteState,
}

pub(super) type StreamFrame = Result<Frame<Bytes>, CutConnection>;

impl StreamWriter {
    /// Creates a writer that cuts the stream after `cut_after` tokens, if given.
    pub(super) fn new(
        engine: Arc<EngineServer>,
        call: GenerateCall,
        attempt: String,
        parts: mpsc::Receiver<StreamPart>,
        cut_after: Option<u32>,
    ) -> Self {
        Self {
            engine,
            call,
            attempt,
            parts,
            cut_after,
            sent: 0,
            state: WriteState::Open,
        }
    }

    /// Returns the next frame, or none after the last one.
    pub(super) async fn next_frame(mut self) -> Option<(StreamFrame, Self)> {
        if self.state != WriteState::Open {
            return None;
        }
        if self.cut_after.is_some_and(|after| self.sent >= after) {
            return Some(self.cut());
        }
        // The channel of a cancelled stream closes before the last part.
        let Some(part) = self.parts.recv().await else {
            return Some(self.cut());
        };
        self.engine.core.faults.wait_unfrozen().await;
        let text = self.lines(&part);
        Some((Ok(Frame::data(Bytes::from(text))), self))
    }

    fn cut(mut self) -> (StreamFrame, Self) {
        self.state = WriteState::Cut;
        (Err(CutConnection), self)
    }

    fn lines(&mut self, part: &StreamPart) -> String {
        let line = match part {
            StreamPart::Token { index, text } => {
                self.sent += 1;
                self.token_line(*index, text)
            }
            StreamPart::End { tokens } => {
                self.state = WriteState::Whole;
                return self.end_line(*tokens);
            }
        };
        if self.engine.core.faults.get().duplicate {
            return line.repeat(2);
        }
        line
    }

    fn token_line(&self, index: u32, text: &str) -> String {
        let attempt = &self.attempt;
        let line = TokenLine {
            attempt,
            index,
            text,
        };
        write_line(&line)
    }

    fn end_line(&self, tokens: u32) -> String {
        let line = EndLine {
            attempt: &self.attempt,
            request: &self.call.run.request,
            stage: &self.call.run.stage,
            end: true,
            tokens,
            load: self.engine.load(),
        };
        write_line(&line)
    }
}

fn write_line(line: &impl serde::Serialize) -> String {
    let mut text = serde_json::to_string(line).expect("lines hold only writable fields");
    text.push('\n');
    text
}
