//! Whole events of a stream, and the position up to which it was passed on.

/// The most bytes of an event that is not complete yet; events of model engines have some
/// hundred bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Holds one event and which one it is.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StreamEvent {
    /// The bytes, with the blank line that ends the event.
    pub bytes: Vec<u8>,
    /// The id, if the event has one.
    pub id: Option<u64>,
}

/// Cuts a byte stream into events and keeps the part of one that is not complete.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    pending: Vec<u8>,
}

impl EventSplitter {
    /// Creates a cutter for a new stream.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes bytes and returns the events that are complete now.
    pub fn take(&mut self, bytes: &[u8]) -> Vec<StreamEvent> {
        self.pending.extend_from_slice(bytes);
        let mut events = Vec::new();
        let mut start = 0;
        while let Some(end) = find_end(&self.pending[start..]) {
            let event = &self.pending[start..start + end];
            events.push(StreamEvent {
                bytes: event.to_vec(),
                id: find_id(event),
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

    /// Says whether the incomplete event is longer than any event may be.
    pub const fn is_overlong(&self) -> bool {
        self.pending.len() > MAX_EVENT_BYTES
    }
}

/// Returns the length up to and with the blank line that ends the first event.
fn find_end(bytes: &[u8]) -> Option<usize> {
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

fn find_id(event: &[u8]) -> Option<u64> {
    let lines = event.split(|byte| *byte == b'\n');
    let id = lines
        .filter_map(|line| line.strip_prefix(b"id:"))
        .next_back()?;
    std::str::from_utf8(id).ok()?.trim().parse().ok()
}
