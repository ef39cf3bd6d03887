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

/// Splits a byte stream into events and buffers the incomplete last one.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    pending: Vec<u8>,
}

impl EventSplitter {
    /// Creates a splitter for a new stream.
    pub fn new() -> Self {
        Self::default()
    }

    /// Consumes bytes of the stream; returns the events that they complete.
    pub fn take(&mut self, bytes: &[u8]) -> Vec<StreamEvent> {
        self.pending.extend_from_slice(bytes);
        let mut events = Vec::new();
        let mut start = 0;
        while let Some(end) = event_length(&self.pending[start..]) {
            let event = &self.pending[start..start + end];
            events.push(StreamEvent {
                bytes: event.to_vec(),
                id: parse_id(event),
            });
            start += end;
        }
        self.pending.drain(..start);
        events
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

/// Returns the length of the first event, including the blank line that ends it.
fn event_length(bytes: &[u8]) -> Option<usize> {
    let mut start = 0;
    loop {
        let length = bytes[start..].iter().position(|byte| *byte == b'\n')?;
        let line = &bytes[start..start + length];
        start += length + 1;
        if matches!(line, b"" | b"\r") {
            return Some(start);
        }
    }
}

fn parse_id(event: &[u8]) -> Option<u64> {
    let lines = event.split(|byte| *byte == b'\n');
    let id = lines
        .filter_map(|line| line.strip_prefix(b"id:"))
        .next_back()?;
    std::str::from_utf8(id).ok()?.trim().parse().ok()
}
