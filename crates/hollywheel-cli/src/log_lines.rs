//! Reading of the hosts' structured logs.

use std::path::Path;

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use crate::error::CliError;

/// Holds one line of a host's log.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct LogLine {
    /// The host: the word before the line, or the name of its file.
    #[serde(skip_deserializing)]
    pub(crate) host: String,
    /// The time of day, in the form of RFC 3339.
    pub(crate) timestamp: String,
    /// The number of the event.
    #[serde(default)]
    pub(crate) code: String,
    /// What the event means.
    #[serde(default)]
    pub(crate) message: String,
    /// Everything else that the line says.
    #[serde(flatten)]
    pub(crate) fields: Map<String, Value>,
}

impl LogLine {
    /// Reads a line; none if it does not hold an event. Collectors of logs may put words, of which
    /// the last is taken for the host, before it.
    fn read(text: &str, host: &str) -> Option<Self> {
        let start = text.find('{')?;
        let mut line: Self = serde_json::from_str(&text[start..]).ok()?;
        let named = text[..start].split_whitespace().next_back();
        line.host = named.unwrap_or(host).to_owned();
        Some(line)
    }

    /// Returns a field as text, empty if the line does not have it.
    pub(crate) fn field(&self, name: &str) -> String {
        match self.fields.get(name) {
            None | Some(Value::Null) => String::new(),
            Some(Value::String(text)) => text.clone(),
            Some(other) => other.to_string(),
        }
    }

    /// Renders the fields but those that every line has.
    pub(crate) fn details(&self) -> String {
        let fields = self.fields.iter().filter(|(name, _)| *name != "level");
        let shown = fields.filter(|(_, value)| !matches!(value, Value::Null));
        let shown = shown.filter(|(_, value)| value.as_str() != Some(""));
        let texts = shown.map(|(name, _)| format!("{name}={}", self.field(name)));
        texts.collect::<Vec<_>>().join(" ")
    }
}

/// Reads the events of log files in the order of time.
///
/// # Errors
///
/// Returns [`CliError::File`] for a file that can't be read or that holds no event.
pub(crate) fn read_logs<'a>(
    paths: impl IntoIterator<Item = &'a Path>,
) -> Result<Vec<LogLine>, CliError> {
    let mut lines = Vec::new();
    for path in paths {
        let fault = |message: String| CliError::File {
            path: path.to_owned(),
            message,
        };
        let bytes = std::fs::read(path).map_err(|error| fault(error.to_string()))?;
        let host = path.file_stem().unwrap_or_default().to_string_lossy();
        let before = lines.len();
        let text = String::from_utf8_lossy(&bytes);
        lines.extend(text.lines().filter_map(|line| LogLine::read(line, &host)));
        if lines.len() == before {
            return Err(fault("holds no line of a host's log".to_owned()));
        }
    }
    lines.sort_by(|left, right| left.timestamp.cmp(&right.timestamp));
    Ok(lines)
}
