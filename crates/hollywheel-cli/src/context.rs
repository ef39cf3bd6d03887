//! What every command is given.

use std::io::Write;

use serde::Serialize;

use crate::client::AdminClient;
use crate::error::CliError;
use crate::output::OutputFormat;

/// Holds the client and the way to render results.
#[derive(Debug)]
pub(crate) struct CommandContext {
    pub(crate) client: AdminClient,
    pub(crate) format: OutputFormat,
}

impl CommandContext {
    /// Prints a result: the document as JSON, or the text made from it.
    ///
    /// # Errors
    ///
    /// Returns [`CliError::Output`] if standard output is closed.
    pub(crate) fn print<T: Serialize>(
        &self,
        document: &T,
        text: impl FnOnce(&T) -> String,
    ) -> Result<(), CliError> {
        let rendered = match self.format {
            OutputFormat::Text => text(document),
            OutputFormat::Json => {
                let json = serde_json::to_string_pretty(document);
                json.map_err(|error| CliError::Output(error.into()))? + "\n"
            }
        };
        let mut out = std::io::stdout().lock();
        out.write_all(rendered.as_bytes())
            .map_err(CliError::Output)?;
        out.flush().map_err(CliError::Output)
    }
}
