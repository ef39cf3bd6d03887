//! Parsing of the structured log files of hosts.

use std::path::Path;

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use crate::error::CliError;

/// Holds one event from the log of a host.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct LogLine {
    /// The host: the word before the event on its line, or else the name of the log file.
    #[serde(skip_deserializing)]
    pub(crate) host: String,
    /// The time of the event, in the format of RFC 3339.
    pub(crate) timestamp: String,
    /// The code of the event.
    #[serde(default)]
    pub(crate) code: String,
    /// The message of the event.
    #[serde(default)]
    pub(crate) message: String,
    /// All other fields.
    #[serde(flatten)]
    pub(crate) fields: Map<String, Value>,
}

impl LogLine {
    /// Parses a line; none if it contains no event. Log collectors may put words before the event,
    /// the last of which is the name of the host.
    fn parse(text: &str, default_host: &str) -> Option<Self> {
        let start = text.find('{')?;
        let mut line: Self = serde_json::from_str(&text[start..]).ok()?;
        let prefix_host = text[..start].split_whitespace().next_back();
        line.host = prefix_host.unwrap_or(default_host).to_owned();
        Some(line)
    }

    /// Returns a field as text; empty if the event does not have it.
    pub(crate) fn field(&self, name: &str) -> String {
        match self.fields.get(name) {
            None | Some(Value::Null) => String::new(),
            Some(Value::String(text)) => text.clone(),
            Some(other) => other.to_string(),
        }
    }

    /// Renders the fields that not every event has and that are not empty.
    pub(crate) fn details(&self) -> String {
        let fields = self.fields.iter().filter(|(name, _)| *name != "level");
        let shown = fields.filter(|(_, value)| !matches!(value, Value::Null));
        let shown = shown.filter(|(_, value)| value.as_str() != Some(""));
        let texts = shown.map(|(name, _)| format!("{name}={}", self.field(name)));
        texts.collect::<Vec<_>>().join(" ")
    }
}

/// Reads the events of log files, sorted by time.
///
/// # Errors
///
/// Returns [`CliError::File`] for a file that can't be read or contains no event.
pub(crate) fn read_logs<'a>(
    paths: impl IntoIterator<Item = &'a Path>,
) -> Result<Vec<LogLine>, CliError> {
    let mut lines = Vec::new();
    for path in paths {
        let file_error = |message: String| CliError::File {
            path: path.to_owned(),
            message,
        };
        let bytes = std::fs::read(path).map_err(|error| file_error(error.to_string()))?;
        let host = path.file_stem().unwrap_or_default().to_string_lossy();
        let previous_count = lines.len();
        let text = String::from_utf8_lossy(&bytes);
        lines.extend(text.lines().filter_map(|line| LogLine::parse(line, &host)));
        if lines.len() == previous_count {
            return Err(file_error("contains no event of a host".to_owned()));
        }
    }
    lines.sort_by(|left, right| left.timestamp.cmp(&right.timestamp));
    Ok(lines)
}
