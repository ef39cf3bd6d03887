//! Splitting of an event stream into complete events.

/// The maximum size of an incomplete event. Events of model engines have a few hundred bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Holds one complete event of a stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StreamEvent {
    /// The bytes of the event, including the blank line that ends it.
    pub bytes: Vec<u8>,
    /// The numeric value of the `id` field, if the event has one.
    pub id: Option<u64>,
}

impl StreamEvent {
    /// Returns whether the event has no fields, only comments or nothing at all.
    pub fn is_comment(&self) -> bool {
        let mut lines = self.bytes.split(|byte| *byte == b'\n');
        lines.all(|line| matches!(line.first(), None | Some(b':' | b'\r')))
    }
}

/// Splits a byte stream into events and buffers the incomplete last one.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    pending: Vec<u8>,
    /// Start of the first incomplete line of `pending`.
    line_start: usize,
    /// Number of bytes of `pending` that were searched for the end of that line.
    searched: usize,
}

impl EventSplitter {
    /// Creates a splitter for a new stream.
    pub fn new() -> Self {
        Self::default()
    }

    /// Consumes bytes of the stream; returns the events that they complete.
    ///
    /// Each byte is searched once, however small the pieces are in which a stream arrives.
    pub fn take(&mut self, bytes: &[u8]) -> Vec<StreamEvent> {
        self.pending.extend_from_slice(bytes);
        let mut events = Vec::new();
        let mut start = 0;
        while let Some(length) = self.next_line_end() {
            let line = &self.pending[self.line_start..self.searched + length];
            let is_blank = matches!(line, b"" | b"\r");
            self.searched += length + 1;
            self.line_start = self.searched;
            if is_blank {
                let event = &self.pending[start..self.searched];
                events.push(StreamEvent {
                    bytes: event.to_vec(),
                    id: parse_id(event),
                });
                start = self.searched;
            }
        }
        self.searched = self.pending.len() - start;
        self.line_start -= start;
        self.pending.drain(..start);
        events
    }

    /// Returns how many bytes precede the end of the incomplete line, from the bytes searched on.
    fn next_line_end(&self) -> Option<usize> {
        let rest = &self.pending[self.searched..];
        rest.iter().position(|byte| *byte == b'\n')
    }

    /// Returns the bytes after the last complete event.
    pub fn rest(&self) -> &[u8] {
        &self.pending
    }

    /// Returns whether the incomplete event exceeds the maximum size of an event.
    pub const fn is_overlong(&self) -> bool {
        self.pending.len() > MAX_EVENT_BYTES
    }
}

fn parse_id(event: &[u8]) -> Option<u64> {
    let lines = event.split(|byte| *byte == b'\n');
    let id = lines
        .filter_map(|line| line.strip_prefix(b"id:"))
        .next_back()?;
    std::str::from_utf8(id).ok()?.trim().parse().ok()
}
