//! Parser of server-sent events.

/// Maximum size of an event, in bytes; a longer one is dropped.
const MAX_EVENT_BYTES: usize = 16 * 1024 * 1024;

/// A server-sent event.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ServerEvent {
    /// The name.
    pub name: String,
    /// The data; lines are joined by line feeds.
    pub data: String,
}

/// Assembles events from the chunks of a body.
#[derive(Clone, Debug, Default)]
pub struct EventReader {
    line: Vec<u8>,
    event: ServerEvent,
}

impl EventReader {
    /// Adds a chunk and returns the events that it completes.
    pub fn read(&mut self, chunk: &[u8]) -> Vec<ServerEvent> {
        let mut events = Vec::new();
        for byte in chunk {
            if *byte != b'\n' {
                if self.line.len() < MAX_EVENT_BYTES {
                    self.line.push(*byte);
                }
                continue;
            }
            let line = std::mem::take(&mut self.line);
            let line = String::from_utf8_lossy(&line);
            events.extend(self.end_line(line.trim_end_matches('\r')));
        }
        events
    }

    fn end_line(&mut self, line: &str) -> Option<ServerEvent> {
        if line.is_empty() {
            let event = std::mem::take(&mut self.event);
            return (!event.data.is_empty()).then_some(event);
        }
        let (field, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "event" => self.event.name = value.to_owned(),
            "data" => self.push_data(value),
            _ => {}
        }
        None
    }

    fn push_data(&mut self, value: &str) {
        if self.event.data.len() + value.len() > MAX_EVENT_BYTES {
            return;
        }
        if !self.event.data.is_empty() {
            self.event.data.push('\n');
        }
        self.event.data.push_str(value);
    }
}
